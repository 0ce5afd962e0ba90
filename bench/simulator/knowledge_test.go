package simulator_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// plans plays a day and returns the digest of its plans.
func plans(lo simulator.Load, seed uint64, kn simulator.Knowledge) string {
	lo.Knowledge = kn
	return playDay(lo, "completion", planner.Completion, seed)
}

// TestEvenWorkers plays days on workers of equal speed: what is learned of them changes no plan.
func TestEvenWorkers(t *testing.T) {
	for _, lo := range []simulator.Load{simulator.Thengola().Even(), simulator.Derwent().Even()} {
		lo := shortened(lo)
		for seed := range uint64(days) {
			t.Run(lo.Name, func(t *testing.T) {
				asserter.Equal(t, plans(lo, seed+1, simulator.Learns), plans(lo, seed+1, simulator.KnowsNothing))
				asserter.Equal(t, plans(lo, seed+1, simulator.KnowsAll), plans(lo, seed+1, simulator.KnowsNothing))
			})
		}
	}
}

// TestUnevenWorkers plays days on workers of three speeds on which urgent work waits for nothing else.
func TestUnevenWorkers(t *testing.T) {
	for _, lo := range []simulator.Load{simulator.Thengola().Uneven(), simulator.Derwent().Uneven()} {
		lo := shortened(lo)
		lo.Length, lo.Rate, lo.Bursts = 24*clock.Second, lo.Rate/2, nil
		worthOf := func(kn simulator.Knowledge) float64 {
			lo := lo
			lo.Knowledge = kn
			return mean(lo, planner.Completion, worth)
		}
		without, learned, known := worthOf(simulator.KnowsNothing), worthOf(simulator.Learns), worthOf(simulator.KnowsAll)
		t.Logf("%s: worth %.3f without, %.3f learned, %.3f known", lo.Name, without, learned, known)
		t.Run("learned speeds earn more on "+lo.Name, func(t *testing.T) { assertLess(t, without, learned) })
		t.Run("known speeds bound them on "+lo.Name, func(t *testing.T) { assertLess(t, learned, known) })
	}
}
