// Package accountant counts what a fleet loses under load: the work of runs that ended in vain, by cause, and
// the room that is kept free for work that has not started.
package accountant

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Causes for which the work of a run is lost; None is that of work that is not.
const (
	None        Cause = ""
	Preempted   Cause = "preempted"
	WorkerLeft  Cause = "workerLeft"
	Maintenance Cause = "maintenance"
	MemberEnded Cause = "memberEnded"
	Lapsed      Cause = "leaseExpired"
	Failed      Cause = "failed"
	Cancelled   Cause = "cancelled"
	DoneTwice   Cause = "doneTwice"
	Other       Cause = "other"

	// acceleratorCores is the value of an accelerator in cores, according to the platform's prices.
	acceleratorCores = 8
	millisPerSecond  = 1000
)

type (
	// Cause is why the work of a run is lost.
	Cause string

	// Run is a run that has ended.
	Run struct {
		Step    *workload.Step
		Outcome workload.RunOutcome
		// Cause is why it was stopped; None if this leader did not stop it.
		Cause Cause
		// Cancelled means that its job had been cancelled, Duplicate that its task was done before.
		Cancelled, Duplicate bool
		// Ran is how long it ran. Unsaved is the part of that since its last checkpoint, and the time that it
		// takes to resume from there.
		Ran, Unsaved clock.Millis
	}

	// Accountant sums up the losses. It is not safe for concurrent use. The zero value has none.
	Accountant struct {
		lost map[Cause]coreMillis
		// held is the room that was kept free for work that has not started, since the first report.
		held heldRoom
	}

	// heldRoom integrates a number of accelerators over time.
	heldRoom struct {
		at  clock.Millis
		now meter.Accelerators
		sum acceleratorMillis
	}

	coreMillis        float64
	acceleratorMillis int64
)

// causeOf returns why the work of a run is lost, or None if it is not.
func causeOf(ru Run) Cause {
	switch {
	case ru.Duplicate:
		return DoneTwice
	case ru.Outcome == workload.OutcomeDone:
		return None
	case ru.Cancelled:
		return Cancelled
	case ru.Outcome == workload.OutcomeFailed:
		return Failed
	case ru.Cause != None:
		return ru.Cause
	case ru.Outcome == workload.OutcomeLeaseExpired:
		return Lapsed
	case ru.Outcome == workload.OutcomeWorkerLost:
		return WorkerLeft
	case ru.Step.Gang:
		return MemberEnded
	}
	return Other
}

// Record adds a run that has ended. It returns the cause and the amount of the work that is lost.
func (ac *Accountant) Record(ru Run) (Cause, meter.CoreSeconds) {
	cause := causeOf(ru)
	if cause == None {
		return None, 0
	}
	lost := ru.Ran
	if ru.Step.Checkpointing {
		lost = min(lost, ru.Unsaved)
	}
	work := coreMillis(float64(ru.Step.Request.CPU)/millisPerSecond+acceleratorCores*float64(ru.Step.Request.Accelerators)) * coreMillis(max(lost, 0))
	if ac.lost == nil {
		ac.lost = map[Cause]coreMillis{}
	}
	before := meter.CoreSeconds(ac.lost[cause] / millisPerSecond)
	ac.lost[cause] += work
	return cause, meter.CoreSeconds(ac.lost[cause]/millisPerSecond) - before
}

// Hold records how many accelerators are kept free from now on for work that has not started.
func (ac *Accountant) Hold(now clock.Millis, held meter.Accelerators) {
	if ac.held.at > 0 {
		ac.held.sum += acceleratorMillis(now-ac.held.at) * acceleratorMillis(ac.held.now)
	}
	ac.held.at, ac.held.now = now, held
}

// Held returns the accelerators that are kept free now, and the sum of accelerators times seconds so far.
func (ac *Accountant) Held() (meter.Accelerators, meter.AcceleratorSeconds) {
	return ac.held.now, meter.AcceleratorSeconds(ac.held.sum / millisPerSecond)
}

// Lost returns the work that was lost so far for a cause.
func (ac *Accountant) Lost(cause Cause) meter.CoreSeconds {
	return meter.CoreSeconds(ac.lost[cause] / millisPerSecond)
}

// TotalLost returns the work that was lost so far.
func (ac *Accountant) TotalLost() meter.CoreSeconds {
	var sum coreMillis
	for _, work := range ac.lost {
		sum += work
	}
	return meter.CoreSeconds(sum / millisPerSecond)
}
