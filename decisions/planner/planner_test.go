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

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	pool  identifier.Pool  = "pool"
	first identifier.Queue = "first"
	later identifier.Queue = "later"
)

// scene is an input in the making.
type scene struct{ planner.Input }

func newScene(workers, perRack int) *scene {
	sc := &scene{planner.Input{
		Now: 100_000,
		Queues: map[identifier.Queue]planner.Queue{
			first: {Pool: pool, Priority: 0}, later: {Pool: pool, Priority: 1},
		},
		Guarantees: map[identifier.Workspace]meter.Accelerators{},
		Waited:     func(identifier.Job) clock.Millis { return clock.Minute },
	}}
	for i := range workers {
		sc.Workers = append(sc.Workers, planner.Worker{
			ID: identifier.Worker(fmt.Sprintf("w%02d", i)), Pool: pool, Rack: identifier.Rack(fmt.Sprintf("r%d", i/perRack)), Usable: true,
			Capacity: workload.Room{CPU: 64000, Memory: 128000, Accelerators: 8},
		})
	}
	return sc
}

// add adds a job of one step that waits.
func (sc *scene) add(qu identifier.Queue, ws identifier.Workspace, step workload.Step) *workload.Job {
	jo := &workload.Job{
		ID: identifier.Job(fmt.Sprintf("j%02d", len(sc.Jobs))), Queue: qu, Workspace: ws, Steps: []workload.Step{step}, Occurrences: 1,
		Accepted: clock.Millis(len(sc.Jobs)),
	}
	jo.Due(0)
	sc.Jobs = append(sc.Jobs, jo)
	return jo
}

// run puts the tasks of a job to work, each on the worker given for it.
func (sc *scene) run(jo *workload.Job, workers ...int) {
	for i, at := range workers {
		jo.Stages[0].Tasks[i] = workload.Task{Phase: workload.Running, Run: 1, Worker: sc.Workers[at].ID, Since: 90_000}
	}
}

func step(count int, accelerators meter.Accelerators) workload.Step {
	return workload.Step{Count: count, Need: workload.Room{CPU: 1000, Memory: 1000, Accelerators: accelerators}}
}

func gang(count int, accelerators meter.Accelerators) workload.Step {
	st := step(count, accelerators)
	st.Gang, st.SameRack = true, true
	return st
}

// starts counts the tasks of a job that a plan starts.
func starts(pl planner.Plan, jo *workload.Job) int {
	count := 0
	for _, st := range pl.Starts {
		if st.Job == jo {
			count += len(st.Places)
		}
	}
	return count
}

// racksOf counts the racks on which a plan starts a job.
func (sc *scene) racksOf(pl planner.Plan, jo *workload.Job) int {
	racks := map[identifier.Rack]bool{}
	for _, st := range pl.Starts {
		for _, place := range st.Places {
			for i := range sc.Workers {
				if st.Job == jo && sc.Workers[i].ID == place.Worker {
					racks[sc.Workers[i].Rack] = true
				}
			}
		}
	}
	return len(racks)
}

