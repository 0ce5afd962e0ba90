package planner

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// saveMargin is the time, in addition to the stop grace period, that a run on a departing worker is given to
// write its checkpoint.
const saveMargin = 800 * clock.Millis(1)

// Departing is a run on a worker that has announced its departure.
type Departing struct {
	// LeavesAt is the earliest time at which the worker leaves.
	Now, LeavesAt clock.Millis
	// StopGrace is the maximum time between the stop of a run and its end.
	StopGrace clock.Millis
	Step      *workload.Step
	// Remaining is the time until the run is expected to end, 0 if that is unknown.
	Remaining clock.Millis
}

// StopsBeforeDeparture answers workers that are withdrawn while they are busy. It reports whether the run is
// stopped now. What saves is stopped at the last moment at which it can. What does not save gains nothing from
// a stop but the time that it would work in vain: it is stopped at once unless it is expected to end before the
// worker leaves. At the last moment only what is about to end runs on, because a run that is lost with its
// worker keeps its place, and its gang, until its lease expires.
func (pl *Planner) StopsBeforeDeparture(de Departing) bool {
	left := de.LeavesAt - de.Now
	lastMoment := left <= de.StopGrace+saveMargin
	switch {
	case !pl.tu.DepartByRemaining || de.Step.LongRunning:
		return lastMoment
	case lastMoment:
		return de.Remaining == 0 || de.Remaining > left/2
	case de.Step.Checkpointing:
		return false
	}
	return de.Remaining > left-saveMargin/2
}
