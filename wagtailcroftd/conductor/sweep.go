package conductor

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

const (
	// sweepEvery is the time between two removals of what is no longer needed.
	sweepEvery = 30 * clock.Second
	// earlyPatience is how long the cancellation of an unknown job is kept: a submission
	// reaches the holder well within it.
	earlyPatience = 10 * clock.Second
	// mostSwept bounds one transaction, which has two entries for a row.
	mostSwept = 45
)

// sweep removes ended jobs that are old enough, and cancellations of jobs that have ended.
func (te *term) sweep() {
	for clock.Sleep(te.ctx, te.Clock, sweepEvery) {
		rows, _, err := tailer.Whole(te.ctx, te.Store, te.Clock, recorder.Ended)
		if err != nil {
			te.log.Warn().Err(err).Msg("sweepDelayed")
			continue
		}
		var tr rowstore.Transaction
		for _, ro := range rows {
			pr, err := recorder.Decode[ledger.Progress](ro)
			if err != nil {
				te.log.Error().Err(err).Msg("rowUnread")
				continue
			}
			if te.Clock.TimeOfDay()-pr.EndedAt > te.op.Retention && len(tr.Remove) < mostSwept {
				tr.Expect = append(tr.Expect, rowstore.Expectation{Key: ro.Key, Version: ro.Version})
				tr.Remove = append(tr.Remove, ro.Key)
			}
		}
		for _, id := range te.staleCancels() {
			tr.Remove = append(tr.Remove, recorder.JobKey(recorder.Cancels, id))
		}
		if len(tr.Remove) == 0 {
			continue
		}
		ctx, cancel := te.Clock.Bound(te.ctx, elector.WriteTimeout)
		_, err = te.Store.Write(ctx, tr)
		cancel()
		te.log.Info().Int("rows", len(tr.Remove)).AnErr("refusal", err).Msg("rowsSwept")
	}
}

func (te *term) staleCancels() []identifier.Job {
	te.mu.Lock()
	defer te.mu.Unlock()
	var stale []identifier.Job
	for id, at := range te.early {
		if te.Clock.Now()-at > earlyPatience && len(stale) < mostSwept {
			stale = append(stale, id)
			delete(te.early, id)
		}
	}
	return stale
}
