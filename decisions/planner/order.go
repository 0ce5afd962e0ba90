package planner

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// Groups of work by whether it can meet its objective.
const (
	// onTime is work that can still meet its objective.
	onTime lateness = iota
	// late is work that misses its objective, but can still end within lateFactor times the
	// objective.
	late
	// overdue is work that can end only later than that, when it is no longer of use.
	overdue
)

const (
	// lateFactor is how many times its objective a job may take and still be of use to its
	// caller.
	lateFactor = 3
	// waveFraction is the fraction of a pool's accelerators that a step is assumed to get
	// at a time. A step that needs more is expected to run in several waves.
	waveFraction = 0.25
)

type lateness int

// timeliness returns the lateness group of a candidate and its order within the group: the
// least slack first for work on time, otherwise the least work first, so that many jobs end
// soon.
func (ro *round) timeliness(ca candidate) (lateness, float64) {
	if ca.terms.SlowdownFactor == 0 {
		return onTime, 0
	}
	total, remaining := ro.chain(ca)
	work := 0.0
	for i := range ca.job.Steps {
		step := &ca.job.Steps[i]
		work += coresOf(step.Request) * float64(step.Count) * float64(ro.expected(ca.job, i))
	}
	objective := clock.Millis(ca.terms.SlowdownFactor*float64(total)) + ca.terms.Objective
	ends := ro.in.WaitTime(ca.job.ID) + remaining
	switch {
	case ends <= objective:
		return onTime, float64(objective - ends)
	case ends <= lateFactor*objective:
		return late, work
	}
	return overdue, work
}

// chain returns the expected run time of all steps of the candidate's job, and of those from its stage on.
func (ro *round) chain(ca candidate) (total, remaining clock.Millis) {
	for i := range ca.job.Steps {
		ran := ro.expected(ca.job, i) * clock.Millis(ro.waves(ca, &ca.job.Steps[i]))
		total += ran
		if i >= ca.stage.Step {
			remaining += ran
		}
	}
	return total, remaining
}

// expected returns the expected run time of a task of a step.
func (ro *round) expected(jo *workload.Job, step int) clock.Millis {
	if ro.in.ExpectedRunTime == nil {
		return jo.Steps[step].Estimate
	}
	return ro.in.ExpectedRunTime(jo, step)
}

// waves returns the number of waves in which the tasks of a step run, which is above 1 if
// the step is too wide to run at the same time.
func (ro *round) waves(ca candidate, step *workload.Step) int {
	available := waveFraction * float64(ro.accelerators[ca.terms.Pool])
	if available <= 0 || step.Gang {
		return 1
	}
	parts := int(math.Ceil(float64(step.Count) * float64(step.Request.Accelerators) / available))
	return max(min(parts, step.Count), 1)
}

// coresOf returns the value of a resource request in cores.
func coresOf(req workload.Resources) float64 {
	return float64(req.CPU)/1000 + acceleratorCores*float64(req.Accelerators)
}
