// Package storer is the client of the platform's table service, object store, target inventory
// and task API. Every call has a timeout. If the response to a transaction is lost, the client
// reads back whether it was applied. After consecutive failures, a circuit breaker rejects calls
// without sending them until a backoff has passed.
package storer

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/retrier"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
)

const (
	zoneHeader     = "Wagtailcroft-Zone"
	instanceHeader = "Wagtailcroft-Instance"

	maxCommitAttempts = 3
	failureThreshold  = 2 // consecutive failures after which calls are rejected without being sent
	minBackoff        = 200 * clock.Millis(1)
	maxBackoff        = 2 * clock.Second
)

type (
	// Options configures a Store.
	Options struct {
		URL      string
		Doer     platform.HttpRequestDoer
		Clock    clock.Clock
		Tracer   *tracer.Tracer
		Instance identifier.Instance
		Zone     identifier.Zone
		// Timeout bounds one call.
		Timeout clock.Millis
		Random  retrier.Random
	}

	// Store is a client of the platform's services. It is safe for concurrent use.
	Store struct {
		options Options
		client  *platform.ClientWithResponses
		backoff retrier.Backoff

		mu locker.Mutex
		// failures counts consecutive failed calls, guarded by mu.
		failures int
		// pausedUntil is the time until which calls are rejected, guarded by mu.
		pausedUntil clock.Millis
		// newest is the newest store version in any response, guarded by mu; it never decreases.
		newest meter.RowVersion
	}

	// response is the common interface of the generated responses.
	response interface{ StatusCode() int }
)

// New returns a client. It makes no call.
func New(op Options) (*Store, error) {
	st := &Store{
		options: op,
		backoff: retrier.Backoff{Random: op.Random, Initial: minBackoff, Max: maxBackoff},
		mu:      locker.New(locker.RankStore),
	}
	client, err := platform.NewClientWithResponses(op.URL,
		platform.WithHTTPClient(op.Doer),
		platform.WithRequestEditorFn(st.identify),
		platform.WithRequestEditorFn(op.Tracer.Inject))
	if err != nil {
		return nil, eris.Wrap(err, "invalid platform URL")
	}
	st.client = client
	return st, nil
}

func (st *Store) identify(_ context.Context, req *http.Request) error {
	req.Header.Set("User-Agent", "") // header bytes count towards the limit on control traffic
	req.Header.Set(zoneHeader, string(st.options.Zone))
	req.Header.Set(instanceHeader, string(st.options.Instance))
	return nil
}

// call makes one call with the configured timeout, traced as the named span. An error is of the kind
// StoreUnavailable.
func call[A response](ctx context.Context, st *Store, span string, fn func(context.Context) (A, error)) (A, error) {
	var zero A
	if wait := st.remainingPause(); wait > 0 {
		return zero, problem.New(problem.StoreUnavailable, "call not sent: recent calls to the platform failed").WithRetryAfter(wait)
	}
	parent := ctx
	ctx, cancel := st.options.Clock.WithTimeout(ctx, st.options.Timeout)
	defer cancel()
	ctx, end := st.options.Tracer.Start(ctx, span)
	rsp, err := fn(ctx)
	if err == nil && rsp.StatusCode() >= http.StatusInternalServerError {
		err = eris.Errorf("platform returned HTTP status %d", rsp.StatusCode())
	}
	end(err)
	if err != nil && parent.Err() != nil {
		// The caller's context has ended, so the error says nothing about the platform.
		return zero, problem.New(problem.StoreUnavailable, "%v", err)
	}
	if err != nil {
		return zero, problem.New(problem.StoreUnavailable, "%v", err).WithRetryAfter(st.recordFailure())
	}
	st.recordSuccess()
	return rsp, nil
}

// remainingPause returns how much longer calls are rejected; zero or less means that they are sent.
func (st *Store) remainingPause() clock.Millis {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pausedUntil - st.options.Clock.Now()
}

func (st *Store) recordFailure() clock.Millis {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.failures++
	wait := st.backoff.Delay(st.failures)
	if st.failures >= failureThreshold {
		st.pausedUntil = st.options.Clock.Now() + wait
	}
	return wait
}

func (st *Store) recordSuccess() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.failures, st.pausedUntil = 0, 0
}

// newestVersion returns the newest store version in any response so far.
func (st *Store) newestVersion() meter.RowVersion {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.newest
}

// checkFresh records the store version of a response. A response that is older than the newest
// version known when the call was sent is stale and must not be used: the error is of the kind
// StoreUnavailable.
func (st *Store) checkFresh(version, atSend meter.RowVersion) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if version < atSend {
		return problem.New(problem.StoreUnavailable, "stale response from the table service: version %d is older than version %d, which was known when the call was sent", version, atSend).WithRetryAfter(minBackoff)
	}
	st.newest = max(st.newest, version)
	return nil
}

// Available reports whether the last call succeeded.
func (st *Store) Available() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.failures == 0
}
