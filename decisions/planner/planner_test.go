package planner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/seeder"
)

const (
	pool   identifier.Pool  = "pool"
	urgent identifier.Queue = "urgent"
	batch  identifier.Queue = "batch"
)

// fixture is a planner input under construction.
type fixture struct{ planner.Input }

func TestMain(m *testing.M) { seeder.Main(m) }

func newFixture(workers, perRack int) *fixture {
	fx := &fixture{planner.Input{
		Now: 100_000,
		Queues: map[identifier.Queue]workload.Terms{
			urgent: {Pool: pool, Priority: 0}, batch: {Pool: pool, Priority: 1},
		},
		Guarantees: map[identifier.Workspace]meter.Accelerators{},
		WaitTime:   func(identifier.Job) clock.Millis { return clock.Minute },
	}}
	for i := range workers {
		fx.Workers = append(fx.Workers, planner.Worker{
			ID: identifier.Worker(fmt.Sprintf("w%02d", i)), Pool: pool, Rack: identifier.Rack(fmt.Sprintf("r%d", i/perRack)), Usable: true,
			Capacity: workload.Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
		})
	}
	return fx
}

// add adds a waiting job of one step.
func (fx *fixture) add(qu identifier.Queue, ws identifier.Workspace, step workload.Step) *workload.Job {
	jo := &workload.Job{
		ID: identifier.Job(fmt.Sprintf("j%02d", len(fx.Jobs))), Queue: qu, Workspace: ws, Steps: []workload.Step{step}, Occurrences: 1,
		AcceptedAt: clock.Millis(len(fx.Jobs)),
	}
	jo.AddDueStages(0)
	fx.Jobs = append(fx.Jobs, jo)
	return jo
}

// run marks the tasks of a job as running, each on the given worker.
func (fx *fixture) run(jo *workload.Job, workers ...int) {
	for i, at := range workers {
		jo.Stages[0].Tasks[i] = workload.Task{Phase: workload.Running, Run: 1, Worker: fx.Workers[at].ID, PlacedAt: 90_000}
	}
}

func step(count int, accelerators meter.Accelerators) workload.Step {
	return workload.Step{Count: count, Request: workload.Resources{CPU: 1000, Memory: 1000, Accelerators: accelerators}}
}

func gang(count int, accelerators meter.Accelerators) workload.Step {
	st := step(count, accelerators)
	st.Gang, st.SameRack = true, true
	return st
}

// starts returns the number of tasks of a job that a plan starts.
func starts(pl planner.Plan, jo *workload.Job) int {
	count := 0
	for _, st := range pl.Starts {
		if st.Job == jo {
			count += len(st.Placements)
		}
	}
	return count
}

// racksOf returns the number of racks on which a plan starts tasks of a job.
func (fx *fixture) racksOf(pl planner.Plan, jo *workload.Job) int {
	racks := map[identifier.Rack]bool{}
	for _, st := range pl.Starts {
		for _, place := range st.Placements {
			for i := range fx.Workers {
				if st.Job == jo && fx.Workers[i].ID == place.Worker {
					racks[fx.Workers[i].Rack] = true
				}
			}
		}
	}
	return len(racks)
}

