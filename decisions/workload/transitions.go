package workload

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// CompleteRun applies the completion of a run and reports whether the job changed. A
// completion of a run other than the task's current one is ignored. attempts limits the
// failed runs of a task or gang; long-running tasks have no limit.
func (jo *Job) CompleteRun(tk TaskKey, run Completion, attempts int) bool {
	st, ta := jo.Task(tk)
	if ta == nil || jo.State.Final() && !ta.Held() {
		return false
	}
	if run.Run < ta.Run && run.Outcome == OutcomeDone {
		return jo.completeEarlier(st, ta)
	}
	if ta.Run != run.Run {
		return false
	}
	if !ta.Held() && (ta.Phase != Waiting || run.Outcome != OutcomeDone) {
		return false // of a run that was given up, only a successful completion is still accepted
	}
	step := jo.StepOf(st)
	if run.Checkpoint != "" && step.Checkpointing {
		jo.saveCheckpoint(st, ta, run.Checkpoint)
	}
	switch {
	case run.Outcome == OutcomeDone || ta.EarlierDone:
		jo.finishTask(st, ta)
	case run.Outcome == OutcomeFailed:
		ta.Phase = Waiting
		jo.countFailure(st, ta, run.At, attempts)
	default:
		ta.Phase = Waiting
	}
	if step.Gang && run.Outcome != OutcomeDone {
		st.stopRuns()
	}
	jo.completeIfDone()
	return true
}

// completeEarlier applies the successful completion of a run that was given up before it was known, for
// which a newer run was started. The newer run is stopped; until then the task is not done.
func (jo *Job) completeEarlier(st *Stage, ta *Task) bool {
	if step := jo.StepOf(st); step.Gang || step.LongRunning || ta.Phase == Done || ta.EarlierDone {
		return false
	}
	if !ta.Held() {
		jo.finishTask(st, ta)
		jo.completeIfDone()
		return true
	}
	ta.EarlierDone = true
	jo.StopTask(st, ta)
	return true
}

// saveCheckpoint records a checkpoint. A checkpoint from one member of a gang applies to
// the whole gang.
func (jo *Job) saveCheckpoint(st *Stage, ta *Task, checkpoint string) {
	ta.Checkpoint = checkpoint
	if !jo.StepOf(st).Gang {
		return
	}
	for i := range st.Tasks {
		st.Tasks[i].Checkpoint = checkpoint
	}
}

// finishTask records a successful completion. If one member of a gang has finished, all of
// them have. A long-running task waits to be started again.
func (jo *Job) finishTask(st *Stage, ta *Task) {
	step := jo.StepOf(st)
	if step.LongRunning {
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
func (jo *Job) countFailure(st *Stage, ta *Task, at clock.Millis, attempts int) {
	step := jo.StepOf(st)
	ta.Failures++
	ta.FailedOn, ta.FailedAt = ta.Worker, at
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
	if jo.StepOf(st).LongRunning || attempts <= 0 || count < attempts || jo.State.Final() {
		return false
	}
	return jo.Fail(fmt.Sprintf("step %d failed %d times", st.Step, count))
}

// Fail fails the job for a reason. It reports whether the job changed.
func (jo *Job) Fail(reason string) bool {
	if jo.State.Final() {
		return false
	}
	jo.State, jo.Reason = Failed, reason
	jo.StopRuns()
	return true
}

// FailIfExhausted fails the job if a task or gang has used up its attempts. It is needed
// because the limit may have been lowered, or become known, since the last failure. It
// reports whether the job changed.
func (jo *Job) FailIfExhausted(attempts int) bool {
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

// StopRuns marks all runs of the job that are starting or running as stopping.
func (jo *Job) StopRuns() {
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
	jo.StopRuns()
	return true
}

// completeIfDone drops finished occurrences, and marks the job as completed once all tasks of all
// occurrences are done.
func (jo *Job) completeIfDone() {
	jo.DropFinished()
	if jo.State.Final() || jo.Due < jo.Occurrences {
		return
	}
	for _, st := range jo.Stages {
		if !st.Finished() {
			return
		}
	}
	jo.State = Completed
}

// NoRunsLeft reports whether no task of the job has a run that is starting, running or
// stopping.
func (jo *Job) NoRunsLeft() bool {
	for _, st := range jo.Stages {
		if !st.Idle() {
			return false
		}
	}
	return true
}

// RecordStart records that a worker has started a task of the job. It reports whether the job changed.
func (jo *Job) RecordStart() bool {
	if jo.State != Queued {
		return false
	}
	jo.State = Active
	return true
}

// NeverStarted reports whether no worker is known to have started a task of the job. A run that is only recorded
// may be refused, or be given up before it is sent.
func (jo *Job) NeverStarted() bool {
	if jo.State != Queued || jo.Open() < jo.Due {
		return false
	}
	for _, st := range jo.Stages {
		for i := range st.Tasks {
			if phase := st.Tasks[i].Phase; phase == Running || phase == Done {
				return false
			}
		}
	}
	return true
}
