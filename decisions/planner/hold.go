package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// maxHeldFraction is the maximum fraction of all workers that may be held for waiting
	// gangs at the same time.
	maxHeldFraction = 0.2
)

// hold holds the workers on which the gang is expected to fit soonest. Otherwise smaller
// tasks would take the resources one by one as they become free, and the gang would never
// fit.
func (ro *round) hold(ca candidate, slots []*slot, count int) {
	groups := [][]*slot{slots}
	if fits := maxFitOnRack(slots, ca.step.Reserved()); ca.step.SameRack && fits >= count {
		groups = racks(slots)
	}
	if ro.tu.HoldByEnd {
		ro.holdUntilEnds(ca, groups, count)
		return
	}
	var best []*slot
	least := 0.0
	for _, group := range groups {
		chosen, cost := soonestFree(ca, group, count)
		if chosen != nil && (best == nil || cost < least) {
			best, least = chosen, cost
		}
	}
	if best == nil || ro.holdLimitReached(len(best)) {
		return
	}
	for _, sl := range best {
		sl.held = true
	}
	ro.held += len(best)
}

// holdLimitReached reports whether holding more slots, at least 1, would exceed the limit.
func (ro *round) holdLimitReached(more int) bool {
	return float64(ro.held+max(more, 1)) > maxHeldFraction*float64(len(ro.slots))
}

// soonestFree returns slots for the whole gang, chosen so that the least occupied capacity
// has to become free first, and the amount of that capacity. It returns nil if the gang does
// not fit even on empty slots.
func soonestFree(ca candidate, slots []*slot, count int) ([]*slot, float64) {
	req := ca.step.Reserved()
	ordered := slices.Clone(slots)
	slices.SortStableFunc(ordered, func(a, b *slot) int {
		return cmp.Compare(share(b.freeSoon, b.worker.Capacity), share(a.freeSoon, a.worker.Capacity))
	})
	var chosen []*slot
	cost := 0.0
	for _, sl := range ordered {
		fits := min(copiesThatFit(sl.worker.Capacity, req), count, spreadLeft(ca, sl))
		if fits <= 0 {
			continue
		}
		chosen = append(chosen, sl)
		cost += share(sl.worker.Capacity, sl.worker.Capacity) - share(sl.freeSoon, sl.worker.Capacity)
		if count -= fits; count <= 0 {
			return chosen, cost
		}
	}
	return nil, 0
}

// maxFitOnRack returns the maximum number of tasks that would fit on a single rack if all
// its slots were empty.
func maxFitOnRack(slots []*slot, req workload.Resources) int {
	most := 0
	for _, group := range racks(slots) {
		sum := 0
		for _, sl := range group {
			sum += copiesThatFit(sl.worker.Capacity, req)
		}
		most = max(most, sum)
	}
	return most
}

// copiesThatFit returns how many times a resource request fits into an amount of resources.
func copiesThatFit(amount, req workload.Resources) int {
	most := unlimited
	if req.CPU > 0 {
		most = min(most, int(amount.CPU/req.CPU))
	}
	if req.Memory > 0 {
		most = min(most, int(amount.Memory/req.Memory))
	}
	if req.Accelerators > 0 {
		most = min(most, int(amount.Accelerators/req.Accelerators))
	}
	return most
}

// heldAccelerators returns how many accelerators of held slots are free.
func (ro *round) heldAccelerators() meter.Accelerators {
	var held meter.Accelerators
	for _, sl := range ro.slots {
		if sl.held {
			held += max(sl.free.Accelerators, 0)
		}
	}
	return held
}
