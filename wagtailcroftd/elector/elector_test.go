package elector_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

type (
	// store holds one row of a leader. Reads take no time, and each write advances the clock.
	store struct {
		cl        *clock.Fake
		row       rowstore.Row
		writeTime clock.Millis
		// onWatch is called by each Watch.
		onWatch func()
	}

	noPeers struct{}

	noMetrics struct{}
)

func (noMetrics) Count(string, string) {}

func (noPeers) AwaitExit(ctx context.Context, _ string) bool { <-ctx.Done(); return false }

func (noPeers) Ping(context.Context, string) bool { return true }

func (st *store) Write(_ context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	st.row = rowstore.Row{Key: recorder.LeadershipKey, Value: tr.Puts[0].Value, Version: st.row.Version + 1}
	st.cl.Advance(st.writeTime)
	return st.row.Version, nil
}

func (st *store) Read(context.Context, rowstore.Table, string, string, int) (rowstore.Page, error) {
	return rowstore.Page{Rows: []rowstore.Row{st.row}, Version: st.row.Version}, nil
}

func (st *store) Watch(_ context.Context, _ rowstore.Table, _ meter.RowVersion, wait clock.Millis) (rowstore.Page, error) {
	st.cl.Advance(wait)
	st.onWatch()
	return rowstore.Page{Rows: []rowstore.Row{st.row}, Version: st.row.Version}, nil
}

func (*store) CloseIdleConnections() {}

// renew writes the leader's row with a number of renewals.
func (st *store) renew(renewals int64) {
	leader := ledger.Leader{Instance: "other", Incarnation: "x", Address: "a", Fence: 3, Renewals: renewals}
	st.row = rowstore.Row{Key: recorder.LeadershipKey, Value: recorder.Encode(leader), Version: st.row.Version + 1}
}

func newElector(st *store) *elector.Elector {
	return elector.New(st, noPeers{}, st.cl, zerolog.Nop(), noMetrics{}, elector.Options{
		Self: ledger.Leader{Instance: "self", Incarnation: "y", Address: "b"}, TakeoverTimeout: 2250,
	})
}

func TestAcquire(t *testing.T) {
	t.Run("the leadership counts from the moment at which its transaction was sent", func(t *testing.T) {
		st := &store{cl: clock.NewFake(1000), writeTime: 5000, onWatch: func() {}}
		el := newElector(st)
		asserter.Equal(t, el.Acquire(context.Background()), true)
		asserter.Equal(t, el.AcquiredAt() <= st.cl.Now()-5000, true)
	})
	for name, endsAtRenewal := range map[string]int64{"a request that a renewal has ended is not followed": 8, "a request is followed until a renewal ends it": 9} {
		t.Run(name, func(t *testing.T) {
			st := &store{cl: clock.NewFake(1000)}
			st.renew(8)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			el := newElector(st)
			watches := 0
			st.onWatch = func() {
				switch watches++; watches {
				case 1:
					el.AcceptTransfer(3, endsAtRenewal)
				case 2:
					cancel()
				}
			}
			asserter.Equal(t, el.Acquire(ctx), endsAtRenewal > 8)
		})
	}
}

// TestFormers guards against a leader that forgets one before the former, which may still grant leases
// (TWICE).
func TestFormers(t *testing.T) {
	first := ledger.FormerLeader{Instance: "first", Incarnation: "f", Fence: 2, Address: "c"}
	other := ledger.FormerLeader{Instance: "other", Incarnation: "x", Fence: 3, Address: "a"}
	own := ledger.FormerLeader{Instance: "self", Incarnation: "w", Fence: 1, Address: "b"}
	earlier := ledger.FormerLeader{Instance: "other", Incarnation: "x", Fence: 1, Address: "a"}
	for name, ex := range map[string]struct {
		instance identifier.Instance
		formers  []ledger.FormerLeader
		want     []ledger.FormerLeader
	}{
		"the replaced leader":                           {"other", nil, []ledger.FormerLeader{other}},
		"the replaced leader and the one before":        {"other", []ledger.FormerLeader{first}, []ledger.FormerLeader{first, other}},
		"none if the leader has released leadership":    {"", nil, nil},
		"the one before a leader that has released":     {"", []ledger.FormerLeader{first}, []ledger.FormerLeader{first}},
		"no process of the own instance":                {"other", []ledger.FormerLeader{own}, []ledger.FormerLeader{other}},
		"one term of a process that has led repeatedly": {"other", []ledger.FormerLeader{earlier}, []ledger.FormerLeader{other}},
	} {
		t.Run(name, func(t *testing.T) {
			st := &store{cl: clock.NewFake(1000), onWatch: func() {}}
			replaced := ledger.Leader{Instance: ex.instance, Incarnation: "x", Address: "a", Fence: 3, Formers: ex.formers}
			st.row = rowstore.Row{Key: recorder.LeadershipKey, Value: recorder.Encode(replaced), Version: 1}
			el := newElector(st)
			asserter.Equal(t, el.Acquire(context.Background()), true)
			asserter.Equal(t, fmt.Sprint(el.Leader().Formers), fmt.Sprint(ex.want))
		})
	}
}
