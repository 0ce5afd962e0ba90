package controller

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// pollWait is how long a worker may wait for a completion before it answers; the platform
	// allows 2 s.
	pollWait = 2000 * clock.Millis(1)
	// pollSlack is how much longer than the wait an answer may take.
	pollSlack = 700 * clock.Millis(1)
	// identityValidity is how long after an answer a worker is certainly still the incarnation
	// that answered: no worker crashes and restarts within this time.
	identityValidity = 250 * clock.Millis(1)
	// firstPollPause and maxPollPause bound the pause after a failed poll.
	firstPollPause = 100 * clock.Millis(1)
	maxPollPause   = 1000 * clock.Millis(1)
	// settlingWait is how long a worker may wait while a run is being stopped of which no end will come.
	settlingWait = 150 * clock.Millis(1)
	// renewalsPerLease is the number of renewals within the length of a lease.
	renewalsPerLease = 4
)

// schedulePoll starts a poll if one is due: to contact the worker, renew leases, receive
// completions, or acknowledge the completions that are recorded.
func (te *term) schedulePoll(wo *worker, now clock.Millis) {
	if _, due := te.pollCommand(wo, now); !due || wo.polling {
		return
	}
	urgent := !wo.contacted || wo.busy() && wo.leaseEnd-wo.estimatedClock(now) < te.op.LeaseDuration/2
	wo.polling = true
	if err := te.polls.Submit(urgent, func() { te.poll(wo) }); err != nil {
		wo.polling = false
		wo.pollAfter = now + commandRetryPause
		te.log.Warn().Err(err).Str("worker", string(wo.id)).Msg("pollDelayed")
	}
}

// busy reports whether the worker has runs.
func (wo *worker) busy() bool { return len(wo.runs)+len(wo.orphans) > 0 }

// pollCommand returns the poll that a worker needs now, without a lease. The result is false if it
// needs none.
func (te *term) pollCommand(wo *worker, now clock.Millis) (fleet.PollCommand, bool) {
	co := fleet.PollCommand{Fence: te.fence}
	if now < wo.pollAfter || wo.report.Address == "" || !te.loaded || now-te.confirmedAt > maxUnconfirmed {
		return co, false
	}
	busy := wo.busy()
	switch {
	case (!wo.contacted || wo.failures > 0) && (wo.listed || busy):
		// A worker must answer before it gets work, both at first contact and after a failure.
	case wo.applied > wo.recorded:
		// The worker would report the unrecorded completions again at once, so it is polled only
		// as often as its leases must be renewed.
		return co, now-wo.polledAt >= te.op.LeaseDuration/renewalsPerLease
	case wo.recorded > wo.acknowledged && now-wo.identifiedAt > identityValidity:
		// The worker may have restarted since it was last identified, and a new incarnation uses
		// the same completion numbers again. So the poll carries no acknowledgement; its answer
		// identifies the incarnation.
	case wo.recorded > wo.acknowledged:
		co.Acknowledged, co.Wait = wo.recorded, te.pollWait()
		if !busy {
			co.Wait = 0
		}
	case wo.mixedLoad:
		co.Wait = min(throttleInterval, te.pollWait())
	case busy && now < wo.settlingUntil:
		co.Wait = min(settlingWait, te.pollWait())
	case busy:
		co.Wait = te.pollWait()
	case wo.recorded == wo.acknowledged:
		return co, false
	}
	return co, true
}

// pollWait returns how long a worker may wait for a completion before it answers. When more workers
// are busy than may be polled at the same time, polls take turns, and each worker's turn must come
// renewalsPerLease times within a lease.
func (te *term) pollWait() clock.Millis {
	if te.busyWorkers <= te.op.MaxPolls {
		return pollWait
	}
	turn := te.op.LeaseDuration / renewalsPerLease
	return min(pollWait, turn*clock.Millis(te.op.MaxPolls)/clock.Millis(te.busyWorkers))
}

