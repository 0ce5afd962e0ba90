package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/leaser"
)

const (
	shortWork = `{"runMillis":1000}`
	longWork  = `{"runMillis":600000}`
)

// hasResult checks that the result of a job is whole.
func (sc *scene) hasResult(id identifier.Job, ws identifier.Workspace, members int) {
	sc.t.Helper()
	result, err := sc.daemons[0].Jobs.Result(context.Background(), ws, id)
	asserter.OK(sc.t, err)
	asserter.Equal(sc.t, len(result.Parts), members)
}

func TestGang(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	t.Run("runs whole and leaves a whole result", func(*testing.T) {
		id := sc.mustSubmit("gang", shortWork)
		sc.pass(4 * clock.Second)
		sc.inState(id, rows.JobRowStateDone)
		sc.hasResult(id, "studio", 2)
		sc.wholeGangs()
	})
	t.Run("is stored once for a key", func(t *testing.T) {
		first, err := sc.submit(0, "studio", "same", 2, shortWork)
		asserter.OK(t, err)
		second, err := sc.submit(1, "studio", "same", 2, shortWork)
		asserter.OK(t, err)
		asserter.Equal(t, first, second)
		_, err = sc.submit(1, "studio", "same", 1, shortWork)
		asserter.Kind(t, err, problem.KeyReused)
	})
	t.Run("of another workspace cannot be seen", func(t *testing.T) {
		id := sc.mustSubmit("private", shortWork)
		_, err := sc.daemons[0].Jobs.Get(context.Background(), "other", id)
		asserter.Kind(t, err, problem.NotFound)
		_, err = sc.daemons[0].Jobs.Cancel(context.Background(), "other", id)
		asserter.Kind(t, err, problem.NotFound)
	})
	t.Run("is checked against the newest table, also where that is not in force yet", func(t *testing.T) {
		behind := newScene(t, 2)
		behind.setRow("studio")
		ce := cells()
		ce.Limits.Accelerators = 8
		_, err := behind.daemons[0].Table.Apply(context.Background(), configurer.Edit{Workspace: "studio", Expected: behind.version(0, "studio"), Cells: ce})
		asserter.OK(t, err)
		_, err = behind.submit(1, "studio", "above the limit", 2, shortWork)
		asserter.Kind(t, err, problem.ImpossibleJob)
	})
	t.Run("that can never run is refused", func(t *testing.T) {
		_, err := sc.submit(0, "studio", "large", 3, shortWork)
		asserter.Kind(t, err, problem.ImpossibleJob)
		asserter.Outcome(t, err, problem.NotRun)
	})
}

func TestCancel(t *testing.T) {
	sc := newScene(t, 1)
	sc.setRow("studio")
	cancel := func(id identifier.Job) {
		_, err := sc.daemons[0].Jobs.Cancel(context.Background(), "studio", id)
		asserter.OK(t, err)
	}
	t.Run("before the start: certainly not run", func(t *testing.T) {
		id := sc.mustSubmit("early", longWork)
		cancel(id)
		sc.pass(soon)
		sc.inState(id, rows.JobRowStateCancelled)
		asserter.Equal(t, sc.job(id).Outcome, types.OutcomeNotRun)
		asserter.Equal(t, sc.platform.Audit().GangsStarted, 0)
	})
	t.Run("while it runs: as a whole, and its block is free", func(t *testing.T) {
		id := sc.mustSubmit("running", longWork)
		sc.pass(soon)
		sc.inState(id, rows.JobRowStateRunning)
		cancel(id)
		sc.pass(soon)
		sc.inState(id, rows.JobRowStateCancelled)
		asserter.Equal(t, sc.job(id).Outcome, types.OutcomeFailed)
		sc.wholeGangs()
	})
	t.Run("a wave frees its blocks at once", func(*testing.T) {
		var ids []identifier.Job
		for i := range 8 {
			ids = append(ids, sc.mustSubmit(identifier.Key(fmt.Sprintf("wave-%d", i)), longWork))
		}
		sc.pass(soon)
		for _, id := range ids {
			cancel(id)
		}
		after := sc.mustSubmit("after", longWork)
		sc.pass(soon)
		sc.inState(after, rows.JobRowStateRunning)
		sc.wholeGangs()
	})
}

