package conductor

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/pacer"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// servingWait is how often a worker with serving tasks beside fillers is looked at;
	// its figures cover half a second.
	servingWait = 500 * clock.Millis(1)
)

// pace slows or speeds up the fillers of a worker by what its serving tasks report. It is
// called with mu held after each look.
func (te *term) pace(wo *worker, now clock.Millis) {
	var beside []pacer.Serving
	var fillers []workload.TaskKey
	for key, pl := range wo.runs {
		step := te.stepOf(key)
		switch {
		case step == nil || pl.started == 0:
		case step.Fills:
			fillers = append(fillers, key)
		case step.TailTarget > 0:
			beside = append(beside, pacer.Serving{Tail: pl.tail, Target: step.TailTarget})
		}
	}
	wo.serving = len(beside) > 0 && len(fillers) > 0
	if len(fillers) == 0 || now-wo.pacedAt < servingWait/2 {
		return
	}
	wo.pacedAt = now
	for _, key := range fillers {
		pl := wo.runs[key]
		next := pacer.Next(pl.pace, beside)
		if next == pl.pace || pl.pacing {
			continue
		}
		te.submitPace(wo, key, pl, next)
	}
}

// stepOf returns the step of a task, or nil.
func (te *term) stepOf(key workload.TaskKey) *workload.Step {
	en := te.jobs[key.Job]
	if en == nil {
		return nil
	}
	st, _ := en.job.Task(key)
	if st == nil {
		return nil
	}
	return en.job.StepOf(st)
}

func (te *term) submitPace(wo *worker, key workload.TaskKey, pl *placement, next meter.Percent) {
	or := fleet.PaceOrder{Task: key.String(), Run: pl.run, Percent: next, Fence: te.duty.Holder().Fence}
	to := fleet.Target{ID: wo.id, Address: wo.report.Address}
	pl.pacing = true
	order := func() {
		ctx, cancel := te.Clock.Bound(te.ctx, orderTimeout)
		st, err := te.Workers.Pace(ctx, to, or)
		cancel()
		te.mu.Lock()
		defer te.mu.Unlock()
		pl.pacing = false
		te.log.Info().Str("task", or.Task).Str("worker", string(wo.id)).Int32("from", int32(pl.pace)).Int32("to", int32(next)).
			AnErr("refusal", err).Msg("paceOrdered")
		if te.heard(wo, st, err, te.Clock.Now()) {
			return
		}
		if err == nil {
			pl.pace = next
		} else if eris.Is(err, fleet.ErrSilent) {
			te.Workers.Reset(to)
		}
	}
	if err := te.orders.Submit(true, order); err != nil {
		pl.pacing = false
		te.log.Warn().Err(err).Str("task", or.Task).Msg("orderDelayed")
	}
}
