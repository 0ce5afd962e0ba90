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

// fullFleet returns a fleet whose workers are all taken by a wide gang that does not save, and an urgent gang
// that arrives then.
func fullFleet(ran, urgentEstimate clock.Millis) (fx *fixture, wide, arrived *workload.Job) {
	fx = newFixture(4, 4)
	wide = fx.add(batch, "a", gang(4, 8))
	wide.Steps[0].Estimate = 10_000
	fx.run(wide, 0, 1, 2, 3)
	for i := range wide.Stages[0].Tasks {
		wide.Stages[0].Tasks[i].PlacedAt = fx.Now - ran
	}
	arrived = fx.add(urgent, "b", gang(2, 8))
	arrived.Steps[0].Estimate = urgentEstimate
	fx.WaitTime = func(identifier.Job) clock.Millis { return 0 }
	return fx, wide, arrived
}

func byValue() *planner.Planner {
	tu := planner.Completion
	tu.PreemptByValue = true
	return planner.New(tu)
}

// TestBurstOfGangsOnFullFleet guards against preemptions that lose more than they gain.
func TestBurstOfGangsOnFullFleet(t *testing.T) {
	t.Run("a gang that loses less than the urgent one gains is stopped", func(t *testing.T) {
		fx, _, arrived := fullFleet(1_000, 5_000)
		pl := byValue().Plan(fx.Input)
		asserter.Equal(t, len(pl.Stops), 1)
		asserter.Equal(t, pl.Stops[0].PreemptedFor, arrived.ID)
		asserter.Equal(t, pl.Stops[0].Gain > pl.Stops[0].Loss, true)
	})
	t.Run("a gang that loses more is not", func(t *testing.T) {
		fx, _, _ := fullFleet(9_000, 1_000)
		asserter.Equal(t, len(byValue().Plan(fx.Input).Stops), 0)
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 1)
	})
	t.Run("a guarantee is reclaimed whatever that loses", func(t *testing.T) {
		fx, _, _ := fullFleet(9_000, 5_000)
		fx.Guarantees["b"] = 16
		pl := byValue().Plan(fx.Input)
		asserter.Equal(t, len(pl.Stops), 1)
		asserter.Equal(t, pl.Stops[0].Guaranteed, true)
	})
}

// TestPreemptionWaitsForEnds guards against stops of runs for room that becomes free by itself.
func TestPreemptionWaitsForEnds(t *testing.T) {
	plan := func(waited, remaining clock.Millis) planner.Plan {
		fx, _, _ := fullFleet(9_000, 5_000)
		fx.Guarantees["b"] = 16
		fx.WaitTime = func(identifier.Job) clock.Millis { return waited }
		fx.Remaining = func(*workload.Job, *workload.Stage, int) clock.Millis { return remaining }
		return byValue().Plan(fx.Input)
	}
	t.Run("a run that is about to end is awaited", func(t *testing.T) { asserter.Equal(t, len(plan(0, 200).Stops), 0) })
	t.Run("a run that goes on is not", func(t *testing.T) { asserter.Equal(t, len(plan(0, 3_000).Stops), 1) })
	t.Run("nor is one of which that is unknown", func(t *testing.T) { asserter.Equal(t, len(plan(0, 0).Stops), 1) })
	t.Run("a guarantee waits for no more than a second", func(t *testing.T) { asserter.Equal(t, len(plan(1_000, 200).Stops), 1) })
}

// TestRepeatedPreemption guards against a gang that is stopped again and again because it has always just
// begun.
func TestRepeatedPreemption(t *testing.T) {
	victim := func(earlier int) identifier.Job {
		fx := newFixture(2, 2)
		var jobs []*workload.Job
		for i := range 2 {
			jo := fx.add(batch, "a", step(1, 8))
			jo.Steps[0].Estimate = 5_000
			fx.run(jo, i)
			jobs = append(jobs, jo)
		}
		jobs[0].Stages[0].Tasks[0].PlacedAt, jobs[1].Stages[0].Tasks[0].PlacedAt = fx.Now-500, fx.Now-4_000
		jobs[0].Stages[0].Tasks[0].Run = meter.RunNumber(1 + earlier)
		fx.Guarantees["b"] = 8
		fx.add(urgent, "b", step(1, 8))
		pl := byValue().Plan(fx.Input)
		asserter.Equal(t, len(pl.Stops), 1)
		return pl.Stops[0].Job.ID
	}
	t.Run("the run that has lost least is stopped first", func(t *testing.T) { asserter.Equal(t, victim(0), identifier.Job("j00")) })
	t.Run("one that was stopped before is spared", func(t *testing.T) { asserter.Equal(t, victim(2), identifier.Job("j01")) })
}

// TestBoundOfPreemptions guards against work beyond guarantees that keeps a gang from ever ending.
func TestBoundOfPreemptions(t *testing.T) {
	stops := func(earlier int, guaranteed, saves bool) int {
		fx, wide, _ := fullFleet(100, 5_000)
		wide.Steps[0].Checkpointing = saves
		if guaranteed {
			fx.Guarantees["b"] = 16
		}
		for i := range wide.Stages[0].Tasks {
			wide.Stages[0].Tasks[i].Run = meter.RunNumber(1 + earlier)
		}
		return len(byValue().Plan(fx.Input).Stops)
	}
	t.Run("a gang that was stopped twice may be stopped again", func(t *testing.T) { asserter.Equal(t, stops(2, false, false), 1) })
	t.Run("after the third time it is spared", func(t *testing.T) { asserter.Equal(t, stops(3, false, false), 0) })
	t.Run("unless it saves", func(t *testing.T) { asserter.Equal(t, stops(3, false, true), 1) })
	t.Run("or a guarantee is reclaimed", func(t *testing.T) { asserter.Equal(t, stops(9, true, false), 1) })
}
