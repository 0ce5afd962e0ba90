package placer

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// PlaceByEviction finds a block on which a borrowed gang of the shape can start after a
// preemption with the least lost work. Only borrowed gangs for which mayEvict returns true are
// victims. The block may use accelerators that are held for other gangs, but not promised ones.
// PlaceByEviction returns the placement, the lost work and whether a block was found.
func (zo *Zone) PlaceByEviction(job identifier.Job, ws identifier.Workspace, sh Shape, mayEvict func(*Gang) bool, loss LossFunc) (Placement, int64, bool) {
	own, held := zo.holds[job]
	if held {
		zo.Unhold(job)
		defer zo.setHold(job, own)
	}
	byWorker := make([][]*Gang, len(zo.workers))
	evictable := make([]meter.Accelerators, len(zo.workers))
	for index, gangs := range zo.borrowers() {
		for _, ga := range gangs {
			if mayEvict(ga) {
				byWorker[index] = append(byWorker[index], ga)
				evictable[index] += ga.onWorker(index)
			}
		}
	}
	best := candidate{}
	found := false
	for _, set := range zo.workerSets(sh) {
		bl, ok := zo.fillEvictable(sh, set, evictable)
		if !ok {
			continue
		}
		if ca := zo.evaluate(bl, sh, byWorker, loss); !found || ca.loss < best.loss {
			best, found = ca, true
		}
	}
	return Placement{Job: job, Workspace: ws, Block: best.block, Victims: best.victims}, best.loss, found
}

// fillEvictable places the members on the given workers, those with the fewest accelerators in
// use by evictable gangs first. Accelerators of evictable gangs count as free.
func (zo *Zone) fillEvictable(sh Shape, set []int, evictable []meter.Accelerators) (Block, bool) {
	order := slices.Clone(set)
	slices.SortStableFunc(order, func(a, b int) int { return int(evictable[a] - evictable[b]) })
	return fillInOrder(sh, order, func(index int) int {
		return zo.fits(index, sh, func(wo *worker) meter.Accelerators { return wo.freeAfterStops() + evictable[index] })
	})
}
