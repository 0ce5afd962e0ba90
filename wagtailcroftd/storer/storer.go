// Package storer calls the platform's table service and object store. It bounds every
// call in time, resolves lost answers by reading back, and leaves a store that does not
// answer alone for a while.
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

	commitTries  = 3
	failuresOpen = 2 // failures in a row after which calls are refused at once
	firstPause   = 200 * clock.Millis(1)
	longestPause = 2 * clock.Second
)

type (
	// Options are what a store is made from.
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
		// failures counts calls in a row that got no answer, guarded by mu.
		failures int
		// pausedUntil is when the next call is let through, guarded by mu.
		pausedUntil clock.Millis
		// seen is the newest store version in any answer, guarded by mu; it only rises.
		seen meter.RowVersion
	}

	// answer is what the generated responses have in common.
	answer interface{ StatusCode() int }
)

// New returns a client; it calls nothing yet.
func New(op Options) (*Store, error) {
	st := &Store{
		options: op,
		backoff: retrier.Backoff{Random: op.Random, First: firstPause, Most: longestPause},
		mu:      locker.New(locker.RankStore),
	}
	client, err := platform.NewClientWithResponses(op.URL,
		platform.WithHTTPClient(op.Doer),
		platform.WithRequestEditorFn(st.identify),
		platform.WithRequestEditorFn(op.Tracer.Inject))
	if err != nil {
		return nil, eris.Wrap(err, "the platform URL is not valid")
	}
	st.client = client
	return st, nil
}

func (st *Store) identify(_ context.Context, req *http.Request) error {
	req.Header.Set("User-Agent", "") // counts against the bytes that control may cost
	req.Header.Set(zoneHeader, string(st.options.Zone))
	req.Header.Set(instanceHeader, string(st.options.Instance))
	return nil
}

// call makes one call under the timeout. An error is of the kind StoreUnavailable.
func call[A answer](ctx context.Context, st *Store, hop string, fn func(context.Context) (A, error)) (A, error) {
	var none A
	if wait := st.paused(); wait > 0 {
		return none, problem.New(problem.StoreUnavailable, "the store has not answered; it is left alone").Retry(wait)
	}
	caller := ctx
	ctx, cancel := st.options.Clock.Bound(ctx, st.options.Timeout)
	defer cancel()
	ctx, end := st.options.Tracer.Start(ctx, hop)
	an, err := fn(ctx)
	if err == nil && an.StatusCode() >= http.StatusInternalServerError {
		err = eris.Errorf("the store answered %d", an.StatusCode())
	}
	end(err)
	if err != nil && caller.Err() != nil {
		// The caller has left, which says nothing of the store.
		return none, problem.New(problem.StoreUnavailable, "%v", err)
	}
	if err != nil {
		return none, problem.New(problem.StoreUnavailable, "%v", err).Retry(st.failed())
	}
	st.answered()
	return an, nil
}

// paused is how long calls are still refused.
func (st *Store) paused() clock.Millis {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pausedUntil - st.options.Clock.Now()
}

func (st *Store) failed() clock.Millis {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.failures++
	wait := st.backoff.Wait(st.failures)
	if st.failures >= failuresOpen {
		st.pausedUntil = st.options.Clock.Now() + wait
	}
	return wait
}

func (st *Store) answered() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.failures, st.pausedUntil = 0, 0
}

// newest is the newest store version in any answer so far.
func (st *Store) newest() meter.RowVersion {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.seen
}

// fresh takes note of the store version of an answer. One that is older than what was the
// newest when the call was sent is stale and proves nothing: the error is of the kind
// StoreUnavailable.
func (st *Store) fresh(version, atSend meter.RowVersion) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if version < atSend {
		return problem.New(problem.StoreUnavailable, "the store answered as of version %d after version %d", version, atSend).Retry(firstPause)
	}
	st.seen = max(st.seen, version)
	return nil
}

// Available reports whether the last call was answered.
func (st *Store) Available() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.failures == 0
}
