package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// capacityFunc returns how many accelerators of a worker a search may use.
	capacityFunc func(wo *worker) meter.Accelerators

	// cost orders candidate blocks: less lost demand first, then less free capacity on the worker,
	// then less free capacity in the rack.
	cost struct {
		lostDemand float64
		worker     meter.Accelerators
		rack       meter.Accelerators
	}
)

// unreservedCapacity counts accelerators that are free, not set aside by a reservation and not
// held. Gangs that cannot be preempted are placed on them.
func unreservedCapacity(wo *worker) meter.Accelerators {
	return min(wo.free(), wo.total-wo.fixed-wo.reserved) - wo.held
}

// freeCapacity counts accelerators that are free and not held. Borrowed gangs may be placed on
// them.
func freeCapacity(wo *worker) meter.Accelerators { return wo.free() - wo.held }

// unpromisedCapacity counts accelerators that are free and not promised to a gang for which
// other gangs were preempted.
func unpromisedCapacity(wo *worker) meter.Accelerators { return min(wo.free(), wo.freeAfterStops()) }

// reclaimableCapacity counts accelerators that would be free without borrowed gangs and are not
// set aside by a reservation.
func reclaimableCapacity(wo *worker) meter.Accelerators { return wo.total - wo.fixed - wo.reserved }

// totalCapacity counts all accelerators of the worker.
func totalCapacity(wo *worker) meter.Accelerators { return wo.total }

// fits returns how many members of the shape fit on a worker.
func (zo *Zone) fits(index int, sh Shape, cf capacityFunc) int {
	wo := &zo.workers[index]
	if !wo.usable {
		return 0
	}
	if left := cf(wo); left > 0 {
		return int(left / sh.Accelerators)
	}
	return 0
}

// find returns the block whose use loses the least demand for other shapes (see lostDemand).
// Among equal blocks it selects a best fit, so that large free blocks are not broken up.
func (zo *Zone) find(sh Shape, cf capacityFunc) (Block, bool) {
	switch sh.Adjacency {
	case OneWorker:
		return zo.findWorker(sh, cf)
	case OneRack:
		return zo.findRack(sh, cf)
	default:
		return zo.findZone(sh, cf)
	}
}

func (co cost) less(other cost) bool {
	if co.lostDemand != other.lostDemand {
		return co.lostDemand < other.lostDemand
	}
	if co.worker != other.worker {
		return co.worker < other.worker
	}
	return co.rack < other.rack
}

func (zo *Zone) findWorker(sh Shape, cf capacityFunc) (Block, bool) {
	best, bestCost := -1, cost{}
	rackCapacity, slots := zo.rackCapacity(cf), zo.rackSlots(cf)
	for i := range zo.workers {
		if zo.fits(i, sh, cf) < int(sh.Members) {
			continue
		}
		left, ra := cf(&zo.workers[i]), zo.workers[i].rack
		co := cost{lostDemand: zo.lostDemand(slots[ra], left, sh.Total()), worker: left, rack: rackCapacity[ra]}
		if best < 0 || co.less(bestCost) {
			best, bestCost = i, co
		}
	}
	if best < 0 {
		return Block{}, false
	}
	return Block{Shape: sh, Shares: []Share{{Worker: best, Members: int(sh.Members)}}}, true
}

func (zo *Zone) findRack(sh Shape, cf capacityFunc) (Block, bool) {
	var best Block
	var bestCost cost
	found := false
	rackCapacity, slots := zo.rackCapacity(cf), zo.rackSlots(cf)
	for ra := range zo.racks {
		if zo.rackFits(ra, sh, cf) < int(sh.Members) {
			continue
		}
		bl := zo.fill(sh, zo.racks[ra].workers, cf)
		co := cost{lostDemand: zo.lostDemandOfBlock(slots[ra], bl, cf), rack: rackCapacity[ra]}
		if !found || co.less(bestCost) {
			best, bestCost, found = bl, co, true
		}
	}
	return best, found
}

// findZone fills the racks in the order of their free capacity, least first.
func (zo *Zone) findZone(sh Shape, cf capacityFunc) (Block, bool) {
	rackCapacity := zo.rackCapacity(cf)
	order := make([]int, len(zo.racks))
	for ra := range order {
		order[ra] = ra
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(rackCapacity[a] - rackCapacity[b]) })
	bl := Block{Shape: sh}
	missing := int(sh.Members)
	for _, ra := range order {
		part := sh
		part.Members = meter.Members(min(missing, zo.rackFits(ra, sh, cf)))
		if part.Members > 0 {
			bl.Shares = append(bl.Shares, zo.fill(part, zo.racks[ra].workers, cf).Shares...)
			missing -= int(part.Members)
		}
	}
	return bl, missing == 0
}

// rackCapacity returns the capacity of the usable workers of each rack.
func (zo *Zone) rackCapacity(cf capacityFunc) []meter.Accelerators {
	sums := make([]meter.Accelerators, len(zo.racks))
	for i := range zo.workers {
		wo := &zo.workers[i]
		if wo.usable {
			sums[wo.rack] += max(cf(wo), 0)
		}
	}
	return sums
}

func (zo *Zone) rackFits(ra int, sh Shape, cf capacityFunc) int {
	sum := 0
	for _, index := range zo.racks[ra].workers {
		sum += zo.fits(index, sh, cf)
	}
	return sum
}

// fill places the members on the given workers, least free capacity first. The caller ensures
// that all members fit.
func (zo *Zone) fill(sh Shape, workers []int, cf capacityFunc) Block {
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return int(cf(&zo.workers[a]) - cf(&zo.workers[b]))
	})
	bl, _ := fillInOrder(sh, order, func(index int) int { return zo.fits(index, sh, cf) })
	return bl
}

// fillInOrder places as many members as fit on each worker, in the given order. It reports
// whether all members were placed.
func fillInOrder(sh Shape, order []int, fits func(index int) int) (Block, bool) {
	bl := Block{Shape: sh}
	missing := int(sh.Members)
	for _, index := range order {
		if missing == 0 {
			break
		}
		if count := min(missing, fits(index)); count > 0 {
			bl.Shares = append(bl.Shares, Share{Worker: index, Members: count})
			missing -= count
		}
	}
	return bl, missing == 0
}
