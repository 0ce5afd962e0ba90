package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// remaining returns the time until a run is expected to end: at the pace that its worker reports or, until it
// has reported twice, by the run times of its queue. It returns 0 if neither tells.
func (te *term) remaining(jo *workload.Job, st *workload.Stage, index int, now clock.Millis) clock.Millis {
	step, ta := jo.StepOf(st), &st.Tasks[index]
	if step.LongRunning {
		return 0
	}
	if wo := te.workers[ta.Worker]; wo != nil {
		if pl := wo.runs[jo.Key(st, index)]; pl != nil && pl.startedAt > 0 {
			if left, known := pl.progress.Remaining(now); known {
				return left
			}
		}
	}
	if ta.Checkpoint != "" {
		return 0
	}
	return max(te.predictor.ExpectedRunTime(jo.Queue, step.Estimate)-(now-ta.PlacedAt), 0)
}

// stopsBeforeDeparture reports whether a run is stopped now because its worker is draining.
func (te *term) stopsBeforeDeparture(wo *worker, key workload.TaskKey, now clock.Millis) bool {
	jo := te.jobs[key.Job].job
	st, _ := jo.Task(key)
	return te.planner.StopsBeforeDeparture(planner.Departing{
		Now: now, LeavesAt: wo.leavesAt, StopGrace: te.op.StopGrace, Step: jo.StepOf(st), Remaining: te.remaining(jo, st, key.Index, now),
	})
}
