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
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
)

const (
	// gangTimeout is how long the members of a gang wait for each other on their workers.
	gangTimeout = 1800 * clock.Millis(1)
	// accelerators is what each task requests, and workerAccelerators what a worker has.
	accelerators, workerAccelerators = 3, 8
)

type (
	// answeringWorkers answer each start and no poll.
	answeringWorkers struct {
		Workers
		cl clock.Clock
		// late is set if a start was sent whose latest moment had passed; starts counts those in time.
		late   atomic.Bool
		starts atomic.Int32
		// silent is a worker that answers no start; "" means none.
		silent identifier.Worker
		// stoppedAt is when a stop was last sent; 0 means never.
		stoppedAt atomic.Int64
	}

	// noPolicies is a configuration that has not been read yet.
	noPolicies struct{}
)

func (aw *answeringWorkers) Start(ctx context.Context, to fleet.Target, _ fleet.StartCommand) (fleet.Status, error) {
	if aw.cl.Now() >= to.SendBy {
		aw.late.Store(true)
		return fleet.Status{}, fleet.ErrNotSent
	}
	if to.ID == aw.silent {
		<-ctx.Done()
		return fleet.Status{}, fleet.ErrNoAnswer
	}
	aw.starts.Add(1)
	return fleet.Status{}, nil
}

func (aw *answeringWorkers) Stop(context.Context, fleet.Target, fleet.StopCommand) (fleet.Status, error) {
	aw.stoppedAt.Store(int64(aw.cl.Now()))
	return fleet.Status{}, nil
}

func (*answeringWorkers) Poll(ctx context.Context, _ fleet.Target, _ fleet.PollCommand) (fleet.Status, error) {
	<-ctx.Done()
	return fleet.Status{}, fleet.ErrNoAnswer
}

func (*answeringWorkers) CloseIdleConnections(fleet.Target) {}

func (noPolicies) Current() *policy.Policy { return nil }

func (noPolicies) Waves() []fleet.MaintenanceWave { return nil }

func (noPolicies) ConfirmedAt() clock.Millis { return 0 }

func (noPolicies) Evacuations() fleet.Evacuations { return nil }

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
					return fleet.Report{ID: identifier.Worker(name), Address: name, Capacity: workload.Resources{Accelerators: workerAccelerators}}, nil
				}},
			},
			op: Options{MaxPolls: 1, GangTimeout: gangTimeout},
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

// addStartingJob adds a job, a gang if it has several tasks, that is recorded as starting on workers that
// have answered. Its starts are not dispatched yet.
func addStartingJob(te *term, id identifier.Job, on ...identifier.Worker) {
	jo := &workload.Job{ID: id, Occurrences: 1, Steps: []workload.Step{{
		Count: len(on), Gang: len(on) > 1, Request: workload.Resources{Accelerators: accelerators},
	}}}
	jo.AddDueStages(0)
	te.jobs[id] = &entry{job: jo}
	start := planner.Start{Job: jo, Stage: jo.Stages[0]}
	for i, at := range on {
		te.workers[at].contacted = true
		start.Placements = append(start.Placements, planner.Placement{Index: i, Worker: at})
	}
	te.applyStart(start, te.Clock.Now())
	for i, at := range on {
		te.workers[at].runs[jo.Key(jo.Stages[0], i)].recorded = true
	}
}

// keepLeading renews the leadership once a second for some seconds.
func keepLeading(te *term, seconds int) {
	for range seconds {
		time.Sleep(time.Second)
		te.mu.Lock()
		te.renewedAt = te.Clock.Now()
		te.mu.Unlock()
	}
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
			te.mark(te.workers["w-0"])
			te.mu.Unlock()
			keepLeading(te, 4)
			wk, _ := te.Workers.(*answeringWorkers)
			asserter.Equal(t, wk.late.Load(), false)
			asserter.Equal(t, wk.starts.Load(), 1)
		})
	})
}

