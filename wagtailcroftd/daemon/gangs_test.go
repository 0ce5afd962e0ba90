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

// staleGrant makes an executor act as if it still held the scheduler lease.
type staleGrant struct{ grant leaser.Grant }

// assertResult checks that the result of a job has one part per member.
func (ha *harness) assertResult(id identifier.Job, ws identifier.Workspace, members int) {
	ha.t.Helper()
	result, err := ha.daemons[0].Jobs.Result(context.Background(), ws, id)
	asserter.NoError(ha.t, err)
	asserter.Equal(ha.t, len(result.Parts), members)
}

func TestGang(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	t.Run("runs all members and stores a complete result", func(*testing.T) {
		id := ha.mustSubmit("gang", shortWork)
		ha.passTime(4 * clock.Second)
		ha.assertState(id, rows.JobRowStateDone)
		ha.assertResult(id, "studio", 2)
		ha.assertGangsConsistent()
	})
	t.Run("is stored once per key", func(t *testing.T) {
		first, err := ha.submit(0, "studio", "same", 2, shortWork)
		asserter.NoError(t, err)
		second, err := ha.submit(1, "studio", "same", 2, shortWork)
		asserter.NoError(t, err)
		asserter.Equal(t, first, second)
		_, err = ha.submit(1, "studio", "same", 1, shortWork)
		asserter.Kind(t, err, problem.KeyReused)
	})
	t.Run("of another workspace can be neither read nor cancelled", func(t *testing.T) {
		id := ha.mustSubmit("private", shortWork)
		_, err := ha.daemons[0].Jobs.Get(context.Background(), "other", id)
		asserter.Kind(t, err, problem.NotFound)
		_, err = ha.daemons[0].Jobs.Cancel(context.Background(), "other", id)
		asserter.Kind(t, err, problem.NotFound)
	})
	t.Run("is checked against the newest table, even on an instance where it is not in force yet", func(t *testing.T) {
		behind := newHarness(t, 2)
		behind.setRow("studio")
		ce := cells()
		ce.Limits.Accelerators = 8
		_, err := behind.daemons[0].Table.Apply(context.Background(), configurer.Edit{Workspace: "studio", Expected: behind.version(0, "studio"), Cells: ce})
		asserter.NoError(t, err)
		_, err = behind.submit(1, "studio", "above the limit", 2, shortWork)
		asserter.Kind(t, err, problem.ImpossibleJob)
	})
	t.Run("that can never run is rejected", func(t *testing.T) {
		_, err := ha.submit(0, "studio", "large", 3, shortWork)
		asserter.Kind(t, err, problem.ImpossibleJob)
		asserter.Outcome(t, err, problem.NotRun)
	})
}

func TestCancel(t *testing.T) {
	ha := newHarness(t, 1)
	ha.setRow("studio")
	cancel := func(id identifier.Job) {
		_, err := ha.daemons[0].Jobs.Cancel(context.Background(), "studio", id)
		asserter.NoError(t, err)
	}
	t.Run("before the start, the outcome is not run", func(t *testing.T) {
		id := ha.mustSubmit("early", longWork)
		cancel(id)
		ha.passTime(shortWait)
		ha.assertState(id, rows.JobRowStateCancelled)
		asserter.Equal(t, ha.job(id).Outcome, types.OutcomeNotRun)
		asserter.Equal(t, ha.platform.Audit().GangsStarted, 0)
	})
	t.Run("while it runs, all members stop and the block is freed", func(t *testing.T) {
		id := ha.mustSubmit("running", longWork)
		ha.passTime(shortWait)
		ha.assertState(id, rows.JobRowStateRunning)
		cancel(id)
		ha.passTime(shortWait)
		ha.assertState(id, rows.JobRowStateCancelled)
		asserter.Equal(t, ha.job(id).Outcome, types.OutcomeFailed)
		ha.assertGangsConsistent()
	})
	t.Run("cancelling many jobs frees their blocks at once", func(*testing.T) {
		var ids []identifier.Job
		for i := range 8 {
			ids = append(ids, ha.mustSubmit(identifier.Key(fmt.Sprintf("wave-%d", i)), longWork))
		}
		ha.passTime(shortWait)
		for _, id := range ids {
			cancel(id)
		}
		after := ha.mustSubmit("after", longWork)
		ha.passTime(shortWait)
		ha.assertState(after, rows.JobRowStateRunning)
		ha.assertGangsConsistent()
	})
}

