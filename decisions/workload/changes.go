package workload

import "fmt"

// End applies the completion of a run and reports whether the job changed. A completion of
// a run other than the task's current one is ignored. attempts limits the failed runs of a
// task or gang; long-running tasks have no limit.
func (jo *Job) End(tk TaskKey, run RunEnd, attempts int) bool {
	st, ta := jo.Task(tk)
	if ta == nil || ta.Run != run.Run || jo.State.Final() && !ta.Held() {
		return false
	}
	if !ta.Held() && (ta.Phase != Waiting || run.How != EndDone) {
		return false // of a run that was given up, only a successful completion is still accepted
	}
	step := jo.StepOf(st)
	if run.Saved != "" && step.Checkpoints {
		jo.saveCheckpoint(st, ta, run.Saved)
	}
	switch run.How {
	case EndDone:
		jo.finishTask(st, ta)
	case EndFailed:
		ta.Phase = Waiting
		jo.countFailure(st, ta, attempts)
	default:
		ta.Phase = Waiting
	}
	if step.Gang && run.How != EndDone {
		st.stopRuns()
	}
	jo.completeIfDone()
	return true
}

// saveCheckpoint records a checkpoint. A checkpoint from one member of a gang applies to
// the whole gang.
func (jo *Job) saveCheckpoint(st *Stage, ta *Task, checkpoint string) {
	ta.Saved = checkpoint
	if !jo.StepOf(st).Gang {
		return
	}
	for i := range st.Tasks {
		st.Tasks[i].Saved = checkpoint
	}
}

// finishTask records a successful completion. If one member of a gang has finished, all of
// them have. A long-running task waits to be started again.
func (jo *Job) finishTask(st *Stage, ta *Task) {
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

// countFailure counts a failed run, and fails the job if the attempts are used up. The
// failures of several gang members with the same run number count once.
func (jo *Job) countFailure(st *Stage, ta *Task, attempts int) {
	step := jo.StepOf(st)
	ta.Failures++
	ta.FailedOn = ta.Worker
	count := ta.Failures
	if step.Gang {
		if st.firstFailure(ta) {
			st.Failures++
		}
		count = st.Failures
	}
	jo.failIfExhausted(st, count, attempts)
}

// failIfExhausted fails the job if count, the failures of a task or gang of the stage, has
// reached the limit. It reports whether it did.
func (jo *Job) failIfExhausted(st *Stage, count, attempts int) bool {
	if jo.StepOf(st).Lasting || attempts <= 0 || count < attempts || jo.State.Final() {
		return false
	}
	jo.State = Failed
	jo.Reason = fmt.Sprintf("step %d failed %d times", st.Step, count)
	jo.Stop()
	return true
}

// Exhaust fails the job if a task or gang has used up its attempts. It is needed because
// the limit may have been lowered, or become known, since the last failure. It reports
// whether the job changed.
func (jo *Job) Exhaust(attempts int) bool {
	for _, st := range jo.Stages {
		count := st.Failures
		for i := range st.Tasks {
			if !jo.StepOf(st).Gang && st.Tasks[i].Phase != Done {
				count = max(count, st.Tasks[i].Failures)
			}
		}
		if count > 0 && !st.Finished() && jo.failIfExhausted(st, count, attempts) {
			return true
		}
	}
	return false
}

// firstFailure reports whether no other gang member has failed yet with the run number of
// ta, and records that number.
func (sg *Stage) firstFailure(ta *Task) bool {
	first := ta.Run > sg.FailedRun
	sg.FailedRun = max(sg.FailedRun, ta.Run)
	return first
}

// stopRuns marks the runs of the stage that are starting or running as stopping.
func (sg *Stage) stopRuns() {
	for i := range sg.Tasks {
		if ta := &sg.Tasks[i]; ta.Phase == Starting || ta.Phase == Running {
			ta.Phase = Stopping
		}
	}
}

// Stop marks all runs of the job that are starting or running as stopping.
func (jo *Job) Stop() {
	for _, st := range jo.Stages {
		st.stopRuns()
	}
}

// StopTask marks the run of a task as stopping, or for a gang the runs of all its members.
func (jo *Job) StopTask(st *Stage, ta *Task) {
	if jo.StepOf(st).Gang {
		st.stopRuns()
		return
	}
	if ta.Phase == Starting || ta.Phase == Running {
		ta.Phase = Stopping
	}
}

// Cancel cancels the job. It reports whether the job changed.
func (jo *Job) Cancel() bool {
	if jo.State.Final() {
		return false
	}
	jo.State = Cancelled
	jo.Stop()
	return true
}

// completeIfDone marks the job as completed once all tasks of all occurrences are done.
func (jo *Job) completeIfDone() {
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

// Quiet reports whether no task of the job has a run that is starting, running or stopping.
func (jo *Job) Quiet() bool {
	for _, st := range jo.Stages {
		if !st.Idle() {
			return false
		}
	}
	return true
}

// Unstarted reports whether no run was ever recorded for any task of the job.
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