func TestPlacement(t *testing.T) {
	t.Run("a gang starts whole or not at all", func(t *testing.T) {
		sc := newScene(3, 3)
		jo := sc.add(later, "ws", gang(4, 8))
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(sc.Input), jo), 0)
		sc = newScene(4, 4)
		jo = sc.add(later, "ws", gang(4, 8))
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(sc.Input), jo), 4)
	})
	t.Run("a gang goes to one rack where one has room", func(t *testing.T) {
		sc := newScene(8, 4)
		sc.run(sc.add(later, "ws", step(1, 1)), 0)
		jo := sc.add(later, "ws", gang(4, 8))
		asserter.Equal(t, sc.racksOf(planner.New(planner.Completion).Plan(sc.Input), jo), 1)
	})
	t.Run("a gang waits for a rack before it is spread", func(t *testing.T) {
		sc := newScene(4, 2)
		sc.run(sc.add(later, "ws", step(1, 1)), 0)
		sc.run(sc.add(later, "ws", step(1, 1)), 2)
		jo := sc.add(later, "ws", gang(2, 8))
		sc.Waited = func(identifier.Job) clock.Millis { return 0 }
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(sc.Input), jo), 0)
		sc.Waited = func(identifier.Job) clock.Millis { return clock.Minute }
		asserter.Equal(t, sc.racksOf(planner.New(planner.Completion).Plan(sc.Input), jo), 2)
	})
	t.Run("a gang that no rack can hold does not wait for one", func(t *testing.T) {
		sc := newScene(4, 2)
		jo := sc.add(later, "ws", gang(3, 8))
		sc.Waited = func(identifier.Job) clock.Millis { return 0 }
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(sc.Input), jo), 3)
	})
	t.Run("small tasks fill used workers first", func(t *testing.T) {
		sc := newScene(4, 4)
		sc.run(sc.add(later, "ws", step(1, 4)), 2)
		sc.add(later, "ws", step(1, 1))
		asserter.Equal(t, planner.New(planner.Completion).Plan(sc.Input).Starts[0].Places[0].Worker, sc.Workers[2].ID)
	})
	t.Run("room that is being freed still counts as taken", func(t *testing.T) {
		sc := newScene(1, 1)
		running := sc.add(later, "ws", step(1, 8))
		sc.run(running, 0)
		running.Stages[0].Tasks[0].Phase = workload.Stopping
		jo := sc.add(first, "ws", step(1, 8))
		pl := planner.New(planner.Completion).Plan(sc.Input)
		asserter.Equal(t, starts(pl, jo), 0)
		asserter.Equal(t, len(pl.Stops), 0)
	})
	t.Run("a task avoids the worker where it failed", func(t *testing.T) {
		sc := newScene(2, 2)
		jo := sc.add(later, "ws", step(1, 1))
		jo.Stages[0].Tasks[0].FailedOn = sc.Workers[0].ID
		asserter.Equal(t, planner.New(planner.Completion).Plan(sc.Input).Starts[0].Places[0].Worker, sc.Workers[1].ID)
	})
	t.Run("a label, a spread limit and a permission are kept", func(t *testing.T) {
		sc := newScene(3, 3)
		sc.Workers[1].Labels = []identifier.Label{"fast"}
		labelled := step(1, 1)
		labelled.Requires = "fast"
		sc.add(later, "ws", labelled)
		asserter.Equal(t, planner.New(planner.Completion).Plan(sc.Input).Starts[0].Places[0].Worker, sc.Workers[1].ID)
		spread := step(4, 1)
		spread.Spread = 1
		jo := sc.add(later, "ws", spread)
		asserter.Equal(t, starts(planner.New(planner.Completion).Plan(sc.Input), jo), 3)
		sc.Allowed = func(*workload.Job, *workload.Stage, identifier.Worker) bool { return false }
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(sc.Input).Starts), 0)
	})
	t.Run("workers are kept for a gang that does not fit yet", func(t *testing.T) {
		sc := newScene(10, 5)
		for i := range 10 {
			sc.run(sc.add(later, "ws", step(1, 1)), i)
		}
		waiting := sc.add(later, "ws", gang(2, 8))
		small := sc.add(later, "ws", step(80, 1))
		pl := planner.New(planner.Completion).Plan(sc.Input)
		asserter.Equal(t, starts(pl, waiting), 0)
		asserter.Equal(t, starts(pl, small), 56) // 70 are free, 14 of them on the two kept workers
	})
}

func TestPreemption(t *testing.T) {
	t.Run("urgent work stops what loses least", func(t *testing.T) {
		sc := newScene(2, 2)
		long, short := sc.add(later, "ws", step(1, 8)), sc.add(later, "ws", step(1, 8))
		sc.run(long, 0)
		sc.run(short, 1)
		short.Stages[0].Tasks[0].Since = 99_900
		sc.add(first, "ws", step(1, 8))
		pl := planner.New(planner.Completion).Plan(sc.Input)
		asserter.Equal(t, len(pl.Stops), 1)
		asserter.Equal(t, pl.Stops[0].Job, short)
	})
	t.Run("work of the same rank is not stopped", func(t *testing.T) {
		sc := newScene(1, 1)
		sc.run(sc.add(first, "ws", step(1, 8)), 0)
		sc.add(first, "ws", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(sc.Input).Stops), 0)
	})
	t.Run("a guarantee is reclaimed from borrowed urgent work", func(t *testing.T) {
		sc := newScene(1, 1)
		sc.Guarantees["owner"] = 8
		sc.run(sc.add(first, "borrower", step(1, 8)), 0)
		sc.add(first, "owner", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(sc.Input).Stops), 1)
	})
	t.Run("what exceeds a guarantee reclaims nothing", func(t *testing.T) {
		sc := newScene(1, 1)
		sc.Guarantees["owner"] = 4
		sc.run(sc.add(first, "borrower", step(1, 8)), 0)
		sc.add(first, "owner", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(sc.Input).Stops), 0)
	})
	t.Run("lasting tasks are never stopped", func(t *testing.T) {
		sc := newScene(1, 1)
		lasting := step(1, 8)
		lasting.Lasting = true
		sc.run(sc.add(later, "ws", lasting), 0)
		sc.add(first, "ws", step(1, 8))
		asserter.Equal(t, len(planner.New(planner.Completion).Plan(sc.Input).Stops), 0)
	})
}