func TestPlacement(t *testing.T) {
	t.Run("a gang starts completely or not at all", func(t *testing.T) {
		fx := newFixture(3, 3)
		jo := fx.add(batch, "ws", gang(4, 8))
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(fx.Input), jo), 0)
		fx = newFixture(4, 4)
		jo = fx.add(batch, "ws", gang(4, 8))
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(fx.Input), jo), 4)
	})
	t.Run("a gang is placed on one rack if it fits on one", func(t *testing.T) {
		fx := newFixture(8, 4)
		fx.run(fx.add(batch, "ws", step(1, 1)), 0)
		jo := fx.add(batch, "ws", gang(4, 8))
		asserter.Equal(t, fx.racksOf(planner.New(planner.Completion).Plan(fx.Input), jo), 1)
	})
	t.Run("a gang waits for one rack before it is spread over several", func(t *testing.T) {
		fx := newFixture(4, 2)
		fx.run(fx.add(batch, "ws", step(1, 1)), 0)
		fx.run(fx.add(batch, "ws", step(1, 1)), 2)
		jo := fx.add(batch, "ws", gang(2, 8))
		fx.WaitTime = func(identifier.Job) clock.Millis { return 0 }
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(fx.Input), jo), 0)
		fx.WaitTime = func(identifier.Job) clock.Millis { return clock.Minute }
		asserter.Equal(t, fx.racksOf(planner.New(planner.Completion).Plan(fx.Input), jo), 2)
	})
	t.Run("a gang that is too large for any rack does not wait for one", func(t *testing.T) {
		fx := newFixture(4, 2)
		jo := fx.add(batch, "ws", gang(3, 8))
		fx.WaitTime = func(identifier.Job) clock.Millis { return 0 }
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(fx.Input), jo), 3)
	})
	t.Run("small tasks are placed on partly used workers first", func(t *testing.T) {
		fx := newFixture(4, 4)
		fx.run(fx.add(batch, "ws", step(1, 4)), 2)
		fx.add(batch, "ws", step(1, 1))
		asserter.Equal(t, planner.New(planner.Completion).Plan(fx.Input).Starts[0].Placements[0].Worker, fx.Workers[2].ID)
	})
	t.Run("the resources of a stopping run are not free yet", func(t *testing.T) {
		fx := newFixture(1, 1)
		running := fx.add(batch, "ws", step(1, 8))
		fx.run(running, 0)
		running.Stages[0].Tasks[0].Phase = workload.Stopping
		jo := fx.add(urgent, "ws", step(1, 8))
		pl := planner.New(planner.Completion).Plan(fx.Input)
		asserter.Equal(t, starts(pl, jo), 0)
		asserter.Equal(t, len(pl.Stops), 0)
	})
	t.Run("a task is not placed on the worker on which it failed", func(t *testing.T) {
		fx := newFixture(2, 2)
		jo := fx.add(batch, "ws", step(1, 1))
		jo.Stages[0].Tasks[0].FailedOn = fx.Workers[0].ID
		asserter.Equal(t, planner.New(planner.Completion).Plan(fx.Input).Starts[0].Placements[0].Worker, fx.Workers[1].ID)
	})
	t.Run("required labels, the limit per worker and the allowed workers are respected", func(t *testing.T) {
		fx := newFixture(3, 3)
		fx.Workers[1].Labels = []identifier.Label{"fast"}
		labelled := step(1, 1)
		labelled.Requires = "fast"
		fx.add(batch, "ws", labelled)
		asserter.Equal(t, planner.New(planner.Completion).Plan(fx.Input).Starts[0].Placements[0].Worker, fx.Workers[1].ID)
		spread := step(4, 1)
		spread.MaxPerWorker = 1
		jo := fx.add(batch, "ws", spread)
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(fx.Input), jo), 3)
		fx.Allowed = func(*workload.Job, *workload.Stage, identifier.Worker) bool { return false }
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Starts), 0)
	})
	t.Run("workers are held for a gang that does not fit yet", func(t *testing.T) {
		fx := newFixture(10, 5)
		for i := range 10 {
			fx.run(fx.add(batch, "ws", step(1, 1)), i)
		}
		waiting := fx.add(batch, "ws", gang(2, 8))
		small := fx.add(batch, "ws", step(80, 1))
		pl := planner.New(planner.Completion).Plan(fx.Input)
		asserter.Equal(t, starts(pl, waiting), 0)
		asserter.Equal(t, starts(pl, small), 56) // 70 accelerators are free, 14 of them on the two held workers
	})
}

func TestPreemption(t *testing.T) {
	t.Run("urgent work preempts the run that loses the least work", func(t *testing.T) {
		fx := newFixture(2, 2)
		long, short := fx.add(batch, "ws", step(1, 8)), fx.add(batch, "ws", step(1, 8))
		fx.run(long, 0)
		fx.run(short, 1)
		short.Stages[0].Tasks[0].PlacedAt = 99_900
		fx.add(urgent, "ws", step(1, 8))
		pl := planner.New(planner.Completion).Plan(fx.Input)
		asserter.Equal(t, len(pl.Stops), 1)
		asserter.Equal(t, pl.Stops[0].Job, short)
	})
	t.Run("work of the same rank is not preempted", func(t *testing.T) {
		fx := newFixture(1, 1)
		fx.run(fx.add(urgent, "ws", step(1, 8)), 0)
		fx.add(urgent, "ws", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 0)
	})
	t.Run("guaranteed accelerators are reclaimed from the urgent work of a borrower", func(t *testing.T) {
		fx := newFixture(1, 1)
		fx.Guarantees["owner"] = 8
		fx.run(fx.add(urgent, "borrower", step(1, 8)), 0)
		fx.add(urgent, "owner", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 1)
	})
	t.Run("work beyond its guarantee does not preempt the urgent work of others", func(t *testing.T) {
		fx := newFixture(1, 1)
		fx.Guarantees["owner"] = 4
		fx.run(fx.add(urgent, "borrower", step(1, 8)), 0)
		fx.add(urgent, "owner", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 0)
	})
	t.Run("what no terms are known of is not preempted, since it could not be started again", func(t *testing.T) {
		fx := newFixture(1, 1)
		fx.run(fx.add("gone", "ws", step(1, 8)), 0)
		fx.add(urgent, "ws", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 0)
	})
	t.Run("work of a queue that is gone keeps its priority", func(t *testing.T) {
		fx := newFixture(1, 1)
		jo := fx.add("gone", "ws", step(1, 8))
		jo.Terms = fx.Queues[batch]
		fx.run(jo, 0)
		fx.add(urgent, "ws", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 1)
	})
	t.Run("long-running tasks are never preempted", func(t *testing.T) {
		fx := newFixture(1, 1)
		longRunning := step(1, 8)
		longRunning.LongRunning = true
		fx.run(fx.add(batch, "ws", longRunning), 0)
		fx.add(urgent, "ws", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(fx.Input).Stops), 0)
	})
}

