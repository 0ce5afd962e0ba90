package controller

import (
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// commandTimeout bounds one command: a network delay of at most 8 ms in each direction, and
	// the worker's own processing time.
	commandTimeout = 500 * clock.Millis(1)
	// commandRetryPause is the pause before a command is retried.
	commandRetryPause = 150 * clock.Millis(1)
	// startTimeoutDividend and startTimeoutDivisor make the part of the time for which the members of a
	// gang wait for each other that a start may remain unanswered. The rest is left to stop the members
	// that have started.
	startTimeoutDividend, startTimeoutDivisor = 2, 3
)

// startTimeout is how long a start may remain unanswered before the run is stopped and the task planned
// again.
func (te *term) startTimeout() clock.Millis {
	return te.op.GangTimeout * startTimeoutDividend / startTimeoutDivisor
}

// gangExpired reports whether a run has not been sent although other members of its gang have, so long
// that they may end before it starts.
func (te *term) gangExpired(id identifier.Job, st *workload.Stage, pl *placement, ta *workload.Task, now clock.Millis) bool {
	jo := te.jobs[id].job
	if ta.Phase != workload.Starting || pl.startSent || !pl.recorded || !jo.StepOf(st).Gang || now-pl.dueSince <= te.startTimeout() {
		return false
	}
	for i := range st.Tasks {
		if wo := te.workers[st.Tasks[i].Worker]; wo != nil {
			if other := wo.runs[jo.Key(st, i)]; other != nil && other.startSent {
				return true
			}
		}
	}
	return false
}

// mayStart reports whether the start of a task's run may leave now.
func (te *term) mayStart(wo *worker, pl *placement, ta *workload.Task, now clock.Millis) bool {
	return ta.Phase == workload.Starting && te.startBarrier(wo) == startAllowed && pl.recorded && wo.contacted && pl.incarnation == wo.report.Incarnation && te.maySendStarts(now)
}

// submitStart queues the start of a run. What it carries, and whether it may still leave, is decided
// when its turn comes, which may be some time later.
func (te *term) submitStart(wo *worker, key workload.TaskKey, pl *placement) {
	submitted := te.Clock.Now()
	te.submitCommand(te.urgent(key.Job), pl, key.String(), func() { te.sendStart(wo, key, pl, submitted) })
}

// urgent reports whether a job has priority 0.
func (te *term) urgent(id identifier.Job) bool {
	terms, known := te.termsOf(te.jobs[id].job)
	return known && terms.Priority == 0
}

// prepareStart returns the start of a run whose turn has come, and the placement as it was before. It
// returns false if the run is no longer to be started, or not now.
func (te *term) prepareStart(wo *worker, key workload.TaskKey, pl *placement) (to fleet.Target, co fleet.StartCommand, before placement, ok bool) {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	pl.inFlight = false
	en := te.jobs[key.Job]
	if te.ctx.Err() != nil {
		return to, co, before, false
	}
	te.mark(wo)
	if en == nil || wo.runs[key] != pl {
		return to, co, before, false
	}
	st, ta := en.job.Task(key)
	if !te.mayStart(wo, pl, ta, now) || te.gangExpired(key.Job, st, pl, ta, now) {
		return to, co, before, false
	}
	if !te.fits(wo) {
		te.skipStart(wo, key, pl, "the worker's capacity has shrunk")
		return to, co, before, false
	}
	ticket, ok := te.ticketFor(wo, key, now)
	if !ok {
		te.skipStart(wo, key, pl, "no valid ticket from the advice service")
		return to, co, before, false
	}
	before = *pl
	if !pl.startSent {
		pl.sentAt = now
	}
	pl.inFlight, pl.startSent, pl.startUncertain, pl.resumed = true, true, true, ta.Checkpoint != ""
	pl.tries++
	to, zone := wo.target(te.startBy()), wo.report.Zone
	to.Forbidden = func() bool { return te.evacuated(zone) }
	return to, fleet.StartCommand{
		Task: key.String(), Run: pl.run, Payload: en.job.Payload,
		LeaseEnd: te.leaseEnd(wo, now), Fence: te.fence, Checkpoint: ta.Checkpoint, Ticket: ticket,
	}, before, true
}

// skipStart gives up a run whose turn has come, so that its task is planned again.
func (te *term) skipStart(wo *worker, key workload.TaskKey, pl *placement, why string) {
	te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).Str("why", why).Msg("startSkipped")
	if pl.startSent {
		te.stopTask(key)
	} else {
		te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeStopped}, assessor.StartNotSent)
	}
	te.trigger()
}

