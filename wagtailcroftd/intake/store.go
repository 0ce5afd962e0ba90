package intake

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

// attempts are those of one store call.
type attempts struct {
	in *Intake
	// caller ends when the caller has left or waits no longer.
	caller context.Context
	begun  clock.Millis
	// timeout is that of the first attempt.
	timeout clock.Millis
}

// write applies a transaction. If the store does not answer, write repeats the same transaction
// until callTimeout, because only that tells whether it was applied. The error is a
// *rowstore.ConflictError, of the kind StoreUnavailable if the transaction was definitely not
// applied, or of the kind OutcomeUnknown.
func (in *Intake) write(caller context.Context, tr rowstore.Transaction) error {
	ctx, cancelAll := in.cl.WithTimeout(caller, callTimeout)
	defer cancelAll()
	at := in.beginAttempts(caller)
	uncertain := false
	defer func() {
		if uncertain {
			in.endOverdue()
		}
	}()
	for timeout := at.timeout; ; timeout *= timeoutFactor {
		began := in.cl.Now()
		bound, cancel := in.cl.WithTimeout(ctx, timeout)
		_, err := in.store.Write(bound, tr)
		cancel()
		var conflict *rowstore.ConflictError
		switch {
		case err == nil || eris.As(err, &conflict):
			in.recordSuccess(in.cl.Now() - began)
			return err
		case eris.Is(err, rowstore.ErrOutcomeUnknown):
			if uncertain {
				at.recordFailure(err) // two attempts without an answer: refuse new submissions for now
			} else {
				uncertain = true
				in.beginOverdue()
			}
			if at.triedEnough() {
				in.store.CloseIdleConnections()
			}
		case !eris.Is(err, rowstore.ErrNotExecuted):
			return err
		case !uncertain:
			at.recordFailure(err)
			return in.unavailable("%v", err)
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, in.cl, retryPause) {
			at.recordFailure(err)
			return problem.New(problem.OutcomeUnknown, "the store did not answer in time").WithRetryAfter(in.retryAfter())
		}
	}
}

// read returns a row, which has version 0 if it is absent. Errors are of the kind
// StoreUnavailable.
func (in *Intake) read(caller context.Context, key rowstore.Key) (rowstore.Row, error) {
	ctx, cancelAll := in.cl.WithTimeout(caller, callTimeout)
	defer cancelAll()
	at := in.beginAttempts(caller)
	for timeout := at.timeout; ; timeout *= timeoutFactor {
		began := in.cl.Now()
		bound, cancel := in.cl.WithTimeout(ctx, timeout)
		page, err := in.store.Read(bound, key.Table, key.Name, key.Name+"\x00", 1)
		cancel()
		if err == nil {
			in.recordSuccess(in.cl.Now() - began)
			if len(page.Rows) == 0 {
				return rowstore.Row{Key: key}, nil
			}
			return page.Rows[0], nil
		}
		if at.triedEnough() {
			in.store.CloseIdleConnections()
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, in.cl, retryPause) {
			at.recordFailure(err)
			return rowstore.Row{}, problem.New(problem.StoreUnavailable, "%v", err).WithRetryAfter(in.retryAfter())
		}
	}
}

// beginAttempts begins the attempts of a store call for a caller.
func (in *Intake) beginAttempts(caller context.Context) attempts {
	return attempts{in: in, caller: caller, begun: in.cl.Now(), timeout: in.firstTimeout()}
}

// triedEnough reports whether a failure is one of the store: a call that ended because its caller has left, or
// waited less than the store may take, proves nothing.
func (at attempts) triedEnough() bool {
	return at.caller.Err() == nil || at.in.cl.Now()-at.begun >= at.timeout
}

// recordFailure records a failed store call.
func (at attempts) recordFailure(err error) {
	if at.triedEnough() {
		at.in.recordFailure(err)
	}
}

// beginOverdue records that the first attempt of a write was not answered.
func (in *Intake) beginOverdue() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.overdue == 0 {
		in.noneOverdue = make(chan struct{})
	}
	in.overdue++
}

// endOverdue records that an overdue write has returned.
func (in *Intake) endOverdue() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.overdue--; in.overdue == 0 {
		close(in.noneOverdue)
	}
}

// awaitOverdue waits until no write is overdue, for at most overdueTimeout, and reports whether
// the store can be called then.
func (in *Intake) awaitOverdue(ctx context.Context) bool {
	in.mu.Lock()
	overdue, noneOverdue := in.overdue, in.noneOverdue
	in.mu.Unlock()
	if overdue == 0 {
		return true
	}
	select {
	case <-noneOverdue:
		return !in.inOutage()
	case <-in.cl.After(overdueTimeout):
	case <-ctx.Done():
	}
	return false
}

// firstTimeout returns the timeout of the first attempt of a call, derived from the recent
// latency of the store.
func (in *Intake) firstTimeout() clock.Millis {
	in.mu.Lock()
	defer in.mu.Unlock()
	return min(max(timeoutFactor*in.latency, minAttemptTimeout), callTimeout)
}

// recordSuccess records a successful store call and the end of an outage.
func (in *Intake) recordSuccess(took clock.Millis) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.latency = max(took, (3*in.latency+took)/4)
	if in.failedAt > 0 {
		in.log.Info().Int64("lostMillis", int64(in.cl.Now()-in.outageStart)).Msg("storeRecovered")
	}
	in.failedAt = 0
}

// recordFailure records a failed store call, and the start of an outage if there is none.
func (in *Intake) recordFailure(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.cl.Now()
	if in.failedAt == 0 {
		in.outageStart = now
		in.log.Warn().Err(err).Msg("storeUnreachable")
	}
	in.failedAt = now
}

// unavailable returns an error of the kind StoreUnavailable that states that nothing was run.
func (in *Intake) unavailable(format string, args ...any) error {
	return problem.New(problem.StoreUnavailable, format, args...).WithOutcome(problem.NotRun).WithRetryAfter(in.retryAfter())
}

// retryAfter returns the retry delay for callers. It is the time since the outage began, on the
// assumption that an outage lasts as long again as it has lasted so far.
func (in *Intake) retryAfter() clock.Millis {
	in.mu.Lock()
	defer in.mu.Unlock()
	return min(max(in.cl.Now()-in.outageStart, minRetryAfter), maxRetryAfter)
}

// inOutage reports whether the store failed within the last outageBackoff, so that calling it
// now would probably fail too.
func (in *Intake) inOutage() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.failedAt > 0 && in.cl.Now()-in.failedAt < outageBackoff
}
