package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
)

type (
	// answeringWorkers answer each start and no poll.
	answeringWorkers struct {
		Workers
		cl clock.Clock
		// late is set if a start was sent whose latest moment had passed; starts counts those in time.
		late   atomic.Bool
		starts atomic.Int32
	}

	// noPolicies is a configuration that has not been read yet.
	noPolicies struct{}
)

func (aw *answeringWorkers) Start(_ context.Context, to fleet.Target, _ fleet.StartCommand) (fleet.Status, error) {
	if aw.cl.Now() >= to.SendBy {
		aw.late.Store(true)
		return fleet.Status{}, fleet.ErrNotSent
	}
	aw.starts.Add(1)
	return fleet.Status{}, nil
}

func (*answeringWorkers) Poll(ctx context.Context, _ fleet.Target, _ fleet.PollCommand) (fleet.Status, error) {
	<-ctx.Done()
	return fleet.Status{}, fleet.ErrNoAnswer
}

func (*answeringWorkers) CloseIdleConnections(fleet.Target) {}

func (noPolicies) Current() *policy.Policy { return nil }

func (noPolicies) Waves() []fleet.MaintenanceWave { return nil }

// runTerm runs fn on the term of a leader of some workers, in a testing/synctest bubble.
func runTerm(t *testing.T, workers int, fn func(te *term)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := clock.NewRuntime()
		st := &lossyStore{cl: clock.NewFake(cl.Now())}
		co := &Controller{
			Dependencies: Dependencies{
				Store: st, Workers: &answeringWorkers{cl: cl}, Peers: quietPeers{}, Policies: noPolicies{}, Clock: cl,
				Log: zerolog.Nop(), Metrics: quietMetrics{},
				Reports: Reports{Decode: func(name string, _ []byte) (fleet.Report, error) {
					return fleet.Report{ID: identifier.Worker(name), Address: name}, nil
				}},
			},
			op: Options{MaxPolls: 1},
		}
		el := elector.New(st, quietPeers{}, cl, zerolog.Nop(), quietMetrics{}, elector.Options{Self: ledger.Leader{Instance: "self", Incarnation: "x", Address: "a"}})
		asserter.Equal(t, el.Acquire(context.Background()), true)
		te := newTerm(co, el)
		te.ctx, te.cancel = context.WithCancel(context.Background())
		defer te.shutDown()
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

// addStartingJob adds a job of one task that is recorded as starting on a worker that has answered.
func addStartingJob(te *term, id identifier.Job, on identifier.Worker) {
	jo := &workload.Job{ID: id, Occurrences: 1, Steps: []workload.Step{{Count: 1}}}
	jo.AddDueStages(0)
	wo := te.workers[on]
	wo.contacted = true
	te.jobs[id] = &entry{job: jo}
	te.applyStart(planner.Start{Job: jo, Stage: jo.Stages[0], Placements: []planner.Placement{{Worker: on}}}, te.Clock.Now())
	wo.runs[jo.Key(jo.Stages[0], 0)].recorded = true
	te.mark(wo)
}

// TestQueuedCommands guards against commands that carry the permission of the moment at which they were
// queued, and so come to their turn expired, again and again, when the queue is long (GANG, RECLAIM).
func TestQueuedCommands(t *testing.T) {
	t.Run("a start that waited in the queue leaves with the permission of its turn", func(t *testing.T) {
		runTerm(t, 1, func(te *term) {
			go te.runDispatcher()
			for range commandWorkers {
				asserter.NoError(t, te.commands.Submit(true, func() { time.Sleep(3 * time.Second) }))
			}
			te.mu.Lock()
			addStartingJob(te, "j", "w-0")
			te.mu.Unlock()
			for range 4 {
				time.Sleep(time.Second)
				te.mu.Lock()
				te.renewedAt = te.Clock.Now()
				te.mu.Unlock()
			}
			wk, _ := te.Workers.(*answeringWorkers)
			asserter.Equal(t, wk.late.Load(), false)
			asserter.Equal(t, wk.starts.Load(), 1)
		})
	})
}
