package admitter

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

func TestAdmit(t *testing.T) {
	limits := Limits{Requests: 2, Unconfirmed: 1, Confirmed: true, UrgentAllowed: true}
	request := Request{Workspace: "w", Deadline: 1000}
	t.Run("admits requests up to the limit of the workspace", func(t *testing.T) {
		ad := New(8)
		asserter.NoError(t, ad.Admit(request, limits, 0))
		asserter.NoError(t, ad.Admit(request, limits, 0))
		asserter.Kind(t, ad.Admit(request, limits, 0), problem.TooManyRequests)
		asserter.NoError(t, ad.Admit(Request{Workspace: "other", Deadline: 1000}, limits, 0))
		ad.Release("w", 0)
		asserter.NoError(t, ad.Admit(request, limits, 0))
		asserter.Equal(t, ad.InFlight(), 3)
	})
	t.Run("applies the lower limit while the limits are unconfirmed", func(t *testing.T) {
		ad := New(8)
		unconfirmed := limits
		unconfirmed.Confirmed = false
		asserter.NoError(t, ad.Admit(request, unconfirmed, 0))
		asserter.Kind(t, ad.Admit(request, unconfirmed, 0), problem.TooManyRequests)
	})
	t.Run("refuses urgent requests of workspaces that may not send them", func(t *testing.T) {
		forbidden := limits
		forbidden.UrgentAllowed = false
		urgent := request
		urgent.Urgent = true
		asserter.Kind(t, New(8).Admit(urgent, forbidden, 0), problem.UrgentNotAllowed)
	})
	t.Run("refuses requests that would miss their deadline in the queue; urgent ones overtake", func(t *testing.T) {
		ad := New(1)
		many := Limits{Requests: 1000, Confirmed: true, UrgentAllowed: true}
		for range 10 {
			asserter.NoError(t, ad.Admit(Request{Workspace: "w", Deadline: 1000}, many, 0))
		}
		err := ad.Admit(Request{Workspace: "w", Deadline: 10}, many, 0)
		asserter.Kind(t, err, problem.DeadlineTooShort)
		asserter.Outcome(t, err, problem.NotRun)
		asserter.NoError(t, ad.Admit(Request{Workspace: "w", Deadline: 10, Urgent: true}, many, 0))
	})
}
