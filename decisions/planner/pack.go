package planner

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// unlimited is the number of tasks per worker of a step without a spread limit.
const unlimited = 1 << 30

func onRack(slots []*slot, rack identifier.Rack) []*slot {
	var matching []*slot
	for _, sl := range slots {
		if sl.worker.Rack == rack {
			matching = append(matching, sl)
		}
	}
	return matching
}

// racks groups slots by rack. The slots must be ordered by rack.
func racks(slots []*slot) [][]*slot {
	var all [][]*slot
	from := 0
	for i := 1; i <= len(slots); i++ {
		if i == len(slots) || slots[i].worker.Rack != slots[from].worker.Rack {
			all = append(all, slots[from:i])
			from = i
		}
	}
	return all
}

// packRack places all tasks on one rack: the one with the least free resources, adjusted by
// rackDistance. It returns nil if the tasks do not fit on any single rack.
func (ro *round) packRack(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources) []*slot {
	var best []*slot
	least := 0.0
	for _, group := range racks(slots) {
		found := ro.pack(ca, group, count, view)
		if found == nil {
			continue
		}
		cost := ro.rackCost(ca, group, found, view)
		if best == nil || cost < least {
			best, least = found, cost
		}
	}
	return best
}

// pack chooses a slot for each task by best fit. It returns nil if the tasks do not all
// fit.
func (ro *round) pack(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources) []*slot {
	if ca.pace.ran > 0 && ca.step.Gang && count > 1 {
		return ro.packGang(ca, slots, count, view)
	}
	found, _ := ro.packSlots(ca, slots, count, view, math.MaxFloat64)
	return found
}

// packSlots chooses a slot for each task among those with a factor of at most most, and returns their cost.
func (ro *round) packSlots(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources, most float64) ([]*slot, float64) {
	req := ca.step.Reserved()
	total := 0.0
	left := make([]workload.Resources, len(slots))
	spread := make([]int, len(slots))
	fixed := make([]float64, len(slots))
	for i, sl := range slots {
		left[i] = view(sl)
		if sl.worker.doubtful() <= most {
			spread[i] = spreadLeft(ca, sl)
		}
		fixed[i] = ro.fixedCost(ca, sl)
	}
	found := make([]*slot, 0, count)
	for range count {
		best, lowest := -1, 0.0
		for i, sl := range slots {
			if spread[i] == 0 || !left[i].Fits(req) {
				continue
			}
			cost := remainder(left[i].Sub(req), sl.worker) + fixed[i]
			if best < 0 || cost < lowest {
				best, lowest = i, cost
			}
		}
		if best < 0 {
			return nil, 0
		}
		total += lowest
		left[best] = left[best].Sub(req)
		spread[best]--
		found = append(found, slots[best])
	}
	return found, total
}

// spreadLeft returns how many more tasks of the candidate's stage the worker may run.
func spreadLeft(ca candidate, sl *slot) int {
	if ca.step.MaxPerWorker <= 0 {
		return unlimited
	}
	left := ca.step.MaxPerWorker
	for i := range ca.stage.Tasks {
		if ta := &ca.stage.Tasks[i]; ta.Held() && ta.Worker == sl.worker.ID {
			left--
		}
	}
	return max(left-sl.planned[ca.stage], 0)
}