// TestPlansAlways checks plans for any mix of work.
func TestPlansAlways(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScene(rt)
		pl := planner.New(planner.Completion).Plan(sc.Input)
		sc.checkRoom(rt, pl)
		for _, st := range pl.Starts {
			if st.Job.StepOf(st.Stage).Gang && len(st.Places) != len(st.Stage.Tasks) {
				rt.Fatalf("a part of a gang starts")
			}
		}
		for _, sp := range pl.Stops {
			if sc.Queues[sp.Job.Queue].Priority == 0 && sc.Guarantees[sp.Job.Workspace] > 0 && sc.small(sp.Job.Workspace) {
				rt.Fatalf("work within its guarantee is stopped")
			}
		}
	})
}

func drawScene(rt *rapid.T) *scene {
	sc := newScene(rapid.IntRange(1, 12).Draw(rt, "workers"), 3)
	sc.Guarantees["a"] = meter.Accelerators(rapid.IntRange(0, 32).Draw(rt, "guarantee"))
	free := make([]meter.Accelerators, len(sc.Workers))
	for i := range free {
		free[i] = 8
	}
	for range rapid.IntRange(1, 20).Draw(rt, "jobs") {
		st := step(rapid.IntRange(1, 6).Draw(rt, "count"), meter.Accelerators(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators")))
		st.Gang, st.SameRack = rapid.Bool().Draw(rt, "gang"), rapid.Bool().Draw(rt, "rack")
		jo := sc.add(rapid.SampledFrom([]identifier.Queue{first, later}).Draw(rt, "queue"), rapid.SampledFrom([]identifier.Workspace{"a", "b"}).Draw(rt, "workspace"), st)
		if !rapid.Bool().Draw(rt, "running") {
			continue
		}
		var at []int
		for range st.Count {
			for i := range free {
				if free[i] >= st.Need.Accelerators {
					free[i] -= st.Need.Accelerators
					at = append(at, i)
					break
				}
			}
		}
		if len(at) == st.Count {
			sc.run(jo, at...)
		} else {
			for _, i := range at {
				free[i] += st.Need.Accelerators
			}
		}
	}
	return sc
}

// small reports whether all urgent work of a workspace is within its guarantee.
func (sc *scene) small(ws identifier.Workspace) bool {
	var sum meter.Accelerators
	for _, jo := range sc.Jobs {
		if jo.Workspace == ws && sc.Queues[jo.Queue].Priority == 0 {
			sum += jo.Steps[0].Need.Accelerators * meter.Accelerators(jo.Steps[0].Count)
		}
	}
	return sum <= sc.Guarantees[ws]
}

// checkRoom checks that what runs and what starts fits on each worker.
func (sc *scene) checkRoom(rt *rapid.T, pl planner.Plan) {
	used := map[identifier.Worker]meter.Accelerators{}
	for _, jo := range sc.Jobs {
		jo.Held(func(st *workload.Stage, _ int, ta *workload.Task) { used[ta.Worker] += jo.StepOf(st).Need.Accelerators })
	}
	for _, st := range pl.Starts {
		for _, place := range st.Places {
			used[place.Worker] += st.Job.StepOf(st.Stage).Need.Accelerators
		}
	}
	for id, sum := range used {
		if sum > 8 {
			rt.Fatalf("worker %s holds %d accelerators of 8", id, sum)
		}
	}
}

// BenchmarkOverload plans for the size of two years with a long line.
func BenchmarkOverload(b *testing.B) {
	sc := newScene(1100, 8)
	for i := range 1100 {
		sc.run(sc.add(later, "ws", step(8, 1)), i, i, i, i, i, i, i, i)
	}
	for range 500 {
		sc.add(later, "ws", gang(16, 8))
	}
	for b.Loop() {
		planner.New(planner.Completion).Plan(sc.Input)
	}
}
