// Package fleet holds what workers report and what they are told, without the encoding.
package fleet

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

var (
	// ErrFenced means that the worker has seen a newer holder; stop giving orders.
	ErrFenced = eris.New("the worker obeys a newer holder; give no more orders")
	// ErrOld means that the run was stopped or has ended, or a newer one was there.
	ErrOld = eris.New("the worker has seen the end of this run or a newer one; look at its ends")
	// ErrLate means that the lease of the order had expired; send it again with a new one.
	ErrLate = eris.New("the lease of the order has expired; send it again with a later end")
	// ErrNoRoom means that the worker has no room for the run.
	ErrNoRoom = eris.New("the worker has no room; place the task elsewhere")
	// ErrNoTicket means that the advice service's ticket is missing or no longer valid.
	ErrNoTicket = eris.New("the worker wants a valid ticket; ask for advice again")
	// ErrOtherLife means that another life of the worker, or another worker, answered.
	ErrOtherLife = eris.New("another life of the worker answered; take the former one's runs as lost")
	// ErrUnhealthy means that the worker refused the order and did nothing.
	ErrUnhealthy = eris.New("the worker is not healthy; place the task elsewhere")
	// ErrRejected means that the order is not valid.
	ErrRejected = eris.New("the worker rejects the order; check the job")
	// ErrSilent means that the order may be carried out now, later or never.
	ErrSilent = eris.New("the worker did not answer; send the order again, or settle it by a stop")
)

type (
	// Report is what a worker says of itself.
	Report struct {
		ID      identifier.Worker
		Life    workload.Life
		Pool    identifier.Pool
		Address string
		Zone    identifier.Zone
		Rack    identifier.Rack
		// Labels holds the properties that a task may require, the rack among them.
		Labels   []identifier.Label
		Capacity workload.Room
		// Draining means that the worker leaves and takes no new work.
		Draining bool
		// Remaining is the least time until a draining worker leaves.
		Remaining clock.Millis
	}

	// Target names one life of a worker and where to reach it.
	Target struct {
		ID      identifier.Worker
		Address string
	}

	// StartOrder asks for a run of a task.
	StartOrder struct {
		Task    string
		Run     meter.RunNumber
		Payload string
		// LeaseEnd is on the clock of the worker.
		LeaseEnd clock.Millis
		Fence    meter.LeaseEpoch
		// Saved is the checkpoint to go on from; empty means none.
		Saved string
		// Ticket is the permission of the advice service; empty where none is needed.
		Ticket string
	}

	// PaceOrder lets a run work at a share of its speed.
	PaceOrder struct {
		Task    string
		Run     meter.RunNumber
		Percent meter.Percent
		Fence   meter.LeaseEpoch
	}

	// Advice tells which of the workers asked about may run a step.
	Advice struct {
		// Tickets holds the approved workers.
		Tickets map[identifier.Worker]string
		// Validity is how long the tickets are valid.
		Validity clock.Millis
	}

	// Wave asks that some machines have their upkeep.
	Wave struct {
		Number   int64
		Machines []identifier.Machine
		// Most is how many may be down at once.
		Most int
	}

	// Machine is a machine as the platform lists it.
	Machine struct {
		ID identifier.Machine
		// Worker is the worker that runs there now; empty while it is down.
		Worker identifier.Worker
		// Up means that it is neither moving nor in upkeep nor broken.
		Up bool
		// InUpkeep means that it is down for upkeep.
		InUpkeep bool
	}

	// StopOrder asks for the end of a run.
	StopOrder struct {
		Task  string
		Run   meter.RunNumber
		Fence meter.LeaseEpoch
	}

	// HoldOrder extends the leases of all runs of a worker and asks for its state.
	HoldOrder struct {
		Fence meter.LeaseEpoch
		// Seen lets the worker forget its ends up to this number.
		Seen meter.EndNumber
		// LeaseEnd is on the clock of the worker; 0 extends nothing.
		LeaseEnd clock.Millis
		// Wait is how long the answer may wait for an end.
		Wait clock.Millis
	}

	// Status is what a worker answers.
	Status struct {
		// Clock is the clock of the worker when it answered.
		Clock clock.Millis
		// Life is 0 where the answer does not tell it.
		Life    workload.Life
		Running []Running
		Ended   []Ended
	}

	// Running is a run that is at work.
	Running struct {
		Task     workload.TaskKey
		Run      meter.RunNumber
		Saved    string
		Progress meter.Percent
		// Tail is the tail of the response times of a task that serves; 0 is unknown.
		Tail clock.Millis
	}

	// Ended is a run that has ended.
	Ended struct {
		Number meter.EndNumber
		Task   workload.TaskKey
		End    workload.RunEnd
	}
)
