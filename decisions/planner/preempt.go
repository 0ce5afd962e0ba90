package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// acceleratorCores is the value of an accelerator in cores, according to the platform's
	// prices.
	acceleratorCores = 8
	// UnsavedWork is the work that a task with checkpoints loses when it is stopped: one
	// interval between checkpoints and one restore.
	UnsavedWork = 1100 * clock.Millis(1)
)

type (
	// unit is the smallest set of runs that can be stopped: a task or a whole gang.
	unit struct {
		stage *workload.Stage
		// index is the index of the task, or -1 for a gang.
		index int
	}

	// victims is a set of units to stop. cost is the work in core-milliseconds that this loses, and gain the
	// work that the winner has done in time because of it.
	victims struct {
		runs       map[unit]run
		cost, gain float64
	}
)

// preempt plans to stop less important runs, which are those of a higher rank, so that the
// candidate fits with the least loss of work, and reserves the resources. It reports
// whether that is possible.
func (ro *round) preempt(ca candidate, slots []*slot, count int) bool {
	groups := [][]*slot{slots}
	if ca.step.SameRack && count > 1 {
		groups = append(racks(groups[0]), groups[0])
	}
	var best *victims
	var found []*slot
	for i, group := range groups {
		if best != nil && i == len(groups)-1 {
			break // several racks are used only if no single rack suffices
		}
		if vi, places := ro.evict(ca, group, count); vi != nil && (best == nil || vi.cost < best.cost) {
			best, found = vi, places
		}
	}
	if best == nil {
		return false
	}
	if ro.tu.PreemptByValue {
		if ro.waitForEnds(ca, slots, count, best.cost) {
			return true
		}
		if best.gain = ro.gain(ca, count); ca.rank != rankGuaranteed && best.gain <= best.cost {
			return false
		}
	}
	ro.planStops(ca, best)
	ro.reserve(ca, found)
	return true
}

// evict returns the units to stop on the given slots, and a slot for each task once they
// have stopped. It returns nil if the tasks do not fit even then.
func (ro *round) evict(ca candidate, slots []*slot, count int) (*victims, []*slot) {
	vi := &victims{runs: map[unit]run{}}
	left := make(map[*slot]workload.Resources, len(slots))
	for _, sl := range slots {
		left[sl] = sl.freeSoon
	}
	req := ca.step.Reserved()
	var found []*slot
	for range count {
		sl := ro.cheapestSlot(ca, slots, left, vi, found)
		if sl == nil {
			return nil, nil
		}
		left[sl] = left[sl].Sub(req)
		found = append(found, sl)
	}
	return vi, found
}

// cheapestSlot returns the slot on which one more task can be placed with the least loss of
// work, and adds the runs to stop there to the victims.
func (ro *round) cheapestSlot(ca candidate, slots []*slot, left map[*slot]workload.Resources, vi *victims, found []*slot) *slot {
	var best *slot
	var bestRuns []run
	bestCost := 0.0
	for _, sl := range slots {
		if spreadLeft(ca, sl) <= placedOn(found, sl) {
			continue
		}
		runs, cost, ok := ro.runsToStop(ca, sl, left[sl], vi)
		if ok && (best == nil || cost < bestCost) {
			best, bestRuns, bestCost = sl, runs, cost
		}
	}
	for _, ru := range bestRuns {
		ro.addVictim(vi, ru, left)
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

// runsToStop returns the runs of a slot that must be stopped to fit one task, those with
// the highest rank and the least loss first, and the total loss. It reports false if the
// task does not fit.
func (ro *round) runsToStop(ca candidate, sl *slot, left workload.Resources, vi *victims) ([]run, float64, bool) {
	req := ca.step.Reserved()
	if left.Fits(req) {
		return nil, 0, true
	}
	var preemptible []run
	for _, ru := range sl.runs {
		if _, isVictim := vi.runs[unitOf(ru)]; ru.rank > ca.rank && !isVictim && !ro.spared(ca, ru) {
			preemptible = append(preemptible, ru)
		}
	}
	slices.SortStableFunc(preemptible, func(a, b run) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(ro.loss(a), ro.loss(b)))
	})
	var chosen []run
	cost := 0.0
	for _, ru := range preemptible {
		chosen = append(chosen, ru)
		cost += ro.loss(ru)
		if left = left.Add(ru.job.StepOf(ru.stage).Reserved()); left.Fits(req) {
			return chosen, cost, true
		}
	}
	return nil, 0, false
}

// addVictim adds the unit of a run to the victims and the resources of all its runs to
// left.
func (ro *round) addVictim(vi *victims, ru run, left map[*slot]workload.Resources) {
	un := unitOf(ru)
	if _, isVictim := vi.runs[un]; isVictim {
		return
	}
	vi.runs[un] = ru
	vi.cost += ro.loss(ru)
	req := ru.job.StepOf(ru.stage).Reserved()
	for i := range ru.stage.Tasks {
		ta := &ru.stage.Tasks[i]
		if (un.index >= 0 && i != un.index) || (ta.Phase != workload.Starting && ta.Phase != workload.Running) {
			continue
		}
		if sl := ro.byID[ta.Worker]; sl != nil {
			if free, within := left[sl]; within {
				left[sl] = free.Add(req)
			}
		}
	}
}

// planStops adds the victims to the plan. It removes them from the runs that later
// candidates may preempt, and counts their resources as free soon.
func (ro *round) planStops(ca candidate, vi *victims) {
	stops := make([]run, 0, len(vi.runs))
	for _, ru := range vi.runs {
		stops = append(stops, ru)
	}
	slices.SortFunc(stops, func(a, b run) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.stage.Occurrence, b.stage.Occurrence),
			cmp.Compare(a.stage.Step, b.stage.Step), cmp.Compare(a.index, b.index))
	})
	for _, ru := range stops {
		ro.plan.Stops = append(ro.plan.Stops, Stop{
			Job: ru.job, Stage: ru.stage, Index: ru.index, PreemptedFor: ca.job.ID, Guaranteed: ca.rank == rankGuaranteed, Loss: ro.loss(ru), Gain: vi.gain,
		})
	}
	for _, sl := range ro.slots {
		sl.runs = slices.DeleteFunc(sl.runs, func(ru run) bool {
			_, isVictim := vi.runs[unitOf(ru)]
			if isVictim {
				ro.adjustFree(sl, ru.job.StepOf(ru.stage).Reserved())
			}
			return isVictim
		})
	}
}

func unitOf(ru run) unit {
	if ru.job.StepOf(ru.stage).Gang {
		return unit{stage: ru.stage, index: -1}
	}
	return unit{stage: ru.stage, index: ru.index}
}

// loss returns the work in core-milliseconds that is lost if the run's unit is stopped.
func (ro *round) loss(ru run) float64 {
	step := ru.job.StepOf(ru.stage)
	ta := &ru.stage.Tasks[ru.index]
	lost := ro.in.Now - ta.PlacedAt
	if step.Checkpointing {
		lost = min(lost, UnsavedWork)
	}
	cores := coresOf(step.Request)
	if step.Gang {
		cores *= float64(step.Count)
	}
	if !ro.tu.PreemptByValue {
		return cores * float64(lost)
	}
	un := unitOf(ru)
	value, known := ro.losses[un]
	if !known {
		value = cores * ro.lossInTime(ru, float64(lost))
		ro.losses[un] = value
	}
	return value
}
