package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Placement is a decision that has not taken effect yet.
	Placement struct {
		Job       identifier.Job
		Workspace identifier.Workspace
		Block     Block
		// Fixed means that the gang will not be preempted.
		Fixed bool
		// Reservation is the one that the gang uses; nil unless placed by a guarantee.
		Reservation *Reservation
		// Reserved is the block that the reservation moves to.
		Reserved Block
		// Victims are the borrowed gangs that have to go first.
		Victims []*Gang
	}

	// Lost tells what preempting a gang would lose, in accelerator-milliseconds.
	Lost func(ga *Gang) int64
)

// Borrow places a gang that may be preempted, first outside the reservations. It
// reports false if there is no room.
func (zo *Zone) Borrow(job identifier.Job, ws identifier.Workspace, sh Shape) (Placement, bool) {
	var bl Block
	found := false
	zo.without(job, func() {
		if bl, found = zo.find(sh, roomUnreserved); !found {
			bl, found = zo.find(sh, roomFree)
		}
	})
	return Placement{Job: job, Workspace: ws, Block: bl}, found
}

// Fix places a gang that is not preempted, outside all reservations. It reports false if
// there is no room.
func (zo *Zone) Fix(job identifier.Job, ws identifier.Workspace, sh Shape) (Placement, bool) {
	var bl Block
	found := false
	zo.without(job, func() { bl, found = zo.find(sh, roomUnreserved) })
	return Placement{Job: job, Workspace: ws, Block: bl, Fixed: true}, found
}

// Fixable reports whether a gang of the shape has room outside all reservations once the
// borrowed work has gone.
func (zo *Zone) Fixable(sh Shape) bool {
	_, found := zo.find(sh, roomReclaimable)
	return found
}

// without runs a search for the holder of a hold, for whom its own hold is no obstacle.
func (zo *Zone) without(job identifier.Job, search func()) {
	ho, held := zo.holds[job]
	if held {
		zo.Unhold(job)
	}
	search()
	if held {
		zo.setHold(job, ho)
	}
}

// Unused returns the smallest unused reservation of a workspace that covers the shape,
// or nil.
func (zo *Zone) Unused(ws identifier.Workspace, sh Shape) *Reservation {
	var best *Reservation
	for _, re := range zo.reservations {
		if re.Workspace != ws || re.User != nil || re.Short || !re.Shape.Covers(sh) {
			continue
		}
		if best == nil || re.Shape.Total() < best.Shape.Total() {
			best = re
		}
	}
	return best
}

// Guaranteed places a gang by an unused reservation that covers it. Victims, if any,
// are the borrowed gangs that lose the least work. It never fails.
func (zo *Zone) Guaranteed(job identifier.Job, re *Reservation, sh Shape, lost Lost) Placement {
	pl := Placement{Job: job, Workspace: re.Workspace, Fixed: true, Reservation: re}
	zo.unreserve(re)
	zo.without(job, func() { zo.chooseReserved(&pl, re, sh, lost) })
	zo.reserve(re)
	return pl
}

// chooseReserved looks for a free block for the whole reservation, and else for the one
// that loses the least work.
func (zo *Zone) chooseReserved(pl *Placement, re *Reservation, sh Shape, lost Lost) {
	if bl, found := zo.find(re.Shape, roomUnreserved); found {
		pl.Reserved = bl
		pl.Block = bl.inner(sh)
		return
	}
	pl.Reserved, pl.Block, pl.Victims = zo.cheapest(re, sh, lost)
}

// inner places a covered shape within the block, on as few workers as it can.
func (bl Block) inner(sh Shape) Block {
	shares := slices.Clone(bl.Shares)
	slices.SortStableFunc(shares, func(a, b Share) int { return b.Members - a.Members })
	return Block{Shape: bl.Shape, Shares: shares}.innerInOrder(sh)
}

// innerInOrder places a covered shape on the shares of the block in their order.
func (bl Block) innerInOrder(sh Shape) Block {
	perMember := int(bl.Shape.Accelerators / sh.Accelerators)
	in := Block{Shape: sh}
	missing := int(sh.Members)
	for _, sr := range bl.Shares {
		take := min(missing, sr.Members*perMember)
		if take > 0 {
			in.Shares = append(in.Shares, Share{Worker: sr.Worker, Members: take})
			missing -= take
		}
	}
	return in
}

