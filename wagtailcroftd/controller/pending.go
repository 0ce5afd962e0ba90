package controller

import (
	"maps"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// countsInterval is the shortest time between two writes of the pending-job counts, which may be up to 2 s old.
const countsInterval = 500 * clock.Millis(1)

// duePendingCounts returns the counts of pending jobs if they are to be written now, otherwise nil.
func (te *term) duePendingCounts(now clock.Millis) map[string]int {
	counts := te.countPending()
	if !te.loaded || now-te.countedAt < countsInterval || te.pendingCounts != nil && maps.Equal(counts, te.pendingCounts) {
		return nil
	}
	te.countedAt = now
	return counts
}

// countPending counts, for each queue, the jobs of which no task has started.
func (te *term) countPending() map[string]int {
	counts := map[string]int{}
	for _, en := range te.jobs {
		if !en.job.State.Final() && en.job.NeverStarted() {
			counts[string(en.job.Queue)]++
		}
	}
	return counts
}

// markCountsRecorded notes the counts that the row of this version holds.
func (te *term) markCountsRecorded(counts map[string]int, version meter.RowVersion) {
	te.pendingCounts = counts
	te.log.Info().Int64("version", int64(version)).Any("counts", counts).Msg("pendingCountsRecorded")
}
