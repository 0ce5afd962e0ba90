package simulator

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Greedy is a baseline policy. It places tasks in order of arrival, without preemption and
// without regard to racks.
type Greedy struct {
	// BestFit chooses the worker with the fewest free accelerators among those that fit.
	// Otherwise the first worker that fits is chosen.
	BestFit bool
	// Strict ends a round at the first stage that does not fit completely, so that no later
	// work starts before it.
	Strict bool
}

// Plan starts the waiting tasks that fit.
func (gr Greedy) Plan(in planner.Input) planner.Plan {
	var pl planner.Plan
	free := freeResources(in)
	for _, jo := range in.Jobs {
		if jo.State.Final() {
			continue
		}
		for _, st := range jo.Stages {
			if !jo.Ready(st) || jo.StepOf(st).Gang && !st.Idle() {
				continue
			}
			places, complete := gr.place(in, free, jo, st)
			if len(places) > 0 {
				pl.Starts = append(pl.Starts, planner.Start{Job: jo, Stage: st, Placements: places})
			}
			if !complete && gr.Strict {
				return pl
			}
		}
	}
	return pl
}

// freeResources returns the free resources of each worker.
func freeResources(in planner.Input) []workload.Resources {
	index := make(map[identifier.Worker]int, len(in.Workers))
	free := make([]workload.Resources, len(in.Workers))
	for i := range in.Workers {
		index[in.Workers[i].ID], free[i] = i, in.Workers[i].Capacity
	}
	for _, jo := range in.Jobs {
		jo.EachHeld(func(st *workload.Stage, _ int, ta *workload.Task) {
			free[index[ta.Worker]] = free[index[ta.Worker]].Sub(jo.StepOf(st).Request)
		})
	}
	return free
}

// place chooses workers for the waiting tasks of a stage and subtracts their requests from
// free. It reports whether every task got a worker. A gang is placed completely or not at
// all.
func (gr Greedy) place(in planner.Input, free []workload.Resources, jo *workload.Job, st *workload.Stage) ([]planner.Placement, bool) {
	step := jo.StepOf(st)
	remaining := append([]workload.Resources(nil), free...)
	var places []planner.Placement
	complete := true
	for i := range st.Tasks {
		if st.Tasks[i].Phase != workload.Waiting {
			continue
		}
		best := gr.choose(remaining, step.Request)
		if best < 0 {
			complete = false
			break
		}
		remaining[best] = remaining[best].Sub(step.Request)
		places = append(places, planner.Placement{Index: i, Worker: in.Workers[best].ID, Incarnation: in.Workers[best].Incarnation})
	}
	if step.Gang && !complete {
		return nil, false
	}
	copy(free, remaining)
	return places, complete
}

// choose returns the index of a worker on which the request fits, or -1.
func (gr Greedy) choose(free []workload.Resources, req workload.Resources) int {
	best := -1
	for i, av := range free {
		if !av.Fits(req) {
			continue
		}
		if !gr.BestFit {
			return i
		}
		if best < 0 || av.Accelerators < free[best].Accelerators {
			best = i
		}
	}
	return best
}
