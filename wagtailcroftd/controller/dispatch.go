package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// passInterval is the time between two passes over all workers.
const passInterval = 250 * clock.Millis(1)

// dispatch starts the polls and sends the commands that are due on the marked workers, and on all
// workers when passInterval has passed. It is called with mu held.
func (te *term) dispatch() {
	now := te.Clock.Now()
	if now-te.passedAt >= passInterval {
		te.pass(now)
		return
	}
	for wo := range te.marked {
		delete(te.marked, wo)
		te.dispatchTo(wo, now)
	}
}

// pass dispatches to all workers. Its cost grows with the fleet, so that events mark the workers that
// they concern instead; a pass finds what only the time has made due.
func (te *term) pass(now clock.Millis) {
	defer func() {
		te.passes.count++
		te.passes.took += te.Clock.Now() - now
	}()
	te.passedAt = now
	clear(te.marked)
	te.busyWorkers = 0
	for _, wo := range te.workers {
		if wo.busy() {
			te.busyWorkers++
		}
	}
	for _, wo := range te.workers {
		te.dispatchTo(wo, now)
	}
}

// mark makes the next dispatch include a worker.
func (te *term) mark(wo *worker) {
	te.marked[wo] = struct{}{}
	notify(te.dispatchTrigger)
}

// markStops marks the workers on which runs of a job must be stopped.
func (te *term) markStops(jo *workload.Job) {
	jo.EachHeld(func(_ *workload.Stage, _ int, ta *workload.Task) {
		if wo := te.workers[ta.Worker]; wo != nil && ta.Phase == workload.Stopping {
			te.mark(wo)
		}
	})
}

// dispatchTo starts the poll of one worker and sends its commands, as far as they are due.
func (te *term) dispatchTo(wo *worker, now clock.Millis) {
	te.schedulePoll(wo, now)
	if !wo.contacted && len(wo.runs) == 0 {
		return
	}
	for key, pl := range wo.runs {
		te.sendDueCommand(wo, key, pl, now)
	}
	for key, pl := range wo.orphans {
		if pl.due(now) && pl.stoppedAt == 0 {
			te.submitStop(wo, key, pl)
		}
	}
}

func (pl *placement) due(now clock.Millis) bool { return !pl.inFlight && now >= pl.retryAt }

// sendDueCommand submits the start or stop command that a run needs, if any.
func (te *term) sendDueCommand(wo *worker, key workload.TaskKey, pl *placement, now clock.Millis) {
	st, ta := te.jobs[key.Job].job.Task(key)
	if te.gangExpired(key.Job, st, pl, ta, now) {
		te.log.Warn().Str("task", key.String()).Str("worker", string(wo.id)).Int("tries", pl.tries).
			Str("why", "the other members of the gang have waited too long").Msg("startAbandoned")
		te.stopTask(key)
		te.trigger()
	}
	if !pl.due(now) {
		return
	}
	switch {
	case ta.Phase == workload.Stopping && pl.stoppedAt == 0:
		if !pl.startSent {
			te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeStopped}, assessor.StartNotSent)
			return
		}
		te.submitStop(wo, key, pl)
	case ta.Phase == workload.Starting && te.startBarrier(wo) != startAllowed:
		te.giveUpStart(wo, key, pl)
	case te.mayStart(wo, pl, ta, now):
		if pl.tries > 0 && now-pl.dueSince > te.startTimeout() {
			te.log.Warn().Str("task", key.String()).Str("worker", string(wo.id)).Int("tries", pl.tries).Msg("startAbandoned")
			te.stopTask(key)
			te.trigger()
			return
		}
		te.submitStart(wo, key, pl)
	}
}

// giveUpStart gives up a start on a worker on which none is allowed any more, so that the task is planned
// again. A run that may be at work in an evacuated zone stays there if its worker lists it.
func (te *term) giveUpStart(wo *worker, key workload.TaskKey, pl *placement) {
	why := te.startBarrier(wo)
	switch {
	case !pl.startSent:
		te.Metrics.Count("barredStarts", "skipped")
		te.skipStart(wo, key, pl, why)
	case why == workerDraining || wo.contacted:
		te.Metrics.Count("barredStarts", "abandoned")
		te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).Str("why", why).Msg("startAbandoned")
		te.stopTask(key)
		te.trigger()
	}
}
