package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/accountant"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// interrupt stops the run of a task, or the runs of all members of its gang, and notes why.
func (te *term) interrupt(key workload.TaskKey, cause accountant.Cause) {
	en := te.jobs[key.Job]
	if en == nil {
		return
	}
	st, ta := en.job.Task(key)
	if ta == nil {
		return
	}
	if en.job.StepOf(st).Gang {
		for i := range st.Tasks {
			te.noteCause(en.job.Key(st, i), &st.Tasks[i], cause)
		}
	} else {
		te.noteCause(key, ta, cause)
	}
	te.stopTask(key)
}

func (te *term) noteCause(key workload.TaskKey, ta *workload.Task, cause accountant.Cause) {
	wo := te.workers[ta.Worker]
	if wo == nil || ta.Phase == workload.Stopping {
		return
	}
	if pl := wo.runs[key]; pl != nil && pl.cause == accountant.None {
		pl.cause = cause
	}
}

// accountEnd counts the work that was lost with a run that has ended, and returns it for the log.
func (te *term) accountEnd(jo *workload.Job, step *workload.Step, ta *workload.Task, pl *placement, co workload.Completion) (accountant.Cause, int64) {
	if pl == nil || pl.startedAt == 0 || step.LongRunning {
		return accountant.None, 0
	}
	cause, lost := te.losses.Record(accountant.Run{
		Step: step, Outcome: co.Outcome, Cause: pl.cause, Cancelled: jo.State == workload.Cancelled, Duplicate: ta.EarlierDone,
		Ran: te.Clock.Now() - pl.startedAt, Unsaved: planner.UnsavedWork,
	})
	if lost > 0 {
		te.Metrics.Add("lostCoreSeconds", string(cause), int64(lost))
	}
	return cause, int64(lost)
}

// accountHeld counts the room that a plan keeps free for gangs that have not started.
func (te *term) accountHeld(pl planner.Plan, now clock.Millis) {
	_, before := te.losses.Held()
	te.losses.Hold(now, pl.Held)
	if _, after := te.losses.Held(); after > before {
		te.Metrics.Add("held", "acceleratorSeconds", int64(after-before))
	}
}
