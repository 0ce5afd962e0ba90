package scheduler

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	guaranteedScore = 1e12 // guaranteed jobs come before all others
	urgentScore     = 1e9  // urgent jobs come before normal ones
	shareOffset     = 0.5  // added to the share, so that the score of an idle workspace stays finite
)

// score returns the priority of a waiting job in the queue. For normal jobs it is the response
// ratio, which grows with the waiting time and grows faster for short jobs, divided by the
// workspace's use relative to its fair share. The Fragmentation preset ranks large gangs
// higher.
func (sc *Scheduler) score(jo Job, share float64, now clock.Millis) float64 {
	waited := float64(max(now-jo.Submitted, 0))
	if sc.zone.UnusedReservation(jo.Workspace, jo.Shape) != nil {
		return guaranteedScore + waited
	}
	if jo.Urgent {
		return urgentScore + waited
	}
	expected := float64(max(jo.Expected, 1))
	ratio := (waited + expected) / expected
	if sc.policy.Preset == Fragmentation {
		ratio *= math.Log2(1 + float64(jo.Shape.Total()))
	}
	return ratio / (shareOffset + share)
}
