// Package dispatcher takes a request from its caller to a runner and the whole answer
// back. One call owns each exchange with a runner from its start to its end.
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
	// lateWindow is how long after its deadline the answer to a non-idempotent request is
	// still waited for, so that the truth can be told to a later call.
	lateWindow = 20 * clock.Second
	// priorPoll is the time between two looks at another call's claim.
	priorPoll = 250 * clock.Millis(1)

	// mostCertified bounds the refusals that are made certain at one time, so that an
	// overload does not become one of the store.
	mostCertified = 16

	// answerGrace is how long after its deadline a request may still learn its result,
	// so that one that was not run is not reported as unknown.
	answerGrace = 100 * clock.Millis(1)

	refusedRetry = clock.Second
)

// States of an exchange. Whoever moves it out of waiting decides.
const (
	waiting int32 = iota
	serving
	abandoned
)

type (
	// Options are what a dispatcher is made from.
	Options struct {
		Clock   clock.Clock
		Log     zerolog.Logger
		Tracer  *tracer.Tracer
		Pool    *pool.Pool
		Admit   *admitter.Admitter
		Router  *router.Router
		Budget  *retrier.Budget
		Claims  *claimer.Claimer
		Runners Runners
	}

	// Runners sends one call to a runner.
	Runners interface {
		// Run returns the whole answer. NotStartedError means that the runner started
		// nothing; after any other it may have.
		Run(ctx context.Context, address string, call Call) (Answer, error)
	}

	// Request is what a caller asks for.
	Request struct {
		ID         identifier.Request
		Workspace  identifier.Workspace
		Key        identifier.Key
		Kind       string
		Urgent     bool
		Idempotent bool
		// FirstAttempt means that the caller has never sent the key before.
		FirstAttempt bool
		// Deadline is the moment after which the answer is of no use.
		Deadline clock.Millis
		Payload  string
	}

	// Call is what a runner is sent.
	Call struct {
		ID        identifier.Request
		Workspace identifier.Workspace
		Key       identifier.Key
		Kind      string
		Payload   string
	}

	// Answer is the whole answer to a request.
	Answer struct {
		Payload string
		// Failed means that the work was started and failed.
		Failed bool
		// Replayed means that an earlier call with the same key brought the answer.
		Replayed bool
	}

	// Dispatcher serves requests with a pool of workers.
	Dispatcher struct {
		Options
		// certifying holds one entry for each refusal that is being made certain.
		certifying chan struct{}
	}

	// exchange is one request on its way.
	exchange struct {
		request Request
		state   atomic.Int32
		// done receives the result once; it has room for it, so that no one waits.
		done chan result
	}

	result struct {
		answer Answer
		err    error
	}
)

// New returns a dispatcher.
func New(op Options) *Dispatcher {
	return &Dispatcher{Options: op, certifying: make(chan struct{}, mostCertified)}
}

// Send serves a request. Its errors say truthfully whether the request was run: NotRun
// only if that is certain and stays so, Failed if it was started and failed, Unknown
// otherwise.
func (di *Dispatcher) Send(ctx context.Context, re Request, li admitter.Limits) (Answer, error) {
	answer, err := di.admit(ctx, re, li)
	if err == nil || re.Idempotent || problem.From(err).Outcome != problem.NotRun {
		return answer, err
	}
	return di.certify(ctx, re, problem.From(err))
}

// admit serves the request within the limits.
func (di *Dispatcher) admit(ctx context.Context, re Request, li admitter.Limits) (Answer, error) {
	now := di.Clock.Now()
	if err := di.Admit.Enter(admitter.Call{Workspace: re.Workspace, Urgent: re.Urgent, Deadline: re.Deadline}, li, now); err != nil {
		return Answer{}, err
	}
	ex := &exchange{request: re, done: make(chan result, 1)}
	if err := di.Pool.Submit(re.Urgent, func() { di.serve(ctx, ex) }); err != nil {
		di.Admit.Leave(re.Workspace, 0)
		return Answer{}, poolProblem(err)
	}
	return di.await(ctx, ex)
}

