package scheduler

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

const maxCompactionAttempts = 4 // gangs for which one round tries to clear a block

// compact preempts smaller borrowed gangs in a block so that a larger gang can start before a
// block is expected to become free. It requires that the victims fit elsewhere or are small,
// and that the gain is at least MinCompactionGain times the loss, both in accelerator-milliseconds.
func (ro *round) compact(jo Job) bool {
	if ro.compactionAttempts >= maxCompactionAttempts || ro.policy.MinCompactionGain == 0 || jo.Shape.Members == 1 {
		return false
	}
	ro.compactionAttempts++
	mayEvict := func(ga *placer.Gang) bool {
		return ro.mayPreempt(ga) && ga.Block.Shape.Total() < jo.Shape.Total()
	}
	pl, loss, found := ro.zone.PlaceByEviction(jo.ID, jo.Workspace, jo.Shape, mayEvict, ro.preemptionLoss(ro.now))
	if !found || len(pl.Victims) == 0 || !ro.acceptable(jo, pl) {
		return false
	}
	expectedEnd := func(ga *placer.Gang) clock.Millis { return ro.ExpectedEnd(ga, ro.now) }
	_, at, found := ro.zone.EarliestFree(jo.Shape, ro.now, expectedEnd)
	gain := int64(at-ro.now) * int64(jo.Shape.Total())
	if found && gain < ro.policy.MinCompactionGain*loss {
		return false
	}
	ro.preempt(jo, pl)
	return true
}

// acceptable reports whether the moved gangs fit into the accelerators that stay free, or are
// small compared to the gang that starts.
func (ro *round) acceptable(jo Job, pl placer.Placement) bool {
	var moved meter.Accelerators
	for _, ga := range pl.Victims {
		moved += ga.Block.Shape.Total()
	}
	return jo.Shape.Total() <= ro.zone.Free() || float64(moved) <= ro.policy.MaxMovedFraction*float64(jo.Shape.Total())
}
