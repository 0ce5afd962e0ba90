package dispatcher

import (
	"context"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/router"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/claimer"
)

// NotStartedError is an error after which it is certain that the runner started nothing.
type NotStartedError struct{ Cause error }

// Error tells the cause.
func (ns *NotStartedError) Error() string { return "the runner started nothing: " + ns.Cause.Error() }

// Unwrap returns the cause.
func (ns *NotStartedError) Unwrap() error { return ns.Cause }

// exchange takes a slot, makes the claim if one is needed, and runs the request.
func (di *Dispatcher) exchange(ctx context.Context, re Request) (Answer, error) {
	ru, err := di.slot(ctx, re, "")
	if err != nil {
		return Answer{}, err
	}
	if re.Idempotent {
		return di.runIdempotent(ctx, re, ru)
	}
	claim, prior, err := di.Claims.Claim(ctx, claimOf(re))
	if err != nil || prior != nil {
		di.Router.Done(ru.ID, router.Refused, di.Clock.Now())
		return di.unclaimed(ctx, re, prior, err)
	}
	return di.runClaimed(ctx, re, claim, ru)
}

// unclaimed answers a request that this call may not dispatch.
func (di *Dispatcher) unclaimed(ctx context.Context, re Request, prior *claimer.Prior, err error) (Answer, error) {
	if err == nil {
		return di.followPrior(ctx, re, *prior)
	}
	er := problem.From(err)
	if er.Kind == problem.StoreUnavailable {
		return Answer{}, er.Say(problem.NotRun)
	}
	return Answer{}, er
}

// followPrior waits until the deadline for the outcome of another call with the same key.
func (di *Dispatcher) followPrior(ctx context.Context, re Request, prior claimer.Prior) (Answer, error) {
	for prior.State == rows.ClaimRowStateClaimed && di.Clock.Now()+priorPoll < re.Deadline {
		clock.Sleep(ctx, di.Clock, priorPoll)
		newer, err := di.Claims.Look(ctx, claimOf(re))
		if err != nil || newer == nil {
			break
		}
		prior = *newer
	}
	return fromPrior(prior)
}

// slot waits until the deadline for a runner with a free slot. It returns an error of the
// kinds DeadlineTooShort and NoRunner, both of which mean that nothing was run.
func (di *Dispatcher) slot(ctx context.Context, re Request, avoid identifier.Target) (router.Runner, error) {
	for {
		now := di.Clock.Now()
		if now >= re.Deadline {
			return router.Runner{}, problem.New(problem.DeadlineTooShort, "no slot became free in time")
		}
		ru, found, freed := di.Router.Pick(now, avoid)
		if found {
			return ru, nil
		}
		if di.Router.Usable(now) == 0 && di.Router.NextOpen(now) == 0 {
			return router.Runner{}, problem.New(problem.NoRunner, "every runner of the zone is leaving or gone").Retry(refusedRetry)
		}
		di.waitForSlot(ctx, re, freed)
	}
}

func (di *Dispatcher) waitForSlot(ctx context.Context, re Request, freed <-chan struct{}) {
	now := di.Clock.Now()
	wait := re.Deadline - now
	if next := di.Router.NextOpen(now); next != 0 {
		wait = min(wait, next-now)
	}
	select {
	case <-freed:
	case <-di.Clock.After(wait):
	case <-ctx.Done():
	}
}

// runIdempotent tries runners until the deadline, within the budget for retries.
func (di *Dispatcher) runIdempotent(ctx context.Context, re Request, ru router.Runner) (Answer, error) {
	di.Budget.Called()
	mayHaveRun := false
	for {
		answer, err := di.run(ctx, re, ru, re.Deadline)
		if err == nil {
			return finish(answer)
		}
		mayHaveRun = mayHaveRun || !notStarted(err)
		next, again := di.retry(ctx, re, ru)
		if again == nil {
			ru = next
			continue
		}
		if mayHaveRun {
			return Answer{}, problem.New(problem.OutcomeUnknown, "%v", err)
		}
		return Answer{}, problem.New(problem.NoRunner, "%v", err).Retry(refusedRetry)
	}
}

// runClaimed dispatches under the claim. Only a runner that started nothing is followed
// by another.
func (di *Dispatcher) runClaimed(ctx context.Context, re Request, claim *claimer.Claim, ru router.Runner) (Answer, error) {
	di.Budget.Called()
	if di.Clock.Now() >= re.Deadline {
		di.Router.Done(ru.ID, router.Refused, di.Clock.Now())
		return di.refuseClaimed(ctx, claim, problem.New(problem.DeadlineTooShort, "the claim took too long"))
	}
	for {
		answer, err := di.run(ctx, re, ru, re.Deadline+lateWindow)
		if err == nil {
			return di.settle(ctx, claim, answer)
		}
		if !notStarted(err) {
			return Answer{}, problem.New(problem.OutcomeUnknown, "%v", err)
		}
		next, again := di.retry(ctx, re, ru)
		if again != nil {
			return di.refuseClaimed(ctx, claim, problem.New(problem.NoRunner, "%v", err).Retry(refusedRetry))
		}
		ru = next
	}
}

// settle records the outcome before it is told.
func (di *Dispatcher) settle(ctx context.Context, claim *claimer.Claim, answer Answer) (Answer, error) {
	if answer.Failed {
		di.Claims.Settle(ctx, claim, rows.ClaimRowStateFailed, "", answer.Payload)
	} else {
		di.Claims.Settle(ctx, claim, rows.ClaimRowStateDone, answer.Payload, "")
	}
	return finish(answer)
}

func (di *Dispatcher) refuseClaimed(ctx context.Context, claim *claimer.Claim, refusal error) (Answer, error) {
	di.Claims.Settle(ctx, claim, rows.ClaimRowStateNotRun, "", refusal.Error())
	return Answer{}, refusal
}

func finish(answer Answer) (Answer, error) {
	if answer.Failed {
		return Answer{}, problem.New(problem.RunnerFailed, "%s", answer.Payload)
	}
	return answer, nil
}

// retry takes a slot of another runner, if the budget and the deadline allow it.
func (di *Dispatcher) retry(ctx context.Context, re Request, last router.Runner) (router.Runner, error) {
	if !di.Budget.Allow() {
		return router.Runner{}, problem.New(problem.NoRunner, "the budget for retries is used up")
	}
	return di.slot(ctx, re, last.ID)
}

// run makes one call to a runner, gives its slot back and tells the router how it went.
func (di *Dispatcher) run(ctx context.Context, re Request, ru router.Runner, until clock.Millis) (Answer, error) {
	ctx, cancel := di.Clock.Bound(ctx, until-di.Clock.Now())
	defer cancel()
	ctx, end := di.Tracer.Start(ctx, "runner.run")
	answer, err := di.Runners.Run(ctx, ru.Address, Call{
		ID:        re.ID,
		Workspace: re.Workspace,
		Key:       re.Key,
		Kind:      re.Kind,
		Payload:   re.Payload,
	})
	end(err)
	di.Router.Done(ru.ID, resultOf(err), di.Clock.Now())
	if err != nil {
		di.Log.Warn().Str("request", string(re.ID)).Str("runner", string(ru.ID)).Err(err).Msg("runnerProblem")
	}
	return answer, err
}
