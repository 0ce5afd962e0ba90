// Package adviser stores the answers of a placement advice service for steps: which workers
// may run a step, with which tickets, and which workers to ask about next.
package adviser

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// maxAsked is the maximum number of workers per call. The response time grows with
	// their number, and the platform expects up to 30 for a step.
	maxAsked = 30
	// retryDelay is the delay after a failed call before the next call for the same step.
	retryDelay = 300 * clock.Millis(1)
	// minValidity is the validity that a ticket must have left when a start command is
	// sent. It covers the usual maximum time to record a plan and to deliver the command.
	minValidity = 400 * clock.Millis(1)
)

type (
	// Key identifies a step of an occurrence of a job.
	Key struct {
		Job              identifier.Job
		Occurrence, Step int
	}

	// Candidate is a worker that could run a step.
	Candidate struct {
		ID          identifier.Worker
		Incarnation workload.Incarnation
		// Runs is the number of runs on the worker.
		Runs int
	}

	// Adviser stores the advice on all steps. It is not safe for concurrent use.
	Adviser struct{ steps map[Key]*step }

	// step is the advice on one step.
	step struct {
		// tickets holds the ticket of each approved worker. A ticket expires, but the
		// approval itself never changes.
		tickets map[identifier.Worker]ticket
		// asked holds the incarnation of each worker at the time when the service was asked
		// about it.
		asked map[identifier.Worker]workload.Incarnation
		// inFlight means that a call for the step is in progress.
		inFlight bool
		// retryAt is the earliest time of the next call.
		retryAt clock.Millis
	}

	ticket struct {
		text        string
		incarnation workload.Incarnation
		expires     clock.Millis
	}
)

// New returns an adviser without any advice.
func New() *Adviser { return &Adviser{steps: map[Key]*step{}} }

// String returns the name by which the advice service knows the step.
func (ke Key) String() string { return fmt.Sprintf("%s.%d.%d", ke.Job, ke.Occurrence, ke.Step) }

// KeyOf returns the key of a stage of a job.
func KeyOf(jo *workload.Job, st *workload.Stage) Key {
	return Key{Job: jo.ID, Occurrence: st.Occurrence, Step: st.Step}
}

// WorkersToAsk returns the workers to ask about now for a step with the given number of
// tasks: first the approved workers whose tickets are about to expire or belong to an
// earlier incarnation, then the others, those with the fewest runs first. If the list is
// not empty, the step counts as having a call in progress until Answered or Failed is
// called.
func (ad *Adviser) WorkersToAsk(key Key, candidates []Candidate, tasks int, now clock.Millis) []identifier.Worker {
	st := ad.steps[key]
	if st == nil {
		st = &step{tickets: map[identifier.Worker]ticket{}, asked: map[identifier.Worker]workload.Incarnation{}}
		ad.steps[key] = st
	}
	if st.inFlight || now < st.retryAt {
		return nil
	}
	ask := st.workersToAsk(candidates, tasks, now)
	st.inFlight = len(ask) > 0
	return ask
}

func (st *step) workersToAsk(candidates []Candidate, tasks int, now clock.Millis) []identifier.Worker {
	var renewals []identifier.Worker
	var unasked []Candidate
	valid := 0
	for _, ca := range candidates {
		ti, approved := st.tickets[ca.ID]
		switch {
		case approved && ti.incarnation == ca.Incarnation && ti.expires-now > 2*minValidity:
			valid++
		case approved:
			renewals = append(renewals, ca.ID)
		case st.asked[ca.ID] != ca.Incarnation:
			unasked = append(unasked, ca)
		}
	}
	if len(renewals) == 0 && valid >= tasks {
		return nil
	}
	slices.SortFunc(unasked, func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID)) })
	ask := renewals
	for _, ca := range unasked {
		ask = append(ask, ca.ID)
	}
	return ask[:min(len(ask), maxAsked)]
}

// Answered stores the answer to a call. asked holds the incarnations of the workers in the
// request. sent is when the request was sent; the validity of the tickets counts from then.
func (ad *Adviser) Answered(key Key, asked map[identifier.Worker]workload.Incarnation, out fleet.Advice, sent clock.Millis) {
	st := ad.steps[key]
	if st == nil {
		return // the job ended during the call
	}
	st.inFlight = false
	for id, inc := range asked {
		st.asked[id] = inc
		delete(st.tickets, id)
		if text, approved := out.Tickets[id]; approved {
			st.tickets[id] = ticket{text: text, incarnation: inc, expires: sent + out.Validity}
		}
	}
}

// Failed records that a call got no answer.
func (ad *Adviser) Failed(key Key, now clock.Millis) {
	if st := ad.steps[key]; st != nil {
		st.inFlight, st.retryAt = false, now+retryDelay
	}
}

// Ticket returns the ticket of a step for an incarnation of a worker, or an empty string if
// there is none or it is about to expire.
func (ad *Adviser) Ticket(key Key, worker identifier.Worker, inc workload.Incarnation, now clock.Millis) string {
	st := ad.steps[key]
	if st == nil {
		return ""
	}
	ti := st.tickets[worker]
	if ti.incarnation != inc || ti.expires-now < minValidity {
		return ""
	}
	return ti.text
}

// Approved returns the number of workers that are approved for a step.
func (ad *Adviser) Approved(key Key) int {
	if st := ad.steps[key]; st != nil {
		return len(st.tickets)
	}
	return 0
}

// Drop discards the advice on a step.
func (ad *Adviser) Drop(key Key) { delete(ad.steps, key) }

// DropJob discards the advice on all steps of a job.
func (ad *Adviser) DropJob(job identifier.Job) {
	for key := range ad.steps {
		if key.Job == job {
			delete(ad.steps, key)
		}
	}
}