// TestDeathAtAnyCall lets the scheduler of the zone die at each of its calls in turn. The
// other instance must finish or undo what it left.
func TestDeathAtAnyCall(t *testing.T) {
	for calls := range 24 {
		t.Run(fmt.Sprintf("after %d calls", calls), func(t *testing.T) {
			sc := newScene(t, 2)
			sc.setRow("studio")
			id := sc.mustSubmit("gang", shortWork)
			dying := sc.scheduler()
			sc.doers[dying].left = calls
			sc.run(1)
			sc.paused[dying] = true
			sc.pass(4 * lease)
			if row, _ := sc.daemons[1-dying].Jobs.Get(context.Background(), "studio", id); row.State != rows.JobRowStateDone {
				t.Fatalf("the job is %s: %s", row.State, row.Reason)
			}
			sc.wholeGangs()
		})
	}
}

// staleGrant lets an executor believe that it still holds the lease.
type staleGrant struct{ grant leaser.Grant }

func (sg staleGrant) Scheduler() (leaser.Grant, bool) { return sg.grant, true }

func TestPausedHolderIsFenced(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	running := sc.mustSubmit("running", longWork)
	sc.pass(soon)
	old := sc.scheduler()
	grant, _ := sc.daemons[old].Leases.Scheduler()
	sc.paused[old] = true
	sc.pass(2 * lease)
	fresh := sc.scheduler()
	asserter.Equal(t, fresh, 1-old)
	queued, err := sc.submit(fresh, "studio", "queued", 2, longWork)
	asserter.OK(t, err)
	_, err = sc.daemons[fresh].Jobs.Cancel(context.Background(), "studio", running)
	asserter.OK(t, err)
	t.Run("it knows by its own clock", func(t *testing.T) {
		_, held := sc.daemons[old].Leases.Scheduler()
		asserter.Equal(t, held, false)
	})
	t.Run("if it acts all the same, nothing changes", func(t *testing.T) {
		sc.daemons[old].Gangs.Leases = staleGrant{grant: grant}
		for range 4 {
			_ = sc.daemons[old].Gangs.Step(context.Background())
		}
		sc.inState(queued, rows.JobRowStateQueued)
		sc.inState(running, rows.JobRowStateRunning)
		asserter.Equal(t, sc.platform.Audit().GangsStarted, 1)
	})
	t.Run("its commands are refused by the workers", func(t *testing.T) {
		batch := platform.TaskBatch{Zone: kochi, Epoch: grant.Epoch, Commands: []platform.TaskCommand{{
			Task: identifier.TaskFor(running, 1, 0), JobID: running, Worker: "kochi-r00-w00", Action: platform.TaskCommandActionStop, Epoch: grant.Epoch,
		}}}
		sc.run(1) // the fresh holder commands first
		_, err := sc.daemons[old].Gangs.Store.Command(context.Background(), batch)
		asserter.Kind(t, err, problem.Fenced)
	})
	t.Run("the fresh holder goes on", func(*testing.T) {
		sc.pass(soon)
		sc.inState(running, rows.JobRowStateCancelled)
		sc.inState(queued, rows.JobRowStateRunning)
		sc.wholeGangs()
	})
}

func TestFailures(t *testing.T) {
	t.Run("a worker that fails everything is quarantined, and the jobs run elsewhere", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("studio")
		bad := identifier.Worker("kochi-r00-w00")
		sc.platform.Change(func(fa *platform.Faults) { fa.FailingWorkers = []identifier.Worker{bad} })
		var ids []identifier.Job
		for i := range 4 {
			ids = append(ids, sc.mustSubmit(identifier.Key(fmt.Sprintf("job-%d", i)), shortWork))
		}
		sc.pass(20 * clock.Second)
		for _, id := range ids {
			sc.inState(id, rows.JobRowStateDone)
			asserter.Equal(t, slices.Contains(sc.job(id).Workers, bad), false)
		}
		asserter.Equal(t, len(sc.daemons[0].Gangs.Quarantined()), 1)
		sc.wholeGangs()
	})
	t.Run("a job that fails everywhere is stopped and takes no worker with it", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("studio")
		id := sc.mustSubmit("bad", `{"fail":true}`)
		sc.pass(20 * clock.Second)
		sc.inState(id, rows.JobRowStateFailed)
		asserter.Equal(t, len(sc.daemons[0].Gangs.Quarantined()), 0)
		sc.wholeGangs()
	})
	t.Run("reports that lag are not acted on twice", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("studio")
		sc.platform.Change(func(fa *platform.Faults) { fa.ReportLagMillis = 2 * clock.Second })
		id := sc.mustSubmit("lagging", shortWork)
		sc.pass(10 * clock.Second)
		sc.inState(id, rows.JobRowStateDone)
		asserter.Equal(t, sc.job(id).Attempt, 1)
	})
	t.Run("held tasks whose lease lapses while their holder is paused", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("studio")
		id := sc.mustSubmit("lapsed", shortWork)
		sc.doers[0].left = 8 // dies after the members are leased
		sc.run(1)
		sc.doers[0].left = -1
		sc.clock.Advance(clock.Minute)
		sc.pass(2 * lease)
		sc.inState(id, rows.JobRowStateDone)
		sc.wholeGangs()
	})
}

