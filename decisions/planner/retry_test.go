package planner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// longAgo is more than any pause before a task may return to a worker.
const longAgo = 10 * clock.Second

// fail records that a task of a job has failed on a worker.
func (fx *fixture) fail(jo *workload.Job, index, at int, ago clock.Millis) {
	ta := &jo.Stages[0].Tasks[index]
	ta.Run, ta.Worker, ta.Failures = 1, fx.Workers[at].ID, 1
	ta.FailedOn, ta.FailedAt = ta.Worker, fx.Now-ago
}

// workersOf returns the worker on which a plan starts each task of a job.
func workersOf(pl planner.Plan, jo *workload.Job) map[int]identifier.Worker {
	at := map[int]identifier.Worker{}
	for _, st := range pl.Starts {
		for _, place := range st.Placements {
			if st.Job == jo {
				at[place.Index] = place.Worker
			}
		}
	}
	return at
}

// TestRetryPlace guards against a task that is never started again because the only room is on the worker
// where it failed, and that holds up the rest of its step (LOST, review/13).
func TestRetryPlace(t *testing.T) {
	plan := func(fx *fixture) planner.Plan { return planner.New(planner.Contention).Plan(fx.Input) }
	t.Run("a task returns to the worker where it failed if the others are full", func(t *testing.T) {
		fx := newFixture(2, 2)
		fx.run(fx.add(batch, "ws", step(1, 8)), 1)
		jo := fx.add(batch, "ws", step(1, 1))
		fx.fail(jo, 0, 0, longAgo)
		asserter.Equal(t, workersOf(plan(fx), jo)[0], fx.Workers[0].ID)
	})
	t.Run("a task that lasts returns if the limit per worker leaves no other", func(t *testing.T) {
		fx := newFixture(3, 3)
		lasting := step(3, 1)
		lasting.LongRunning, lasting.MaxPerWorker = true, 1
		jo := fx.add(batch, "ws", lasting)
		fx.run(jo, 0, 1, 2)
		jo.Stages[0].Tasks[1].Phase = workload.Waiting
		fx.fail(jo, 1, 1, longAgo)
		asserter.Equal(t, workersOf(plan(fx), jo)[1], fx.Workers[1].ID)
	})
	t.Run("it does not return at once, so that failures do not follow each other without a pause", func(t *testing.T) {
		fx := newFixture(1, 1)
		jo := fx.add(batch, "ws", step(1, 1))
		fx.fail(jo, 0, 0, 10)
		asserter.Equal(t, starts(plan(fx), jo), 0)
	})
	t.Run("it prefers any other worker with room, also after the pause", func(t *testing.T) {
		fx := newFixture(2, 2)
		fx.run(fx.add(batch, "ws", step(1, 4)), 0)
		fx.Workers[1].Suspect = true
		jo := fx.add(batch, "ws", step(1, 1))
		fx.fail(jo, 0, 0, longAgo)
		asserter.Equal(t, workersOf(plan(fx), jo)[0], fx.Workers[1].ID)
	})
	t.Run("the rest of the step is started while a failed task waits", func(t *testing.T) {
		fx := newFixture(2, 2)
		fx.run(fx.add(batch, "ws", step(1, 8)), 1)
		jo := fx.add(batch, "ws", step(8, 2))
		fx.fail(jo, 0, 0, 10)
		asserter.Equal(t, starts(plan(fx), jo), 4)
	})
	t.Run("urgent work preempts elsewhere rather than where it failed, but there if it must", func(t *testing.T) {
		fx := newFixture(2, 2)
		fx.Guarantees["owner"] = 8
		long, short := fx.add(batch, "ws", step(1, 8)), fx.add(batch, "ws", step(1, 8))
		fx.run(long, 0)
		fx.run(short, 1)
		short.Stages[0].Tasks[0].PlacedAt = fx.Now - 100
		jo := fx.add(urgent, "owner", step(1, 8))
		fx.fail(jo, 0, 1, longAgo)
		asserter.Equal(t, plan(fx).Stops[0].Job, long)
		fx.Workers[0].Usable = false
		asserter.Equal(t, plan(fx).Stops[0].Job, short)
	})
	t.Run("a gang returns to the worker where a member failed if it fits nowhere else", func(t *testing.T) {
		fx := newFixture(4, 4)
		jo := fx.add(batch, "ws", gang(4, 8))
		fx.fail(jo, 2, 3, longAgo)
		asserter.Equal(t, starts(plan(fx), jo), 4)
	})
	t.Run("failed tasks of one urgent step do not use up the searches for preemption", func(t *testing.T) {
		fx := newFixture(2, 2)
		fx.Guarantees["owner"] = 8
		fx.run(fx.add(batch, "ws", step(1, 8)), 0)
		fx.run(fx.add(batch, "ws", step(1, 8)), 1)
		fx.Workers[0].Labels = []identifier.Label{"only"}
		failing := step(20, 1)
		failing.Requires = "only"
		first := fx.add(urgent, "ws", failing)
		for i := range 20 {
			fx.fail(first, i, 0, 10)
		}
		fx.add(urgent, "owner", step(1, 8))
		asserter.Equal(t, len(plan(fx).Stops), 1)
	})
}

// TestRetryPlaceInvariants checks on random fleets and histories that a job has a task started wherever one fits
// on a worker that no rule excludes, whatever failed there before (LOST, review/13).
func TestRetryPlaceInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(rapid.IntRange(1, 6).Draw(rt, "workers"), 2)
		free := make([]meter.Accelerators, len(fx.Workers))
		for i := range fx.Workers {
			used := rapid.IntRange(0, 8).Draw(rt, fmt.Sprintf("used%d", i))
			free[i] = 8 - meter.Accelerators(used)
			if used > 0 {
				fx.run(fx.add(batch, "other", step(1, meter.Accelerators(used))), i)
			}
			if rapid.Bool().Draw(rt, fmt.Sprintf("label%d", i)) {
				fx.Workers[i].Labels = []identifier.Label{"only"}
			}
			fx.Workers[i].Suspect = rapid.Bool().Draw(rt, fmt.Sprintf("suspect%d", i))
		}
		st := step(rapid.IntRange(1, 6).Draw(rt, "count"), meter.Accelerators(rapid.IntRange(1, 8).Draw(rt, "accelerators")))
		st.Requires = rapid.SampledFrom([]identifier.Label{"", "only"}).Draw(rt, "requires")
		jo := fx.add(batch, "ws", st)
		for i := range st.Count {
			if at := rapid.IntRange(-1, len(fx.Workers)-1).Draw(rt, fmt.Sprintf("failedOn%d", i)); at >= 0 {
				fx.fail(jo, i, at, longAgo)
			}
		}
		fits := 0
		for i := range fx.Workers {
			if st.Requires == "" || len(fx.Workers[i].Labels) > 0 {
				fits += int(free[i] / st.Request.Accelerators)
			}
		}
		tu := planner.Contention
		tu.HeadroomDeviations = 0
		if started := starts(planner.New(tu).Plan(fx.Input), jo); started != min(fits, st.Count) {
			rt.Fatalf("%d of %d tasks are started, %d fit", started, st.Count, fits)
		}
	})
}
