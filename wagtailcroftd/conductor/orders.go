package conductor

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// orderTimeout bounds one order: two ways of at most 8 ms and the worker's own time.
	orderTimeout = 500 * clock.Millis(1)
	// orderPause lies between two tries of an order that got no answer.
	orderPause = 150 * clock.Millis(1)
	// startPatience is how long a start may go without an answer before the task is
	// taken back: within the 3 s that the members of a gang wait for each other.
	startPatience = 2000 * clock.Millis(1)
)

// dispatch gives every order that is due. It is called with mu held.
func (te *term) dispatch() {
	now := te.Clock.Now()
	for _, wo := range te.workers {
		te.look(wo, now)
		if !wo.met && len(wo.runs) == 0 {
			continue
		}
		for key, pl := range wo.runs {
			te.orderRun(wo, key, pl, now)
		}
		for key, pl := range wo.strays {
			if pl.due(now) && pl.stopped == 0 {
				te.submitStop(wo, key, pl)
			}
		}
	}
}

func (pl *placement) due(now clock.Millis) bool { return !pl.busy && now >= pl.after }

// orderRun gives the order that a run needs, if it needs one.
func (te *term) orderRun(wo *worker, key workload.TaskKey, pl *placement, now clock.Millis) {
	if !pl.due(now) {
		return
	}
	_, ta := te.jobs[key.Job].job.Task(key)
	switch {
	case ta.Phase == workload.Stopping && pl.stopped == 0:
		if !pl.ordered {
			te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
			return
		}
		te.submitStop(wo, key, pl)
	case ta.Phase == workload.Starting && wo.report.Draining && pl.ordered:
		te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).Str("why", "the worker leaves").Msg("startGivenUp")
		te.stopTask(key)
		te.poke()
	case ta.Phase == workload.Starting && wo.report.Draining:
		te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).Str("why", "the worker leaves").Msg("startDropped")
		te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
		te.poke()
	case ta.Phase == workload.Starting && pl.recorded && wo.met && pl.life == wo.report.Life:
		if pl.tries > 0 && now-pl.placed > startPatience {
			te.log.Warn().Str("task", key.String()).Str("worker", string(wo.id)).Int("tries", pl.tries).Msg("startGivenUp")
			te.stopTask(key)
			te.poke()
			return
		}
		te.submitStart(wo, key, pl, ta)
	}
}

func (te *term) submitStart(wo *worker, key workload.TaskKey, pl *placement, ta *workload.Task) {
	now := te.Clock.Now()
	permit, ok := te.permit(wo, key, now)
	if !ok {
		te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).Str("why", "the ticket has run out").Msg("startDropped")
		if pl.ordered {
			te.stopTask(key)
		} else {
			te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
		}
		te.poke()
		return
	}
	or := fleet.StartOrder{
		Task: key.String(), Run: pl.run, Payload: te.jobs[key.Job].job.Payload,
		LeaseEnd: te.leaseEnd(wo, now), Fence: te.duty.Holder().Fence, Saved: ta.Saved, Ticket: permit,
	}
	to := fleet.Target{ID: wo.id, Address: wo.report.Address}
	pl.ordered, pl.unanswered, pl.resumed = true, true, ta.Saved != ""
	pl.tries++
	te.give(false, pl, or.Task, func() { te.start(wo, key, pl, to, or) })
}

// permit returns the ticket for a start, which is empty where none is needed, and false
// where one is needed and there is no valid one.
func (te *term) permit(wo *worker, key workload.TaskKey, now clock.Millis) (string, bool) {
	po := te.Policies.Current()
	if te.Advisers == nil || po == nil {
		return "", true
	}
	if qu := po.Queue(te.jobs[key.Job].job.Queue); qu == nil || !qu.Advised {
		return "", true
	}
	text := te.advices.Ticket(adviseKey(key), wo.id, wo.report.Life, now)
	return text, text != ""
}

// adviseKey names the step of a task.
func adviseKey(key workload.TaskKey) adviser.Key {
	return adviser.Key{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}
}

// leaseEnd is the end of a full lease from now on, on the worker's clock. A worker that
// does not answer gets no longer lease, so that the last one lapses in a known time.
func (te *term) leaseEnd(wo *worker, now clock.Millis) clock.Millis {
	if wo.failures == 0 {
		wo.leaseEnd = max(wo.leaseEnd, wo.now(now)+te.op.Lease)
	}
	return wo.leaseEnd
}