// TestSchedulerCrashAtAnyCall simulates a crash of the scheduler of the zone after each number
// of calls to the platform. The other instance must complete or undo the half-finished changes.
func TestSchedulerCrashAtAnyCall(t *testing.T) {
	for calls := range 24 {
		t.Run(fmt.Sprintf("after %d calls", calls), func(t *testing.T) {
			ha := newHarness(t, 2)
			ha.setRow("studio")
			id := ha.mustSubmit("gang", shortWork)
			crashed := ha.scheduler()
			ha.doers[crashed].callsLeft = calls
			ha.runTicks(1)
			ha.paused[crashed] = true
			ha.passTime(4 * leaseTime)
			if row, _ := ha.daemons[1-crashed].Jobs.Get(context.Background(), "studio", id); row.State != rows.JobRowStateDone {
				t.Fatalf("the job is in state %s: %s", row.State, row.Reason)
			}
			ha.assertGangsConsistent()
		})
	}
}

func (sg staleGrant) SchedulerGrant() (leaser.Grant, bool) { return sg.grant, true }

func TestPausedSchedulerIsFenced(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	running := ha.mustSubmit("running", longWork)
	ha.passTime(shortWait)
	former := ha.scheduler()
	grant, _ := ha.daemons[former].Leases.SchedulerGrant()
	ha.paused[former] = true
	ha.passTime(2 * leaseTime)
	successor := ha.scheduler()
	asserter.Equal(t, successor, 1-former)
	queued, err := ha.submit(successor, "studio", "queued", 2, longWork)
	asserter.NoError(t, err)
	_, err = ha.daemons[successor].Jobs.Cancel(context.Background(), "studio", running)
	asserter.NoError(t, err)
	t.Run("it detects the expiry by its own clock", func(t *testing.T) {
		_, held := ha.daemons[former].Leases.SchedulerGrant()
		asserter.Equal(t, held, false)
	})
	t.Run("if it still acts, nothing changes", func(t *testing.T) {
		ha.daemons[former].Executor.Leases = staleGrant{grant: grant}
		for range 4 {
			_ = ha.daemons[former].Executor.Step(context.Background())
		}
		ha.assertState(queued, rows.JobRowStateQueued)
		ha.assertState(running, rows.JobRowStateRunning)
		asserter.Equal(t, ha.platform.Audit().GangsStarted, 1)
	})
	t.Run("its commands are refused by the workers", func(t *testing.T) {
		batch := platform.TaskBatch{Zone: kochi, Epoch: grant.Epoch, Commands: []platform.TaskCommand{{
			Task: identifier.MemberTask(running, 1, 0), JobID: running, Worker: "kochi-r00-w00", Action: platform.TaskCommandActionStop, Epoch: grant.Epoch,
		}}}
		ha.runTicks(1) // the new scheduler sends commands with its newer epoch first
		_, err := ha.daemons[former].Executor.Store.Command(context.Background(), batch)
		asserter.Kind(t, err, problem.Fenced)
	})
	t.Run("the new scheduler continues", func(*testing.T) {
		ha.passTime(shortWait)
		ha.assertState(running, rows.JobRowStateCancelled)
		ha.assertState(queued, rows.JobRowStateRunning)
		ha.assertGangsConsistent()
	})
}

func TestFailures(t *testing.T) {
	t.Run("a worker that fails everything is quarantined, and the jobs run elsewhere", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("studio")
		bad := identifier.Worker("kochi-r00-w00")
		ha.platform.EditFaults(func(fa *platform.Faults) { fa.FailingWorkers = []identifier.Worker{bad} })
		var ids []identifier.Job
		for i := range 4 {
			ids = append(ids, ha.mustSubmit(identifier.Key(fmt.Sprintf("job-%d", i)), shortWork))
		}
		ha.passTime(20 * clock.Second)
		for _, id := range ids {
			ha.assertState(id, rows.JobRowStateDone)
			asserter.Equal(t, slices.Contains(ha.job(id).Workers, bad), false)
		}
		asserter.Equal(t, len(ha.daemons[0].Executor.Quarantined()), 1)
		ha.assertGangsConsistent()
	})
	t.Run("a job that fails everywhere is stopped and quarantines no worker", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("studio")
		id := ha.mustSubmit("bad", `{"fail":true}`)
		ha.passTime(20 * clock.Second)
		ha.assertState(id, rows.JobRowStateFailed)
		asserter.Equal(t, len(ha.daemons[0].Executor.Quarantined()), 0)
		ha.assertGangsConsistent()
	})
	t.Run("delayed reports do not cause a second attempt", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("studio")
		ha.platform.EditFaults(func(fa *platform.Faults) { fa.ReportLagMillis = 2 * clock.Second })
		id := ha.mustSubmit("lagging", shortWork)
		ha.passTime(10 * clock.Second)
		ha.assertState(id, rows.JobRowStateDone)
		asserter.Equal(t, ha.job(id).Attempt, 1)
	})
	t.Run("tasks whose lease expires while the scheduler is paused are started again", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("studio")
		id := ha.mustSubmit("lapsed", shortWork)
		ha.doers[0].callsLeft = 8 // cut off after the members are leased
		ha.runTicks(1)
		ha.doers[0].callsLeft = -1
		ha.clock.Advance(clock.Minute)
		ha.passTime(2 * leaseTime)
		ha.assertState(id, rows.JobRowStateDone)
		ha.assertGangsConsistent()
	})
}

