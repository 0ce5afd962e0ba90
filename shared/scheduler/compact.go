package scheduler

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

const (
	compactAfter  = 30 * clock.Second // a gang waits this long before others are moved for it
	compactFactor = 2                 // the gain must be this many times the loss
)

// compact moves borrowed gangs out of a block so that a large gang can start, if they fit
// elsewhere and the gain is worth the loss.
func (ro *round) compact(jo Job) bool {
	waited := ro.now - jo.Submitted
	if waited < compactAfter || jo.Shape.Adjacency == placer.OneZone || ro.zone.Free() < jo.Shape.Total() {
		return false
	}
	may := func(ga *placer.Gang) bool {
		return ro.mayPreempt(ga) && ga.Block.Shape.Total() < jo.Shape.Total()
	}
	pl, lost, found := ro.zone.Evict(jo.ID, jo.Workspace, jo.Shape, may, ro.lost(ro.now))
	if !found || !ro.worthMoving(jo, pl, lost, waited) {
		return false
	}
	ro.preempt(jo, pl)
	return true
}

// worthMoving compares what the waiting gang gains with what the moved ones lose. The
// gain is taken to be as long again as the gang has waited.
func (ro *round) worthMoving(jo Job, pl placer.Placement, lost int64, waited clock.Millis) bool {
	var moved meter.Accelerators
	for _, ga := range pl.Victims {
		moved += ga.Block.Shape.Total()
	}
	if moved > ro.zone.Free()-jo.Shape.Total()+moved {
		return false
	}
	gain := int64(waited) * int64(jo.Shape.Total())
	return gain > compactFactor*lost
}
