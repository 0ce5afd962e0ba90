package planner_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// TestWorkersWithdrawnWhileBusy guards against work that runs on in vain on workers that leave, and against
// stops of work that would have ended before.
func TestWorkersWithdrawnWhileBusy(t *testing.T) {
	byRemaining := planner.Completion
	byRemaining.DepartByRemaining = true
	plain, saving, lasting := gang(4, 8), gang(4, 8), step(1, 1)
	saving.Checkpointing, lasting.LongRunning = true, true
	for _, ex := range []struct {
		name            string
		tuning          planner.Tuning
		step            workload.Step
		left, remaining clock.Millis
		want            bool
	}{
		{"what can end in time runs on", byRemaining, plain, 1700, 1200, false},
		{"what cannot end in time is stopped at once", byRemaining, plain, 1700, 1400, true},
		{"what is about to end runs on at the last moment", byRemaining, plain, 1100, 500, false},
		{"what is not is stopped while its worker answers", byRemaining, plain, 1100, 700, true},
		{"what saves works on until it has to save", byRemaining, saving, 1700, 9000, false},
		{"what saves is stopped while it can save", byRemaining, saving, 1100, 9000, true},
		{"what saves and is about to end runs on", byRemaining, saving, 1100, 500, false},
		{"what saves is stopped if it is not known when it ends", byRemaining, saving, 1100, 0, true},
		{"so is what does not save, then", byRemaining, plain, 1100, 0, true},
		{"but not before", byRemaining, plain, 1700, 0, false},
		{"long-running work serves to the last moment", byRemaining, lasting, 1700, 0, false},
		{"long-running work is stopped then", byRemaining, lasting, 1100, 0, true},
		{"without the setting all work on until the last moment", planner.Completion, plain, 1700, 9000, false},
		{"without the setting all are stopped then", planner.Completion, plain, 1100, 500, true},
	} {
		t.Run(ex.name, func(t *testing.T) {
			de := planner.Departing{Now: 50_000, LeavesAt: 50_000 + ex.left, StopGrace: 400, Step: &ex.step, Remaining: ex.remaining}
			asserter.Equal(t, planner.New(ex.tuning).StopsBeforeDeparture(de), ex.want)
		})
	}
}
