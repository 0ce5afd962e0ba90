package simulator_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
)

// withdrawn returns a load whose workers are withdrawn at short notice while urgent gangs arrive in bursts and long
// gangs, of which half cannot save, fill the rest.
func withdrawn() simulator.Load {
	lo := simulator.Derwent()
	lo.CheckpointInterval, lo.StopGrace = 500, 400
	lo.Departures = []simulator.Departure{
		{At: 5000, Notice: 1700, Away: 4500, Fraction: 0.15}, {At: 11_000, Notice: 1700, Away: 4500, Fraction: 0.15},
	}
	return shortened(lo)
}

// TestWorkersWithdrawnFromFullFleet guards against work that is thrown away when workers are withdrawn.
func TestWorkersWithdrawnFromFullFleet(t *testing.T) {
	waste := func(re simulator.Result) float64 { return re.Waste }
	withWorkers := func(re simulator.Result) float64 { return re.Lost["workerLeft"] }
	byRemaining := planner.Completion
	byRemaining.DepartByRemaining = true
	t.Run("runs that stop by the time until they end lose less with their workers", func(t *testing.T) {
		assertLess(t, mean(withdrawn(), byRemaining, withWorkers), mean(withdrawn(), planner.Completion, withWorkers))
	})
	t.Run("all rules together lose less still", func(t *testing.T) {
		assertLess(t, mean(withdrawn(), planner.Contention, waste), mean(withdrawn(), byRemaining, waste))
	})
	t.Run("they earn more", func(t *testing.T) {
		assertLess(t, mean(withdrawn(), planner.Completion, worth), mean(withdrawn(), planner.Contention, worth))
	})
}

// TestBacklogAfterOutage guards against a backlog that keeps new work from being served in time after an outage: it
// measures the time until a window is served as usual again.
func TestBacklogAfterOutage(t *testing.T) {
	recovery := func(re simulator.Result) float64 { return float64(re.Recovery) }
	lo := simulator.Derwent()
	lo.CheckpointInterval, lo.StopGrace, lo.Length, lo.DrainTime = 500, 400, 30_000, 24_000
	lo.Bursts = nil
	lo.Departures = []simulator.Departure{{At: 5000, Notice: 500, Away: 5000, Fraction: 0.6}}
	assertLess(t, mean(lo, planner.Contention, recovery), mean(lo, planner.Completion, recovery))
}
