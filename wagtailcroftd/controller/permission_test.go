package controller

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

const answerTime = 900 * clock.Millis(1)

type (
	// lossyStore applies each write, and answers it with the next error after answerTime.
	lossyStore struct {
		Store
		cl  *clock.Fake
		row rowstore.Row
		// lost is how many of the next answers are lost.
		lost int
	}

	// eagerClock ends each wait at once and moves the time by its length.
	eagerClock struct{ *clock.Fake }

	// quietPeers never answer a request for a transfer.
	quietPeers struct{ Peers }

	quietMetrics struct{}
)

// After returns a channel that holds a value.
func (ec eagerClock) After(d clock.Millis) <-chan struct{} {
	ch := make(chan struct{}, 1)
	ec.Advance(d)
	ch <- struct{}{}
	return ch
}

func (quietPeers) RequestTransfer(context.Context, meter.LeaseEpoch, int64) {}

func (quietPeers) AwaitExit(ctx context.Context, _ string) bool { <-ctx.Done(); return false }

func (quietPeers) TermEnded(context.Context, ledger.FormerLeader) ([]fleet.EndedRun, bool) {
	return nil, false
}

func (quietPeers) Ping(context.Context, string) bool { return true }

func (quietMetrics) Count(string, string)      {}
func (quietMetrics) Add(string, string, int64) {}

func (quietMetrics) Observe(string, clock.Millis) {}

func (*lossyStore) CloseIdleConnections() {}

func (st *lossyStore) Read(context.Context, rowstore.Table, string, string, int) (rowstore.Page, error) {
	return rowstore.Page{Version: st.row.Version}, nil
}

func (st *lossyStore) Watch(_ context.Context, _ rowstore.Table, _ meter.RowVersion, wait clock.Millis) (rowstore.Page, error) {
	st.cl.Advance(wait)
	return rowstore.Page{Version: st.row.Version}, nil
}

func (st *lossyStore) Write(_ context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	if tr.Preconditions[0].Version != st.row.Version {
		return 0, &rowstore.ConflictError{Rows: []rowstore.Row{st.row}}
	}
	st.row = rowstore.Row{Key: recorder.LeadershipKey, Value: tr.Puts[0].Value, Version: st.row.Version + 1}
	if st.lost > 0 {
		st.lost--
		st.cl.Advance(answerTime)
		return 0, rowstore.ErrOutcomeUnknown
	}
	return st.row.Version, nil
}

// newTestTerm returns the term of a leader that has just acquired the leadership.
func newTestTerm(t *testing.T) (*term, *lossyStore) {
	t.Helper()
	st := &lossyStore{cl: clock.NewFake(1000)}
	co := &Controller{Dependencies: Dependencies{Store: st, Peers: quietPeers{}, Clock: eagerClock{st.cl}, Log: zerolog.Nop(), Metrics: quietMetrics{}}, op: Options{MaxPolls: 1}}
	el := elector.New(st, quietPeers{}, st.cl, zerolog.Nop(), quietMetrics{}, elector.Options{Self: ledger.Leader{Instance: "self", Incarnation: "x", Address: "a"}})
	asserter.Equal(t, el.Acquire(context.Background()), true)
	te := newTerm(co, el)
	te.ctx, te.cancel = context.WithCancel(context.Background())
	t.Cleanup(te.cancel)
	return te, st
}

func TestPermission(t *testing.T) {
	t.Run("it lasts from when a renewal was sent", func(t *testing.T) {
		te, st := newTestTerm(t)
		st.cl.Advance(500)
		sent := st.cl.Now()
		ok := te.writeChanges(nil, extras{renew: true})
		asserter.Equal(t, ok, true)
		asserter.Equal(t, te.changeBy(), sent+elector.ExclusivePeriod)
	})
	t.Run("a renewal whose answer was lost counts from its first try, because standbys saw it then", func(t *testing.T) {
		te, st := newTestTerm(t)
		sent := st.cl.Now()
		st.lost = 1
		ok := te.writeChanges(nil, extras{renew: true})
		asserter.Equal(t, ok, true)
		asserter.Equal(t, te.renewedAt, sent)
		asserter.Equal(t, st.cl.Now() >= te.changeBy(), true)
	})
	t.Run("there is none after an offer, until a renewal has ended it", func(t *testing.T) {
		te, _ := newTestTerm(t)
		te.transferEndsAt = te.attempted + 1
		asserter.Equal(t, te.changeBy(), 0)
		ok := te.writeChanges(nil, extras{renew: true})
		asserter.Equal(t, ok, true)
		asserter.Equal(t, te.changeBy() > 0, true)
	})
	t.Run("renewals come earlier when commits are slow, and at once to end a request", func(t *testing.T) {
		pe := permission{renewedAt: 1000}
		asserter.Equal(t, pe.renewAt(), 1000+renewInterval)
		pe.commitTime = 200
		asserter.Equal(t, pe.renewAt(), 1400)
		pe.commitTime = 5000
		asserter.Equal(t, pe.renewAt(), 1000+minRenewInterval)
		pe.requestEndsAt = 1
		asserter.Equal(t, pe.renewAt(), 1000)
	})
}
