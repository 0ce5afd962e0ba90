package intake

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

// write applies a transaction. Where an answer is lost, the same transaction is sent again
// for a while, for only that tells what became of it. Errors: *rowstore.ConflictError;
// StoreUnavailable, which is certain; OutcomeUnknown.
func (in *Intake) write(ctx context.Context, tr rowstore.Transaction) error {
	ctx, giveUp := in.cl.Bound(ctx, patience)
	defer giveUp()
	uncertain := false
	defer func() {
		if uncertain {
			in.settle()
		}
	}()
	for most := in.firstTry(); ; most *= tryRise {
		began := in.cl.Now()
		bound, cancel := in.cl.Bound(ctx, most)
		_, err := in.store.Write(bound, tr)
		cancel()
		var conflict *rowstore.ConflictError
		switch {
		case err == nil || eris.As(err, &conflict):
			in.succeeded(in.cl.Now() - began)
			return err
		case eris.Is(err, rowstore.ErrUnknown):
			if uncertain {
				in.failed(err) // not just slow: others are refused at once meanwhile
			} else {
				uncertain = true
				in.delay()
			}
			in.store.Reset()
		case !eris.Is(err, rowstore.ErrNotDone):
			return err
		case !uncertain:
			in.failed(err)
			return in.refusal("%v", err)
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, in.cl, retryPause) {
			in.failed(err)
			return problem.New(problem.OutcomeUnknown, "the store did not answer in time").Retry(in.comeBack())
		}
	}
}

// read returns a row; an absent one has version 0. Errors are of the kind
// StoreUnavailable.
func (in *Intake) read(ctx context.Context, key rowstore.Key) (rowstore.Row, error) {
	ctx, giveUp := in.cl.Bound(ctx, patience)
	defer giveUp()
	for most := in.firstTry(); ; most *= tryRise {
		began := in.cl.Now()
		bound, cancel := in.cl.Bound(ctx, most)
		page, err := in.store.Read(bound, key.Table, key.Name, key.Name+"\x00", 1)
		cancel()
		if err == nil {
			in.succeeded(in.cl.Now() - began)
			if len(page.Rows) == 0 {
				return rowstore.Row{Key: key}, nil
			}
			return page.Rows[0], nil
		}
		in.store.Reset()
		if ctx.Err() != nil || !clock.Sleep(ctx, in.cl, retryPause) {
			in.failed(err)
			return rowstore.Row{}, problem.New(problem.StoreUnavailable, "%v", err).Retry(in.comeBack())
		}
	}
}

// delay notes that a write has got no answer yet.
func (in *Intake) delay() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.overdue == 0 {
		in.settled = make(chan struct{})
	}
	in.overdue++
}

// settle notes that such a write has ended.
func (in *Intake) settle() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.overdue--; in.overdue == 0 {
		close(in.settled)
	}
}

// answers waits, if a write has got no answer yet, until that is settled, and reports
// whether the store is then worth a try.
func (in *Intake) answers(ctx context.Context) bool {
	in.mu.Lock()
	overdue, settled := in.overdue, in.settled
	in.mu.Unlock()
	if overdue == 0 {
		return true
	}
	select {
	case <-settled:
		return !in.failing()
	case <-in.cl.After(overduePatience):
	case <-ctx.Done():
	}
	return false
}

// firstTry bounds the first try of a call by how long the store took lately.
func (in *Intake) firstTry() clock.Millis {
	in.mu.Lock()
	defer in.mu.Unlock()
	return min(max(tryRise*in.latency, leastTry), patience)
}

func (in *Intake) succeeded(took clock.Millis) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.latency = max(took, (3*in.latency+took)/4)
	if in.failedAt > 0 {
		in.log.Info().Int64("lostMillis", int64(in.cl.Now()-in.lostAt)).Msg("storeRegained")
	}
	in.failedAt = 0
}

func (in *Intake) failed(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.cl.Now()
	if in.failedAt == 0 {
		in.lostAt = now
		in.log.Warn().Err(err).Msg("storeLost")
	}
	in.failedAt = now
}

// refusal is a certain refusal because of the store.
func (in *Intake) refusal(format string, args ...any) error {
	return problem.New(problem.StoreUnavailable, format, args...).Say(problem.NotRun).Retry(in.comeBack())
}

// comeBack is when a caller should come back: an outage that has lasted for a while will,
// as far as anyone knows, last as long again.
func (in *Intake) comeBack() clock.Millis {
	in.mu.Lock()
	defer in.mu.Unlock()
	return min(max(in.cl.Now()-in.lostAt, leastComeBack), mostComeBack)
}

// failing reports whether the store has just failed, so that trying it now is in vain.
func (in *Intake) failing() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.failedAt > 0 && in.cl.Now()-in.failedAt < outagePause
}