// TestOnce checks that a job marked once, such as a render that is invoiced, is continued
// from a checkpoint when it is moved but never repeated after a failure.
func TestOnce(t *testing.T) {
	submitOnce := func(ha *harness, key identifier.Key, work string) identifier.Job {
		row, err := ha.daemons[0].Jobs.Submit(context.Background(), "studio", caller.JobBody{
			Key: key, Kind: caller.JobBodyKindReRender, Class: types.ClassNormal, ExpectedMillis: 60_000, Payload: work, Once: true,
			Shape: types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack},
		})
		asserter.NoError(t, err)
		return row.JobID
	}
	t.Run("an attempt that failed is not repeated", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("studio")
		ha.platform.EditFaults(func(fa *platform.Faults) { fa.FailingWorkers = []identifier.Worker{"kochi-r00-w00", "kochi-r01-w00"} })
		id := submitOnce(ha, "fails", shortWork)
		ha.passTime(10 * clock.Second)
		ha.assertState(id, rows.JobRowStateFailed)
		asserter.Equal(t, ha.platform.Audit().GangsStarted, 1)
	})
	t.Run("an attempt that is moved is continued", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("studio")
		id := submitOnce(ha, "moves", longWork)
		ha.passTime(shortWait)
		from := identifier.Target(ha.job(id).Workers[0])
		asserter.NoError(t, ha.daemons[0].Table.Drain(context.Background(), from, false))
		ha.passTime(4 * clock.Second)
		ha.assertState(id, rows.JobRowStateRunning)
		asserter.Equal(t, ha.job(id).Attempt, 2)
	})
}

func TestGuarantee(t *testing.T) {
	ha := newHarness(t, 1)
	ha.setRow("studio")
	ha.setRow("hotels", types.Guarantee{Zone: kochi, Count: 1, Shape: types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack}})
	var borrowed []identifier.Job
	for i := range 2 {
		borrowed = append(borrowed, ha.mustSubmit(identifier.Key(fmt.Sprintf("borrowed-%d", i)), longWork))
	}
	ha.passTime(shortWait)
	guaranteed, err := ha.submit(0, "hotels", "own", 2, shortWork)
	asserter.NoError(t, err)
	ha.passTime(3 * clock.Second)
	t.Run("is reclaimed from borrowed work", func(t *testing.T) {
		asserter.Equal(t, ha.job(guaranteed).Guaranteed, true)
		states := []rows.JobRowState{ha.job(borrowed[0]).State, ha.job(borrowed[1]).State}
		asserter.Equal(t, slices.Contains(states, rows.JobRowStateRunning), true)
	})
	t.Run("preempted jobs continue afterwards", func(*testing.T) {
		ha.passTime(6 * clock.Second)
		ha.assertState(guaranteed, rows.JobRowStateDone)
		for _, id := range borrowed {
			ha.assertState(id, rows.JobRowStateRunning)
		}
		ha.assertGangsConsistent()
	})
	t.Run("survives a takeover of the scheduler lease", func(t *testing.T) {
		again, err := ha.submit(0, "hotels", "again", 2, longWork)
		asserter.NoError(t, err)
		ha.passTime(4 * clock.Second)
		asserter.Equal(t, ha.job(again).Guaranteed, true)
		ha.add(kochi)
		ha.paused[0] = true
		ha.passTime(3 * leaseTime)
		row, err := ha.daemons[1].Jobs.Get(context.Background(), "", again)
		asserter.NoError(t, err)
		asserter.Equal(t, row.State, rows.JobRowStateRunning)
		asserter.Equal(t, row.Attempt, 1)
	})
}

func TestDrainingWorker(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	id := ha.mustSubmit("moved", longWork)
	ha.passTime(shortWait)
	from := ha.job(id).Workers[0]
	asserter.NoError(t, ha.daemons[0].Table.Drain(context.Background(), identifier.Target(from), false))
	ha.passTime(4 * clock.Second)
	ha.assertState(id, rows.JobRowStateRunning)
	asserter.Equal(t, slices.Contains(ha.job(id).Workers, from), false)
	asserter.Equal(t, meter.Members(len(ha.job(id).Workers)), 2)
	ha.assertGangsConsistent()
}
