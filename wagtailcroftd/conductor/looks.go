package conductor

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
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
	// leaseParts is the number of renewals within the length of a lease.
	leaseParts = 4
)

// look starts a hold if one is due: to meet the worker, to keep leases, to learn of ends
// and to let it forget those that are recorded.
func (te *term) look(wo *worker, now clock.Millis) {
	if wo.looking || now < wo.lookAfter || wo.report.Address == "" || !te.loaded || now-te.confirmed > silentHold {
		return
	}
	busy := len(wo.runs)+len(wo.strays) > 0
	or := fleet.HoldOrder{Fence: te.duty.Holder().Fence}
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
	if pl.started == 0 || ta.Phase == workload.Starting {
		confirm(en, pl, ta, now)
	}
	pl.unanswered = false
}

// confirm notes that a worker has a run.
func confirm(en *entry, pl *placement, ta *workload.Task, now clock.Millis) {
	pl.unanswered = false
	pl.started = now
	if ta.Phase != workload.Starting {
		return
	}
	ta.Phase, ta.Since = workload.Running, now
	if en.job.State == workload.Queued {
		en.job.State = workload.Active
		en.dirty = true
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
