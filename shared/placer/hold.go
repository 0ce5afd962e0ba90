package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// EndFunc returns when a running gang is expected to complete.
type EndFunc func(ga *Gang) clock.Millis

// PlaceBackfill places a borrowed gang like PlaceBorrowed, but may also use held accelerators
// that are not promised. The caller ensures that the gang is expected to complete before the
// holds are needed, or that it is urgent.
func (zo *Zone) PlaceBackfill(job identifier.Job, ws identifier.Workspace, sh Shape) (Placement, bool) {
	var bl Block
	found := false
	zo.withoutOwnHold(job, func() { bl, found = zo.find(sh, unpromisedCapacity) })
	return Placement{Job: job, Workspace: ws, Block: bl}, found
}

// PlaceHeld places a gang on the block that is held for it. It returns false if there is no such
// block, or if the block is not free yet or is promised to another gang.
func (zo *Zone) PlaceHeld(job identifier.Job, ws identifier.Workspace) (Placement, bool) {
	ho, found := zo.holds[job]
	if !found {
		return Placement{}, false
	}
	zo.withoutOwnHold(job, func() {
		for _, sr := range ho.block.Shares {
			found = found && zo.fits(sr.Worker, ho.block.Shape, unpromisedCapacity) >= sr.Members
		}
	})
	return Placement{Job: job, Workspace: ws, Block: ho.block}, found
}

// EarliestFree returns the block of the shape that is expected to become free first, and when that
// is, which may be now. It does not use accelerators that are held for other gangs.
func (zo *Zone) EarliestFree(sh Shape, now clock.Millis, expectedEnd EndFunc) (Block, clock.Millis, bool) {
	var best Block
	var bestAt clock.Millis
	found := false
	gangs := zo.sortedByEnd(expectedEnd)
	for _, set := range zo.workerSets(sh) {
		bl, at, ok := zo.freeAt(sh, set, gangs, now, expectedEnd)
		if ok && (!found || at < bestAt) {
			best, bestAt, found = bl, at, true
		}
	}
	return best, bestAt, found
}

// sortedByEnd returns the gangs in the order of their expected completion.
func (zo *Zone) sortedByEnd(expectedEnd EndFunc) []*Gang {
	gangs := zo.Gangs()
	slices.SortStableFunc(gangs, func(a, b *Gang) int { return int(expectedEnd(a) - expectedEnd(b)) })
	return gangs
}

// workerSets returns the alternative sets of workers that satisfy the adjacency of the shape.
func (zo *Zone) workerSets(sh Shape) [][]int {
	switch sh.Adjacency {
	case OneWorker:
		sets := make([][]int, len(zo.workers))
		for i := range sets {
			sets[i] = []int{i}
		}
		return sets
	case OneRack:
		sets := make([][]int, len(zo.racks))
		for i := range sets {
			sets[i] = zo.racks[i].workers
		}
		return sets
	default:
		all := make([]int, len(zo.workers))
		for i := range all {
			all[i] = i
		}
		return [][]int{all}
	}
}

// freeAt simulates the expected completion of the gangs in order until the shape fits on the
// workers of the set.
func (zo *Zone) freeAt(sh Shape, set []int, gangs []*Gang, now clock.Millis, expectedEnd EndFunc) (Block, clock.Millis, bool) {
	available := map[int]meter.Accelerators{}
	fits, wanted := 0, int(sh.Members)
	capacity := 0
	for _, index := range set {
		wo := &zo.workers[index]
		if !wo.usable {
			continue
		}
		capacity += int((wo.total - wo.held) / sh.Accelerators)
		available[index] = wo.free() - wo.held
		fits += int(max(available[index], 0) / sh.Accelerators)
	}
	if capacity < wanted {
		return Block{}, 0, false
	}
	at := now
	for _, ga := range gangs {
		if fits >= wanted {
			break
		}
		for _, sr := range ga.Block.Shares {
			before, inSet := available[sr.Worker]
			if !inSet {
				continue
			}
			after := before + ga.Block.Shape.accelerators(sr)
			available[sr.Worker] = after
			fits += int(max(after, 0)/sh.Accelerators) - int(max(before, 0)/sh.Accelerators)
			at = max(at, expectedEnd(ga))
		}
	}
	return fillFreestFirst(sh, set, available), at, fits >= wanted
}

// fillFreestFirst places the members on the workers with the most free accelerators first.
func fillFreestFirst(sh Shape, set []int, available map[int]meter.Accelerators) Block {
	order := slices.Clone(set)
	slices.SortStableFunc(order, func(a, b int) int { return int(available[b] - available[a]) })
	bl, _ := fillInOrder(sh, order, func(index int) int { return int(max(available[index], 0) / sh.Accelerators) })
	return bl
}
