package simulator

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Greedy places work by simple means: in order of arrival, without preemption, and with
// no thought for racks.
type Greedy struct {
	// BestFit takes the worker that is left with the least room; otherwise the first that
	// fits is taken.
	BestFit bool
	// Strict lets nothing overtake work that does not fit.
	Strict bool
}

// Plan places what fits.
func (gr Greedy) Plan(in planner.Input) planner.Plan {
	var pl planner.Plan
	free := freeRoom(in)
	for _, jo := range in.Jobs {
		if jo.State.Final() {
			continue
		}
		for _, st := range jo.Stages {
			if !jo.Ready(st) || jo.StepOf(st).Gang && !st.Idle() {
				continue
			}
			places, whole := gr.place(in, free, jo, st)
			if len(places) > 0 {
				pl.Starts = append(pl.Starts, planner.Start{Job: jo, Stage: st, Places: places})
			}
			if !whole && gr.Strict {
				return pl
			}
		}
	}
	return pl
}

func freeRoom(in planner.Input) []workload.Room {
	at := make(map[identifier.Worker]int, len(in.Workers))
	free := make([]workload.Room, len(in.Workers))
	for i := range in.Workers {
		at[in.Workers[i].ID], free[i] = i, in.Workers[i].Capacity
	}
	for _, jo := range in.Jobs {
		jo.Held(func(st *workload.Stage, _ int, ta *workload.Task) {
			free[at[ta.Worker]] = free[at[ta.Worker]].Sub(jo.StepOf(st).Need)
		})
	}
	return free
}

// place finds workers for the waiting tasks of a stage, and reports whether all have one. A
// gang is placed whole or not at all.
func (gr Greedy) place(in planner.Input, free []workload.Room, jo *workload.Job, st *workload.Stage) ([]planner.Place, bool) {
	step := jo.StepOf(st)
	left := append([]workload.Room(nil), free...)
	var places []planner.Place
	whole := true
	for i := range st.Tasks {
		if st.Tasks[i].Phase != workload.Waiting {
			continue
		}
		best := gr.choose(left, step.Need)
		if best < 0 {
			whole = false
			break
		}
		left[best] = left[best].Sub(step.Need)
		places = append(places, planner.Place{Index: i, Worker: in.Workers[best].ID, Life: in.Workers[best].Life})
	}
	if step.Gang && !whole {
		return nil, false
	}
	copy(free, left)
	return places, whole
}

// choose returns the place of a worker that fits, or -1.
func (gr Greedy) choose(free []workload.Room, need workload.Room) int {
	best := -1
	for i, ro := range free {
		if !ro.Fits(need) {
			continue
		}
		if !gr.BestFit {
			return i
		}
		if best < 0 || ro.Accelerators < free[best].Accelerators {
			best = i
		}
	}
	return best
}