// poll sends the poll that a worker needs when its turn has come, which may be some time after it was
// submitted.
func (te *term) poll(wo *worker) {
	te.mu.Lock()
	sent := te.Clock.Now()
	co, due := te.pollCommand(wo, sent)
	if !due {
		wo.polling = false
		te.mu.Unlock()
		return
	}
	if wo.busy() && wo.contacted {
		co.LeaseEnd = te.leaseEnd(wo, sent)
	}
	to := wo.target(te.keepBy())
	te.mu.Unlock()
	ctx, cancel := te.Clock.WithTimeout(te.ctx, co.Wait+pollSlack)
	st, err := te.Workers.Poll(ctx, to, co)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	wo.polling = false
	if to.Address != wo.report.Address {
		te.trigger() // the worker has moved, so that the answer is not that of its present incarnation
		return
	}
	if te.staleAnswer(wo, to, st, err, now) {
		return
	}
	if eris.Is(err, fleet.ErrNotSent) {
		wo.pollAfter = now + firstPollPause
		return
	}
	if err != nil {
		te.pollFailed(wo, to, err, now-sent >= co.Wait+pollSlack, now-sent < promptFailure, now)
		te.trigger()
		return
	}
	news := !wo.contacted || wo.failures > 0 || len(st.Completed) > 0
	if wo.failures > 0 {
		te.log.Info().Str("worker", string(wo.id)).Int("failures", wo.failures).Msg("workerRecovered")
	}
	wo.failures = 0
	if si := te.silences[wo.report.Address]; si != nil && si.worker == wo.id && (st.Incarnation == 0 || st.Incarnation == si.incarnation) {
		delete(te.silences, wo.report.Address) // it was only cut off
	}
	if te.applyStatus(wo, st, co, sent, now) || news {
		te.trigger()
	}
	te.dispatchTo(wo, now)
}

// pollFailed notes that a poll got no answer in time, or that it failed promptly or later.
func (te *term) pollFailed(wo *worker, to fleet.Target, err error, timedOut, promptly bool, now clock.Millis) {
	wo.failures++
	wo.pollAfter = now + min(firstPollPause<<min(wo.failures, 5), maxPollPause)
	if wo.failures == 1 {
		aliveAt, after := now, now // a process that ends closes its connections, so that this is noticed at once
		if timedOut {
			aliveAt = wo.clockAt
		}
		if timedOut || promptly {
			after = wo.lastSign()
		}
		te.noteSilence(wo, timedOut, aliveAt, after, now)
		te.log.Warn().Str("worker", string(wo.id)).Err(err).Int("runs", len(wo.runs)).Msg("workerUnreachable")
	}
	if eris.Is(err, fleet.ErrNoAnswer) {
		te.Workers.CloseIdleConnections(to)
	}
}

// applyStatus compares the status of a worker with the jobs. It reports whether the number of runs or
// the worker's incarnation has changed.
func (te *term) applyStatus(wo *worker, st fleet.Status, co fleet.PollCommand, sent, now clock.Millis) bool {
	runs, orphans, incarnation := len(wo.runs), len(wo.orphans), wo.report.Incarnation
	te.identify(wo, st, now)
	if !wo.contacted {
		// The former leader may have granted a lease of unknown length, but a worker limits
		// every lease to LeaseDuration.
		wo.leaseEnd = max(wo.leaseEnd, st.Clock+te.op.LeaseDuration)
	}
	wo.answered, wo.contacted, wo.polledAt, wo.identifiedAt = true, true, sent, now
	wo.acknowledged = max(wo.acknowledged, co.Acknowledged)
	for _, cr := range st.Completed {
		if cr.Number > wo.applied {
			wo.applied = cr.Number
			te.completeRun(wo, cr.Task, cr.Completion, assessor.Listed)
			if en := te.jobs[cr.Task.Job]; en != nil && en.dirty {
				en.noteUnrecorded(wo, completionID{incarnation: wo.answeredAs, number: cr.Number})
				te.noteEnd(wo, cr.Task, cr.Completion)
			}
		}
	}
	listed := make(map[workload.TaskKey]meter.RunNumber, len(st.Running))
	for _, ru := range st.Running {
		listed[ru.Task] = ru.Run
		te.applyRunning(wo, ru, now)
	}
	missing := te.judgeRuns(wo, listed, assessor.Answer{Incarnation: wo.answeredAs, SentAt: sent, Truncated: st.Truncated})
	te.observeInterference(wo, st.Clock, now)
	te.throttle(wo, now)
	return missing || runs != len(wo.runs) || orphans != len(wo.orphans) || incarnation != wo.report.Incarnation
}

