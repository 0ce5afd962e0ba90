package planner

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// maxGuaranteedWait is how long after its submission work within a guarantee may wait for room that
	// becomes free by itself. It leaves time to stop runs for it within 2.5 s.
	maxGuaranteedWait = 1000 * clock.Millis(1)
	// maxWaitForEnds is the longest time for which a preemption is put off. Ends further ahead are too
	// uncertain.
	maxWaitForEnds = 500 * clock.Millis(1)
	// lateValue is the value of work that ends late, as a fraction of that in time.
	lateValue = 0.3
	// urgentValue is the value of a millisecond of urgent work, as a multiple of other work.
	urgentValue = 12
	// freeStops is how often a unit may be stopped before each further stop counts as a loss of its own.
	freeStops = 1
	// maxStops is how often a unit that does not save may be stopped before only work within a guarantee may
	// stop it again.
	maxStops = 3
)

// gain returns the work in core-milliseconds that ends in time if the tasks start now rather than later.
func (ro *round) gain(ca candidate, count int) float64 {
	work := urgentValue * coresOf(ca.step.Request) * float64(count) * float64(ro.expected(ca.job, ca.stage.Step))
	switch group, _ := ro.timeliness(ca); group {
	case onTime:
		return work
	case late:
		return lateValue * work
	default:
		return 0
	}
}

// lossInTime returns how many milliseconds of its work a unit loses by a stop: those that it has done in vain,
// and those that end late because of it. Each earlier stop of a unit that does not save adds as much again, so
// that others are stopped before it.
func (ro *round) lossInTime(ru run, lost float64) float64 {
	step := ru.job.StepOf(ru.stage)
	if stops := earlierStops(ru) - freeStops; stops > 0 && !step.Checkpointing {
		lost += float64(stops) * float64(ro.expected(ru.job, ru.stage.Step))
	}
	terms, _ := ro.in.TermsOf(ru.job)
	victim := candidate{job: ru.job, stage: ru.stage, step: step, terms: terms}
	if group, _ := ro.timeliness(victim); group == late && !step.Checkpointing {
		lost += (1 - lateValue) * float64(ro.expected(ru.job, ru.stage.Step))
	}
	return lost
}

// earlierStops returns how often the task has been started in vain, other than by its own failures.
func earlierStops(ru run) int {
	ta := &ru.stage.Tasks[ru.index]
	return max(int(ta.Run)-1-max(ta.Failures, ru.stage.Failures), 0)
}

// spared reports whether a run may not be stopped for a candidate, because its unit has been stopped so often
// that it would never end.
func (ro *round) spared(ca candidate, ru run) bool {
	return ro.tu.PreemptByValue && ca.rank != rankGuaranteed && !ru.job.StepOf(ru.stage).Checkpointing && earlierStops(ru) >= maxStops
}

// waitForEnds reports whether the tasks fit without any stop once runs have ended that are about to, and that
// wait costs less than the stops. It reserves the room then.
func (ro *round) waitForEnds(ca candidate, slots []*slot, count int, cost float64) bool {
	if ro.in.Remaining == nil {
		return false
	}
	longest := maxWaitForEnds
	if ca.rank == rankGuaranteed {
		longest = min(longest, maxGuaranteedWait-ro.in.WaitTime(ca.job.ID))
	}
	delay := urgentValue * coresOf(ca.step.Request) * float64(count)
	if delay <= 0 {
		return false // its wait cannot be weighed
	}
	longest = min(longest, clock.Millis(cost/delay))
	if longest <= 0 {
		return false
	}
	found := ro.find(ca, slots, count, func(sl *slot) workload.Resources { return ro.freeWithin(sl, longest) })
	if found == nil {
		return false
	}
	ro.reserve(ca, found)
	return true
}

// freeWithin returns the resources of a slot that are free once all runs have ended that end within a time.
func (ro *round) freeWithin(sl *slot, within clock.Millis) workload.Resources {
	free := sl.freeSoon
	for _, ru := range sl.runs {
		if remaining := ro.in.Remaining(ru.job, ru.stage, ru.index); remaining > 0 && remaining <= within {
			free = free.Add(ru.job.StepOf(ru.stage).Reserved())
		}
	}
	return free
}

// headroomOf answers wide gangs that start on room which guarantees take back before they have ended or saved.
// It returns how much headroom the tasks have to leave: the deviations of the demand, and the limit as a
// fraction of the pool. Room that urgent work asks for again and again is lent to what ends or saves soon.
func (ro *round) headroomOf(ca candidate) (deviations, limit float64) {
	if ro.tu.UnsavedDeviations == 0 || ca.terms.SlowdownFactor == 0 || !ca.step.Gang || ca.step.Checkpointing {
		return ro.tu.HeadroomDeviations, ro.tu.MaxHeadroom
	}
	if group, _ := ro.timeliness(ca); group == overdue {
		return ro.tu.UnsavedDeviations, ro.tu.MaxHeadroom // it comes last, but not never
	}
	return ro.tu.UnsavedDeviations, ro.tu.MaxUnsavedHeadroom
}
