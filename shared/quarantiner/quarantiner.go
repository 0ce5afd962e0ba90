// Package quarantiner tells workers that fail everything from jobs that fail everywhere,
// by evidence across jobs, and lets workers back on probation.
package quarantiner

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	jobsToQuarantine  = 2 // distinct jobs that fail on a worker before it is quarantined
	firstQuarantine   = clock.Minute
	longestQuarantine = clock.Hour
)

type (
	// Quarantiner keeps the evidence. It is not safe for concurrent use; its owner
	// guards it.
	Quarantiner struct {
		workers map[identifier.Worker]*record
		// failedOn holds the workers that each unfinished job has failed on.
		failedOn map[identifier.Job][]identifier.Worker
	}

	record struct {
		// jobs holds the distinct jobs that failed here since the last success.
		jobs []identifier.Job
		// until is the end of the quarantine; 0 means that there is none.
		until clock.Millis
		// length is that of the last quarantine; it doubles until a success.
		length clock.Millis
		// probation means that one failure is enough for the next quarantine.
		probation bool
	}
)

// New returns a quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{
		workers:  map[identifier.Worker]*record{},
		failedOn: map[identifier.Job][]identifier.Worker{},
	}
}

// Failed records that a member of a job failed on a worker.
func (qu *Quarantiner) Failed(job identifier.Job, wo identifier.Worker, now clock.Millis) {
	if !slices.Contains(qu.failedOn[job], wo) {
		qu.failedOn[job] = append(qu.failedOn[job], wo)
	}
	re := qu.record(wo)
	if !slices.Contains(re.jobs, job) {
		re.jobs = append(re.jobs, job)
	}
	qu.weigh(re, wo, now)
}

// Succeeded records that a member of a job finished on a worker.
func (qu *Quarantiner) Succeeded(wo identifier.Worker) {
	if re, known := qu.workers[wo]; known {
		*re = record{}
	}
}

// Ended forgets the evidence of a job that will not run again.
func (qu *Quarantiner) Ended(job identifier.Job) { delete(qu.failedOn, job) }

// Blamed is the number of workers a job has failed on that are not themselves
// quarantined: evidence against the job.
func (qu *Quarantiner) Blamed(job identifier.Job, now clock.Millis) int32 {
	var count int32
	for _, wo := range qu.failedOn[job] {
		if !qu.Quarantined(wo, now) && !qu.record(wo).probation {
			count++
		}
	}
	return count
}

// Quarantined reports whether a worker gets no work now.
func (qu *Quarantiner) Quarantined(wo identifier.Worker, now clock.Millis) bool {
	re, known := qu.workers[wo]
	return known && re.until > now
}

// Returning lists the workers whose quarantine has ended by now and puts them on
// probation.
func (qu *Quarantiner) Returning(now clock.Millis) []identifier.Worker {
	var back []identifier.Worker
	for wo, re := range qu.workers {
		if re.until != 0 && re.until <= now {
			re.until, re.probation = 0, true
			back = append(back, wo)
		}
	}
	slices.Sort(back)
	return back
}

func (qu *Quarantiner) record(wo identifier.Worker) *record {
	re, known := qu.workers[wo]
	if !known {
		re = &record{}
		qu.workers[wo] = re
	}
	return re
}

// weigh quarantines a worker when enough jobs that did not also fail elsewhere have
// failed on it.
func (qu *Quarantiner) weigh(re *record, wo identifier.Worker, now clock.Millis) {
	if re.until > now {
		return
	}
	count := 0
	for _, job := range re.jobs {
		if !qu.failsElsewhere(job, wo, now) {
			count++
		}
	}
	needed := jobsToQuarantine
	if re.probation {
		needed = 1
	}
	if count < needed {
		return
	}
	re.length = min(max(2*re.length, firstQuarantine), longestQuarantine)
	re.until = now + re.length
	re.probation = false
	re.jobs = nil
}

// failsElsewhere reports whether a job has failed on another worker that is not itself
// quarantined, which makes the job the suspect.
func (qu *Quarantiner) failsElsewhere(job identifier.Job, wo identifier.Worker, now clock.Millis) bool {
	return slices.ContainsFunc(qu.failedOn[job], func(other identifier.Worker) bool {
		return other != wo && !qu.Quarantined(other, now)
	})
}
