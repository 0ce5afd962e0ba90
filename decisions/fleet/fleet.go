// Package fleet defines the reports of workers and the commands to them, independent of
// their encoding.
package fleet

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

var (
	// ErrFenced means that the worker or the machine service has seen a higher fencing
	// token, so this instance is no longer the leader and must send no more commands.
	ErrFenced = eris.New("a higher fencing token was seen; this instance is no longer the leader and must send no more commands")
	// ErrStaleRun means that the run was already stopped or has ended, or that the worker has
	// seen a newer run of the task.
	ErrStaleRun = eris.New("the run was stopped, has ended or was replaced by a newer run; check the completed runs of the worker")
	// ErrLeaseExpired means that the lease in the command had already expired. Send the command
	// again with a later lease end.
	ErrLeaseExpired = eris.New("the lease in the command has expired; send the command again with a later lease end")
	// ErrNoCapacity means that the free capacity of the worker does not suffice for the run.
	ErrNoCapacity = eris.New("the worker has insufficient free capacity; place the task on another worker")
	// ErrInvalidTicket means that the ticket of the advice service is missing or no longer
	// valid.
	ErrInvalidTicket = eris.New("the ticket is missing or no longer valid; request advice again")
	// ErrOtherIncarnation means that another incarnation of the worker, or another worker,
	// answered.
	ErrOtherIncarnation = eris.New("another incarnation of the worker answered; the runs of the previous one are lost")
	// ErrUnhealthy means that the worker refused the command without carrying out any part
	// of it.
	ErrUnhealthy = eris.New("the worker is unhealthy; place the task on another worker")
	// ErrRejected means that the command is invalid.
	ErrRejected = eris.New("the worker rejected the command as invalid; check the job")
	// ErrNoAnswer means that the worker did not answer. The command may have been carried
	// out, may still be carried out later, or may be lost.
	ErrNoAnswer = eris.New("the worker did not answer; send the command again, or stop the run to learn its outcome")
	// ErrNotSent means that the latest moment for the command had passed, or that it was forbidden, before its
	// first byte was written, so that nothing was sent.
	ErrNotSent = eris.New("the command was not sent, because another instance may be the leader by now or the zone of the worker may be evacuated; decide again after the next renewal of the leadership")
)

type (
	// Report is the description that a worker gives of itself.
	Report struct {
		ID          identifier.Worker
		Incarnation workload.Incarnation
		Pool        identifier.Pool
		Address     string
		Zone        identifier.Zone
		Rack        identifier.Rack
		// Labels holds the properties that a task may require, including the rack.
		Labels   []identifier.Label
		Capacity workload.Resources
		// Draining means that the worker is about to leave and accepts no new runs.
		Draining bool
		// Remaining is the minimum time until a draining worker leaves.
		Remaining clock.Millis
		// Cold is how much longer the worker is slow; 0 means that it is not.
		Cold clock.Millis
	}

	// Evacuations holds the availability zones in which no run may be started, each with the version of
	// the row by which operators have requested that.
	Evacuations map[identifier.Zone]meter.RowVersion

	// Target identifies a worker and the address at which it is reached.
	Target struct {
		ID      identifier.Worker
		Address string
		// SendBy is the latest moment, on this instance's clock, at which a command may leave
		// the process.
		SendBy clock.Millis
		// Forbidden reports whether a command may no longer leave although SendBy has not passed; nil
		// means that it always may.
		Forbidden func() bool
	}

	// StartCommand is the command to start a run of a task.
	StartCommand struct {
		Task    string
		Run     meter.RunNumber
		Payload string
		// LeaseEnd is when the lease of the run expires, on the clock of the worker.
		LeaseEnd clock.Millis
		Fence    meter.LeaseEpoch
		// Checkpoint is the checkpoint to resume from; empty means none.
		Checkpoint string
		// Ticket is the ticket of the advice service; empty if none is needed.
		Ticket string
	}

	// ThrottleCommand is the command to throttle a run to a percentage of its full speed.
	ThrottleCommand struct {
		Task    string
		Run     meter.RunNumber
		Percent meter.Percent
		Fence   meter.LeaseEpoch
	}

	// Advice is the answer of the advice service: which of the workers in the request may
	// run a step.
	Advice struct {
		// Tickets maps each approved worker to its ticket.
		Tickets map[identifier.Worker]string
		// Validity is how long the tickets are valid.
		Validity clock.Millis
	}

	// MaintenanceWave is a request to maintain some machines.
	MaintenanceWave struct {
		Number   int64
		Machines []identifier.Machine
		// MaxDown is the maximum number of these machines that may be down at the same time.
		MaxDown int
	}

	// Machine is a machine as listed by the platform.
	Machine struct {
		ID identifier.Machine
		// Worker is the worker that currently runs on the machine; empty while the machine
		// is down.
		Worker identifier.Worker
		// Up means that the machine is neither being moved, nor in maintenance, nor broken.
		Up bool
		// InMaintenance means that the machine is down for maintenance.
		InMaintenance bool
	}

	// MaintenanceCommand is the command to start the maintenance of a machine.
	MaintenanceCommand struct {
		Machine identifier.Machine
		Wave    int64
		Leader  identifier.Instance
		Fence   meter.LeaseEpoch
		// SendBy is the latest moment, on this instance's clock, at which the command may leave
		// the process.
		SendBy clock.Millis
	}

	// StopCommand is the command to stop a run.
	StopCommand struct {
		Task  string
		Run   meter.RunNumber
		Fence meter.LeaseEpoch
	}

	// PollCommand is a poll of a worker: it renews the leases of all runs on the worker,
	// acknowledges completed runs and requests the worker's state.
	PollCommand struct {
		Fence meter.LeaseEpoch
		// Acknowledged is the number up to which completed runs are acknowledged, so that the
		// worker may discard them.
		Acknowledged meter.CompletionNumber
		// LeaseEnd is the new expiry of the leases, on the clock of the worker; 0 renews
		// none.
		LeaseEnd clock.Millis
		// Wait is how long the worker may delay the answer until a run completes.
		Wait clock.Millis
	}

	// Status is the answer of a worker to a command or poll.
	Status struct {
		// Clock is the time on the clock of the worker when it answered.
		Clock clock.Millis
		// Incarnation is 0 if the answer does not include the incarnation.
		Incarnation workload.Incarnation
		Running     []Running
		Completed   []CompletedRun
		// Truncated means that there may be more completed runs than Completed holds.
		Truncated bool
	}

	// Running is a run that is in progress.
	Running struct {
		Task       workload.TaskKey
		Run        meter.RunNumber
		Checkpoint string
		Progress   meter.Percent
		// TailLatency is the tail latency of a long-running task; 0 means unknown.
		TailLatency clock.Millis
	}

	// EndedRun is a completed run that a leader has learned of from its worker.
	EndedRun struct {
		Worker     identifier.Worker
		Task       workload.TaskKey
		Completion workload.Completion
	}

	// CompletedRun is a completed run that has not been acknowledged yet.
	CompletedRun struct {
		Number     meter.CompletionNumber
		Task       workload.TaskKey
		Completion workload.Completion
	}
)
