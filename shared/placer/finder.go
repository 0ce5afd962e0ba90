package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// room tells how many accelerators of a worker a search may use.
type room func(wo *worker) meter.Accelerators

// roomUnreserved is what is free, not set aside by any reservation and not held. Work
// that may not be preempted is placed there.
func roomUnreserved(wo *worker) meter.Accelerators {
	return min(wo.free(), wo.total-wo.fixed-wo.reserved) - wo.held
}

// roomFree is what is free and not held. Borrowed work may be placed there.
func roomFree(wo *worker) meter.Accelerators { return wo.free() - wo.held }

// roomUnpromised is what is free and not promised to a gang that others were preempted
// for.
func roomUnpromised(wo *worker) meter.Accelerators { return min(wo.free(), wo.coming()) }

// roomReclaimable is what would be free without borrowed work, reservations kept.
func roomReclaimable(wo *worker) meter.Accelerators { return wo.total - wo.fixed - wo.reserved }

// roomEmpty is the whole worker.
func roomEmpty(wo *worker) meter.Accelerators { return wo.total }

// fits is the number of members of the shape that a worker has room for.
func (zo *Zone) fits(index int, sh Shape, ro room) int {
	wo := &zo.workers[index]
	if !wo.usable {
		return 0
	}
	if left := ro(wo); left > 0 {
		return int(left / sh.Accelerators)
	}
	return 0
}

// find returns the block that does the least damage to what is asked for, and among
// those the one that leaves the least room over, so that large blocks stay whole.
func (zo *Zone) find(sh Shape, ro room) (Block, bool) {
	switch sh.Adjacency {
	case OneWorker:
		return zo.findWorker(sh, ro)
	case OneRack:
		return zo.findRack(sh, ro)
	default:
		return zo.findZone(sh, ro)
	}
}

// cost orders places: less damage first, then less room in the worker, then in the rack.
type cost struct {
	damage float64
	worker meter.Accelerators
	rack   meter.Accelerators
}

func (co cost) less(other cost) bool {
	if co.damage != other.damage {
		return co.damage < other.damage
	}
	if co.worker != other.worker {
		return co.worker < other.worker
	}
	return co.rack < other.rack
}

func (zo *Zone) findWorker(sh Shape, ro room) (Block, bool) {
	best, bestCost := -1, cost{}
	rackRoom, slots := zo.rackRoom(ro), zo.rackSlots(ro)
	for i := range zo.workers {
		if zo.fits(i, sh, ro) < int(sh.Members) {
			continue
		}
		left, ra := ro(&zo.workers[i]), zo.workers[i].rack
		co := cost{damage: zo.damage(slots[ra], left, sh.Total()), worker: left, rack: rackRoom[ra]}
		if best < 0 || co.less(bestCost) {
			best, bestCost = i, co
		}
	}
	if best < 0 {
		return Block{}, false
	}
	return Block{Shape: sh, Shares: []Share{{Worker: best, Members: int(sh.Members)}}}, true
}

func (zo *Zone) findRack(sh Shape, ro room) (Block, bool) {
	var best Block
	var bestCost cost
	found := false
	rackRoom, slots := zo.rackRoom(ro), zo.rackSlots(ro)
	for ra := range zo.racks {
		if zo.rackFits(ra, sh, ro) < int(sh.Members) {
			continue
		}
		bl := zo.fill(sh, zo.racks[ra].workers, ro)
		co := cost{damage: zo.blockDamage(slots[ra], bl, ro), rack: rackRoom[ra]}
		if !found || co.less(bestCost) {
			best, bestCost, found = bl, co, true
		}
	}
	return best, found
}

// findZone fills racks in the order of their room, fullest rack first.
func (zo *Zone) findZone(sh Shape, ro room) (Block, bool) {
	rackRoom := zo.rackRoom(ro)
	order := make([]int, len(zo.racks))
	for ra := range order {
		order[ra] = ra
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(rackRoom[a] - rackRoom[b]) })
	bl := Block{Shape: sh}
	missing := int(sh.Members)
	for _, ra := range order {
		part := sh
		part.Members = meter.Members(min(missing, zo.rackFits(ra, sh, ro)))
		if part.Members > 0 {
			bl.Shares = append(bl.Shares, zo.fill(part, zo.racks[ra].workers, ro).Shares...)
			missing -= int(part.Members)
		}
	}
	return bl, missing == 0
}

// rackRoom sums the room of the usable workers of each rack.
func (zo *Zone) rackRoom(ro room) []meter.Accelerators {
	sums := make([]meter.Accelerators, len(zo.racks))
	for i := range zo.workers {
		wo := &zo.workers[i]
		if wo.usable {
			sums[wo.rack] += max(ro(wo), 0)
		}
	}
	return sums
}

func (zo *Zone) rackFits(ra int, sh Shape, ro room) int {
	sum := 0
	for _, index := range zo.racks[ra].workers {
		sum += zo.fits(index, sh, ro)
	}
	return sum
}

// fill puts the members on the given workers, those with the least room first. The
// workers together have room for all members.
func (zo *Zone) fill(sh Shape, workers []int, ro room) Block {
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return int(ro(&zo.workers[a]) - ro(&zo.workers[b]))
	})
	bl, _ := takeInOrder(sh, order, func(index int) int { return zo.fits(index, sh, ro) })
	return bl
}

// takeInOrder puts the members on workers in the given order, on each as many as fit. It
// reports whether all found a place.
func takeInOrder(sh Shape, order []int, fits func(index int) int) (Block, bool) {
	bl := Block{Shape: sh}
	missing := int(sh.Members)
	for _, index := range order {
		if missing == 0 {
			break
		}
		if take := min(missing, fits(index)); take > 0 {
			bl.Shares = append(bl.Shares, Share{Worker: index, Members: take})
			missing -= take
		}
	}
	return bl, missing == 0
}
