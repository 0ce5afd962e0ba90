package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/accountant"
	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/predictor"
	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

const (
	// maxUnconfirmed is how long a leader that cannot confirm its leadership keeps extending
	// leases. It exceeds the longest known outage of the store, which is 9 s.
	maxUnconfirmed = 12 * clock.Second
)

type (
	// worker is this leader's view of a worker.
	worker struct {
		id     identifier.Worker
		report fleet.Report
		// listed means that the platform currently lists the worker.
		listed bool
		// reportedAt is when this leader last read an entry of the incarnation in the report.
		reportedAt clock.Millis
		// coldUntil is when the worker is no longer slow; 0 means that it has not been since its start.
		coldUntil clock.Millis
		// leavesAt is the earliest time at which a draining worker leaves.
		leavesAt clock.Millis

		// answered means that some incarnation has answered this leader, and answeredAs is the one that did so
		// last.
		answered   bool
		answeredAs workload.Incarnation
		// contacted means that answeredAs is certainly the incarnation in the report. The worker gets work only
		// then.
		contacted bool
		// clock is the reading of the worker's clock at the time clockAt.
		clock   clock.Millis
		clockAt clock.Millis
		// leaseEnd is the latest lease expiry that was ever sent to the incarnation answeredAs, on its clock.
		leaseEnd clock.Millis
		// polledAt is when the last successful poll was sent.
		polledAt clock.Millis
		// settlingUntil is the end of the time for which polls are short, because a run has to be stopped of
		// which the worker lists no end.
		settlingUntil clock.Millis
		// identifiedAt is when the incarnation answeredAs last answered a poll.
		identifiedAt clock.Millis

		// applied is the number of the last completion that was applied to the jobs, recorded
		// that of the last one in the store, and acknowledged that of the last one acknowledged
		// to the worker.
		applied      meter.CompletionNumber
		recorded     meter.CompletionNumber
		acknowledged meter.CompletionNumber

		// polling means that a poll is in progress.
		polling bool
		// pollAfter delays the next poll after a failure.
		pollAfter clock.Millis
		// failures counts the failed polls since the last successful one.
		failures int
		// blockedUntil is when the worker may get new work again, after it refused a start, was
		// quarantined, or its machine went into maintenance.
		blockedUntil clock.Millis
		// failureStreak holds the jobs whose runs have failed here since the last success.
		failureStreak map[identifier.Job]bool
		// failureStreakRuns counts these runs.
		failureStreakRuns int
		// mixedLoad means that the worker runs best-effort tasks together with tasks that have a
		// tail latency target; throttledAt is when the throttling of the best-effort tasks was
		// last evaluated.
		mixedLoad   bool
		throttledAt clock.Millis
		// orderedAt is when a change of a speed was last ordered or confirmed.
		orderedAt clock.Millis
		// keptSince is when harmless best-effort tasks first kept their speed since a service came close to
		// its target; 0 means not yet.
		keptSince clock.Millis
		// inMaintenance means that the worker is being drained for maintenance of its machine.
		inMaintenance bool
		// suspectUntil is the end of the time for which other workers are preferred, after a run
		// failed here.
		suspectUntil clock.Millis
		// quarantineDuration is the length of the last quarantine since a run succeeded here;
		// it doubles with each further quarantine.
		quarantineDuration clock.Millis

		// runs holds the runs that jobs have placed here, by task.
		runs map[workload.TaskKey]*placement
		// orphans holds the orphaned runs: they must be stopped, because no job places them
		// here.
		orphans map[workload.TaskKey]*placement
	}

	// placement is a run on a worker, and the state of the commands for it.
	placement struct {
		run         meter.RunNumber
		incarnation workload.Incarnation
		// recorded means that the store holds the run.
		recorded bool
		// inFlight means that a start or stop command is in progress.
		inFlight bool
		// retryAt is the earliest time of the next start or stop command.
		retryAt clock.Millis
		// inherited means that a former leader may have sent start commands.
		inherited bool
		// tries counts the start commands that this leader has sent.
		tries int
		// resumed means that the run continues from a checkpoint.
		resumed bool
		// startSent means that this leader, or possibly a former one, has sent a start command.
		startSent bool
		// sentAt is when this leader sent the first start command, or read the run from the store; 0 means
		// not yet.
		sentAt clock.Millis
		// startUncertain means that a start command without an answer may still be executed: one of a former
		// leader, or one of this leader other than that which has certainly been executed. It stays so when
		// the run is confirmed or stopped, because the worker's next incarnation knows nothing of that.
		startUncertain bool
		// startedAt is when the worker confirmed the run; 0 means not yet.
		startedAt clock.Millis
		// dueSince is when the run was planned and, if that is later, recorded by this leader; or when it
		// was read from the store or found as an orphan.
		dueSince clock.Millis
		// speed is the percentage of its full speed to which the run is throttled; throttling
		// means that a command to change it is in progress.
		speed      meter.Percent
		throttling bool
		// watch is what polls showed of the run.
		watch watch
		// tailLatency is the tail latency that the run last reported.
		tailLatency clock.Millis
		// cause is why this leader stops the run; empty means that it does not.
		cause accountant.Cause
		// progress is what the worker has reported of the run's progress.
		progress predictor.Progress
		// origin is set if the run is inherited and its worker has reported its progress.
		origin origin
		// stoppedAt is when the worker accepted a stop command; 0 means not yet.
		stoppedAt clock.Millis
	}
)

