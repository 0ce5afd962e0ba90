package planner

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// Groups of work by its objective.
const (
	// inTime is work that can still meet its objective.
	inTime lateness = iota
	// late is work that can meet lateFactor times its objective.
	late
	// overdue is work that nobody waits for any more.
	overdue
)

const (
	// lateFactor is how many times its objective a job may take and still be of use to its
	// caller.
	lateFactor = 3
	// wideShare is the share of a pool that a step takes at once; wider ones are expected
	// to run in several waves.
	wideShare = 0.25
)

type lateness int

// timeliness tells whether a candidate can still meet its objective, and its place among
// those of which the same is true: the one with the least time to lose first, or once the
// objective is missed the one of least work, so that many end soon.
func (ro *round) timeliness(ca candidate) (lateness, float64) {
	if ca.queue.Stretch == 0 {
		return inTime, 0
	}
	var chain, left clock.Millis
	work := 0.0
	for i := range ca.job.Steps {
		step := &ca.job.Steps[i]
		ran := ro.expected(ca.job, i)
		work += coresOf(step.Need) * float64(step.Count) * float64(ran)
		ran *= clock.Millis(ro.waves(ca, step))
		chain += ran
		if i >= ca.stage.Step {
			left += ran
		}
	}
	objective := clock.Millis(ca.queue.Stretch*float64(chain)) + ca.queue.Objective
	ends := ro.in.Waited(ca.job.ID) + left
	switch {
	case ends <= objective:
		return inTime, float64(objective - ends)
	case ends <= lateFactor*objective:
		return late, work
	}
	return overdue, work
}

// expected is how long a task of a step runs.
func (ro *round) expected(jo *workload.Job, step int) clock.Millis {
	if ro.in.Expected == nil {
		return jo.Steps[step].Estimate
	}
	return ro.in.Expected(jo, step)
}

// waves is in how many parts a step runs that is too wide to run at once.
func (ro *round) waves(ca candidate, step *workload.Step) int {
	wide := wideShare * float64(ro.accelerators[ca.queue.Pool])
	if wide <= 0 || step.Gang {
		return 1
	}
	parts := int(math.Ceil(float64(step.Count) * float64(step.Need.Accelerators) / wide))
	return max(min(parts, step.Count), 1)
}

// coresOf is what a need is worth in cores.
func coresOf(need workload.Room) float64 {
	return float64(need.CPU)/1000 + acceleratorCores*float64(need.Accelerators)
}
