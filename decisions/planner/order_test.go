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

// plan makes a plan with the given tuning.
func (fx *fixture) plan(tu planner.Tuning) planner.Plan { return planner.New(tu).Plan(fx.Input) }

// setObjective gives the batch queue an objective and sets how long each job has waited.
func (fx *fixture) setObjective(waited map[identifier.Job]clock.Millis) {
	qu := fx.Queues[batch]
	qu.SlowdownFactor, qu.Objective = 3, 1000
	fx.Queues[batch] = qu
	fx.WaitTime = func(id identifier.Job) clock.Millis { return waited[id] }
}

func stepWithEstimate(count int, accelerators meter.Accelerators, estimate clock.Millis) workload.Step {
	st := step(count, accelerators)
	st.Estimate = estimate
	return st
}

// startsOnly checks that a plan starts tasks of one job, and of no other.
func startsOnly(t *testing.T, pl planner.Plan, jo *workload.Job) {
	t.Helper()
	asserter.Equal(t, len(pl.Starts), 1)
	asserter.Equal(t, pl.Starts[0].Job.ID, jo.ID)
}

func TestOrder(t *testing.T) {
	t.Run("work that can meet its objective goes before late work", func(t *testing.T) {
		fx := newFixture(1, 1)
		late := fx.add(batch, "ws", stepWithEstimate(1, 8, 2000))
		onTime := fx.add(batch, "ws", stepWithEstimate(1, 8, 2000))
		fx.setObjective(map[identifier.Job]clock.Millis{late.ID: 9000, onTime.ID: 100})
		startsOnly(t, fx.plan(planner.Completion), onTime)
	})
	t.Run("work on time is ordered by the least slack", func(t *testing.T) {
		fx := newFixture(1, 1)
		moreSlack := fx.add(batch, "ws", stepWithEstimate(1, 8, 9000))
		lessSlack := fx.add(batch, "ws", stepWithEstimate(1, 8, 1000))
		fx.setObjective(map[identifier.Job]clock.Millis{moreSlack.ID: 2000, lessSlack.ID: 2000})
		startsOnly(t, fx.plan(planner.Completion), lessSlack)
	})
	t.Run("late work is ordered by the least work", func(t *testing.T) {
		fx := newFixture(1, 1)
		large := fx.add(batch, "ws", stepWithEstimate(1, 8, 1000))
		small := fx.add(batch, "ws", stepWithEstimate(1, 4, 1000))
		fx.setObjective(map[identifier.Job]clock.Millis{large.ID: 6000, small.ID: 6000})
		startsOnly(t, fx.plan(planner.Completion), small)
	})
	t.Run("the expected run time takes precedence over the estimate", func(t *testing.T) {
		fx := newFixture(1, 1)
		first := fx.add(batch, "ws", stepWithEstimate(1, 8, 50))
		second := fx.add(batch, "ws", stepWithEstimate(1, 8, 50))
		fx.setObjective(map[identifier.Job]clock.Millis{first.ID: 1200, second.ID: 100})
		startsOnly(t, fx.plan(planner.Completion), second)
		fx.ExpectedRunTime = func(*workload.Job, int) clock.Millis { return 2000 }
		startsOnly(t, fx.plan(planner.Completion), first)
	})
}

func TestHeadroom(t *testing.T) {
	withDemand := func(mean, deviation float64) *fixture {
		fx := newFixture(10, 5)
		fx.Demand = map[identifier.Pool]planner.Demand{pool: {Mean: mean, Deviation: deviation}}
		return fx
	}
	t.Run("other work leaves headroom for expected urgent work", func(t *testing.T) {
		fx := withDemand(8, 4)
		jo := fx.add(batch, "ws", step(100, 1))
		asserter.Equal(t, starts(fx.plan(planner.Completion), jo), 80-18)
	})
	t.Run("urgent work uses the headroom", func(t *testing.T) {
		fx := withDemand(8, 4)
		jo := fx.add(urgent, "ws", step(100, 1))
		asserter.Equal(t, starts(fx.plan(planner.Completion), jo), 80)
	})
	t.Run("accelerators in use by urgent work reduce the headroom", func(t *testing.T) {
		fx := withDemand(16, 0)
		fx.run(fx.add(urgent, "ws", step(2, 8)), 0, 1)
		jo := fx.add(batch, "ws", step(100, 1))
		asserter.Equal(t, starts(fx.plan(planner.Completion), jo), 80-16)
	})
	t.Run("the headroom is limited", func(t *testing.T) {
		fx := withDemand(1000, 0)
		jo := fx.add(batch, "ws", step(100, 1))
		asserter.Equal(t, starts(fx.plan(planner.Completion), jo), 80-28)
	})
}
