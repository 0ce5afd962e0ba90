package conductor

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// orderTimeout bounds one order: two ways of at most 8 ms and the worker's own time.
	orderTimeout = 500 * clock.Millis(1)
	// orderPause lies between two tries of an order that got no answer.
	orderPause = 150 * clock.Millis(1)
	// lookWait is how long a worker may wait for an end before it answers; the platform
	// allows 2 s.
	lookWait = 2000 * clock.Millis(1)
	// lookSlack is the time that an answer may take beyond that.
	lookSlack = 700 * clock.Millis(1)
	// sameLife is how soon after an answer a worker certainly still has the life that gave
	// it: no worker crashes and is back within it.
	sameLife = 250 * clock.Millis(1)
	// firstLookPause and longestLookPause bound the pause after a failed look.
	firstLookPause   = 100 * clock.Millis(1)
	longestLookPause = 1000 * clock.Millis(1)
	// startPatience is how long a start may go without an answer before the task is
	// taken back: within the 3 s that the members of a gang wait for each other.
	startPatience = 2000 * clock.Millis(1)
	// leaseParts is the number of renewals within the length of a lease.
	leaseParts = 4
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
		LeaseEnd: te.leaseEnd(wo, now), Fence: te.duty.holder.Fence, Saved: ta.Saved, Ticket: permit,
	}
	to := fleet.Target{ID: wo.id, Address: wo.report.Address}
	pl.busy, pl.ordered, pl.unanswered = true, true, true
	pl.tries++
	if err := te.orders.Submit(false, func() { te.start(wo, key, pl, to, or) }); err != nil {
		pl.busy = false
		pl.after = now + orderPause
		te.log.Warn().Err(err).Str("task", or.Task).Msg("orderDelayed")
	}
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
	text := te.ticket(stageKey{job: key.Job, occurrence: key.Occurrence, step: key.Step}, wo, now)
	return text, text != ""
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
		pl.unanswered = false
		pl.started = now
		if ta.Phase == workload.Starting {
			ta.Phase = workload.Running
			ta.Since = now
			if en.job.State == workload.Queued {
				en.job.State = workload.Active
				en.dirty = true
			}
		}
	case eris.Is(err, fleet.ErrSilent):
		te.Workers.Reset(to)
	case eris.Is(err, fleet.ErrLate):
		// the next try carries a later lease
	case pl.tries == 1 && eris.Is(err, fleet.ErrNoTicket):
		delete(te.advices, stageKey{job: key.Job, occurrence: key.Occurrence, step: key.Step})
		te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
	case pl.tries == 1 && (eris.Is(err, fleet.ErrNoRoom) || eris.Is(err, fleet.ErrUnhealthy) || eris.Is(err, fleet.ErrRejected)):
		te.block(wo, err)
		te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
	default:
		te.block(wo, err)
		te.stopTask(key)
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
	or := fleet.StopOrder{Task: key.String(), Run: pl.run, Fence: te.duty.holder.Fence}
	to := fleet.Target{ID: wo.id, Address: wo.report.Address}
	pl.busy = true
	if err := te.orders.Submit(true, func() { te.stop(wo, pl, to, or) }); err != nil {
		pl.busy = false
		pl.after = te.Clock.Now() + orderPause
		te.log.Warn().Err(err).Str("task", or.Task).Msg("orderDelayed")
	}
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

// look starts a hold if one is due: to meet the worker, to keep leases, to learn of ends
// and to let it forget those that are recorded.
func (te *term) look(wo *worker, now clock.Millis) {
	if wo.looking || now < wo.lookAfter || wo.report.Address == "" || !te.loaded || now-te.confirmed > silentHold {
		return
	}
	busy := len(wo.runs)+len(wo.strays) > 0
	or := fleet.HoldOrder{Fence: te.duty.holder.Fence}
	switch {
	case (!wo.met || wo.failures > 0) && (wo.reported || busy):
		// A worker must answer before it gets work, or gets it again.
	case wo.applied > wo.recorded:
		// Ends that are not recorded yet would come again at once.
		if now-wo.heldAt < te.op.Lease/leaseParts {
			return
		}
	case wo.recorded > wo.told && now-wo.lifeAt > sameLife:
		// Another life may be there by now, whose ends have the same numbers.
	case wo.recorded > wo.told:
		or.Seen, or.Wait = wo.recorded, lookWait
		if !busy {
			or.Wait = 0
		}
	case wo.serving:
		or.Wait = servingWait
	case busy:
		or.Wait = lookWait
	case wo.recorded == wo.told:
		return
	}
	if busy && wo.met {
		or.LeaseEnd = te.leaseEnd(wo, now)
	}
	wo.looking = true
	to := fleet.Target{ID: wo.id, Address: wo.report.Address}
	if err := te.looks.Submit(!wo.met, func() { te.hold(wo, to, or) }); err != nil {
		wo.looking = false
		wo.lookAfter = now + orderPause
		te.log.Warn().Err(err).Str("worker", string(wo.id)).Msg("lookDelayed")
	}
}

