package scheduler

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

const mostClears = 4 // gangs for which a round tries to clear a block

// compact moves smaller borrowed gangs out of a block so that a gang can start now instead
// of when a block is expected to be free, if they fit elsewhere and the gain is worth the
// loss.
func (ro *round) compact(jo Job) bool {
	if ro.cleared >= mostClears || ro.policy.CompactGain == 0 || jo.Shape.Members == 1 {
		return false
	}
	ro.cleared++
	may := func(ga *placer.Gang) bool {
		return ro.mayPreempt(ga) && ga.Block.Shape.Total() < jo.Shape.Total()
	}
	pl, lost, found := ro.zone.Evict(jo.ID, jo.Workspace, jo.Shape, may, ro.lost(ro.now))
	if !found || len(pl.Victims) == 0 || !ro.worthwhile(jo, pl) {
		return false
	}
	ends := func(ga *placer.Gang) clock.Millis { return ro.EndOf(ga, ro.now) }
	_, at, found := ro.zone.Earliest(jo.Shape, ro.now, ends)
	gain := int64(at-ro.now) * int64(jo.Shape.Total())
	if found && gain < ro.policy.CompactGain*lost {
		return false
	}
	ro.preempt(jo, pl)
	return true
}

// worthwhile reports whether the moved gangs fit into what stays free, or are small
// beside the gang that starts.
func (ro *round) worthwhile(jo Job, pl placer.Placement) bool {
	var moved meter.Accelerators
	for _, ga := range pl.Victims {
		moved += ga.Block.Shape.Total()
	}
	return jo.Shape.Total() <= ro.zone.Free() || float64(moved) <= ro.policy.CompactShare*float64(jo.Shape.Total())
}
