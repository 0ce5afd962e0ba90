package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
)

const (
	// heldShare is the part of all workers that may be kept for waiting gangs at once.
	heldShare = 0.2
)

// hold keeps the workers on which the gang will fit first, so that smaller work does not
// take each piece of room as it comes free.
func (ro *round) hold(ca candidate, slots []*slot, count int) {
	groups := [][]*slot{slots}
	if fits := fitting(slots, ca.step.Reserved()); ca.step.SameRack && fits >= count {
		groups = racks(slots)
	}
	var best []*slot
	least := 0.0
	for _, group := range groups {
		chosen, cost := emptiest(ca, group, count)
		if chosen != nil && (best == nil || cost < least) {
			best, least = chosen, cost
		}
	}
	if best == nil || ro.holdsEnough(len(best)) {
		return
	}
	for _, sl := range best {
		sl.held = true
	}
	ro.held += len(best)
}

// holdsEnough reports whether no more slots may be kept beside those that are.
func (ro *round) holdsEnough(more int) bool {
	return float64(ro.held+max(more, 1)) > heldShare*float64(len(ro.slots))
}

// emptiest chooses the slots that together hold the gang with the least to wait for, and
// tells how much that is; nil if they cannot hold it even when empty.
func emptiest(ca candidate, slots []*slot, count int) ([]*slot, float64) {
	need := ca.step.Reserved()
	ordered := slices.Clone(slots)
	slices.SortStableFunc(ordered, func(a, b *slot) int {
		return cmp.Compare(share(b.soon, b.worker.Capacity), share(a.soon, a.worker.Capacity))
	})
	var chosen []*slot
	cost := 0.0
	for _, sl := range ordered {
		fits := min(times(sl.worker.Capacity, need), count, spreadLeft(ca, sl))
		if fits <= 0 {
			continue
		}
		chosen = append(chosen, sl)
		cost += share(sl.worker.Capacity, sl.worker.Capacity) - share(sl.soon, sl.worker.Capacity)
		if count -= fits; count <= 0 {
			return chosen, cost
		}
	}
	return nil, 0
}

// fitting is how many tasks the emptied rack of most room could hold.
func fitting(slots []*slot, need workload.Room) int {
	most := 0
	for _, group := range racks(slots) {
		sum := 0
		for _, sl := range group {
			sum += times(sl.worker.Capacity, need)
		}
		most = max(most, sum)
	}
	return most
}

// times is how often a need fits into a room.
func times(ro, need workload.Room) int {
	most := unlimited
	if need.CPU > 0 {
		most = min(most, int(ro.CPU/need.CPU))
	}
	if need.Memory > 0 {
		most = min(most, int(ro.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		most = min(most, int(ro.Accelerators/need.Accelerators))
	}
	return most
}
