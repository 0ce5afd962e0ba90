package adviser_test

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

var key = adviser.Key{Job: "5c0e7a21d94b36f8"}

// workers returns candidates of incarnation 1, in descending order of their number of runs.
func workers(count int) []adviser.Candidate {
	var all []adviser.Candidate
	for i := range count {
		all = append(all, adviser.Candidate{ID: identifier.Worker(fmt.Sprintf("w%02d", i)), Incarnation: 1, Runs: count - i})
	}
	return all
}

// approve answers a call with tickets for all its workers, valid for 3 s.
func approve(ad *adviser.Adviser, ask []identifier.Worker, sent clock.Millis) {
	incarnations, tickets := map[identifier.Worker]workload.Incarnation{}, map[identifier.Worker]string{}
	for _, id := range ask {
		incarnations[id], tickets[id] = 1, "ticket of "+string(id)
	}
	ad.Answered(key, incarnations, fleet.Advice{Tickets: tickets, Validity: 3000}, sent)
}

func TestWorkersToAsk(t *testing.T) {
	t.Run("the workers with the fewest runs are asked about first, up to the limit per call", func(t *testing.T) {
		ask := adviser.New().WorkersToAsk(key, workers(40), 5, 0)
		asserter.Equal(t, len(ask), 30)
		asserter.Equal(t, ask[0], "w39")
	})
	t.Run("a step has one call in progress at a time", func(t *testing.T) {
		ad := adviser.New()
		ad.WorkersToAsk(key, workers(3), 1, 0)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(3), 1, 0)), 0)
	})
	t.Run("no worker is asked about twice, and none once enough are approved", func(t *testing.T) {
		ad := adviser.New()
		approve(ad, ad.WorkersToAsk(key, workers(3), 5, 0), 0)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(3), 5, 0)), 0)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(4), 3, 0)), 0)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(4), 4, 0)), 1)
	})
	t.Run("tickets are renewed before they expire", func(t *testing.T) {
		ad := adviser.New()
		approve(ad, ad.WorkersToAsk(key, workers(3), 3, 0), 0)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(3), 3, 2500)), 3)
	})
	t.Run("a failed call is repeated only after a delay", func(t *testing.T) {
		ad := adviser.New()
		ad.WorkersToAsk(key, workers(3), 3, 0)
		ad.Failed(key, 100)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(3), 3, 200)), 0)
		asserter.Equal(t, len(ad.WorkersToAsk(key, workers(3), 3, 400)), 3)
	})
}

func TestTickets(t *testing.T) {
	ad := adviser.New()
	approve(ad, ad.WorkersToAsk(key, workers(1), 1, 0), 0)
	t.Run("a ticket is valid for one incarnation", func(t *testing.T) {
		asserter.Equal(t, ad.Ticket(key, "w00", 1, 1000), "ticket of w00")
		asserter.Equal(t, ad.Ticket(key, "w00", 2, 1000), "")
	})
	t.Run("a ticket that could expire before the command arrives is not used", func(t *testing.T) {
		asserter.Equal(t, ad.Ticket(key, "w00", 1, 2700), "")
	})
	t.Run("the tickets of a job are discarded with it", func(t *testing.T) {
		ad.DropJob(key.Job)
		asserter.Equal(t, ad.Ticket(key, "w00", 1, 1000), "")
		asserter.Equal(t, ad.Approved(key), 0)
	})
}
