package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Placement is a placement decision that has not been committed yet.
	Placement struct {
		Job       identifier.Job
		Workspace identifier.Workspace
		Block     Block
		// Fixed means that the gang cannot be preempted.
		Fixed bool
		// Reservation is the reservation that the gang uses; nil if it is not placed by a
		// guarantee.
		Reservation *Reservation
		// ReservedBlock is the block that the reservation moves to.
		ReservedBlock Block
		// Victims are the borrowed gangs that must be preempted first.
		Victims []*Gang
	}

	// LossFunc returns the work that is lost if a gang is preempted, in accelerator-milliseconds.
	LossFunc func(ga *Gang) int64
)

// PlaceBorrowed places a gang that can be preempted, outside the reservations if possible. It
// returns false if no block is free.
func (zo *Zone) PlaceBorrowed(job identifier.Job, ws identifier.Workspace, sh Shape) (Placement, bool) {
	var bl Block
	found := false
	zo.withoutOwnHold(job, func() {
		if bl, found = zo.find(sh, unreservedCapacity); !found {
			bl, found = zo.find(sh, freeCapacity)
		}
	})
	return Placement{Job: job, Workspace: ws, Block: bl}, found
}

// PlaceFixed places a gang that cannot be preempted, outside all reservations. It returns false if
// no block is free.
func (zo *Zone) PlaceFixed(job identifier.Job, ws identifier.Workspace, sh Shape) (Placement, bool) {
	var bl Block
	found := false
	zo.withoutOwnHold(job, func() { bl, found = zo.find(sh, unreservedCapacity) })
	return Placement{Job: job, Workspace: ws, Block: bl, Fixed: true}, found
}

// CanPlaceFixed reports whether a gang of the shape would fit outside all reservations if there
// were no borrowed gangs.
func (zo *Zone) CanPlaceFixed(sh Shape) bool {
	_, found := zo.find(sh, reclaimableCapacity)
	return found
}

// withoutOwnHold runs a search for a job with the hold of that job, if any, removed, so that
// the job can be placed on the block held for it.
func (zo *Zone) withoutOwnHold(job identifier.Job, search func()) {
	ho, held := zo.holds[job]
	if held {
		zo.Unhold(job)
	}
	search()
	if held {
		zo.setHold(job, ho)
	}
}

// UnusedReservation returns the smallest unused reservation of a workspace that covers the shape,
// or nil.
func (zo *Zone) UnusedReservation(ws identifier.Workspace, sh Shape) *Reservation {
	var best *Reservation
	for _, re := range zo.reservations {
		if re.Workspace != ws || re.Gang != nil || re.Short || !re.Shape.Covers(sh) {
			continue
		}
		if best == nil || re.Shape.Total() < best.Shape.Total() {
			best = re
		}
	}
	return best
}

// PlaceGuaranteed places a gang in an unused reservation that covers it. If borrowed gangs must be
// preempted, it selects the victims with the least lost work. It always succeeds, because
// preempting borrowed gangs is always enough to meet a reservation.
func (zo *Zone) PlaceGuaranteed(job identifier.Job, re *Reservation, sh Shape, loss LossFunc) Placement {
	pl := Placement{Job: job, Workspace: re.Workspace, Fixed: true, Reservation: re}
	zo.unreserve(re)
	zo.withoutOwnHold(job, func() { zo.chooseReserved(&pl, re, sh, loss) })
	zo.reserve(re)
	return pl
}

// chooseReserved selects a free block for the reservation. If there is none, it selects the
// block whose victims lose the least work.
func (zo *Zone) chooseReserved(pl *Placement, re *Reservation, sh Shape, loss LossFunc) {
	if bl, found := zo.find(re.Shape, unreservedCapacity); found {
		pl.ReservedBlock = bl
		pl.Block = bl.within(sh)
		return
	}
	pl.ReservedBlock, pl.Block, pl.Victims = zo.cheapest(re, sh, loss)
}

// within places a covered shape within the block, on as few workers as possible.
func (bl Block) within(sh Shape) Block {
	shares := slices.Clone(bl.Shares)
	slices.SortStableFunc(shares, func(a, b Share) int { return b.Members - a.Members })
	return Block{Shape: bl.Shape, Shares: shares}.withinInOrder(sh)
}

// withinInOrder places a covered shape on the shares of the block, in the order of the shares.
func (bl Block) withinInOrder(sh Shape) Block {
	perMember := int(bl.Shape.Accelerators / sh.Accelerators)
	result := Block{Shape: sh}
	missing := int(sh.Members)
	for _, sr := range bl.Shares {
		count := min(missing, sr.Members*perMember)
		if count > 0 {
			result.Shares = append(result.Shares, Share{Worker: sr.Worker, Members: count})
			missing -= count
		}
	}
	return result
}

