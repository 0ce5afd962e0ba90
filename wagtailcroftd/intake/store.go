package intake

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

// write applies a transaction. Where an answer is lost, the same transaction is sent again
// until ctx ends, for only that tells what became of it. Errors: *rowstore.Conflict;
// StoreUnavailable, which is certain; OutcomeUnknown.
func (in *Intake) write(ctx context.Context, tr rowstore.Transaction) error {
	uncertain := false
	for most := firstTry; ; most *= tryRise {
		bound, cancel := in.cl.Bound(ctx, most)
		_, err := in.store.Write(bound, tr)
		cancel()
		var conflict *rowstore.Conflict
		switch {
		case err == nil || eris.As(err, &conflict):
			in.succeeded()
			return err
		case eris.Is(err, rowstore.ErrUnknown):
			uncertain = true
			in.store.Reset()
		case !eris.Is(err, rowstore.ErrNotDone):
			return err
		case !uncertain:
			in.failed(err)
			return problem.New(problem.StoreUnavailable, "%v", err).Say(problem.NotRun).Retry(retryAfter)
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, in.cl, retryPause) {
			in.failed(err)
			return problem.New(problem.OutcomeUnknown, "the store did not answer in time").Retry(retryAfter)
		}
	}
}

// read returns a row; an absent one has version 0. Errors are of the kind
// StoreUnavailable.
func (in *Intake) read(ctx context.Context, key rowstore.Key) (rowstore.Row, error) {
	for most := firstTry; ; most *= tryRise {
		bound, cancel := in.cl.Bound(ctx, most)
		page, err := in.store.Read(bound, key.Table, key.Name, key.Name+"\x00", 1)
		cancel()
		if err == nil {
			in.succeeded()
			if len(page.Rows) == 0 {
				return rowstore.Row{Key: key}, nil
			}
			return page.Rows[0], nil
		}
		in.store.Reset()
		if ctx.Err() != nil || !clock.Sleep(ctx, in.cl, retryPause) {
			in.failed(err)
			return rowstore.Row{}, problem.New(problem.StoreUnavailable, "%v", err).Retry(retryAfter)
		}
	}
}

func (in *Intake) succeeded() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.failedAt > 0 {
		in.log.Info().Int64("lostMillis", int64(in.cl.Now()-in.failedAt)).Msg("storeRegained")
	}
	in.failedAt = 0
}

func (in *Intake) failed(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.failedAt == 0 {
		in.log.Warn().Err(err).Msg("storeLost")
	}
	in.failedAt = in.cl.Now()
}

// failing reports whether the store has just failed, so that trying it now is in vain.
func (in *Intake) failing() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.failedAt > 0 && in.cl.Now()-in.failedAt < outagePause
}
