// Package dispatcher forwards requests from callers to runners and returns the complete
// answers. A single worker handles each exchange with a runner from start to end.
package dispatcher

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/admitter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/pool"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/retrier"
	"github.com/wagtailcroft/wagtailcroft/shared/router"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/claimer"
)

const (
	// lateWindow is how long after its deadline a non-idempotent request still waits for
	// the runner's answer, so that a later call with the same key gets its final outcome.
	lateWindow = 20 * clock.Second
	// priorPollInterval is the time between two reads of another call's claim.
	priorPollInterval = 250 * clock.Millis(1)

	// maxConcurrentRefusals bounds the refusals that are recorded in the store at a time,
	// so that an overload of this instance does not overload the store too.
	maxConcurrentRefusals = 16

	// answerGrace is how long after the deadline the caller still waits for the result, so
	// that a request that was not run is not reported as unknown.
	answerGrace = 100 * clock.Millis(1)

	refusalRetryAfter = clock.Second
)

// States of an exchange. The worker and the caller compete to move it out of waiting, and
// the first one decides whether the request is served or abandoned.
const (
	waiting int32 = iota
	serving
	abandoned
)

type (
	// Options holds the dependencies of a Dispatcher.
	Options struct {
		Clock    clock.Clock
		Log      zerolog.Logger
		Tracer   *tracer.Tracer
		Pool     *pool.Pool
		Admitter *admitter.Admitter
		Router   *router.Router
		Budget   *retrier.Budget
		Claims   *claimer.Claimer
		Runners  Runners
	}

	// Runners sends one call to a runner.
	Runners interface {
		// Run returns the complete answer. A NotStartedError means that the runner did not
		// start the work; after any other error it may have.
		Run(ctx context.Context, address string, rr RunnerRequest) (Answer, error)
	}

	// Request is a request of a caller.
	Request struct {
		ID         identifier.Request
		Workspace  identifier.Workspace
		Key        identifier.Key
		Kind       string
		Urgent     bool
		Idempotent bool
		// FirstAttempt means that the caller has never sent the key before.
		FirstAttempt bool
		// Deadline is the time after which the caller has no use for the answer.
		Deadline clock.Millis
		Payload  string
	}

	// RunnerRequest is the message sent to a runner.
	RunnerRequest struct {
		ID        identifier.Request
		Workspace identifier.Workspace
		Key       identifier.Key
		Kind      string
		Payload   string
	}

	// Answer is the complete answer to a request.
	Answer struct {
		Payload string
		// Failed means that the work was started and failed.
		Failed bool
		// Replayed means that the answer is the stored one of an earlier call with the same key.
		Replayed bool
	}

	// Dispatcher serves requests on a pool of workers.
	Dispatcher struct {
		Options
		// refusalSlots is a semaphore: one entry for each refusal that is being recorded.
		refusalSlots chan struct{}
	}

	// exchange is the state of one request in flight.
	exchange struct {
		request Request
		state   atomic.Int32
		// done receives the result once. It is buffered so that the worker never blocks.
		done chan result
	}

	result struct {
		answer Answer
		err    error
	}
)

// New returns a dispatcher.
func New(op Options) *Dispatcher {
	return &Dispatcher{Options: op, refusalSlots: make(chan struct{}, maxConcurrentRefusals)}
}

// Send serves a request. The outcome of its errors tells whether the request was run:
// NotRun only if neither this call nor an earlier one has run the request or can still run
// it, Failed if it was started and failed, Unknown otherwise.
func (di *Dispatcher) Send(ctx context.Context, re Request, li admitter.Limits) (Answer, error) {
	answer, err := di.admit(ctx, re, li)
	if err == nil || re.Idempotent || problem.From(err).Outcome != problem.NotRun {
		return answer, err
	}
	return di.recordRefusal(ctx, re, problem.From(err))
}

// admit queues the request if the limits allow it, and waits for its result.
func (di *Dispatcher) admit(ctx context.Context, re Request, li admitter.Limits) (Answer, error) {
	now := di.Clock.Now()
	if err := di.Admitter.Admit(admitter.Request{Workspace: re.Workspace, Urgent: re.Urgent, Deadline: re.Deadline}, li, now); err != nil {
		return Answer{}, err
	}
	ex := &exchange{request: re, done: make(chan result, 1)}
	if err := di.Pool.Submit(re.Urgent, func() { di.serve(ctx, ex) }); err != nil {
		di.Admitter.Release(re.Workspace, 0)
		return Answer{}, poolError(err)
	}
	return di.await(ctx, ex)
}

