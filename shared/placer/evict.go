package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Evict finds the block and the borrowed gangs, of those that may be chosen, whose
// preemption loses the least and lets a borrowed gang of the shape start. Of what is held
// for others only what is promised stands in its way.
func (zo *Zone) Evict(job identifier.Job, ws identifier.Workspace, sh Shape, may func(*Gang) bool, lost Lost) (Placement, int64, bool) {
	own, held := zo.holds[job]
	if held {
		zo.Unhold(job)
		defer zo.setHold(job, own)
	}
	users := make([][]*Gang, len(zo.workers))
	movable := make([]meter.Accelerators, len(zo.workers))
	for index, gangs := range zo.borrowers() {
		for _, ga := range gangs {
			if may(ga) {
				users[index] = append(users[index], ga)
				movable[index] += ga.on(index)
			}
		}
	}
	best := candidate{}
	found := false
	for _, part := range zo.parts(sh) {
		bl, ok := zo.evictable(sh, part, movable)
		if !ok {
			continue
		}
		if ca := zo.weigh(bl, sh, users, lost); !found || ca.lost < best.lost {
			best, found = ca, true
		}
	}
	return Placement{Job: job, Workspace: ws, Block: best.block, Victims: best.victims}, best.lost, found
}

// evictable fills the workers of a part that have the most free, counting what could go.
func (zo *Zone) evictable(sh Shape, part []int, movable []meter.Accelerators) (Block, bool) {
	order := slices.Clone(part)
	slices.SortStableFunc(order, func(a, b int) int { return int(movable[a] - movable[b]) })
	return takeInOrder(sh, order, func(index int) int {
		return zo.fits(index, sh, func(wo *worker) meter.Accelerators { return wo.coming() + movable[index] })
	})
}
