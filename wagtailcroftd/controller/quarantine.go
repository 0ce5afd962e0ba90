package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// quarantineAfterJobs is how many different jobs must fail in a row on a worker before the
	// failures are attributed to the worker rather than to the jobs.
	quarantineAfterJobs = 2
	// quarantineAfterRuns is how many runs must fail in a row if they belong to one job that
	// has not failed on any other worker.
	quarantineAfterRuns = 3
	// firstQuarantine is how long such a worker gets no new work the first time; the time
	// doubles with each further quarantine.
	firstQuarantine = 6 * clock.Second
	// suspectPeriod is how long a worker is the last choice after a run failed there, so that
	// the task is retried elsewhere: about two runs of the shortest tasks.
	suspectPeriod = 5 * clock.Second
	// maxQuarantine bounds the time for which such a worker gets no new work.
	maxQuarantine = 60 * clock.Second

	// refusalBlock is how long a worker gets no new work after it refused a start or the maintenance
	// of its machine began.
	refusalBlock = 2 * clock.Second
)

// trackFailures updates the failure streak of a worker after a completion, and quarantines the
// worker when the streak is long enough.
func (te *term) trackFailures(wo *worker, job identifier.Job, outcome workload.RunOutcome) {
	switch outcome {
	case workload.OutcomeDone:
		clear(wo.failureStreak)
		wo.failureStreakRuns, wo.quarantineDuration, wo.suspectUntil = 0, 0, 0
	case workload.OutcomeFailed:
		wo.failureStreak[job] = true
		wo.failureStreakRuns++
		wo.suspectUntil = te.Clock.Now() + suspectPeriod
		te.noteFailure(job, wo.id)
		if len(wo.failureStreak) < quarantineAfterJobs && (wo.failureStreakRuns < quarantineAfterRuns || len(te.failedWorkers[job]) > 1) {
			return
		}
		clear(wo.failureStreak)
		wo.failureStreakRuns = 0
		wo.quarantineDuration = min(max(2*wo.quarantineDuration, firstQuarantine), maxQuarantine)
		wo.blockedUntil = te.Clock.Now() + wo.quarantineDuration
		te.log.Warn().Str("worker", string(wo.id)).Int64("banMillis", int64(wo.quarantineDuration)).Msg("workerBanned")
	}
}

// noteFailure records that a job failed on a worker.
func (te *term) noteFailure(job identifier.Job, id identifier.Worker) {
	if te.failedWorkers[job] == nil {
		te.failedWorkers[job] = map[identifier.Worker]bool{}
	}
	te.failedWorkers[job][id] = true
}

// blockWorker delays new work for a worker that refused a start.
func (te *term) blockWorker(wo *worker, why error) {
	wo.blockedUntil = max(wo.blockedUntil, te.Clock.Now()+refusalBlock)
	te.log.Warn().Str("worker", string(wo.id)).Err(why).Msg("workerRefused")
}
