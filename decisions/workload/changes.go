package workload

import "fmt"

// End applies the end of a run. It reports whether the job has changed; an end of a run
// that is not the task's present one changes nothing. The most attempts apply to tasks
// that do not last.
func (jo *Job) End(tk TaskKey, run RunEnd, attempts int) bool {
	st, ta := jo.Task(tk)
	if ta == nil || ta.Run != run.Run || jo.State.Final() && !ta.Held() {
		return false
	}
	if !ta.Held() && (ta.Phase != Waiting || run.How != EndDone) {
		return false // only that the work is done still counts after the run was given up
	}
	step := jo.StepOf(st)
	if run.Saved != "" && step.Checkpoints {
		jo.save(st, ta, run.Saved)
	}
	switch run.How {
	case EndDone:
		jo.done(st, ta)
	case EndFailed:
		ta.Phase = Waiting
		jo.failed(st, ta, attempts)
	default:
		ta.Phase = Waiting
	}
	if step.Gang && run.How != EndDone {
		st.stop()
	}
	jo.settle()
	return true
}

// save records a checkpoint; that of any member of a gang serves the gang.
func (jo *Job) save(st *Stage, ta *Task, saved string) {
	ta.Saved = saved
	if !jo.StepOf(st).Gang {
		return
	}
	for i := range st.Tasks {
		st.Tasks[i].Saved = saved
	}
}

// done records that a task has finished. One finished member means that the whole gang
// has.
func (jo *Job) done(st *Stage, ta *Task) {
	step := jo.StepOf(st)
	if step.Lasting {
		ta.Phase = Waiting
		return
	}
	ta.Phase = Done
	if !step.Gang {
		return
	}
	for i := range st.Tasks {
		st.Tasks[i].Phase = Done
	}
}

// failed counts a failed run. A gang fails once for each run number.
func (jo *Job) failed(st *Stage, ta *Task, attempts int) {
	step := jo.StepOf(st)
	ta.Failures++
	ta.FailedOn = ta.Worker
	count := ta.Failures
	if step.Gang {
		if st.failedRun(ta) {
			st.Failures++
		}
		count = st.Failures
	}
	jo.exhaust(st, count, attempts)
}

// exhaust fails the job if a task or gang of the stage has used up its attempts.
func (jo *Job) exhaust(st *Stage, count, attempts int) bool {
	if jo.StepOf(st).Lasting || attempts <= 0 || count < attempts || jo.State.Final() {
		return false
	}
	jo.State = Failed
	jo.Reason = fmt.Sprintf("step %d failed %d times", st.Step, count)
	jo.Stop()
	return true
}

// Exhaust fails the job if a task or gang has used up its attempts, which may have become
// fewer, or known, since its last failure. It reports whether that changed anything.
func (jo *Job) Exhaust(attempts int) bool {
	for _, st := range jo.Stages {
		count := st.Failures
		for i := range st.Tasks {
			if !jo.StepOf(st).Gang && st.Tasks[i].Phase != Done {
				count = max(count, st.Tasks[i].Failures)
			}
		}
		if count > 0 && !st.Finished() && jo.exhaust(st, count, attempts) {
			return true
		}
	}
	return false
}

// failedRun reports whether the run of ta is the first of its number to fail.
func (sg *Stage) failedRun(ta *Task) bool {
	first := ta.Run > sg.FailedRun
	sg.FailedRun = max(sg.FailedRun, ta.Run)
	return first
}

// stop turns the runs of the stage that may be at work into ones that must end.
func (sg *Stage) stop() {
	for i := range sg.Tasks {
		if ta := &sg.Tasks[i]; ta.Phase == Starting || ta.Phase == Running {
			ta.Phase = Stopping
		}
	}
}

// Stop turns every run of the job into one that must end.
func (jo *Job) Stop() {
	for _, st := range jo.Stages {
		st.stop()
	}
}

// StopTask turns the run of a task, for a gang of all its members, into one that must
// end.
func (jo *Job) StopTask(st *Stage, ta *Task) {
	if jo.StepOf(st).Gang {
		st.stop()
		return
	}
	if ta.Phase == Starting || ta.Phase == Running {
		ta.Phase = Stopping
	}
}

// Cancel withdraws the job. It reports whether that changed anything.
func (jo *Job) Cancel() bool {
	if jo.State.Final() {
		return false
	}
	jo.State = Cancelled
	jo.Stop()
	return true
}

// settle completes the job once every task of every occurrence is done.
func (jo *Job) settle() {
	if jo.State.Final() || len(jo.Stages) < jo.Occurrences*len(jo.Steps) {
		return
	}
	for _, st := range jo.Stages {
		if !st.Finished() {
			return
		}
	}
	jo.State = Completed
}

// Quiet reports whether nothing of the job runs or may run.
func (jo *Job) Quiet() bool {
	for _, st := range jo.Stages {
		if !st.Idle() {
			return false
		}
	}
	return true
}

// Unstarted reports whether no task of the job was ever started.
func (jo *Job) Unstarted() bool {
	for _, st := range jo.Stages {
		for i := range st.Tasks {
			if st.Tasks[i].Run > 0 {
				return false
			}
		}
	}
	return true
}
