package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// packOrders is the number of orders in which reservations are tried.
const packOrders = 4

// reserve counts what a reservation sets aside beyond the use of its own gang.
func (zo *Zone) reserve(re *Reservation) { zo.countReserved(re, 1) }

// unreserve undoes reserve. It must be called before Block or User change.
func (zo *Zone) unreserve(re *Reservation) { zo.countReserved(re, -1) }

func (zo *Zone) countReserved(re *Reservation, sign meter.Accelerators) {
	for _, sr := range re.Block.Shares {
		zo.workers[sr.Worker].reserved += sign * re.Shape.accelerators(sr)
	}
	if re.User == nil || len(re.Block.Shares) == 0 {
		return
	}
	for _, sr := range re.User.Block.Shares {
		zo.workers[sr.Worker].reserved -= sign * re.User.Block.Shape.accelerators(sr)
	}
}

// SetGuarantees makes the reservations match the guarantees. Those that stay keep their
// blocks if the rest can be packed beside them; if not, all unused ones are packed anew.
// It returns the reservations that found no room, which is none for guarantees that were
// checked with Short before.
func (zo *Zone) SetGuarantees(gus []Guarantee) []*Reservation {
	before := zo.reservations
	zo.reservations = nil
	var missing []*Reservation
	for _, gu := range gus {
		for range gu.Count {
			re := takeMatching(&before, gu)
			if re == nil {
				re = &Reservation{Workspace: gu.Workspace, Shape: gu.Shape, Short: true}
			}
			if re.Short && re.User == nil {
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

// takeMatching removes from the list a reservation of the guarantee, used ones first.
func takeMatching(list *[]*Reservation, gu Guarantee) *Reservation {
	best := -1
	for i, re := range *list {
		if re.Workspace != gu.Workspace || re.Shape != gu.Shape {
			continue
		}
		if best < 0 || re.User != nil {
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

// drop removes a reservation; a gang that used it goes on and may not be preempted.
func (zo *Zone) drop(re *Reservation) {
	zo.unreserve(re)
	if re.User != nil {
		re.User.Reservation = nil
	}
}

// pack finds blocks for the missing reservations and returns those without room.
func (zo *Zone) pack(missing []*Reservation) []*Reservation {
	if short := zo.packInto(missing); len(short) == 0 {
		return nil
	}
	var movable []*Reservation
	for _, re := range zo.reservations {
		if re.User == nil {
			movable = append(movable, re)
		}
	}
	return zo.repack(movable)
}

// repack clears the given reservations and packs them in several orders; the order with
// the least left over stays.
func (zo *Zone) repack(movable []*Reservation) []*Reservation {
	var best []Block
	bestShort := len(movable) + 1
	for order := range packOrders {
		zo.clear(movable)
		short := len(zo.packInto(sorted(movable, order)))
		if short < bestShort {
			best, bestShort = blocksOf(movable), short
		}
		if short == 0 {
			return nil
		}
	}
	zo.clear(movable)
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

func (zo *Zone) clear(res []*Reservation) {
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

// sorted returns the reservations hardest first, by one of several ideas of hard.
func sorted(res []*Reservation, order int) []*Reservation {
	list := slices.Clone(res)
	slices.SortStableFunc(list, func(a, b *Reservation) int {
		size := int(b.Shape.Total() - a.Shape.Total())
		tight := int(a.Shape.Adjacency) - int(b.Shape.Adjacency)
		member := int(b.Shape.Accelerators - a.Shape.Accelerators)
		switch order {
		case 0:
			return first(member, size, tight)
		case 1:
			return first(size, tight, member)
		case 2:
			return first(tight, size, member)
		default:
			return first(member, tight, size)
		}
	})
	return list
}

func first(values ...int) int {
	for _, va := range values {
		if va != 0 {
			return va
		}
	}
	return 0
}

// packInto finds a block for each reservation in turn and returns those without room.
func (zo *Zone) packInto(res []*Reservation) []*Reservation {
	var short []*Reservation
	for _, re := range res {
		bl, found := zo.find(re.Shape, roomReclaimable)
		if !found {
			short = append(short, re)
			continue
		}
		re.Block, re.Short = bl, false
		zo.reserve(re)
	}
	return short
}

// SetUsable allows or forbids new work on a worker. Unused reservations that lie on a
// worker that is forbidden move; it returns those that find no room.
func (zo *Zone) SetUsable(id identifier.Worker, usable bool) []*Reservation {
	index, known := zo.byID[id]
	if !known || zo.workers[index].usable == usable {
		return nil
	}
	zo.workers[index].usable = usable
	var missing []*Reservation
	for _, re := range zo.reservations {
		if re.User != nil {
			continue
		}
		if re.Short || !usable && re.Block.touches(index) {
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

// Avoiding runs fn without the given workers, unless a gang of the shape could then never
// be placed.
func (zo *Zone) Avoiding(ids []identifier.Worker, ws identifier.Workspace, sh Shape, fn func()) {
	avoided := zo.hide(ids)
	if len(avoided) > 0 && !zo.Possible(ws, sh) {
		zo.show(avoided)
		avoided = nil
	}
	fn()
	zo.show(avoided)
}

// hide makes usable workers unusable for searches and returns them.
func (zo *Zone) hide(ids []identifier.Worker) []int {
	var hidden []int
	for _, id := range ids {
		if index, known := zo.byID[id]; known && zo.workers[index].usable {
			zo.workers[index].usable = false
			hidden = append(hidden, index)
		}
	}
	return hidden
}

func (zo *Zone) show(hidden []int) {
	for _, index := range hidden {
		zo.workers[index].usable = true
	}
}

// Usable reports whether a worker gets new work.
func (zo *Zone) Usable(id identifier.Worker) bool {
	index, known := zo.byID[id]
	return known && zo.workers[index].usable
}

// onUsable reports whether all workers of a block get new work.
func (zo *Zone) onUsable(bl Block) bool {
	return !slices.ContainsFunc(bl.Shares, func(sr Share) bool { return !zo.workers[sr.Worker].usable })
}

func (bl Block) touches(index int) bool {
	return slices.ContainsFunc(bl.Shares, func(sr Share) bool { return sr.Worker == index })
}

// On lists the jobs that have a member on a worker.
func (zo *Zone) On(id identifier.Worker) []identifier.Job {
	index, known := zo.byID[id]
	if !known {
		return nil
	}
	var jobs []identifier.Job
	for _, ga := range zo.Gangs() {
		if ga.Block.touches(index) {
			jobs = append(jobs, ga.Job)
		}
	}
	return jobs
}

// Possible reports whether a gang of the shape fits beside all guarantees when nothing
// else runs, or within a guarantee of its own workspace.
func (zo *Zone) Possible(ws identifier.Workspace, sh Shape) bool {
	for _, re := range zo.reservations {
		if re.Workspace == ws && re.Shape.Covers(sh) && zo.onUsable(re.Block) {
			return true
		}
	}
	// Borrowed work may run on reserved accelerators, so that only the size counts.
	_, found := zo.find(sh, roomEmpty)
	return found
}

// Restore adds a reservation with the block it had before. A block that is no longer
// there, or no longer has room, is sought anew by the next SetGuarantees.
func (zo *Zone) Restore(ws identifier.Workspace, sh Shape, ids []identifier.Worker) *Reservation {
	re := &Reservation{Workspace: ws, Shape: sh, Short: true}
	zo.reservations = append(zo.reservations, re)
	bl, known := zo.BlockOf(sh, ids)
	if !known || len(ids) != int(sh.Members) || !zo.hasRoom(bl) {
		return re
	}
	re.Block, re.Short = bl, false
	zo.reserve(re)
	return re
}

func (zo *Zone) hasRoom(bl Block) bool {
	for _, sr := range bl.Shares {
		if zo.fits(sr.Worker, bl.Shape, roomReclaimable) < sr.Members {
			return false
		}
	}
	return true
}