// Commit applies a placement. Its victims must have been released before.
func (zo *Zone) Commit(pl Placement) *Gang {
	zo.Unhold(pl.Job)
	ga := &Gang{Job: pl.Job, Workspace: pl.Workspace, Block: pl.Block, Fixed: pl.Fixed, Reservation: pl.Reservation}
	zo.gangs[pl.Job] = ga
	if re := pl.Reservation; re != nil {
		zo.unreserve(re)
		re.Block, re.Gang, re.Short = pl.ReservedBlock, ga, len(pl.ReservedBlock.Shares) == 0
		zo.addUsage(ga, 1)
		zo.reserve(re)
		return ga
	}
	zo.addUsage(ga, 1)
	return ga
}

// Release frees the accelerators of a job. Its reservation, if any, becomes unused.
func (zo *Zone) Release(job identifier.Job) {
	ga, found := zo.gangs[job]
	if !found {
		return
	}
	re := ga.Reservation
	if re != nil {
		zo.unreserve(re)
		re.Gang = nil
	}
	zo.addUsage(ga, -1)
	if ga.Stopping {
		zo.addStopping(ga, -1)
	}
	delete(zo.gangs, job)
	if re != nil {
		zo.reserve(re)
		zo.relocate(re)
	}
}

// relocate finds a new block for an unused reservation that has no block or whose block
// contains a worker that is not usable.
func (zo *Zone) relocate(re *Reservation) {
	keepsBlock := !re.Short
	for _, sr := range re.Block.Shares {
		keepsBlock = keepsBlock && zo.workers[sr.Worker].usable
	}
	if !keepsBlock {
		zo.clearBlocks([]*Reservation{re})
		zo.pack([]*Reservation{re})
	}
}

// addUsage adds (sign 1) or subtracts (sign -1) the accelerators of a gang.
func (zo *Zone) addUsage(ga *Gang, sign meter.Accelerators) {
	zo.usage[ga.Workspace] += sign * ga.Block.Shape.Total()
	for _, sr := range ga.Block.Shares {
		wo := &zo.workers[sr.Worker]
		if ga.Fixed {
			wo.fixed += sign * ga.Block.Shape.accelerators(sr)
		} else {
			wo.borrowed += sign * ga.Block.Shape.accelerators(sr)
		}
	}
}

// MarkStopping marks a gang as stopping. Its accelerators count as free after the stop, and it is
// not selected as a victim again.
func (zo *Zone) MarkStopping(job identifier.Job) {
	ga, found := zo.gangs[job]
	if !found || ga.Stopping {
		return
	}
	ga.Stopping = true
	zo.addStopping(ga, 1)
}

func (zo *Zone) addStopping(ga *Gang, sign meter.Accelerators) {
	for _, sr := range ga.Block.Shares {
		zo.workers[sr.Worker].stopping += sign * ga.Block.Shape.accelerators(sr)
	}
}

// Hold keeps a block for a waiting gang: other gangs are placed elsewhere, and accelerators of
// the block that are in use are not assigned to other gangs when they become free.
func (zo *Zone) Hold(job identifier.Job, bl Block) { zo.setHold(job, hold{block: bl}) }

// Promise keeps the block of a placement for its gang while the victims are stopping. The
// reservation of the placement, if any, moves to the block at once, so that no other
// guarantee can use it.
func (zo *Zone) Promise(pl Placement) {
	if re := pl.Reservation; re != nil {
		zo.unreserve(re)
		re.Block = pl.ReservedBlock
		zo.reserve(re)
	}
	zo.setHold(pl.Job, hold{block: pl.Block, promised: true})
}

func (zo *Zone) setHold(job identifier.Job, ho hold) {
	zo.Unhold(job)
	zo.holds[job] = ho
	zo.addHeld(ho, 1)
}

// Unhold removes the hold of a job, if any.
func (zo *Zone) Unhold(job identifier.Job) {
	if ho, found := zo.holds[job]; found {
		delete(zo.holds, job)
		zo.addHeld(ho, -1)
	}
}

// Holds reports whether a block is held for a job.
func (zo *Zone) Holds(job identifier.Job) bool {
	_, found := zo.holds[job]
	return found
}

func (zo *Zone) addHeld(ho hold, sign meter.Accelerators) {
	for _, sr := range ho.block.Shares {
		count := sign * ho.block.Shape.accelerators(sr)
		zo.workers[sr.Worker].held += count
		if ho.promised {
			zo.workers[sr.Worker].promised += count
		}
	}
}