// fits reports whether the runs that are placed on a worker, also those that are being stopped, fit into
// its capacity, which may have shrunk since they were planned.
func (te *term) fits(wo *worker) bool {
	left := wo.report.Capacity
	for key := range wo.runs {
		if step := te.stepOf(key); step != nil {
			left = left.Sub(step.Reserved())
		}
	}
	return left.Fits(workload.Resources{})
}

// ticketFor returns the ticket for a start, or an empty ticket where none is needed. It returns
// false if a ticket is needed and there is no valid one.
func (te *term) ticketFor(wo *worker, key workload.TaskKey, now clock.Millis) (string, bool) {
	if te.Advisers == nil {
		return "", true
	}
	if terms, _ := te.termsOf(te.jobs[key.Job].job); !terms.NeedsAdvice {
		return "", true
	}
	ticket := te.advice.Ticket(adviceKey(key), wo.id, wo.report.Incarnation, now)
	return ticket, ticket != ""
}

// adviceKey returns the key of a task's step for the advice service.
func adviceKey(key workload.TaskKey) adviser.Key {
	return adviser.Key{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}
}

// leaseEnd returns the expiry of a full lease that starts now, on the worker's clock. The
// leases of a worker that does not answer are not extended, so that the last one expires at a
// known time.
func (te *term) leaseEnd(wo *worker, now clock.Millis) clock.Millis {
	if wo.failures == 0 {
		wo.leaseEnd = max(wo.leaseEnd, wo.estimatedClock(now)+te.op.LeaseDuration)
	}
	return wo.leaseEnd
}

// sendStart sends a start command and applies the answer.
func (te *term) sendStart(wo *worker, key workload.TaskKey, pl *placement, submitted clock.Millis) {
	to, co, before, ok := te.prepareStart(wo, key, pl)
	if !ok {
		return
	}
	ctx, cancel := te.Clock.WithTimeout(te.ctx, commandTimeout)
	sent := te.Clock.Now()
	te.Metrics.Observe("commandWait", sent-submitted)
	st, err := te.Workers.Start(ctx, to, co)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	pl.inFlight = false
	pl.retryAt = now + commandRetryPause
	if !eris.Is(err, fleet.ErrNoAnswer) {
		pl.startUncertain = before.startUncertain
	}
	te.log.Info().Str("task", co.Task).Int64("run", int64(co.Run)).Str("worker", string(wo.id)).Int("try", pl.tries).
		Bool("resumed", co.Checkpoint != "").Int64("queuedMillis", int64(sent-submitted)).Int64("tookMillis", int64(now-sent)).AnErr("refusal", err).Msg("startSent")
	te.Metrics.Observe("start", now-sent)
	te.Metrics.Count("starts", outcomeLabel(err))
	if te.staleAnswer(wo, to, st, err, now) {
		return
	}
	en := te.jobs[key.Job]
	if en == nil || wo.runs[key] != pl {
		return
	}
	te.mark(wo)
	_, ta := en.job.Task(key)
	if err == nil {
		if before.tries == 0 {
			te.pacer.Answered(now-submitted, te.outstanding, now)
		}
		confirmStart(en, pl, ta, now)
		if en.dirty {
			te.trigger()
		}
		return
	}
	defer te.trigger()
	switch {
	case eris.Is(err, fleet.ErrNotSent):
		pl.startSent, pl.sentAt, pl.startUncertain, pl.resumed, pl.tries = before.startSent, before.sentAt, before.startUncertain, before.resumed, before.tries
	case eris.Is(err, fleet.ErrNoAnswer):
		te.Workers.CloseIdleConnections(to)
	case eris.Is(err, fleet.ErrLeaseExpired):
		// The next attempt carries a later lease expiry.
	case !before.startSent && eris.Is(err, fleet.ErrInvalidTicket):
		te.advice.Drop(adviceKey(key))
		te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeStopped}, assessor.StartRefused)
	case !before.startSent && (eris.Is(err, fleet.ErrNoCapacity) || eris.Is(err, fleet.ErrUnhealthy) || eris.Is(err, fleet.ErrRejected)):
		te.blockWorker(wo, err)
		te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeStopped}, assessor.StartRefused)
	default:
		te.blockWorker(wo, err)
		te.stopTask(key)
	}
}

