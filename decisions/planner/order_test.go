package planner_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// plan plans with a tuning.
func (sc *scene) plan(tu planner.Tuning) planner.Plan { return planner.New(tu).Plan(sc.Input) }

// timed gives a queue an objective and each job a wait.
func (sc *scene) timed(waited map[identifier.Job]clock.Millis) {
	qu := sc.Queues[later]
	qu.Stretch, qu.Objective = 3, 1000
	sc.Queues[later] = qu
	sc.Waited = func(id identifier.Job) clock.Millis { return waited[id] }
}

func lasting(count int, accelerators meter.Accelerators, estimate clock.Millis) workload.Step {
	st := step(count, accelerators)
	st.Estimate = estimate
	return st
}

// startsOnly checks that a plan starts tasks of one job alone.
func startsOnly(t *testing.T, pl planner.Plan, jo *workload.Job) {
	t.Helper()
	asserter.Equal(t, len(pl.Starts), 1)
	asserter.Equal(t, pl.Starts[0].Job.ID, jo.ID)
}

func TestOrder(t *testing.T) {
	t.Run("work that can be in time goes before work that is late", func(t *testing.T) {
		sc := newScene(1, 1)
		tooLate := sc.add(later, "ws", lasting(1, 8, 2000))
		inTime := sc.add(later, "ws", lasting(1, 8, 2000))
		sc.timed(map[identifier.Job]clock.Millis{tooLate.ID: 9000, inTime.ID: 100})
		startsOnly(t, sc.plan(planner.Completion), inTime)
	})
	t.Run("the least time to lose goes first", func(t *testing.T) {
		sc := newScene(1, 1)
		patient := sc.add(later, "ws", lasting(1, 8, 9000))
		hurried := sc.add(later, "ws", lasting(1, 8, 1000))
		sc.timed(map[identifier.Job]clock.Millis{patient.ID: 2000, hurried.ID: 2000})
		startsOnly(t, sc.plan(planner.Completion), hurried)
	})
	t.Run("of late work the least goes first", func(t *testing.T) {
		sc := newScene(1, 1)
		large := sc.add(later, "ws", lasting(1, 8, 1000))
		small := sc.add(later, "ws", lasting(1, 4, 1000))
		sc.timed(map[identifier.Job]clock.Millis{large.ID: 6000, small.ID: 6000})
		startsOnly(t, sc.plan(planner.Completion), small)
	})
	t.Run("what was learned of run times counts, not the estimate", func(t *testing.T) {
		sc := newScene(1, 1)
		first := sc.add(later, "ws", lasting(1, 8, 50))
		second := sc.add(later, "ws", lasting(1, 8, 50))
		sc.timed(map[identifier.Job]clock.Millis{first.ID: 1200, second.ID: 100})
		startsOnly(t, sc.plan(planner.Completion), second)
		sc.Expected = func(*workload.Job, int) clock.Millis { return 2000 }
		startsOnly(t, sc.plan(planner.Completion), first)
	})
}

func TestHeadroom(t *testing.T) {
	spare := func(mean, deviation float64) *scene {
		sc := newScene(10, 5)
		sc.Demand = map[identifier.Pool]planner.Demand{pool: {Mean: mean, Deviation: deviation}}
		return sc
	}
	t.Run("other work leaves room for the urgent work that will come", func(t *testing.T) {
		sc := spare(8, 4)
		jo := sc.add(later, "ws", step(100, 1))
		asserter.Equal(t, starts(sc.plan(planner.Completion), jo), 80-18)
	})
	t.Run("urgent work takes it", func(t *testing.T) {
		sc := spare(8, 4)
		jo := sc.add(first, "ws", step(100, 1))
		asserter.Equal(t, starts(sc.plan(planner.Completion), jo), 80)
	})
	t.Run("what urgent work has need not be kept", func(t *testing.T) {
		sc := spare(16, 0)
		sc.run(sc.add(first, "ws", step(2, 8)), 0, 1)
		jo := sc.add(later, "ws", step(100, 1))
		asserter.Equal(t, starts(sc.plan(planner.Completion), jo), 80-16)
	})
	t.Run("it is bounded", func(t *testing.T) {
		sc := spare(1000, 0)
		jo := sc.add(later, "ws", step(100, 1))
		asserter.Equal(t, starts(sc.plan(planner.Completion), jo), 80-28)
	})
}
