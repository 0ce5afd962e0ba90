package workload

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

const (
	// maxTasks limits the tasks of an occurrence of a job, and those of its open occurrences together.
	// It thereby limits the size of the job's row and the time of a plan.
	maxTasks = 1000
	// maxAllTasks limits the tasks of all occurrences of a job.
	maxAllTasks = 100_000
	// MaxSteps limits the steps of a job.
	MaxSteps = 100
	// maxDueTime is the latest due time that a job may have, in milliseconds since 1970; it leaves
	// room for sums.
	maxDueTime = clock.Millis(1) << 53
)

// Validate checks a submitted job. Errors are of the kind BadBody and name the invalid
// field.
func (jo *Job) Validate() error {
	if len(jo.Steps) == 0 || len(jo.Steps) > MaxSteps {
		return problem.New(problem.BadBody, "a job must have 1 to %d steps, got %d", MaxSteps, len(jo.Steps))
	}
	tasks := 0
	for i := range jo.Steps {
		st := &jo.Steps[i]
		if st.Count < 1 || st.Count > maxTasks {
			return problem.New(problem.BadBody, "step %d: count must be 1 to %d, got %d", i, maxTasks, st.Count)
		}
		if st.Request.CPU < 0 || st.Request.Memory < 0 || st.Request.Accelerators < 0 || st.MaxPerWorker < 0 || st.MaxUnavailable < 0 {
			return problem.New(problem.BadBody, "step %d: a resource amount or limit is negative", i)
		}
		for _, after := range st.After {
			if after < 0 || after >= i {
				return problem.New(problem.BadBody, "step %d depends on step %d, which does not precede it", i, after)
			}
		}
		tasks += st.Count
	}
	if tasks > maxTasks {
		return problem.New(problem.BadBody, "the job has %d tasks, the limit is %d", tasks, maxTasks)
	}
	return jo.validateOccurrences(tasks)
}

// validateOccurrences checks the occurrences of a job with a number of tasks in each.
func (jo *Job) validateOccurrences(tasks int) error {
	if jo.Occurrences > 1 && jo.Interval <= 0 {
		return problem.New(problem.BadBody, "a repeated job must have a positive interval")
	}
	if jo.Occurrences > maxAllTasks/tasks {
		return problem.New(problem.BadBody, "the job has %d tasks in each of %d occurrences, the limit is %d in all; submit fewer occurrences", tasks, jo.Occurrences, maxAllTasks)
	}
	if jo.FirstDue < 0 || jo.FirstDue > maxDueTime || jo.Interval > maxDueTime/clock.Millis(max(jo.Occurrences, 1)) {
		return problem.New(problem.BadBody, "the due times must lie between 0 and %d ms after 1970", maxDueTime)
	}
	return nil
}