func (te *term) hold(wo *worker, to fleet.Target, or fleet.HoldOrder) {
	ctx, cancel := te.Clock.Bound(te.ctx, or.Wait+lookSlack)
	sent := te.Clock.Now()
	st, err := te.Workers.Hold(ctx, to, or)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	wo.looking = false
	if te.heard(wo, st, err, now) {
		return
	}
	defer te.poke()
	if err != nil {
		te.lookFailed(wo, to, err, now)
		return
	}
	if wo.failures > 0 {
		te.log.Info().Str("worker", string(wo.id)).Int("failures", wo.failures).Msg("workerRegained")
	}
	wo.failures = 0
	te.applyStatus(wo, st, or, sent, now)
}

func (te *term) lookFailed(wo *worker, to fleet.Target, err error, now clock.Millis) {
	wo.failures++
	wo.lookAfter = now + min(firstLookPause<<min(wo.failures, 5), longestLookPause)
	if wo.failures == 1 {
		te.log.Warn().Str("worker", string(wo.id)).Err(err).Int("runs", len(wo.runs)).Msg("workerLost")
	}
	if eris.Is(err, fleet.ErrSilent) {
		te.Workers.Reset(to)
	}
}

// applyStatus compares what the worker says with what the jobs say.
func (te *term) applyStatus(wo *worker, st fleet.Status, or fleet.HoldOrder, sent, now clock.Millis) {
	if st.Life != 0 && st.Life != wo.report.Life {
		te.newLife(wo, st.Life)
		wo.clock, wo.clockAt = st.Clock, now
	}
	if !wo.met {
		// A former holder may have given any lease, which the worker cuts to the full length.
		wo.leaseEnd = max(wo.leaseEnd, st.Clock+te.op.Lease)
	}
	wo.met, wo.heldAt, wo.lifeAt = true, sent, now
	wo.told = max(wo.told, or.Seen)
	for _, en := range st.Ended {
		if en.Number > wo.applied {
			wo.applied = en.Number
			te.endRun(wo, en.Task, en.End)
		}
	}
	listed := make(map[workload.TaskKey]bool, len(st.Running))
	for _, ru := range st.Running {
		listed[ru.Task] = true
		te.applyRunning(wo, ru, now)
	}
	te.settleFormer(wo, listed, sent)
	te.findMissing(wo, listed, sent)
	te.pace(wo, now)
}

// applyRunning takes a run that is at work: one that a job places here, or a stray one.
func (te *term) applyRunning(wo *worker, ru fleet.Running, now clock.Millis) {
	pl := wo.runs[ru.Task]
	if pl == nil || pl.run != ru.Run {
		if stray := wo.strays[ru.Task]; stray == nil || stray.run != ru.Run {
			te.log.Warn().Str("task", ru.Task.String()).Int64("run", int64(ru.Run)).Str("worker", string(wo.id)).Msg("strayFound")
			wo.strays[ru.Task] = &placement{run: ru.Run, life: wo.report.Life, placed: now}
		}
		return
	}
	en := te.jobs[ru.Task.Job]
	_, ta := en.job.Task(ru.Task)
	ta.Progress = ru.Progress
	pl.tail = ru.Tail
	if ru.Saved != "" {
		ta.Saved = ru.Saved
	}
	pl.unanswered = false
	if ta.Phase == workload.Starting {
		ta.Phase = workload.Running
		ta.Since = now
		pl.started = now
		if en.job.State == workload.Queued {
			en.job.State = workload.Active
			en.dirty = true
		}
	}
}

// findMissing ends the runs that should be listed and are not: the stop of a run that
// never began leaves no end, and neither does a run whose end a former holder took.
func (te *term) findMissing(wo *worker, listed map[workload.TaskKey]bool, sent clock.Millis) {
	for key, pl := range wo.strays {
		if !listed[key] && pl.stopped > 0 && pl.stopped <= sent {
			delete(wo.strays, key)
		}
	}
	for key, pl := range wo.runs {
		if listed[key] {
			continue
		}
		switch {
		case pl.stopped > 0 && pl.stopped <= sent:
			te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndStopped})
		case pl.started > 0 && pl.started <= sent && pl.stopped == 0:
			te.log.Warn().Str("task", key.String()).Str("worker", string(wo.id)).Msg("runMissing")
			pl.unanswered = true
			te.stopTask(key)
		}
	}
}