// applyRunning applies the status of a run in progress. A run that no job places here becomes an
// orphan.
func (te *term) applyRunning(wo *worker, ru fleet.Running, now clock.Millis) {
	en := te.jobs[ru.Task.Job]
	if en != nil {
		en.noteStart()
	}
	pl := wo.runs[ru.Task]
	if pl == nil || pl.run != ru.Run {
		if orphan := wo.orphans[ru.Task]; orphan == nil || orphan.run != ru.Run {
			te.log.Warn().Str("task", ru.Task.String()).Int64("run", int64(ru.Run)).Str("worker", string(wo.id)).Msg("orphanedRunFound")
			wo.orphans[ru.Task] = &placement{run: ru.Run, incarnation: wo.report.Incarnation, dueSince: now}
		}
		return
	}
	_, ta := en.job.Task(ru.Task)
	ta.Progress = ru.Progress
	pl.progress.Report(now, ru.Progress)
	pl.tailLatency = ru.TailLatency
	if ru.Checkpoint != "" {
		ta.Checkpoint = ru.Checkpoint
	}
	if pl.startedAt == 0 || ta.Phase == workload.Starting {
		if pl.tries == 1 && !pl.inherited {
			pl.startUncertain = false // the only start that was sent has been executed
		}
		confirmStart(en, pl, ta, now)
	}
	te.gaugeProgress(wo, ru.Task, pl, now)
}

// confirmStart records that a worker has started a run.
func confirmStart(en *entry, pl *placement, ta *workload.Task, now clock.Millis) {
	pl.startedAt = now
	if !pl.resumed && !pl.inherited {
		pl.progress.Start(now)
	}
	en.noteStart()
	if ta.Phase == workload.Starting {
		ta.Phase, ta.PlacedAt = workload.Running, now
	}
}

// noteStart notes that a worker has started a task of the job.
func (en *entry) noteStart() {
	if en.job.RecordStart() {
		en.dirty = true
	}
}

// judgeRuns judges the runs of a worker, and its orphans, by an answer to a poll and the runs that it lists
// as in progress. It reports whether a run is over, or is missing though the worker should list it.
func (te *term) judgeRuns(wo *worker, listed map[workload.TaskKey]meter.RunNumber, answer assessor.Answer) (found bool) {
	for key, pl := range wo.orphans {
		if listed[key] != pl.run && pl.stoppedAt > 0 && pl.stoppedAt <= answer.SentAt {
			delete(wo.orphans, key)
		}
	}
	for key, pl := range wo.runs {
		answer.Listed = listed[key] == pl.run
		verdict := pl.evidence().FromAnswer(answer)
		if verdict == assessor.Unknown {
			continue
		}
		if pl.incarnation != wo.answeredAs && !verdict.Over() {
			_, ta := te.jobs[key.Job].job.Task(key)
			pl.incarnation, ta.Incarnation, pl.stoppedAt = wo.answeredAs, wo.answeredAs, 0
		}
		switch verdict {
		case assessor.Unsettled:
			te.log.Warn().Str("task", key.String()).Str("worker", string(wo.id)).Msg("runMissing")
			found = true
			wo.settlingUntil = te.Clock.Now() + te.op.StopGrace
			te.stopTask(key)
		case assessor.Stopped:
			found = true
			te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeStopped}, assessor.StopAccepted)
		case assessor.Lost:
			found = true
			te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeWorkerLost}, assessor.WorkerRestarted)
		}
	}
	return found
}
