package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// acceleratorCores is the worth of an accelerator in cores, as the platform prices it.
	acceleratorCores = 8
	// checkpointLoss is the work that a checkpointing task loses when it is stopped: one
	// interval between checkpoints and one restore.
	checkpointLoss = 1100 * clock.Millis(1)
)

type (
	// unit is what is stopped together: a task, or a gang.
	unit struct {
		stage *workload.Stage
		// index is that of the task, or -1 for a gang.
		index int
	}

	// victims is a set of units with what is lost by stopping them.
	victims struct {
		runs map[unit]run
		cost float64
	}
)

// preempt stops the runs of higher rank that free room for the candidate at the least
// loss, and keeps the room. It reports whether that is possible.
func (ro *round) preempt(ca candidate, slots []*slot, count int) bool {
	groups := [][]*slot{slots}
	if ca.step.SameRack && count > 1 {
		groups = append(racks(groups[0]), groups[0])
	}
	var best *victims
	var found []*slot
	for i, group := range groups {
		if best != nil && i == len(groups)-1 {
			break // several racks only where no single one will do
		}
		if vi, places := ro.evict(ca, group, count); vi != nil && (best == nil || vi.cost < best.cost) {
			best, found = vi, places
		}
	}
	if best == nil {
		return false
	}
	ro.stop(ca, best)
	ro.keep(ca, found)
	return true
}

// evict finds room for all tasks within the slots, and the units that have to go.
func (ro *round) evict(ca candidate, slots []*slot, count int) (*victims, []*slot) {
	vi := &victims{runs: map[unit]run{}}
	left := make(map[*slot]workload.Room, len(slots))
	for _, sl := range slots {
		left[sl] = sl.soon
	}
	need := ca.step.Reserved()
	var found []*slot
	for range count {
		sl := ro.cheapest(ca, slots, left, vi, found)
		if sl == nil {
			return nil, nil
		}
		left[sl] = left[sl].Sub(need)
		found = append(found, sl)
	}
	return vi, found
}

// cheapest frees room for one task on the slot where that loses the least.
func (ro *round) cheapest(ca candidate, slots []*slot, left map[*slot]workload.Room, vi *victims, found []*slot) *slot {
	var best *slot
	var bestRuns []run
	bestCost := 0.0
	for _, sl := range slots {
		if spreadLeft(ca, sl) <= placedOn(found, sl) {
			continue
		}
		runs, cost, ok := ro.clear(ca, sl, left[sl], vi)
		if ok && (best == nil || cost < bestCost) {
			best, bestRuns, bestCost = sl, runs, cost
		}
	}
	for _, ru := range bestRuns {
		ro.add(vi, ru, left)
	}
	return best
}

func placedOn(found []*slot, sl *slot) int {
	count := 0
	for _, other := range found {
		if other == sl {
			count++
		}
	}
	return count
}

// clear lists the runs of a slot that have to go for one task, cheapest first.
func (ro *round) clear(ca candidate, sl *slot, left workload.Room, vi *victims) ([]run, float64, bool) {
	need := ca.step.Reserved()
	if left.Fits(need) {
		return nil, 0, true
	}
	var able []run
	for _, ru := range sl.runs {
		if _, gone := vi.runs[unitOf(ru)]; ru.rank > ca.rank && !gone {
			able = append(able, ru)
		}
	}
	slices.SortStableFunc(able, func(a, b run) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(ro.loss(a), ro.loss(b)))
	})
	var chosen []run
	cost := 0.0
	for _, ru := range able {
		chosen = append(chosen, ru)
		cost += ro.loss(ru)
		if left = left.Add(ru.job.StepOf(ru.stage).Reserved()); left.Fits(need) {
			return chosen, cost, true
		}
	}
	return nil, 0, false
}

// add marks a unit as going, with the room that all its runs give back.
func (ro *round) add(vi *victims, ru run, left map[*slot]workload.Room) {
	un := unitOf(ru)
	if _, gone := vi.runs[un]; gone {
		return
	}
	vi.runs[un] = ru
	vi.cost += ro.loss(ru)
	need := ru.job.StepOf(ru.stage).Reserved()
	for i := range ru.stage.Tasks {
		ta := &ru.stage.Tasks[i]
		if (un.index >= 0 && i != un.index) || (ta.Phase != workload.Starting && ta.Phase != workload.Running) {
			continue
		}
		if sl := ro.byID[ta.Worker]; sl != nil {
			if room, within := left[sl]; within {
				left[sl] = room.Add(need)
			}
		}
	}
}

// stop plans the stops, and takes the units out of what later candidates may stop.
func (ro *round) stop(ca candidate, vi *victims) {
	gone := make([]run, 0, len(vi.runs))
	for _, ru := range vi.runs {
		gone = append(gone, ru)
	}
	slices.SortFunc(gone, func(a, b run) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.stage.Occurrence, b.stage.Occurrence),
			cmp.Compare(a.stage.Step, b.stage.Step), cmp.Compare(a.index, b.index))
	})
	for _, ru := range gone {
		ro.plan.Stops = append(ro.plan.Stops, Stop{Job: ru.job, Stage: ru.stage, Index: ru.index, For: ca.job.ID})
	}
	for _, sl := range ro.slots {
		sl.runs = slices.DeleteFunc(sl.runs, func(ru run) bool {
			_, going := vi.runs[unitOf(ru)]
			if going {
				ro.change(sl, ru.job.StepOf(ru.stage).Reserved())
			}
			return going
		})
	}
}

func unitOf(ru run) unit {
	if ru.job.StepOf(ru.stage).Gang {
		return unit{stage: ru.stage, index: -1}
	}
	return unit{stage: ru.stage, index: ru.index}
}

// loss is the work in core-milliseconds that stopping the run's unit throws away.
func (ro *round) loss(ru run) float64 {
	step := ru.job.StepOf(ru.stage)
	ta := &ru.stage.Tasks[ru.index]
	lost := ro.in.Now - ta.Since
	if step.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	cores := coresOf(step.Need)
	if step.Gang {
		cores *= float64(step.Count)
	}
	return cores * float64(lost)
}