func poolProblem(err error) error {
	if eris.Is(err, pool.ErrClosed) {
		return problem.New(problem.Stopping, "%v", err)
	}
	return problem.New(problem.QueueFull, "%v", err).Retry(refusedRetry)
}

// await waits for the result until the deadline or until the caller leaves. A request that
// no worker has taken by then is withdrawn and was not run.
func (di *Dispatcher) await(ctx context.Context, ex *exchange) (Answer, error) {
	select {
	case re := <-ex.done:
		return re.answer, re.err
	case <-di.Clock.After(ex.request.Deadline + answerGrace - di.Clock.Now()):
	case <-ctx.Done():
	}
	if ex.state.CompareAndSwap(waiting, abandoned) {
		return Answer{}, problem.New(problem.DeadlineTooShort, "the request was still in the queue")
	}
	select {
	case re := <-ex.done:
		return re.answer, re.err
	default:
		return Answer{}, problem.New(problem.OutcomeUnknown, "no answer came in time")
	}
}

// serve runs on a worker of the pool.
func (di *Dispatcher) serve(ctx context.Context, ex *exchange) {
	started := di.Clock.Now()
	if !ex.state.CompareAndSwap(waiting, serving) {
		di.Admit.Leave(ex.request.Workspace, 0)
		return
	}
	// The exchange goes on when the caller leaves, so that the outcome becomes known.
	answer, err := di.exchange(context.WithoutCancel(ctx), ex.request)
	ex.done <- result{answer: answer, err: err}
	di.Admit.Leave(ex.request.Workspace, di.Clock.Now()-started)
}

// certify makes a refusal certain: it excludes the key for good, or finds out what an
// earlier call with it has come to. Where the store cannot tell, only a caller who has
// never sent the key can be told that it was not run.
func (di *Dispatcher) certify(ctx context.Context, re Request, refusal *problem.Error) (Answer, error) {
	if re.FirstAttempt || refusal.Kind == problem.AlreadyRefused {
		return Answer{}, refusal
	}
	select {
	case di.certifying <- struct{}{}:
		defer func() { <-di.certifying }()
	default:
		return Answer{}, problem.New(problem.OutcomeUnknown, "%s; and too many refusals are being made certain", refusal.Detail).Retry(refusedRetry)
	}
	prior, err := di.Claims.Refuse(context.WithoutCancel(ctx), claimOf(re))
	switch {
	case problem.KindOf(err) == problem.KeyReused:
		return Answer{}, err
	case err != nil:
		return Answer{}, problem.New(problem.OutcomeUnknown, "%s; and the store cannot tell of earlier calls with the key", refusal.Detail).Retry(refusal.RetryAfter)
	case prior == nil:
		return Answer{}, refusal
	}
	return fromPrior(*prior)
}

// fromPrior answers as an earlier call with the same key has been, or will be.
func fromPrior(pr claimer.Prior) (Answer, error) {
	switch pr.State {
	case rows.ClaimRowStateDone:
		return Answer{Payload: pr.Payload, Replayed: true}, nil
	case rows.ClaimRowStateFailed:
		return Answer{}, problem.New(problem.RunnerFailed, "%s", pr.Reason)
	case rows.ClaimRowStateNotRun:
		return Answer{}, problem.New(problem.AlreadyRefused, "an earlier call with the key")
	default:
		return Answer{}, problem.New(problem.OutcomeUnknown, "an earlier call with the key may be running").Retry(refusedRetry)
	}
}

// claimOf names the claim of a request. Everything that makes it the same request is part
// of the digest.
func claimOf(re Request) claimer.Request {
	return claimer.Request{Workspace: re.Workspace, Key: re.Key, Digest: identifier.Digest(re.Kind + "\n" + re.Payload)}
}