// ensureWorker returns the worker with an id, and creates it if it is not known.
func (te *term) ensureWorker(id identifier.Worker) *worker {
	wo := te.workers[id]
	if wo == nil {
		wo = &worker{
			id: id, runs: map[workload.TaskKey]*placement{}, orphans: map[workload.TaskKey]*placement{},
			failureStreak: map[identifier.Job]bool{},
		}
		te.workers[id] = wo
	}
	return wo
}

// expectRun adds a run that the job rows place on the worker.
func (wo *worker) expectRun(key workload.TaskKey, ta *workload.Task) {
	wo.runs[key] = &placement{run: ta.Run, incarnation: ta.Incarnation, recorded: true, startSent: true, inherited: true, sentAt: ta.PlacedAt, startUncertain: true, dueSince: ta.PlacedAt, speed: throttler.FullSpeed}
}

// estimatedClock estimates the reading of the worker's clock at a time of this instance's
// clock.
func (wo *worker) estimatedClock(at clock.Millis) clock.Millis { return wo.clock + at - wo.clockAt }

// lastSign returns when the worker last gave a sign of life: an answer or an entry.
func (wo *worker) lastSign() clock.Millis { return max(wo.clockAt, wo.reportedAt) }

// lease returns what this leader knows of the leases of a worker's runs.
func (te *term) lease(wo *worker) assessor.Lease {
	return assessor.Lease{
		Answered: wo.answered, Clock: wo.clock, ClockAt: wo.clockAt, End: wo.leaseEnd,
		FormerEndsBy: te.formerEndsBy, Duration: te.op.LeaseDuration,
	}
}

// evidence returns what this leader knows of a run.
func (pl *placement) evidence() assessor.Run {
	return assessor.Run{
		Incarnation: pl.incarnation, StartSent: pl.startSent, StartUncertain: pl.startUncertain, StartedAt: pl.startedAt, StoppedAt: pl.stoppedAt,
	}
}

// Snapshot replaces all worker reports.
func (ha reportHandler) Snapshot(rows []rowstore.Row) {
	te := ha.te
	te.mu.Lock()
	for _, wo := range te.workers {
		wo.listed = false
	}
	te.mu.Unlock()
	ha.Changed(rows)
}

// Changed applies changed worker reports.
func (ha reportHandler) Changed(rows []rowstore.Row) {
	te := ha.te
	te.mu.Lock()
	for _, ro := range rows {
		te.applyReport(ro)
	}
	te.mu.Unlock()
	te.trigger()
}

// ConfirmedAt implements tailer.Handler; it does nothing.
func (ha reportHandler) ConfirmedAt(clock.Millis) {}

func (te *term) applyReport(row rowstore.Row) {
	id := identifier.Worker(row.Name)
	if row.Version == 0 {
		if wo, known := te.workers[id]; known && wo.listed {
			wo.listed = false
			te.log.Info().Str("worker", row.Name).Int("runs", len(wo.runs)).Msg("workerUnlisted")
		}
		return
	}
	re, err := te.Reports.Decode(row.Name, row.Value)
	if err != nil {
		te.log.Warn().Err(err).Str("worker", row.Name).Msg("workerReportInvalid")
		return
	}
	now := te.Clock.Now()
	wo := te.ensureWorker(id)
	te.endSilenceOfOther(re.Address, id, now)
	te.mark(wo)
	before := wo.report
	wo.listed = true
	if wo.contacted && wo.failures == 0 && re.Incarnation != wo.answeredAs && !assessor.Supersedes(re.Incarnation, wo.answeredAs) {
		te.log.Info().Str("worker", row.Name).Int64("life", int64(re.Incarnation)).Int64("told", int64(wo.answeredAs)).Msg("workerReportOutdated")
		return
	}
	if wo.contacted && re.Incarnation != before.Incarnation && te.silences[before.Address] == nil {
		te.noteSilence(wo, false, wo.clockAt, wo.lastSign(), now) // it may have restarted before its silence was noticed
	}
	wo.report, wo.reportedAt = re, now
	if re.Cold > 0 {
		wo.coldUntil = now + re.Cold
	}
	if re.Draining {
		wo.leavesAt = now + re.Remaining
	}
	if before.Address != "" && before.Address != re.Address {
		te.Workers.Forget(before.Address)
	}
	if re.Incarnation != before.Incarnation {
		wo.contacted, wo.pollAfter = false, 0 // the worker is asked; the entry proves nothing about its runs
	}
	if before.Incarnation != re.Incarnation || before.Draining != re.Draining {
		te.log.Info().Str("worker", row.Name).Str("address", re.Address).Bool("draining", re.Draining).
			Int64("life", int64(re.Incarnation)).Str("rack", string(re.Rack)).Int64("remainingMillis", int64(re.Remaining)).Msg("workerReported")
	}
}