// TestExpiredGang guards against members of a gang that wait on their workers until they end alone,
// because another member starts too late or never (GANG).
func TestExpiredGang(t *testing.T) {
	expect := func(t *testing.T, te *term, began clock.Millis) {
		t.Helper()
		wk, _ := te.Workers.(*answeringWorkers)
		asserter.Equal(t, wk.starts.Load(), 1)
		if at := clock.Millis(wk.stoppedAt.Load()); at == 0 || at-began >= gangTimeout {
			t.Errorf("the member that has started is stopped at %d, not within %d ms", at, gangTimeout)
		}
	}
	t.Run("a gang one member of which waits in the queue is given up whole", func(t *testing.T) {
		runTerm(t, 2, func(te *term) {
			go te.runDispatcher()
			time.Sleep((passInterval * 3 / 2).Duration()) // between two passes
			for range commandWorkers - 1 {
				asserter.NoError(t, te.commands.Submit(true, func() { time.Sleep(8 * time.Second) }))
			}
			te.mu.Lock()
			began := te.Clock.Now()
			addStartingJob(te, "g", "w-0", "w-1")
			te.mark(te.workers["w-0"])
			te.mu.Unlock()
			synctest.Wait()
			for range 20 {
				asserter.NoError(t, te.commands.Submit(false, func() { time.Sleep(100 * time.Millisecond) }))
			}
			keepLeading(te, 4)
			expect(t, te, began)
		})
	})
	t.Run("a gang one member of which is never answered is given up whole", func(t *testing.T) {
		runTerm(t, 2, func(te *term) {
			wk, _ := te.Workers.(*answeringWorkers)
			wk.silent = "w-1"
			go te.runDispatcher()
			te.mu.Lock()
			began := te.Clock.Now()
			addStartingJob(te, "g", "w-0", "w-1")
			te.mark(te.workers["w-0"])
			te.mark(te.workers["w-1"])
			te.mu.Unlock()
			keepLeading(te, 4)
			expect(t, te, began)
		})
	})
}

// TestOutstandingStarts guards against a new leader that starts nothing because it waits for workers
// that it cannot reach (LOST).
func TestOutstandingStarts(t *testing.T) {
	t.Run("runs of a former leader are not outstanding", func(t *testing.T) {
		runTerm(t, 500, func(te *term) {
			before := te.startLimit().Normal
			for i := range 500 {
				jo := &workload.Job{ID: identifier.Job(fmt.Sprintf("j-%d", i)), Occurrences: 1, Steps: []workload.Step{{Count: 1}}}
				jo.AddDueStages(0)
				te.jobs[jo.ID] = &entry{job: jo}
				jo.Stages[0].Tasks[0] = workload.Task{Phase: workload.Starting, Run: 1, Worker: identifier.Worker(fmt.Sprintf("w-%d", i))}
				te.workers[jo.Stages[0].Tasks[0].Worker].expectRun(jo.Key(jo.Stages[0], 0), &jo.Stages[0].Tasks[0])
			}
			asserter.Equal(t, te.startLimit().Normal, before)
		})
	})
	t.Run("starts that have not left are outstanding, and those without an answer are not", func(t *testing.T) {
		runTerm(t, 2, func(te *term) {
			before := te.startLimit().Normal
			addStartingJob(te, "g", "w-0", "w-1")
			asserter.Equal(t, te.startLimit().Normal, before-2)
			for _, wo := range te.workers {
				for _, pl := range wo.runs {
					pl.startSent, pl.tries = true, 1
				}
			}
			asserter.Equal(t, te.startLimit().Normal, before)
		})
	})
}

// TestShrunkCapacity guards against a start that was planned before its worker's capacity shrank and
// leaves after it (LIMIT).
func TestShrunkCapacity(t *testing.T) {
	for name, ex := range map[string]struct {
		capacity meter.Accelerators
		starts   int32
	}{"it has shrunk below what runs there": {4, 1}, "it still suffices": {6, 2}} {
		t.Run(name, func(t *testing.T) {
			runTerm(t, 1, func(te *term) {
				go te.runDispatcher()
				time.Sleep((passInterval * 3 / 2).Duration()) // between two passes
				te.mu.Lock()
				wo := te.workers["w-0"]
				addStartingJob(te, "a", "w-0")
				te.mark(wo)
				te.mu.Unlock()
				synctest.Wait()
				for range commandWorkers {
					asserter.NoError(t, te.commands.Submit(true, func() { time.Sleep(500 * time.Millisecond) }))
				}
				te.mu.Lock()
				addStartingJob(te, "b", "w-0")
				te.mark(wo)
				te.mu.Unlock()
				synctest.Wait()
				te.mu.Lock()
				wo.report.Capacity.Accelerators = ex.capacity
				te.mu.Unlock()
				keepLeading(te, 2)
				wk, _ := te.Workers.(*answeringWorkers)
				asserter.Equal(t, wk.starts.Load(), ex.starts)
				asserter.Equal(t, len(wo.runs), int(ex.starts))
			})
		})
	}
}
