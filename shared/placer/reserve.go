package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// packOrders is the number of sort orders in which repack tries to pack the reservations.
const packOrders = 4

// reserve adds the accelerators that a reservation sets aside beyond those that its own gang
// uses.
func (zo *Zone) reserve(re *Reservation) { zo.addReserved(re, 1) }

// unreserve reverses reserve. It must be called before Block or Gang changes.
func (zo *Zone) unreserve(re *Reservation) { zo.addReserved(re, -1) }

func (zo *Zone) addReserved(re *Reservation, sign meter.Accelerators) {
	for _, sr := range re.Block.Shares {
		zo.workers[sr.Worker].reserved += sign * re.Shape.accelerators(sr)
	}
	if re.Gang == nil || len(re.Block.Shares) == 0 {
		return
	}
	for _, sr := range re.Gang.Block.Shares {
		zo.workers[sr.Worker].reserved -= sign * re.Gang.Block.Shape.accelerators(sr)
	}
}

// SetGuarantees replaces the guarantees and updates the reservations to match. Reservations of
// unchanged guarantees keep their blocks if the new ones fit next to them; otherwise all unused
// reservations are packed again. It returns the reservations without a block; there are none
// if a trial with the same guarantees on an equal zone returned none.
func (zo *Zone) SetGuarantees(gus []Guarantee) []*Reservation {
	before := zo.reservations
	zo.reservations = nil
	var missing []*Reservation
	for _, gu := range gus {
		for range gu.Count {
			re := removeMatching(&before, gu)
			if re == nil {
				re = &Reservation{Workspace: gu.Workspace, Shape: gu.Shape, Short: true}
			}
			if re.Short && re.Gang == nil {
				missing = append(missing, re)
			}
			zo.reservations = append(zo.reservations, re)
		}
	}
	for _, re := range before {
		zo.drop(re)
	}
	return zo.pack(missing)
}

