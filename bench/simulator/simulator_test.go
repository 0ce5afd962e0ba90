package simulator_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// days is the number of days, each with its own seed, that a comparison simulates.
const days = 4

// shortened shortens a load to 12 s of arrivals.
func shortened(lo simulator.Load) simulator.Load {
	lo.Length, lo.DrainTime = 12*clock.Second, 24*clock.Second
	return lo
}

// mean simulates several days and returns the mean of a figure of their results.
func mean(lo simulator.Load, tu planner.Tuning, figure func(simulator.Result) float64) float64 {
	sum := 0.0
	for seed := range uint64(days) {
		sum += figure(simulator.Run(lo, seed+1, planner.New(tu)))
	}
	return sum / days
}

func worth(re simulator.Result) float64     { return re.Worth }
func preempted(re simulator.Result) float64 { return float64(re.Preemptions) }

func assertLess(t *testing.T, small, large float64) {
	t.Helper()
	if small >= large {
		t.Fatalf("got %v, want less than %v", small, large)
	}
}

func TestSimulator(t *testing.T) {
	t.Run("equal seeds give equal results", func(t *testing.T) {
		lo := shortened(simulator.Thengola())
		first, second := simulator.Run(lo, 7, planner.New(planner.Completion)), simulator.Run(lo, 7, planner.New(planner.Completion))
		asserter.Equal(t, first.Worth, second.Worth)
		asserter.Equal(t, first.Preemptions, second.Preemptions)
	})
	t.Run("at low load nearly all credit is earned", func(t *testing.T) {
		lo := shortened(simulator.Derwent())
		lo.Rate, lo.Bursts = 0.05, nil
		assertLess(t, 0.95, mean(lo, planner.Completion, func(re simulator.Result) float64 { return re.Day }))
	})
}

// The loads have bursts of urgent jobs while long jobs of lower priority fill every worker.
func TestPolicies(t *testing.T) {
	for _, lo := range []simulator.Load{simulator.Thengola(), simulator.Derwent()} {
		lo := shortened(lo)
		t.Run("headroom for urgent work reduces preemptions on "+lo.Name, func(t *testing.T) {
			without := planner.Completion
			without.HeadroomDeviations = 0
			assertLess(t, mean(lo, planner.Completion, preempted), mean(lo, without, preempted))
		})
		t.Run("the completion policy earns more than the former policy on "+lo.Name, func(t *testing.T) {
			assertLess(t, mean(lo, planner.AcceptanceOrder, worth), mean(lo, planner.Completion, worth))
		})
		t.Run("the completion policy earns more than best fit in order of arrival on "+lo.Name, func(t *testing.T) {
			fit := 0.0
			for seed := range uint64(days) {
				fit += worth(simulator.Run(lo, seed+1, simulator.Greedy{BestFit: true})) / days
			}
			assertLess(t, fit, mean(lo, planner.Completion, worth))
		})
	}
}
