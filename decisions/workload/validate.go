package workload

import "github.com/wagtailcroft/wagtailcroft/shared/problem"

const (
	// maxTasks limits the tasks of a job, and thereby the size of its row: 64 KiB hold
	// about 1,000 started tasks.
	maxTasks = 1000
	// maxSteps limits the steps of a job.
	maxSteps = 100
)

// Validate checks a submitted job. Errors are of the kind BadBody and name the invalid
// field.
func (jo *Job) Validate() error {
	if len(jo.Steps) == 0 || len(jo.Steps) > maxSteps {
		return problem.New(problem.BadBody, "a job must have 1 to %d steps, got %d", maxSteps, len(jo.Steps))
	}
	tasks := 0
	for i := range jo.Steps {
		st := &jo.Steps[i]
		if st.Count < 1 {
			return problem.New(problem.BadBody, "step %d: count must be at least 1, got %d", i, st.Count)
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
	if jo.Occurrences > 1 && jo.Interval <= 0 {
		return problem.New(problem.BadBody, "a repeated job must have a positive interval")
	}
	return nil
}
