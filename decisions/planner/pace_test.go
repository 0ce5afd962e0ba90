package planner_test

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// newUnevenFixture returns workers with the given factors, and queues whose objectives are tight (urgent) and
// loose (batch). No job has waited.
func newUnevenFixture(perRack int, factors ...float64) *fixture {
	fx := newFixture(len(factors), perRack)
	fx.Queues[urgent] = workload.Terms{Pool: pool, Priority: 0, SlowdownFactor: 1.5, Objective: 250}
	fx.Queues[batch] = workload.Terms{Pool: pool, Priority: 1, SlowdownFactor: 3, Objective: 3000}
	fx.WaitTime = func(identifier.Job) clock.Millis { return 0 }
	for i, factor := range factors {
		fx.Workers[i].Factor = factor
	}
	return fx
}

// factorsOf returns the factors of the workers on which a plan starts tasks of a job.
func (fx *fixture) factorsOf(pl planner.Plan, jo *workload.Job) []float64 {
	var factors []float64
	for _, st := range pl.Starts {
		for _, place := range st.Placements {
			for i := range fx.Workers {
				if st.Job == jo && fx.Workers[i].ID == place.Worker {
					factors = append(factors, fx.Workers[i].Factor)
				}
			}
		}
	}
	return factors
}

// assertFactors checks that all tasks of a job start on workers of a factor.
func assertFactors(t *testing.T, fx *fixture, jo *workload.Job, factor float64) {
	t.Helper()
	factors := fx.factorsOf(fx.plan(planner.Completion), jo)
	asserter.Equal(t, len(factors), jo.Steps[0].Count)
	for _, got := range factors {
		asserter.Equal(t, got, factor)
	}
}

func withEstimate(st workload.Step, estimate clock.Millis) workload.Step {
	st.Estimate = estimate
	return st
}

// Wide urgent gangs on racks of which some workers are slow.
func TestUrgentGangOnUnevenRack(t *testing.T) {
	t.Run("the gang is placed on the workers of its rack that meet its objective", func(t *testing.T) {
		fx := newUnevenFixture(4, 1.6, 1, 1.6, 1)
		assertFactors(t, fx, fx.add(urgent, "ws", withEstimate(gang(2, 8), 2000)), 1)
	})
	t.Run("it is placed on a rack that has enough of these", func(t *testing.T) {
		fx := newUnevenFixture(3, 1, 1.6, 1.6, 1.6, 1, 1, 1.6, 1.6, 1)
		assertFactors(t, fx, fx.add(urgent, "ws", withEstimate(gang(2, 8), 2000)), 1)
	})
	t.Run("it starts on slow workers if there are no others", func(t *testing.T) {
		fx := newUnevenFixture(2, 1.6, 1.6)
		assertFactors(t, fx, fx.add(urgent, "ws", withEstimate(gang(2, 8), 2000)), 1.6)
	})
	t.Run("it leaves unknown workers where others are known", func(t *testing.T) {
		fx := newUnevenFixture(4, 1, 1, 0.9, 0.9)
		fx.Workers[0].Deviation, fx.Workers[1].Deviation = 0.35, 0.35
		assertFactors(t, fx, fx.add(urgent, "ws", withEstimate(gang(2, 8), 2000)), 0.9)
	})
}

// Urgent work in single tasks, and the work beside it, on uneven workers.
func TestTightAndLooseWorkOnUnevenWorkers(t *testing.T) {
	t.Run("urgent work takes a worker that meets its objective", func(t *testing.T) {
		fx := newUnevenFixture(4, 1.6, 1.6, 1.6, 1)
		assertFactors(t, fx, fx.add(urgent, "ws", withEstimate(step(1, 8), 2000)), 1)
	})
	t.Run("loose work takes a worker that urgent work does not need", func(t *testing.T) {
		fx := newUnevenFixture(4, 1.6, 1, 1, 1)
		assertFactors(t, fx, fx.add(batch, "ws", withEstimate(step(1, 8), 5000)), 1.6)
	})
	t.Run("loose work that has waited takes a worker on which it still meets its objective", func(t *testing.T) {
		fx := newUnevenFixture(4, 1.6, 1, 1, 1)
		fx.WaitTime = func(identifier.Job) clock.Millis { return 11_000 } // of 18 s
		assertFactors(t, fx, fx.add(batch, "ws", withEstimate(step(1, 8), 5000)), 1)
	})
	t.Run("work that is of no use any more takes a slow worker", func(t *testing.T) {
		fx := newUnevenFixture(4, 1.6, 1, 1, 1)
		fx.WaitTime = func(identifier.Job) clock.Millis { return clock.Minute }
		assertFactors(t, fx, fx.add(batch, "ws", withEstimate(step(1, 8), 5000)), 1.6)
	})
	t.Run("a job of two steps counts the longest chain", func(t *testing.T) {
		fx := newUnevenFixture(4, 1.6, 1, 1, 1)
		jo := fx.add(batch, "ws", withEstimate(step(1, 8), 5000))
		jo.Steps = append(jo.Steps, workload.Step{Count: 1, Request: jo.Steps[0].Request, Estimate: 5000, After: []int{0}})
		fx.WaitTime = func(identifier.Job) clock.Millis { return 22_000 } // of 33 s, of which the second step takes 5 s
		assertFactors(t, fx, jo, 1)
	})
}

// TestEvenFactors draws inputs: factors of 1 change no plan.
func TestEvenFactors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := drawFixture(rt)
		without := fx.plan(planner.Completion)
		for i := range fx.Workers {
			fx.Workers[i].Factor = 1
		}
		if with := fx.plan(planner.Completion); !reflect.DeepEqual(with, without) {
			rt.Fatalf("with factors %v, without %v", with, without)
		}
	})
}

// BenchmarkUneven plans urgent gangs on 3,000 workers of four speeds.
func BenchmarkUneven(b *testing.B) {
	factors := make([]float64, 3000)
	for i := range factors {
		factors[i] = []float64{0.6, 1, 1.3, 1.7}[i%4]
	}
	fx := newUnevenFixture(12, factors...)
	for range 20 {
		fx.add(urgent, "ws", withEstimate(gang(8, 4), 2000))
	}
	for b.Loop() {
		fx.plan(planner.Completion)
	}
}
