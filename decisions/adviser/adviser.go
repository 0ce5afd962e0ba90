// Package adviser keeps what an advice service has said about steps: which workers may run
// them, by which tickets, and whom to ask about next.
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
	// mostAsked is how many workers one call asks about; the time of the answer grows with
	// them, and the platform counts on 30 for a step.
	mostAsked = 30
	// failedPause lies between a failed call and the next for the step.
	failedPause = 300 * clock.Millis(1)
	// ticketMargin is how much validity a ticket must have left when an order is given: the
	// longest time to record a plan as a rule, and the order's way.
	ticketMargin = 400 * clock.Millis(1)
)

type (
	// Key names a step of an occurrence of a job.
	Key struct {
		Job              identifier.Job
		Occurrence, Step int
	}

	// Candidate is a worker that could run a step.
	Candidate struct {
		ID   identifier.Worker
		Life workload.Life
		// Busy is how many runs it has.
		Busy int
	}

	// Adviser keeps the advice on all steps. It is not safe for concurrent use.
	Adviser struct{ steps map[Key]*step }

	// step is the advice on one step.
	step struct {
		// tickets holds the workers that are approved; the approval itself never changes.
		tickets map[identifier.Worker]ticket
		// asked holds the lives of workers that were asked about.
		asked map[identifier.Worker]workload.Life
		// busy means that a call is under way.
		busy bool
		// after holds the next call back.
		after clock.Millis
	}

	ticket struct {
		text  string
		life  workload.Life
		until clock.Millis
	}
)

// New returns an adviser that has heard nothing.
func New() *Adviser { return &Adviser{steps: map[Key]*step{}} }

// String names the step as the advice service knows it.
func (ke Key) String() string { return fmt.Sprintf("%s.%d.%d", ke.Job, ke.Occurrence, ke.Step) }

// KeyOf names a stage of a job.
func KeyOf(jo *workload.Job, st *workload.Stage) Key {
	return Key{Job: jo.ID, Occurrence: st.Occurrence, Step: st.Step}
}

// Questions lists the workers to ask about now for a step of so many tasks: first those that
// were approved and whose ticket runs out, then others, the least busy first. A call for the
// step counts as under way from then on, if the list is not empty, until Answered or Failed.
func (ad *Adviser) Questions(key Key, candidates []Candidate, tasks int, now clock.Millis) []identifier.Worker {
	st := ad.steps[key]
	if st == nil {
		st = &step{tickets: map[identifier.Worker]ticket{}, asked: map[identifier.Worker]workload.Life{}}
		ad.steps[key] = st
	}
	if st.busy || now < st.after {
		return nil
	}
	ask := st.questions(candidates, tasks, now)
	st.busy = len(ask) > 0
	return ask
}

func (st *step) questions(candidates []Candidate, tasks int, now clock.Millis) []identifier.Worker {
	var again []identifier.Worker
	var fresh []Candidate
	valid := 0
	for _, ca := range candidates {
		ti, approved := st.tickets[ca.ID]
		switch {
		case approved && ti.life == ca.Life && ti.until-now > 2*ticketMargin:
			valid++
		case approved:
			again = append(again, ca.ID)
		case st.asked[ca.ID] != ca.Life:
			fresh = append(fresh, ca)
		}
	}
	if len(again) == 0 && valid >= tasks {
		return nil
	}
	slices.SortFunc(fresh, func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID)) })
	ask := again
	for _, ca := range fresh {
		ask = append(ask, ca.ID)
	}
	return ask[:min(len(ask), mostAsked)]
}

// Answered takes the answer to a call that was sent at a moment about the lives of workers.
func (ad *Adviser) Answered(key Key, asked map[identifier.Worker]workload.Life, out fleet.Advice, sent clock.Millis) {
	st := ad.steps[key]
	if st == nil {
		return // the job has ended meanwhile
	}
	st.busy = false
	for id, life := range asked {
		st.asked[id] = life
		delete(st.tickets, id)
		if text, approved := out.Tickets[id]; approved {
			st.tickets[id] = ticket{text: text, life: life, until: sent + out.Validity}
		}
	}
}

// Failed takes that a call had no answer.
func (ad *Adviser) Failed(key Key, now clock.Millis) {
	if st := ad.steps[key]; st != nil {
		st.busy, st.after = false, now+failedPause
	}
}

// Ticket returns the valid ticket of a step for a life of a worker, or an empty text.
func (ad *Adviser) Ticket(key Key, worker identifier.Worker, life workload.Life, now clock.Millis) string {
	st := ad.steps[key]
	if st == nil {
		return ""
	}
	ti := st.tickets[worker]
	if ti.life != life || ti.until-now < ticketMargin {
		return ""
	}
	return ti.text
}

// Approved counts the workers that were approved for a step.
func (ad *Adviser) Approved(key Key) int {
	if st := ad.steps[key]; st != nil {
		return len(st.tickets)
	}
	return 0
}

// Drop forgets what was said of a step.
func (ad *Adviser) Drop(key Key) { delete(ad.steps, key) }

// Forget drops all steps of a job.
func (ad *Adviser) Forget(job identifier.Job) {
	for key := range ad.steps {
		if key.Job == job {
			delete(ad.steps, key)
		}
	}
}