// removeMatching removes a reservation of the guarantee from the list and returns it, or nil if
// there is none. It prefers a reservation that is in use.
func removeMatching(list *[]*Reservation, gu Guarantee) *Reservation {
	best := -1
	for i, re := range *list {
		if re.Workspace != gu.Workspace || re.Shape != gu.Shape {
			continue
		}
		if best < 0 || re.Gang != nil {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	re := (*list)[best]
	*list = slices.Delete(*list, best, best+1)
	return re
}

// drop removes a reservation. A gang that uses it keeps running and still cannot be preempted.
func (zo *Zone) drop(re *Reservation) {
	zo.unreserve(re)
	if re.Gang != nil {
		re.Gang.Reservation = nil
	}
}

// pack finds blocks for the missing reservations. If that fails, it packs all unused
// reservations again. It returns the reservations without a block.
func (zo *Zone) pack(missing []*Reservation) []*Reservation {
	if short := zo.packInto(missing); len(short) == 0 {
		return nil
	}
	var movable []*Reservation
	for _, re := range zo.reservations {
		if re.Gang == nil {
			movable = append(movable, re)
		}
	}
	return zo.repack(movable)
}

// repack clears the blocks of the given reservations and packs them in several orders. It keeps
// the result with the fewest reservations without a block and returns those.
func (zo *Zone) repack(movable []*Reservation) []*Reservation {
	var best []Block
	bestShort := len(movable) + 1
	for order := range packOrders {
		zo.clearBlocks(movable)
		short := len(zo.packInto(sortedByDifficulty(movable, order)))
		if short < bestShort {
			best, bestShort = blocksOf(movable), short
		}
		if short == 0 {
			return nil
		}
	}
	zo.clearBlocks(movable)
	var short []*Reservation
	for i, re := range movable {
		re.Block, re.Short = best[i], len(best[i].Shares) == 0
		zo.reserve(re)
		if re.Short {
			short = append(short, re)
		}
	}
	return short
}

func (zo *Zone) clearBlocks(res []*Reservation) {
	for _, re := range res {
		zo.unreserve(re)
		re.Block, re.Short = Block{}, true
	}
}

func blocksOf(res []*Reservation) []Block {
	blocks := make([]Block, len(res))
	for i, re := range res {
		blocks[i] = re.Block
	}
	return blocks
}

// sortedByDifficulty returns the reservations in the given order, those that are harder to
// place first. The orders differ in the priority of size, adjacency and member size.
func sortedByDifficulty(res []*Reservation, order int) []*Reservation {
	list := slices.Clone(res)
	slices.SortStableFunc(list, func(a, b *Reservation) int {
		size := int(b.Shape.Total() - a.Shape.Total())
		adjacency := int(a.Shape.Adjacency) - int(b.Shape.Adjacency)
		memberSize := int(b.Shape.Accelerators - a.Shape.Accelerators)
		switch order {
		case 0:
			return firstNonZero(memberSize, size, adjacency)
		case 1:
			return firstNonZero(size, adjacency, memberSize)
		case 2:
			return firstNonZero(adjacency, size, memberSize)
		default:
			return firstNonZero(memberSize, adjacency, size)
		}
	})
	return list
}

func firstNonZero(values ...int) int {
	for _, va := range values {
		if va != 0 {
			return va
		}
	}
	return 0
}

// packInto finds a block for each reservation in turn. It returns the reservations without a
// block.
func (zo *Zone) packInto(res []*Reservation) []*Reservation {
	var short []*Reservation
	for _, re := range res {
		bl, found := zo.find(re.Shape, reclaimableCapacity)
		if !found {
			short = append(short, re)
			continue
		}
		re.Block, re.Short = bl, false
		zo.reserve(re)
	}
	return short
}

// SetUsable allows or forbids new gangs on a worker. Unused reservations on a worker that is no
// longer usable move to other workers. It returns the reservations without a block.
func (zo *Zone) SetUsable(id identifier.Worker, usable bool) []*Reservation {
	index, known := zo.byID[id]
	if !known || zo.workers[index].usable == usable {
		return nil
	}
	zo.workers[index].usable = usable
	var missing []*Reservation
	for _, re := range zo.reservations {
		if re.Gang != nil {
			continue
		}
		if re.Short || !usable && re.Block.uses(index) {
			zo.unreserve(re)
			re.Block, re.Short = Block{}, true
			missing = append(missing, re)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return zo.pack(missing)
}

// RunAvoiding runs fn with the given workers excluded from searches, unless a gang of the shape
// could then never be placed. It tells fn whether any are.
func (zo *Zone) RunAvoiding(ids []identifier.Worker, ws identifier.Workspace, sh Shape, fn func(avoids bool)) {
	excluded := zo.exclude(ids)
	if len(excluded) > 0 && !zo.CanPlace(ws, sh) {
		zo.include(excluded)
		excluded = nil
	}
	fn(len(excluded) > 0)
	zo.include(excluded)
}

// exclude marks the usable ones of the given workers as not usable and returns them.
func (zo *Zone) exclude(ids []identifier.Worker) []int {
	var excluded []int
	for _, id := range ids {
		if index, known := zo.byID[id]; known && zo.workers[index].usable {
			zo.workers[index].usable = false
			excluded = append(excluded, index)
		}
	}
	return excluded
}

func (zo *Zone) include(excluded []int) {
	for _, index := range excluded {
		zo.workers[index].usable = true
	}
}

// Usable reports whether a worker gets new gangs.
func (zo *Zone) Usable(id identifier.Worker) bool {
	index, known := zo.byID[id]
	return known && zo.workers[index].usable
}

// allUsable reports whether all workers of a block are usable.
func (zo *Zone) allUsable(bl Block) bool {
	return !slices.ContainsFunc(bl.Shares, func(sr Share) bool { return !zo.workers[sr.Worker].usable })
}

func (bl Block) uses(index int) bool {
	return slices.ContainsFunc(bl.Shares, func(sr Share) bool { return sr.Worker == index })
}

// JobsOn returns the jobs that have a member on a worker.
func (zo *Zone) JobsOn(id identifier.Worker) []identifier.Job {
	index, known := zo.byID[id]
	if !known {
		return nil
	}
	var jobs []identifier.Job
	for _, ga := range zo.Gangs() {
		if ga.Block.uses(index) {
			jobs = append(jobs, ga.Job)
		}
	}
	return jobs
}

// CanPlace reports whether a gang of the shape could ever be placed: within a guarantee of its
// own workspace, or as a borrowed gang on otherwise empty workers.
func (zo *Zone) CanPlace(ws identifier.Workspace, sh Shape) bool {
	for _, re := range zo.reservations {
		if re.Workspace == ws && re.Shape.Covers(sh) && zo.allUsable(re.Block) {
			return true
		}
	}
	// Borrowed gangs may run on reserved accelerators, so reservations do not matter here.
	_, found := zo.find(sh, totalCapacity)
	return found
}

// Restore adds a reservation with its previous block. If the block no longer exists or no longer
// has enough capacity, the next SetGuarantees finds another one.
func (zo *Zone) Restore(ws identifier.Workspace, sh Shape, ids []identifier.Worker) *Reservation {
	re := &Reservation{Workspace: ws, Shape: sh, Short: true}
	zo.reservations = append(zo.reservations, re)
	bl, known := zo.BlockOf(sh, ids)
	if !known || len(ids) != int(sh.Members) || !zo.hasCapacity(bl) {
		return re
	}
	re.Block, re.Short = bl, false
	zo.reserve(re)
	return re
}

func (zo *Zone) hasCapacity(bl Block) bool {
	for _, sr := range bl.Shares {
		if zo.fits(sr.Worker, bl.Shape, reclaimableCapacity) < sr.Members {
			return false
		}
	}
	return true
}
