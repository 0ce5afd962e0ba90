package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
)

// runTerm runs fn on the term of a leader of some workers, in a testing/synctest bubble.
func runTerm(t *testing.T, workers int, fn func(te *term)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := clock.NewRuntime()
		st := &lossyStore{cl: clock.NewFake(cl.Now())}
		co := &Controller{
			Dependencies: Dependencies{
				Store: st, Peers: quietPeers{}, Clock: cl, Log: zerolog.Nop(), Metrics: quietMetrics{},
				Reports: Reports{Decode: func(name string, _ []byte) (fleet.Report, error) {
					return fleet.Report{ID: identifier.Worker(name)}, nil
				}},
			},
			op: Options{MaxPolls: 1},
		}
		el := elector.New(st, quietPeers{}, cl, zerolog.Nop(), quietMetrics{}, elector.Options{Self: ledger.Leader{Instance: "self", Incarnation: "x", Address: "a"}})
		asserter.Equal(t, el.Acquire(context.Background()), true)
		te := newTerm(co, el)
		te.ctx, te.cancel = context.WithCancel(context.Background())
		defer te.cancel()
		reportHandler{te}.Changed(reportRows(0, workers))
		fn(te)
	})
}

func reportRows(from, to int) []rowstore.Row {
	var rows []rowstore.Row
	for i := from; i < to; i++ {
		rows = append(rows, rowstore.Row{Key: rowstore.Key{Name: fmt.Sprintf("w-%d", i)}, Version: 1})
	}
	return rows
}

// TestDispatch guards against a leader whose processor is full because each event costs a pass over
// the whole fleet (GANG, RECLAIM).
func TestDispatch(t *testing.T) {
	t.Run("the events of a second cost no more passes over all workers than its intervals", func(t *testing.T) {
		runTerm(t, 1100, func(te *term) {
			go te.runDispatcher()
			time.Sleep(time.Second)
			te.mu.Lock()
			te.passes = passTiming{}
			te.mu.Unlock()
			for i := range 200 {
				reportHandler{te}.Changed(reportRows(i, i+1))
				time.Sleep(5 * time.Millisecond)
			}
			te.mu.Lock()
			defer te.mu.Unlock()
			if intervals := int(clock.Second / passInterval); te.passes.count > intervals+1 {
				t.Errorf("%d passes in a second, not %d", te.passes.count, intervals)
			}
		})
	})
}
