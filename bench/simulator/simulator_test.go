package simulator_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// days is how many seeds a comparison plays.
const days = 4

// short is a load of a few seconds.
func short(lo simulator.Load) simulator.Load {
	lo.Length, lo.Finish = 12*clock.Second, 24*clock.Second
	return lo
}

// mean plays some days and returns the mean of a figure.
func mean(lo simulator.Load, tu planner.Tuning, figure func(simulator.Result) float64) float64 {
	sum := 0.0
	for seed := range uint64(days) {
		sum += figure(simulator.Run(lo, seed+1, planner.New(tu)))
	}
	return sum / days
}

func worth(re simulator.Result) float64     { return re.Worth }
func preempted(re simulator.Result) float64 { return float64(re.Preempted) }

// less checks that a figure is smaller than another.
func less(t *testing.T, small, large float64) {
	t.Helper()
	if small >= large {
		t.Fatalf("%v is not less than %v", small, large)
	}
}

func TestSimulator(t *testing.T) {
	t.Run("a day repeats by its seed", func(t *testing.T) {
		lo := short(simulator.Thengola())
		first, second := simulator.Run(lo, 7, planner.New(planner.Completion)), simulator.Run(lo, 7, planner.New(planner.Completion))
		asserter.Equal(t, first.Worth, second.Worth)
		asserter.Equal(t, first.Preempted, second.Preempted)
	})
	t.Run("an idle day is served whole", func(t *testing.T) {
		lo := short(simulator.Derwent())
		lo.Rate, lo.Bursts = 0.05, nil
		less(t, 0.95, mean(lo, planner.Completion, func(re simulator.Result) float64 { return re.Whole }))
	})
}

// The loads bring bursts of urgent work on top of long work that fills every worker.
func TestPolicies(t *testing.T) {
	for _, lo := range []simulator.Load{simulator.Thengola(), simulator.Derwent()} {
		lo := short(lo)
		t.Run("spare room saves preemptions on "+lo.Name, func(t *testing.T) {
			without := planner.Completion
			without.Spare = 0
			less(t, mean(lo, planner.Completion, preempted), mean(lo, without, preempted))
		})
		t.Run("the present policy serves more than the former one on "+lo.Name, func(t *testing.T) {
			less(t, mean(lo, planner.Former, worth), mean(lo, planner.Completion, worth))
		})
		t.Run("and than best fit in order of arrival on "+lo.Name, func(t *testing.T) {
			fit := 0.0
			for seed := range uint64(days) {
				fit += worth(simulator.Run(lo, seed+1, simulator.Greedy{BestFit: true})) / days
			}
			less(t, fit, mean(lo, planner.Completion, worth))
		})
	}
}
