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

// find returns the block that leaves the least room over: the fullest worker or rack that
// still fits, so that large blocks stay whole.
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

func (zo *Zone) findWorker(sh Shape, ro room) (Block, bool) {
	best, bestLeft, bestRack := -1, meter.Accelerators(0), meter.Accelerators(0)
	rackRoom := zo.rackRoom(ro)
	for i := range zo.workers {
		if zo.fits(i, sh, ro) < int(sh.Members) {
			continue
		}
		left, inRack := ro(&zo.workers[i]), rackRoom[zo.workers[i].rack]
		if best < 0 || left < bestLeft || left == bestLeft && inRack < bestRack {
			best, bestLeft, bestRack = i, left, inRack
		}
	}
	if best < 0 {
		return Block{}, false
	}
	return Block{Shape: sh, Shares: []Share{{Worker: best, Members: int(sh.Members)}}}, true
}

func (zo *Zone) findRack(sh Shape, ro room) (Block, bool) {
	best, bestLeft := -1, meter.Accelerators(0)
	rackRoom := zo.rackRoom(ro)
	for ra := range zo.racks {
		if zo.rackFits(ra, sh, ro) < int(sh.Members) {
			continue
		}
		if best < 0 || rackRoom[ra] < bestLeft {
			best, bestLeft = ra, rackRoom[ra]
		}
	}
	if best < 0 {
		return Block{}, false
	}
	return zo.fill(sh, zo.racks[best].workers, ro), true
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
	bl := Block{Shape: sh}
	missing := int(sh.Members)
	for _, index := range order {
		take := min(missing, zo.fits(index, sh, ro))
		if take > 0 {
			bl.Shares = append(bl.Shares, Share{Worker: index, Members: take})
			missing -= take
		}
	}
	return bl
}
