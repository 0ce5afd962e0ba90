package planner_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// TestReservationsOnBusyFleet guards against room that is kept free for gangs that cannot start soon.
func TestReservationsOnBusyFleet(t *testing.T) {
	plan := func(tu planner.Tuning, remaining, smallRuns clock.Millis) (planner.Plan, *workload.Job) {
		fx := newFixture(10, 10)
		fx.run(fx.add(batch, "a", step(1, 8)), 0)
		wide := fx.add(batch, "a", gang(2, 8))
		wide.Steps[0].Estimate = 4_000
		small := fx.add(batch, "a", step(1, 1))
		small.Steps[0].Estimate = smallRuns
		for i := 2; i < 10; i++ {
			fx.run(fx.add(urgent, "a", step(1, 8)), i)
		}
		fx.Remaining = func(jo *workload.Job, _ *workload.Stage, _ int) clock.Millis {
			if jo.Queue == urgent {
				return clock.Minute
			}
			return remaining
		}
		return planner.New(tu).Plan(fx.Input), small
	}
	byEnd := planner.AcceptanceOrder
	byEnd.HoldByEnd = true
	t.Run("room that becomes free while the gang can use it is held", func(t *testing.T) {
		pl, small := plan(byEnd, 2_000, 3_000)
		asserter.Equal(t, pl.Held, meter.Accelerators(8))
		asserter.Equal(t, starts(pl, small), 0)
	})
	t.Run("work that ends before may use it", func(t *testing.T) {
		_, small := plan(byEnd, 2_000, 1_500)
		pl, _ := plan(byEnd, 2_000, 1_500)
		asserter.Equal(t, len(pl.Starts), 1)
		asserter.Equal(t, pl.Starts[0].Job.ID, small.ID)
	})
	t.Run("room that stays occupied for longer is not held", func(t *testing.T) {
		pl, small := plan(byEnd, 5_000, 3_000)
		asserter.Equal(t, pl.Held, meter.Accelerators(0))
		asserter.Equal(t, starts(pl, small), 1)
	})
	t.Run("without the setting it is", func(t *testing.T) {
		pl, small := plan(planner.AcceptanceOrder, clock.Minute, 3_000)
		asserter.Equal(t, pl.Held, meter.Accelerators(8))
		asserter.Equal(t, starts(pl, small), 0)
	})
}