// TestPlanInvariants checks invariants of the plans for random mixes of work: no worker
// exceeds its capacity, gangs start as a whole, and work within a guarantee is not stopped.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := drawFixture(rt)
		pl := planner.New(planner.Completion).Plan(fx.Input)
		fx.checkCapacity(rt, pl)
		for _, st := range pl.Starts {
			if st.Job.StepOf(st.Stage).Gang && len(st.Placements) != len(st.Stage.Tasks) {
				rt.Fatalf("only some members of a gang are started")
			}
		}
		for _, sp := range pl.Stops {
			if fx.Queues[sp.Job.Queue].Priority == 0 && fx.Guarantees[sp.Job.Workspace] > 0 && fx.withinGuarantee(sp.Job.Workspace) {
				rt.Fatalf("a run within its guarantee is stopped")
			}
		}
	})
}

func drawFixture(rt *rapid.T) *fixture {
	fx := newFixture(rapid.IntRange(1, 12).Draw(rt, "workers"), 3)
	fx.Guarantees["a"] = meter.Accelerators(rapid.IntRange(0, 32).Draw(rt, "guarantee"))
	free := make([]meter.Accelerators, len(fx.Workers))
	for i := range free {
		free[i] = 8
	}
	for range rapid.IntRange(1, 20).Draw(rt, "jobs") {
		st := step(rapid.IntRange(1, 6).Draw(rt, "count"), meter.Accelerators(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators")))
		st.Gang, st.SameRack = rapid.Bool().Draw(rt, "gang"), rapid.Bool().Draw(rt, "rack")
		jo := fx.add(rapid.SampledFrom([]identifier.Queue{urgent, batch}).Draw(rt, "queue"), rapid.SampledFrom([]identifier.Workspace{"a", "b"}).Draw(rt, "workspace"), st)
		if !rapid.Bool().Draw(rt, "running") {
			continue
		}
		var at []int
		for range st.Count {
			for i := range free {
				if free[i] >= st.Request.Accelerators {
					free[i] -= st.Request.Accelerators
					at = append(at, i)
					break
				}
			}
		}
		if len(at) == st.Count {
			fx.run(jo, at...)
		} else {
			for _, i := range at {
				free[i] += st.Request.Accelerators
			}
		}
	}
	return fx
}

// withinGuarantee reports whether all urgent work of a workspace together is within its
// guarantee.
func (fx *fixture) withinGuarantee(ws identifier.Workspace) bool {
	var sum meter.Accelerators
	for _, jo := range fx.Jobs {
		if jo.Workspace == ws && fx.Queues[jo.Queue].Priority == 0 {
			sum += jo.Steps[0].Request.Accelerators * meter.Accelerators(jo.Steps[0].Count)
		}
	}
	return sum <= fx.Guarantees[ws]
}

// checkCapacity checks that the present and the newly started runs fit on each worker.
func (fx *fixture) checkCapacity(rt *rapid.T, pl planner.Plan) {
	used := map[identifier.Worker]meter.Accelerators{}
	for _, jo := range fx.Jobs {
		jo.EachHeld(func(st *workload.Stage, _ int, ta *workload.Task) {
			used[ta.Worker] += jo.StepOf(st).Request.Accelerators
		})
	}
	for _, st := range pl.Starts {
		for _, place := range st.Placements {
			used[place.Worker] += st.Job.StepOf(st.Stage).Request.Accelerators
		}
	}
	for id, sum := range used {
		if sum > 8 {
			rt.Fatalf("worker %s has %d of 8 accelerators in use", id, sum)
		}
	}
}

// BenchmarkOverload makes plans for 1,100 workers, the size expected in two years, with a
// long queue.
func BenchmarkOverload(b *testing.B) {
	fx := newFixture(1100, 8)
	for i := range 1100 {
		fx.run(fx.add(batch, "ws", step(8, 1)), i, i, i, i, i, i, i, i)
	}
	for range 500 {
		fx.add(batch, "ws", gang(16, 8))
	}
	for b.Loop() {
		planner.New(planner.Completion).Plan(fx.Input)
	}
}
