// Package quarantiner tells defective workers from defective jobs by comparing failures
// across jobs and workers. It quarantines workers on which several jobs fail, and returns
// them to service on probation.
package quarantiner

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	failedJobsThreshold = 2 // distinct jobs that must fail on a worker before it is quarantined
	initialQuarantine   = clock.Minute
	maxQuarantine       = clock.Hour
)

type (
	// Quarantiner records failures by worker and by job. It is not safe for concurrent
	// use; the caller must serialize access.
	Quarantiner struct {
		workers map[identifier.Worker]*record
		// failedOn holds the workers that each unfinished job has failed on.
		failedOn map[identifier.Job][]identifier.Worker
	}

	record struct {
		// jobs holds the distinct jobs that failed on the worker since its last success
		// or quarantine.
		jobs []identifier.Job
		// until is when the quarantine ends; 0 means that the worker is not quarantined.
		until clock.Millis
		// duration is the duration of the last quarantine. It doubles with each quarantine
		// until a job succeeds on the worker.
		duration clock.Millis
		// probation means that a single failed job starts the next quarantine.
		probation bool
	}
)

// New returns a quarantiner without recorded failures.
func New() *Quarantiner {
	return &Quarantiner{
		workers:  map[identifier.Worker]*record{},
		failedOn: map[identifier.Job][]identifier.Worker{},
	}
}

// RecordFailure records that a member of a job failed on a worker.
func (qu *Quarantiner) RecordFailure(job identifier.Job, wo identifier.Worker, now clock.Millis) {
	if !slices.Contains(qu.failedOn[job], wo) {
		qu.failedOn[job] = append(qu.failedOn[job], wo)
	}
	re := qu.record(wo)
	if !slices.Contains(re.jobs, job) {
		re.jobs = append(re.jobs, job)
	}
	qu.evaluate(re, wo, now)
}

// RecordSuccess records that a member of a job completed on a worker. It clears the failures
// of the worker and ends its quarantine or probation.
func (qu *Quarantiner) RecordSuccess(wo identifier.Worker) {
	if re, known := qu.workers[wo]; known {
		*re = record{}
	}
}

// ForgetJob discards the failures of a job that will not run again.
func (qu *Quarantiner) ForgetJob(job identifier.Job) { delete(qu.failedOn, job) }

// FailedWorkers returns the number of workers that a job has failed on and that are neither
// quarantined nor on probation. Failures on such workers count against the job.
func (qu *Quarantiner) FailedWorkers(job identifier.Job, now clock.Millis) int32 {
	var count int32
	for _, wo := range qu.failedOn[job] {
		if !qu.Quarantined(wo, now) && !qu.record(wo).probation {
			count++
		}
	}
	return count
}

// Quarantined reports whether a worker is quarantined at the given time.
func (qu *Quarantiner) Quarantined(wo identifier.Worker, now clock.Millis) bool {
	re, known := qu.workers[wo]
	return known && re.until > now
}

// ReleaseExpired returns the workers whose quarantine has expired, sorted by id, and puts them
// on probation.
func (qu *Quarantiner) ReleaseExpired(now clock.Millis) []identifier.Worker {
	var released []identifier.Worker
	for wo, re := range qu.workers {
		if re.until != 0 && re.until <= now {
			re.until, re.probation = 0, true
			released = append(released, wo)
		}
	}
	slices.Sort(released)
	return released
}

func (qu *Quarantiner) record(wo identifier.Worker) *record {
	re, known := qu.workers[wo]
	if !known {
		re = &record{}
		qu.workers[wo] = re
	}
	return re
}

// evaluate quarantines a worker if enough jobs have failed on it that have not also failed on
// another worker that is not quarantined.
func (qu *Quarantiner) evaluate(re *record, wo identifier.Worker, now clock.Millis) {
	if re.until > now {
		return
	}
	count := 0
	for _, job := range re.jobs {
		if !qu.failsElsewhere(job, wo, now) {
			count++
		}
	}
	threshold := failedJobsThreshold
	if re.probation {
		threshold = 1
	}
	if count < threshold {
		return
	}
	re.duration = min(max(2*re.duration, initialQuarantine), maxQuarantine)
	re.until = now + re.duration
	re.probation = false
	re.jobs = nil
}

// failsElsewhere reports whether a job has also failed on another worker that is not
// quarantined. In that case the job is the likely cause, not the worker.
func (qu *Quarantiner) failsElsewhere(job identifier.Job, wo identifier.Worker, now clock.Millis) bool {
	return slices.ContainsFunc(qu.failedOn[job], func(other identifier.Worker) bool {
		return other != wo && !qu.Quarantined(other, now)
	})
}
