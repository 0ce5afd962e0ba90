package scheduler

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	guaranteedScore = 1e12 // guarantees come before all else
	urgentScore     = 1e9  // urgent work comes before normal work
	shareFloor      = 0.5  // keeps the score of an idle workspace finite
)

// score orders the line: the response ratio, which rises with waiting and faster for
// short work, over the workspace's use of its fair share. Where fragmentation weighs
// more, large gangs come earlier.
func (sc *Scheduler) score(jo Job, share float64, now clock.Millis) float64 {
	waited := float64(max(now-jo.Submitted, 0))
	if sc.zone.Unused(jo.Workspace, jo.Shape) != nil {
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
	return ratio / (shareFloor + share)
}
