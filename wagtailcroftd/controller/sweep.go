package controller

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
	// sweepInterval is the time between two removals of obsolete rows.
	sweepInterval = 30 * clock.Second
	// earlyCancelRetention is how long the cancellation of an unknown job is kept. A submission
	// reaches the leader well within this time.
	earlyCancelRetention = 10 * clock.Second
	// maxSwept bounds the rows of one transaction, which needs two entries for each row.
	maxSwept = 45
)

// sweep removes ended jobs whose retention period is over, and cancellations of unknown jobs,
// such as those that have already ended.
func (te *term) sweep() {
	for clock.Sleep(te.ctx, te.Clock, sweepInterval) {
		rows, _, err := tailer.ReadTable(te.ctx, te.Store, te.Clock, recorder.EndedJobs)
		if err != nil {
			te.log.Warn().Err(err).Msg("purgeDelayed")
			continue
		}
		var tr rowstore.Transaction
		for _, ro := range rows {
			pr, err := recorder.Decode[ledger.Progress](ro)
			if err != nil {
				te.log.Error().Err(err).Msg("rowInvalid")
				continue
			}
			if te.Clock.TimeOfDay()-pr.EndedAt > te.op.Retention && len(tr.Removals) < maxSwept {
				tr.Preconditions = append(tr.Preconditions, rowstore.Precondition{Key: ro.Key, Version: ro.Version})
				tr.Removals = append(tr.Removals, ro.Key)
			}
		}
		for _, id := range te.staleCancels() {
			tr.Removals = append(tr.Removals, recorder.JobKey(recorder.Cancels, id))
		}
		if len(tr.Removals) == 0 {
			continue
		}
		ctx, cancel := te.Clock.WithTimeout(te.ctx, elector.WriteTimeout)
		_, err = te.Store.Write(ctx, tr)
		cancel()
		te.log.Info().Int("rows", len(tr.Removals)).AnErr("refusal", err).Msg("rowsPurged")
	}
}

func (te *term) staleCancels() []identifier.Job {
	te.mu.Lock()
	defer te.mu.Unlock()
	var stale []identifier.Job
	for id, at := range te.earlyCancels {
		if te.Clock.Now()-at > earlyCancelRetention && len(stale) < maxSwept {
			stale = append(stale, id)
			delete(te.earlyCancels, id)
		}
	}
	return stale
}
