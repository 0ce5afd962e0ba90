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

// TestRoomThatGuaranteesTakeBack guards against wide gangs that start on room which urgent work takes back
// before they have ended.
func TestRoomThatGuaranteesTakeBack(t *testing.T) {
	tu := planner.Completion
	tu.UnsavedDeviations, tu.MaxUnsavedHeadroom = 6, 0.6
	tu.HeadroomDeviations = 1
	started := func(st workload.Step, waited clock.Millis) int {
		fx := newFixture(10, 10)
		fx.Demand = map[identifier.Pool]planner.Demand{pool: {Mean: 0, Deviation: 16}}
		st.Estimate = 2000
		jo := fx.add(batch, "ws", st)
		fx.setObjective(map[identifier.Job]clock.Millis{jo.ID: waited})
		return starts(fx.plan(tu), jo)
	}
	saving := gang(5, 8)
	saving.Checkpointing = true
	t.Run("a gang that cannot save leaves more room free", func(t *testing.T) { asserter.Equal(t, started(gang(5, 8), 0), 0) })
	t.Run("one that saves may use it", func(t *testing.T) { asserter.Equal(t, started(saving, 0), 5) })
	t.Run("single tasks may use it", func(t *testing.T) { asserter.Equal(t, started(step(5, 8), 0), 5) })
	t.Run("a narrower gang leaves enough", func(t *testing.T) { asserter.Equal(t, started(gang(4, 8), 0), 4) })
	t.Run("late work has to leave it too", func(t *testing.T) { asserter.Equal(t, started(gang(5, 8), 9000), 0) })
	t.Run("overdue work comes last, but not never", func(t *testing.T) { asserter.Equal(t, started(gang(5, 8), 30_000), 5) })
	t.Run("all of it is free again when no urgent work is expected", func(t *testing.T) {
		fx := newFixture(10, 10)
		jo := fx.add(batch, "ws", gang(10, meter.Accelerators(8)))
		fx.setObjective(nil)
		asserter.Equal(t, starts(fx.plan(tu), jo), 10)
	})
}
