package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Ends tells when a running gang is expected to end.
type Ends func(ga *Gang) clock.Millis

// Backfill places a borrowed gang on held accelerators too. The caller makes sure that
// the gang ends before the holds are needed.
func (zo *Zone) Backfill(job identifier.Job, ws identifier.Workspace, sh Shape) (Placement, bool) {
	var bl Block
	found := false
	zo.without(job, func() { bl, found = zo.find(sh, roomUnpromised) })
	return Placement{Job: job, Workspace: ws, Block: bl}, found
}

// Kept places a gang on the block that is kept for it, once that is free and not promised
// to others.
func (zo *Zone) Kept(job identifier.Job, ws identifier.Workspace) (Placement, bool) {
	ho, found := zo.holds[job]
	if !found {
		return Placement{}, false
	}
	zo.without(job, func() {
		for _, sr := range ho.block.Shares {
			found = found && zo.fits(sr.Worker, ho.block.Shape, roomUnpromised) >= sr.Members
		}
	})
	return Placement{Job: job, Workspace: ws, Block: ho.block}, found
}

// Earliest returns the block for a waiting gang that is expected to be free first, and
// the moment, now or later. Accelerators held for others do not count.
func (zo *Zone) Earliest(sh Shape, now clock.Millis, ends Ends) (Block, clock.Millis, bool) {
	var best Block
	var bestAt clock.Millis
	found := false
	gangs := zo.byEnd(ends)
	for _, part := range zo.parts(sh) {
		bl, at, ok := zo.freeAt(sh, part, gangs, now, ends)
		if ok && (!found || at < bestAt) {
			best, bestAt, found = bl, at, true
		}
	}
	return best, bestAt, found
}

// byEnd returns the gangs in the order of their expected ends.
func (zo *Zone) byEnd(ends Ends) []*Gang {
	gangs := zo.Gangs()
	slices.SortStableFunc(gangs, func(a, b *Gang) int { return int(ends(a) - ends(b)) })
	return gangs
}

// parts returns the sets of workers within which the members must lie.
func (zo *Zone) parts(sh Shape) [][]int {
	switch sh.Adjacency {
	case OneWorker:
		parts := make([][]int, len(zo.workers))
		for i := range parts {
			parts[i] = []int{i}
		}
		return parts
	case OneRack:
		parts := make([][]int, len(zo.racks))
		for i := range parts {
			parts[i] = zo.racks[i].workers
		}
		return parts
	default:
		all := make([]int, len(zo.workers))
		for i := range all {
			all[i] = i
		}
		return [][]int{all}
	}
}

// freeAt plays the ends of the gangs until the part has room for the shape.
func (zo *Zone) freeAt(sh Shape, part []int, gangs []*Gang, now clock.Millis, ends Ends) (Block, clock.Millis, bool) {
	room := map[int]meter.Accelerators{}
	fits, wanted := 0, int(sh.Members)
	capacity := 0
	for _, index := range part {
		wo := &zo.workers[index]
		if !wo.usable {
			continue
		}
		capacity += int((wo.total - wo.held) / sh.Accelerators)
		room[index] = wo.free() - wo.held
		fits += int(max(room[index], 0) / sh.Accelerators)
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
			before, inPart := room[sr.Worker]
			if !inPart {
				continue
			}
			after := before + ga.Block.Shape.accelerators(sr)
			room[sr.Worker] = after
			fits += int(max(after, 0)/sh.Accelerators) - int(max(before, 0)/sh.Accelerators)
			at = max(at, ends(ga))
		}
	}
	return takeRoom(sh, part, room), at, fits >= wanted
}

// takeRoom puts the members where there is the most room.
func takeRoom(sh Shape, part []int, room map[int]meter.Accelerators) Block {
	order := slices.Clone(part)
	slices.SortStableFunc(order, func(a, b int) int { return int(room[b] - room[a]) })
	bl, _ := takeInOrder(sh, order, func(index int) int { return int(max(room[index], 0) / sh.Accelerators) })
	return bl
}
