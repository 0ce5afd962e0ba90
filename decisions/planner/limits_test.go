package planner_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// TestStartLimit guards against a plan that is far ahead of what the leader can send, in which urgent
// work and the members of a gang wait behind all that was planned before (RECLAIM, GANG).
func TestStartLimit(t *testing.T) {
	plan := func(fx *fixture, li planner.StartLimit) planner.Plan {
		fx.Starts = &li
		return planner.New(planner.Completion).Plan(fx.Input)
	}
	t.Run("a step without a gang is started in part", func(t *testing.T) {
		fx := newFixture(8, 4)
		jo := fx.add(batch, "a", step(20, 1))
		asserter.Equal(t, starts(plan(fx, planner.StartLimit{Normal: 7, Urgent: 14}), jo), 7)
	})
	t.Run("a gang is started whole or not at all, and smaller work does not overtake it", func(t *testing.T) {
		fx := newFixture(8, 4)
		ga, small := fx.add(batch, "a", gang(4, 8)), fx.add(batch, "a", step(2, 1))
		pl := plan(fx, planner.StartLimit{Normal: 3, Urgent: 6})
		asserter.Equal(t, starts(pl, ga), 0)
		asserter.Equal(t, starts(pl, small), 0)
		asserter.Equal(t, starts(plan(fx, planner.StartLimit{Normal: 4, Urgent: 8}), ga), 4)
	})
	t.Run("a gang larger than the limit is started when few starts are outstanding", func(t *testing.T) {
		fx := newFixture(8, 4)
		ga := fx.add(batch, "a", gang(4, 8))
		asserter.Equal(t, starts(plan(fx, planner.StartLimit{Normal: 3, Urgent: 6, Idle: true}), ga), 4)
	})
	t.Run("a gang for which there is no room holds up nothing", func(t *testing.T) {
		fx := newFixture(3, 3)
		fx.add(batch, "a", gang(4, 8))
		small := fx.add(batch, "a", step(2, 1))
		asserter.Equal(t, starts(plan(fx, planner.StartLimit{Normal: 3, Urgent: 6}), small), 2)
	})
	t.Run("urgent work has a limit of its own", func(t *testing.T) {
		fx := newFixture(8, 4)
		first := fx.add(batch, "a", step(20, 1))
		second := fx.add(urgent, "a", step(4, 1))
		pl := plan(fx, planner.StartLimit{Normal: 0, Urgent: 6})
		asserter.Equal(t, starts(pl, first), 0)
		asserter.Equal(t, starts(pl, second), 4)
	})
}

// TestCrashSuspects guards against tasks that take others with them when they crash their worker
// (BUDGET, LOST).
func TestCrashSuspects(t *testing.T) {
	plan := func(fx *fixture) planner.Plan { return planner.New(planner.Completion).Plan(fx.Input) }
	placedOn := func(pl planner.Plan, jo *workload.Job) (ids []identifier.Worker) {
		for _, st := range pl.Starts {
			for _, at := range st.Placements {
				if st.Job == jo {
					ids = append(ids, at.Worker)
				}
			}
		}
		return ids
	}
	suspects := func(fx *fixture, count int) *workload.Job {
		jo := fx.add(batch, "a", step(count, 1))
		for i := range count {
			jo.Stages[0].Tasks[i] = workload.Task{Run: 1, CrashWeight: workload.SharedSuspect, CrashedRun: 1}
		}
		return jo
	}
	t.Run("a suspect gets an empty worker", func(t *testing.T) {
		fx := newFixture(4, 2)
		fx.run(fx.add(batch, "a", step(3, 1)), 0, 1, 3)
		jo := suspects(fx, 1)
		asserter.Equal(t, placedOn(plan(fx), jo)[0], fx.Workers[2].ID)
	})
	t.Run("of several suspects of a step one is tried at a time", func(t *testing.T) {
		fx := newFixture(4, 2)
		jo := suspects(fx, 3)
		asserter.Equal(t, starts(plan(fx), jo), 1)
		jo.Stages[0].Tasks[0] = workload.Task{Phase: workload.Running, Run: 2, Worker: fx.Workers[0].ID, PlacedAt: fx.Now - 1000, CrashWeight: 1}
		asserter.Equal(t, starts(plan(fx), jo), 0)
		jo.Stages[0].Tasks[0].PlacedAt = fx.Now - 10_000
		asserter.Equal(t, starts(plan(fx), jo), 1)
	})
	t.Run("a suspect or a gang is not started before its time", func(t *testing.T) {
		fx := newFixture(4, 2)
		jo, gang := suspects(fx, 1), fx.add(batch, "a", workload.Step{Count: 2, Gang: true, Request: step(1, 1).Request})
		for _, tasks := range [][]workload.Task{jo.Stages[0].Tasks, gang.Stages[0].Tasks} {
			for i := range tasks {
				tasks[i].NotBefore = fx.Now + 1
			}
		}
		asserter.Equal(t, starts(plan(fx), jo)+starts(plan(fx), gang), 0)
		fx.Now++
		asserter.Equal(t, starts(plan(fx), jo), 1)
		asserter.Equal(t, starts(plan(fx), gang), 2)
	})
	t.Run("other work avoids a worker with a suspect, and shares it where it must", func(t *testing.T) {
		fx := newFixture(2, 2)
		jo := suspects(fx, 1)
		jo.Stages[0].Tasks[0].Phase, jo.Stages[0].Tasks[0].Worker, jo.Stages[0].Tasks[0].PlacedAt = workload.Running, fx.Workers[0].ID, fx.Now-1000
		small, large := fx.add(batch, "a", step(1, 1)), fx.add(batch, "a", step(1, 7))
		pl := plan(fx)
		asserter.Equal(t, placedOn(pl, small)[0], fx.Workers[1].ID)
		asserter.Equal(t, starts(pl, large), 1)
	})
	t.Run("a suspect is placed even if no worker is empty", func(t *testing.T) {
		fx := newFixture(2, 2)
		fx.run(fx.add(batch, "a", step(2, 1)), 0, 1)
		jo := suspects(fx, 1)
		asserter.Equal(t, starts(plan(fx), jo), 1)
	})
}
