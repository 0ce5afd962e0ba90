package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// remainingTimes returns a function that returns the time until a run is expected to end, 0 if that is unknown. It
// computes that of a gang once.
func (te *term) remainingTimes(now clock.Millis) func(jo *workload.Job, st *workload.Stage, index int) clock.Millis {
	gangs := map[*workload.Stage]clock.Millis{}
	return func(jo *workload.Job, st *workload.Stage, index int) clock.Millis {
		if !jo.StepOf(st).Gang {
			return te.remaining(jo, st, index, now)
		}
		left, known := gangs[st]
		if !known {
			left = te.slowestMember(jo, st, func(i int) clock.Millis { return te.remaining(jo, st, i, now) })
			gangs[st] = left
		}
		return left
	}
}

// slowestMember returns the longest time that a member of a gang needs: they end together, while each reports its
// own progress. It returns 0 if that of a member is unknown which has not done its part.
func (te *term) slowestMember(jo *workload.Job, st *workload.Stage, remaining func(index int) clock.Millis) clock.Millis {
	var longest clock.Millis
	for i := range st.Tasks {
		if !st.Tasks[i].Held() {
			continue
		}
		left := remaining(i)
		if pl := te.placementOf(jo, st, i); left == 0 && (pl == nil || !pl.progress.Done()) {
			return 0
		}
		longest = max(longest, left)
	}
	return longest
}

// remaining returns the time until a task has done its work: at the pace that its worker reports or, until it
// has reported twice, by the run times of its queue. It returns 0 if neither is known.
func (te *term) remaining(jo *workload.Job, st *workload.Stage, index int, now clock.Millis) clock.Millis {
	step, ta := jo.StepOf(st), &st.Tasks[index]
	if left := te.measuredRemaining(jo, st, index, now); left > 0 || ta.Checkpoint != "" || step.LongRunning {
		return left
	}
	return max(te.predictor.ExpectedRunTime(jo.Queue, step.Estimate)-(now-ta.PlacedAt), 0)
}

// measuredRemaining returns the time until a task has done its work at the pace that its worker reports, 0 if it
// has not reported twice.
func (te *term) measuredRemaining(jo *workload.Job, st *workload.Stage, index int, now clock.Millis) clock.Millis {
	pl := te.placementOf(jo, st, index)
	if pl == nil || pl.startedAt == 0 || jo.StepOf(st).LongRunning {
		return 0
	}
	left, _ := pl.progress.Remaining(now)
	return left
}

// placementOf returns the placement of a task's run, or nil if it has none.
func (te *term) placementOf(jo *workload.Job, st *workload.Stage, index int) *placement {
	wo := te.workers[st.Tasks[index].Worker]
	if wo == nil {
		return nil
	}
	return wo.runs[jo.Key(st, index)]
}

// stopsBeforeDeparture reports whether a run is stopped now because its worker is draining. It relies on measured
// progress only, because an estimate that is too short would lose the run with its worker.
func (te *term) stopsBeforeDeparture(wo *worker, key workload.TaskKey, now clock.Millis) bool {
	jo := te.jobs[key.Job].job
	st, _ := jo.Task(key)
	measured := func(i int) clock.Millis { return te.measuredRemaining(jo, st, i, now) }
	left := measured(key.Index)
	if jo.StepOf(st).Gang {
		left = te.slowestMember(jo, st, measured)
	}
	return te.planner.StopsBeforeDeparture(planner.Departing{
		Now: now, LeavesAt: wo.leavesAt, StopGrace: te.op.StopGrace, Step: jo.StepOf(st), Remaining: left,
	})
}