func (te *term) start(wo *worker, key workload.TaskKey, pl *placement, to fleet.Target, or fleet.StartOrder) {
	ctx, cancel := te.Clock.Bound(te.ctx, orderTimeout)
	sent := te.Clock.Now()
	st, err := te.Workers.Start(ctx, to, or)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	pl.busy = false
	pl.after = now + orderPause
	te.log.Info().Str("task", or.Task).Int64("run", int64(or.Run)).Str("worker", string(wo.id)).Int("try", pl.tries).
		Bool("resumed", or.Saved != "").Int64("tookMillis", int64(now-sent)).AnErr("refusal", err).Msg("startOrdered")
	te.Meters.Took("start", now-sent)
	te.Meters.Count("starts", refused(err))
	if te.heard(wo, st, err, now) {
		return
	}
	en := te.jobs[key.Job]
	if en == nil || wo.runs[key] != pl {
		return
	}
	defer te.poke()
	_, ta := en.job.Task(key)
	switch {
	case err == nil:
		confirm(en, pl, ta, now)
	case eris.Is(err, fleet.ErrSilent):
		te.Workers.Reset(to)
	case eris.Is(err, fleet.ErrLate):
		// the next try carries a later lease
	case pl.tries == 1 && eris.Is(err, fleet.ErrNoTicket):
		te.advices.Drop(adviseKey(key))
		te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
	case pl.tries == 1 && (eris.Is(err, fleet.ErrNoRoom) || eris.Is(err, fleet.ErrUnhealthy) || eris.Is(err, fleet.ErrRejected)):
		te.block(wo, err)
		te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
	default:
		te.block(wo, err)
		te.stopTask(key)
	}
}

// give hands an order to the pool, or holds it back if that is full.
func (te *term) give(urgent bool, pl *placement, task string, order func()) {
	pl.busy = true
	if err := te.orders.Submit(urgent, order); err != nil {
		pl.busy = false
		pl.after = te.Clock.Now() + orderPause
		te.log.Warn().Err(err).Str("task", task).Msg("orderDelayed")
	}
}

// refused names the answer to an order for the metrics.
func refused(err error) string {
	switch {
	case err == nil:
		return "taken"
	case eris.Is(err, fleet.ErrSilent):
		return "silent"
	}
	return "refused"
}

func (te *term) submitStop(wo *worker, key workload.TaskKey, pl *placement) {
	if wo.report.Address == "" {
		return
	}
	or := fleet.StopOrder{Task: key.String(), Run: pl.run, Fence: te.duty.Holder().Fence}
	to := fleet.Target{ID: wo.id, Address: wo.report.Address}
	te.give(true, pl, or.Task, func() { te.stop(wo, pl, to, or) })
}

func (te *term) stop(wo *worker, pl *placement, to fleet.Target, or fleet.StopOrder) {
	ctx, cancel := te.Clock.Bound(te.ctx, orderTimeout)
	st, err := te.Workers.Stop(ctx, to, or)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	pl.busy = false
	pl.after = now + orderPause
	te.log.Info().Str("task", or.Task).Int64("run", int64(or.Run)).Str("worker", string(wo.id)).AnErr("refusal", err).Msg("stopOrdered")
	if te.heard(wo, st, err, now) {
		return
	}
	if err == nil {
		pl.stopped = now
		pl.unanswered = false
		return
	}
	if eris.Is(err, fleet.ErrSilent) {
		te.Workers.Reset(to)
	}
}

// heard notes what any answer tells of a worker. It reports whether the answer came from
// another life, or from a worker that obeys another holder; then nothing else of it counts.
func (te *term) heard(wo *worker, st fleet.Status, err error, now clock.Millis) bool {
	switch {
	case te.ctx.Err() != nil:
		return true
	case eris.Is(err, fleet.ErrFenced):
		te.lose("a worker obeys a newer holder")
		return true
	case eris.Is(err, fleet.ErrOtherLife):
		wo.met = false
		wo.lookAfter = now + longestLookPause
		return true
	case err != nil && st.Clock == 0:
		return false
	}
	if st.Clock > 0 && (st.Life == 0 || st.Life == wo.report.Life) {
		wo.clock, wo.clockAt = st.Clock, now
	}
	return false
}