// Commit makes a placement take effect. Its victims must have been released.
func (zo *Zone) Commit(pl Placement) *Gang {
	zo.Unhold(pl.Job)
	ga := &Gang{Job: pl.Job, Workspace: pl.Workspace, Block: pl.Block, Fixed: pl.Fixed, Reservation: pl.Reservation}
	zo.gangs[pl.Job] = ga
	if re := pl.Reservation; re != nil {
		zo.unreserve(re)
		re.Block, re.User, re.Short = pl.Reserved, ga, len(pl.Reserved.Shares) == 0
		zo.occupy(ga, 1)
		zo.reserve(re)
		return ga
	}
	zo.occupy(ga, 1)
	return ga
}

// Release frees the accelerators of a job; its reservation, if any, is unused again.
func (zo *Zone) Release(job identifier.Job) {
	ga, found := zo.gangs[job]
	if !found {
		return
	}
	re := ga.Reservation
	if re != nil {
		zo.unreserve(re)
		re.User = nil
	}
	zo.occupy(ga, -1)
	if ga.Leaving {
		zo.countLeaving(ga, -1)
	}
	delete(zo.gangs, job)
	if re != nil {
		zo.reserve(re)
		zo.leave(re)
	}
}

// leave moves an unused reservation off workers that get no new work, and seeks a block
// for one that has none.
func (zo *Zone) leave(re *Reservation) {
	stays := !re.Short
	for _, sr := range re.Block.Shares {
		stays = stays && zo.workers[sr.Worker].usable
	}
	if !stays {
		zo.clear([]*Reservation{re})
		zo.pack([]*Reservation{re})
	}
}

// occupy adds (sign 1) or takes away (sign -1) the accelerators of a gang.
func (zo *Zone) occupy(ga *Gang, sign meter.Accelerators) {
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

// Leave marks a gang as told to go: its accelerators count as coming free, and it is not
// chosen as a victim again.
func (zo *Zone) Leave(job identifier.Job) {
	ga, found := zo.gangs[job]
	if !found || ga.Leaving {
		return
	}
	ga.Leaving = true
	zo.countLeaving(ga, 1)
}

func (zo *Zone) countLeaving(ga *Gang, sign meter.Accelerators) {
	for _, sr := range ga.Block.Shares {
		zo.workers[sr.Worker].leaving += sign * ga.Block.Shape.accelerators(sr)
	}
}

// Hold keeps a block free for a waiting gang: other work is placed elsewhere, and what
// is in use there is not given out again once it is free.
func (zo *Zone) Hold(job identifier.Job, bl Block) { zo.setHold(job, hold{block: bl}) }

// Promise keeps the block of a placement for its gang while the victims go. A reservation
// moves there at once, so that no other guarantee is placed on it.
func (zo *Zone) Promise(pl Placement) {
	if re := pl.Reservation; re != nil {
		zo.unreserve(re)
		re.Block = pl.Reserved
		zo.reserve(re)
	}
	zo.setHold(pl.Job, hold{block: pl.Block, promised: true})
}

func (zo *Zone) setHold(job identifier.Job, ho hold) {
	zo.Unhold(job)
	zo.holds[job] = ho
	zo.countHold(ho, 1)
}

// Unhold gives up the hold of a job, if any.
func (zo *Zone) Unhold(job identifier.Job) {
	if ho, found := zo.holds[job]; found {
		delete(zo.holds, job)
		zo.countHold(ho, -1)
	}
}

// Holds reports whether a block is kept for a job.
func (zo *Zone) Holds(job identifier.Job) bool {
	_, found := zo.holds[job]
	return found
}

func (zo *Zone) countHold(ho hold, sign meter.Accelerators) {
	for _, sr := range ho.block.Shares {
		count := sign * ho.block.Shape.accelerators(sr)
		zo.workers[sr.Worker].held += count
		if ho.promised {
			zo.workers[sr.Worker].promised += count
		}
	}
}