func poolError(err error) error {
	if eris.Is(err, pool.ErrClosed) {
		return problem.New(problem.Stopping, "%v", err)
	}
	return problem.New(problem.QueueFull, "%v", err).WithRetryAfter(refusalRetryAfter)
}

// await waits for the result until the deadline has passed or the caller disconnects. A
// request that no worker has taken by then is abandoned and was not run.
func (di *Dispatcher) await(ctx context.Context, ex *exchange) (Answer, error) {
	select {
	case re := <-ex.done:
		return re.answer, re.err
	case <-di.Clock.After(ex.request.Deadline + answerGrace - di.Clock.Now()):
	case <-ctx.Done():
	}
	if ex.state.CompareAndSwap(waiting, abandoned) {
		return Answer{}, problem.New(problem.DeadlineTooShort, "the request was still queued at its deadline")
	}
	select {
	case re := <-ex.done:
		return re.answer, re.err
	default:
		return Answer{}, problem.New(problem.OutcomeUnknown, "no answer arrived before the deadline")
	}
}

// serve handles an exchange on a worker of the pool.
func (di *Dispatcher) serve(ctx context.Context, ex *exchange) {
	started := di.Clock.Now()
	if !ex.state.CompareAndSwap(waiting, serving) {
		di.Admitter.Release(ex.request.Workspace, 0)
		return
	}
	// The exchange continues after the caller disconnects, so that its outcome is recorded.
	answer, err := di.exchange(context.WithoutCancel(ctx), ex.request)
	ex.done <- result{answer: answer, err: err}
	di.Admitter.Release(ex.request.Workspace, di.Clock.Now()-started)
}

// recordRefusal makes a refusal final by recording it in the store, so that no later call
// can run the key. If an earlier call has claimed the key, it returns that call's outcome
// instead. When the store is not available, NotRun is reported only to a caller that has
// never sent the key before.
func (di *Dispatcher) recordRefusal(ctx context.Context, re Request, refusal *problem.Error) (Answer, error) {
	if re.FirstAttempt || refusal.Kind == problem.AlreadyRefused {
		return Answer{}, refusal
	}
	select {
	case di.refusalSlots <- struct{}{}:
		defer func() { <-di.refusalSlots }()
	default:
		return Answer{}, problem.New(problem.OutcomeUnknown, "%s; and too many refusals are already being recorded", refusal.Detail).WithRetryAfter(refusalRetryAfter)
	}
	prior, err := di.Claims.Refuse(context.WithoutCancel(ctx), claimOf(re))
	switch {
	case problem.KindOf(err) == problem.KeyReused:
		return Answer{}, err
	case err != nil:
		return Answer{}, problem.New(problem.OutcomeUnknown, "%s; and checking the store for earlier calls with the key failed", refusal.Detail).WithRetryAfter(refusal.RetryAfter)
	case prior == nil:
		return Answer{}, refusal
	}
	return priorAnswer(*prior)
}

// priorAnswer returns the outcome of an earlier call with the same key.
func priorAnswer(pr claimer.PriorRequest) (Answer, error) {
	switch pr.State {
	case rows.ClaimRowStateDone:
		return Answer{Payload: pr.Payload, Replayed: true}, nil
	case rows.ClaimRowStateFailed:
		return Answer{}, problem.New(problem.RunnerFailed, "%s", pr.Reason)
	case rows.ClaimRowStateNotRun:
		return Answer{}, problem.New(problem.AlreadyRefused, "an earlier call with the same key was refused")
	default:
		return Answer{}, problem.New(problem.OutcomeUnknown, "an earlier call with the same key may still be running").WithRetryAfter(refusalRetryAfter)
	}
}

// claimOf returns the claim of a request. The digest covers the kind and the payload, so
// that a key reused for a different request is detected.
func claimOf(re Request) claimer.Request {
	return claimer.Request{Workspace: re.Workspace, Key: re.Key, Digest: identifier.Digest(re.Kind + "\n" + re.Payload)}
}