// identify records which incarnation of a worker has answered. If it is a new one, the state of the
// former one is discarded. Runs are kept until the answer is applied, because a command for the former
// incarnation may have reached the new one.
func (te *term) identify(wo *worker, st fleet.Status, now clock.Millis) {
	if st.Incarnation == 0 || wo.answered && st.Incarnation == wo.answeredAs {
		wo.report.Incarnation = wo.answeredAs
		return
	}
	if wo.answered {
		te.log.Info().Str("worker", string(wo.id)).Int64("life", int64(st.Incarnation)).Int("runs", len(wo.runs)).Msg("workerRestarted")
		if te.silences[wo.report.Address] == nil {
			te.noteSilence(wo, false, wo.clockAt, wo.lastSign(), now) // it has restarted before its silence was noticed
		}
		wo.contacted, wo.leaseEnd = false, 0
		wo.applied, wo.recorded, wo.acknowledged = 0, 0, 0
		wo.orphans = map[workload.TaskKey]*placement{}
	}
	te.endSilence(wo.report.Address, wo.id, st.Incarnation, now)
	wo.report.Incarnation, wo.answeredAs = st.Incarnation, st.Incarnation
	wo.clock, wo.clockAt = st.Clock, now
}

// stopTask marks the run of a task to be stopped.
func (te *term) stopTask(key workload.TaskKey) {
	en := te.jobs[key.Job]
	if en == nil {
		return
	}
	if st, ta := en.job.Task(key); ta != nil {
		en.job.StopTask(st, ta)
		en.dirty = true
		te.markStops(en.job)
	}
}

// completeRun applies the completion of a run to its job and to the state of the worker. proof is what
// proves it.
func (te *term) completeRun(wo *worker, key workload.TaskKey, co workload.Completion, proof assessor.Proof) {
	delete(wo.orphans, key)
	pl := wo.runs[key]
	if pl != nil && pl.run <= co.Run {
		delete(wo.runs, key)
	}
	en := te.jobs[key.Job]
	if en == nil {
		return
	}
	if proof == assessor.Listed || proof == assessor.ToldByLeader {
		en.noteStart() // workers list the ends of runs that they have started
	}
	terms, _ := te.termsOf(en.job)
	state := en.job.State
	st, ta := en.job.Task(key)
	earlier := ta != nil && co.Run < ta.Run && co.Outcome == workload.OutcomeDone
	co.At = te.Clock.Now()
	if ta == nil || ta.Worker != wo.id && !earlier || !en.job.CompleteRun(key, co, terms.MaxAttempts) {
		return
	}
	en.dirty = true
	if earlier {
		te.markStops(en.job)
	}
	if proof == assessor.Listed && pl != nil && pl.startedAt > 0 && te.Clock.Now()-pl.startedAt > youngRun {
		en.job.Clear(key)
	}
	ta.Silenced = co.Outcome == workload.OutcomeLeaseExpired && te.silenced(wo, key, co.Run)
	te.Metrics.Count("ends", co.Outcome.String())
	te.trackFailures(wo, key.Job, co.Outcome)
	if step := en.job.StepOf(st); co.Outcome == workload.OutcomeDone && pl != nil && pl.startedAt > 0 && !pl.resumed && !step.LongRunning {
		now := te.Clock.Now()
		if pl.run == co.Run {
			te.gaugeCompletion(wo, key, pl, now)
		}
		te.predictor.RecordRun(en.job.Queue, step.Estimate, te.normalRunTime(en.job, st, wo, now-pl.startedAt, now))
	}
	cause, lost := te.accountEnd(en.job, en.job.StepOf(st), ta, pl, co)
	te.log.Info().Str("task", key.String()).Int64("run", int64(co.Run)).Str("worker", string(wo.id)).Str("cause", string(cause)).Int64("lostCoreSeconds", lost).Str("how", co.Outcome.String()).Str("proof", string(proof)).
		Int64("life", int64(ta.Incarnation)).Int64("told", int64(wo.answeredAs)).Int64("silentMillis", int64(te.Clock.Now()-wo.clockAt)).
		Int64("ranMillis", int64(te.Clock.Now()-ta.PlacedAt)).Int("failures", max(ta.Failures, st.Failures)).Msg("runEnded")
	if state != en.job.State {
		te.Metrics.Count("jobs", en.job.State.String())
		te.Metrics.Observe("completion", te.Clock.TimeOfDay()-en.job.AcceptedAt)
		te.log.Info().Str("job", string(key.Job)).Str("state", en.job.State.String()).Str("why", en.job.Reason).
			Int64("ageMillis", int64(te.Clock.TimeOfDay()-en.job.AcceptedAt)).Msg("jobEnded")
	}
	if en.job.StepOf(st).Gang && co.Outcome == workload.OutcomeDone {
		te.dropGangRuns(en.job, st)
	}
}

// dropGangRuns removes the placements of a completed gang: its members complete together.
func (te *term) dropGangRuns(jo *workload.Job, st *workload.Stage) {
	for i := range st.Tasks {
		if wo := te.workers[st.Tasks[i].Worker]; wo != nil {
			delete(wo.runs, jo.Key(st, i))
		}
	}
}
