package workload

import "github.com/wagtailcroft/wagtailcroft/shared/problem"

const (
	// mostTasks bounds a step, and so a job's row: 64 KiB hold about 1,000 tasks at work.
	mostTasks = 1000
	// mostSteps bounds a job.
	mostSteps = 100
)

// Check refuses a job that cannot be carried out as asked. Errors are of the kind BadBody
// and name the field.
func (jo *Job) Check() error {
	if len(jo.Steps) == 0 || len(jo.Steps) > mostSteps {
		return problem.New(problem.BadBody, "a job has 1 to %d steps, not %d", mostSteps, len(jo.Steps))
	}
	tasks := 0
	for i := range jo.Steps {
		st := &jo.Steps[i]
		if st.Count < 1 {
			return problem.New(problem.BadBody, "step %d: count is %d, not 1 or more", i, st.Count)
		}
		if st.Need.CPU < 0 || st.Need.Memory < 0 || st.Need.Accelerators < 0 || st.Spread < 0 || st.MaxUnavailable < 0 {
			return problem.New(problem.BadBody, "step %d: an amount is negative", i)
		}
		for _, after := range st.After {
			if after < 0 || after >= i {
				return problem.New(problem.BadBody, "step %d depends on step %d, which is not an earlier one", i, after)
			}
		}
		tasks += st.Count
	}
	if tasks > mostTasks {
		return problem.New(problem.BadBody, "the job has %d tasks, more than %d", tasks, mostTasks)
	}
	if jo.Occurrences > 1 && jo.Interval <= 0 {
		return problem.New(problem.BadBody, "a repeated job needs an interval above 0")
	}
	return nil
}