// submitCommand submits a command to the pool, or delays it if the queue of the pool is full.
func (te *term) submitCommand(urgent bool, pl *placement, task string, command func()) {
	pl.inFlight = true
	if err := te.commands.Submit(urgent, command); err != nil {
		pl.inFlight = false
		pl.retryAt = te.Clock.Now() + commandRetryPause
		te.log.Warn().Err(err).Str("task", task).Msg("commandDelayed")
	}
}

// outcomeLabel returns the metric label for the answer to a command.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "taken"
	case eris.Is(err, fleet.ErrNotSent):
		return "notSent"
	case eris.Is(err, fleet.ErrNoAnswer):
		return "silent"
	}
	return "refused"
}

func (te *term) submitStop(wo *worker, key workload.TaskKey, pl *placement) {
	now := te.Clock.Now()
	if wo.report.Address == "" || !te.mayChange(now) {
		return
	}
	te.submitCommand(true, pl, key.String(), func() { te.sendStop(wo, key, pl, now) })
}

// prepareStop returns the worker to which the stop of a run is sent now that its turn has come. It
// returns false if the run has ended meanwhile.
func (te *term) prepareStop(wo *worker, key workload.TaskKey, pl *placement) (fleet.Target, bool) {
	te.mu.Lock()
	defer te.mu.Unlock()
	if te.ctx.Err() != nil || wo.runs[key] != pl && wo.orphans[key] != pl {
		pl.inFlight = false
		return fleet.Target{}, false
	}
	return wo.target(te.changeBy()), true
}

func (te *term) sendStop(wo *worker, key workload.TaskKey, pl *placement, submitted clock.Millis) {
	to, ok := te.prepareStop(wo, key, pl)
	if !ok {
		return
	}
	co := fleet.StopCommand{Task: key.String(), Run: pl.run, Fence: te.fence}
	ctx, cancel := te.Clock.WithTimeout(te.ctx, commandTimeout)
	sent := te.Clock.Now()
	te.Metrics.Observe("commandWait", sent-submitted)
	st, err := te.Workers.Stop(ctx, to, co)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	pl.inFlight = false
	pl.retryAt = now + commandRetryPause
	te.log.Info().Str("task", co.Task).Int64("run", int64(co.Run)).Str("worker", string(wo.id)).
		Int64("queuedMillis", int64(sent-submitted)).Int64("tookMillis", int64(now-sent)).AnErr("refusal", err).Msg("stopSent")
	if te.staleAnswer(wo, to, st, err, now) {
		return
	}
	if err == nil {
		pl.stoppedAt = now
		return
	}
	if eris.Is(err, fleet.ErrNoAnswer) {
		te.Workers.CloseIdleConnections(to)
	}
}

// staleAnswer updates the worker's clock from an answer. It returns true if the rest of the
// answer must be ignored, because the term is over, another incarnation answered, or the worker
// obeys another leader.
func (te *term) staleAnswer(wo *worker, to fleet.Target, st fleet.Status, err error, now clock.Millis) bool {
	switch {
	case te.ctx.Err() != nil:
		return true
	case eris.Is(err, fleet.ErrFenced):
		te.loseLeadership("a worker obeys a newer leader")
		return true
	case eris.Is(err, fleet.ErrOtherIncarnation):
		te.applySuccessor(wo, to, now)
		return true
	case err != nil && st.Clock == 0:
		return false
	}
	if st.Clock > 0 && (st.Incarnation == 0 || st.Incarnation == wo.answeredAs) {
		wo.clock, wo.clockAt = st.Clock, now
	}
	return false
}

// applySuccessor applies the answer of another worker at the address of a worker: the runs of the
// incarnation that was reported there are over.
func (te *term) applySuccessor(wo *worker, to fleet.Target, now clock.Millis) {
	known := !wo.contacted && len(wo.runs) == 0
	wo.contacted = false
	wo.pollAfter = now + maxPollPause
	if to.Address != wo.report.Address || known {
		return
	}
	te.log.Warn().Str("worker", string(wo.id)).Str("address", to.Address).Int64("life", int64(wo.report.Incarnation)).Int("runs", len(wo.runs)).Msg("workerReplaced")
	clear(wo.orphans)
	wo.applied, wo.recorded, wo.acknowledged = 0, 0, 0
	for key, pl := range wo.runs {
		if pl.evidence().FromSuccessor(wo.report.Incarnation).Over() {
			te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeWorkerLost}, assessor.SuccessorAnswered)
		}
	}
	te.trigger()
}