// TestOnce: an invoice-bearing render may be continued from a checkpoint, never repeated.
func TestOnce(t *testing.T) {
	once := func(sc *scene, key identifier.Key, work string) identifier.Job {
		row, err := sc.daemons[0].Jobs.Submit(context.Background(), "studio", caller.JobBody{
			Key: key, Kind: caller.JobBodyKindReRender, Class: types.ClassNormal, ExpectedMillis: 60_000, Payload: work, Once: true,
			Shape: types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack},
		})
		asserter.OK(t, err)
		return row.JobID
	}
	t.Run("an attempt that failed is not repeated", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("studio")
		sc.platform.Change(func(fa *platform.Faults) { fa.FailingWorkers = []identifier.Worker{"kochi-r00-w00", "kochi-r01-w00"} })
		id := once(sc, "fails", shortWork)
		sc.pass(10 * clock.Second)
		sc.inState(id, rows.JobRowStateFailed)
		asserter.Equal(t, sc.platform.Audit().GangsStarted, 1)
	})
	t.Run("one that moves is continued", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("studio")
		id := once(sc, "moves", longWork)
		sc.pass(soon)
		from := identifier.Target(sc.job(id).Workers[0])
		asserter.OK(t, sc.daemons[0].Table.Drain(context.Background(), from, false))
		sc.pass(4 * clock.Second)
		sc.inState(id, rows.JobRowStateRunning)
		asserter.Equal(t, sc.job(id).Attempt, 2)
	})
}

func TestGuarantee(t *testing.T) {
	sc := newScene(t, 1)
	sc.setRow("studio")
	sc.setRow("hotels", types.Guarantee{Zone: kochi, Count: 1, Shape: types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack}})
	var borrowed []identifier.Job
	for i := range 2 {
		borrowed = append(borrowed, sc.mustSubmit(identifier.Key(fmt.Sprintf("borrowed-%d", i)), longWork))
	}
	sc.pass(soon)
	own, err := sc.submit(0, "hotels", "own", 2, shortWork)
	asserter.OK(t, err)
	sc.pass(3 * clock.Second)
	t.Run("is reclaimed from borrowed work", func(t *testing.T) {
		asserter.Equal(t, sc.job(own).Guaranteed, true)
		states := []rows.JobRowState{sc.job(borrowed[0]).State, sc.job(borrowed[1]).State}
		asserter.Equal(t, slices.Contains(states, rows.JobRowStateRunning), true)
	})
	t.Run("what was preempted goes on afterwards", func(*testing.T) {
		sc.pass(6 * clock.Second)
		sc.inState(own, rows.JobRowStateDone)
		for _, id := range borrowed {
			sc.inState(id, rows.JobRowStateRunning)
		}
		sc.wholeGangs()
	})
	t.Run("survives a change of the scheduler", func(t *testing.T) {
		again, err := sc.submit(0, "hotels", "again", 2, longWork)
		asserter.OK(t, err)
		sc.pass(4 * clock.Second)
		asserter.Equal(t, sc.job(again).Guaranteed, true)
		sc.add(kochi)
		sc.paused[0] = true
		sc.pass(3 * lease)
		row, err := sc.daemons[1].Jobs.Get(context.Background(), "", again)
		asserter.OK(t, err)
		asserter.Equal(t, row.State, rows.JobRowStateRunning)
		asserter.Equal(t, row.Attempt, 1)
	})
}

func TestDrainingWorker(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	id := sc.mustSubmit("moved", longWork)
	sc.pass(soon)
	from := sc.job(id).Workers[0]
	asserter.OK(t, sc.daemons[0].Table.Drain(context.Background(), identifier.Target(from), false))
	sc.pass(4 * clock.Second)
	sc.inState(id, rows.JobRowStateRunning)
	asserter.Equal(t, slices.Contains(sc.job(id).Workers, from), false)
	asserter.Equal(t, meter.Members(len(sc.job(id).Workers)), 2)
	sc.wholeGangs()
}
