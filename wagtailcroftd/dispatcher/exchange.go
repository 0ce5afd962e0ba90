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

// NotStartedError reports that the runner certainly did not start the work.
type NotStartedError struct{ Cause error }

// Error describes the cause.
func (ns *NotStartedError) Error() string {
	return "the runner did not start the work: " + ns.Cause.Error()
}

// Unwrap returns the cause.
func (ns *NotStartedError) Unwrap() error { return ns.Cause }

// exchange acquires a runner slot, claims the key of a non-idempotent request, and runs the
// request.
func (di *Dispatcher) exchange(ctx context.Context, re Request) (Answer, error) {
	ru, err := di.acquireSlot(ctx, re, "")
	if err != nil {
		return Answer{}, err
	}
	if re.Idempotent {
		return di.runIdempotent(ctx, re, ru)
	}
	claim, prior, err := di.Claims.Claim(ctx, claimOf(re))
	if err != nil || prior != nil {
		di.Router.Release(ru.ID, router.Refused, di.Clock.Now())
		return di.answerUnclaimed(ctx, re, prior, err)
	}
	return di.runClaimed(ctx, re, claim, ru)
}

// answerUnclaimed answers a request whose key this call could not claim.
func (di *Dispatcher) answerUnclaimed(ctx context.Context, re Request, prior *claimer.PriorRequest, err error) (Answer, error) {
	if err == nil {
		return di.awaitPrior(ctx, re, *prior)
	}
	er := problem.From(err)
	if er.Kind == problem.StoreUnavailable {
		return Answer{}, er.WithOutcome(problem.NotRun)
	}
	return Answer{}, er
}

// awaitPrior waits until the deadline for the outcome of another call with the same key.
func (di *Dispatcher) awaitPrior(ctx context.Context, re Request, prior claimer.PriorRequest) (Answer, error) {
	for prior.State == rows.ClaimRowStateClaimed && di.Clock.Now()+priorPollInterval < re.Deadline {
		clock.Sleep(ctx, di.Clock, priorPollInterval)
		newer, err := di.Claims.Lookup(ctx, claimOf(re))
		if err != nil || newer == nil {
			break
		}
		prior = *newer
	}
	return priorAnswer(prior)
}

// acquireSlot waits until the deadline for a runner with a free slot. Its errors are of the
// kinds DeadlineTooShort and NoRunner, both of which mean that the request was not run.
func (di *Dispatcher) acquireSlot(ctx context.Context, re Request, avoid identifier.Target) (router.Runner, error) {
	for {
		now := di.Clock.Now()
		if now >= re.Deadline {
			return router.Runner{}, problem.New(problem.DeadlineTooShort, "no runner slot became free before the deadline")
		}
		ru, found, freed := di.Router.Pick(now, avoid)
		if found {
			return ru, nil
		}
		if di.Router.UsableCount(now) == 0 && di.Router.NextRetry(now) == 0 {
			return router.Runner{}, problem.New(problem.NoRunner, "every runner of the zone is draining or gone").WithRetryAfter(refusalRetryAfter)
		}
		di.waitForSlot(ctx, re, freed)
	}
}

func (di *Dispatcher) waitForSlot(ctx context.Context, re Request, freed <-chan struct{}) {
	now := di.Clock.Now()
	wait := re.Deadline - now
	if next := di.Router.NextRetry(now); next != 0 {
		wait = min(wait, next-now)
	}
	select {
	case <-freed:
	case <-di.Clock.After(wait):
	case <-ctx.Done():
	}
}

// runIdempotent retries on other runners until the deadline, within the retry budget.
func (di *Dispatcher) runIdempotent(ctx context.Context, re Request, ru router.Runner) (Answer, error) {
	di.Budget.Deposit()
	mayHaveRun := false
	for {
		answer, err := di.run(ctx, re, ru, re.Deadline)
		if err == nil {
			return answerOrError(answer)
		}
		mayHaveRun = mayHaveRun || !notStarted(err)
		next, retryErr := di.retry(ctx, re, ru)
		if retryErr == nil {
			ru = next
			continue
		}
		if mayHaveRun {
			return Answer{}, problem.New(problem.OutcomeUnknown, "%v", err)
		}
		return Answer{}, problem.New(problem.NoRunner, "%v", err).WithRetryAfter(refusalRetryAfter)
	}
}

// runClaimed runs a request whose key is claimed. It retries on another runner only if the
// previous one certainly did not start the work.
func (di *Dispatcher) runClaimed(ctx context.Context, re Request, claim *claimer.Claim, ru router.Runner) (Answer, error) {
	di.Budget.Deposit()
	if di.Clock.Now() >= re.Deadline {
		di.Router.Release(ru.ID, router.Refused, di.Clock.Now())
		return di.refuseClaimed(ctx, claim, problem.New(problem.DeadlineTooShort, "the deadline passed while the key was being claimed"))
	}
	for {
		answer, err := di.run(ctx, re, ru, re.Deadline+lateWindow)
		if err == nil {
			return di.recordOutcome(ctx, claim, answer)
		}
		if !notStarted(err) {
			return Answer{}, problem.New(problem.OutcomeUnknown, "%v", err)
		}
		next, retryErr := di.retry(ctx, re, ru)
		if retryErr != nil {
			return di.refuseClaimed(ctx, claim, problem.New(problem.NoRunner, "%v", err).WithRetryAfter(refusalRetryAfter))
		}
		ru = next
	}
}

// recordOutcome records the final outcome in the store before it is returned to the caller.
func (di *Dispatcher) recordOutcome(ctx context.Context, claim *claimer.Claim, answer Answer) (Answer, error) {
	if answer.Failed {
		di.Claims.RecordOutcome(ctx, claim, rows.ClaimRowStateFailed, "", answer.Payload)
	} else {
		di.Claims.RecordOutcome(ctx, claim, rows.ClaimRowStateDone, answer.Payload, "")
	}
	return answerOrError(answer)
}

func (di *Dispatcher) refuseClaimed(ctx context.Context, claim *claimer.Claim, refusal error) (Answer, error) {
	di.Claims.RecordOutcome(ctx, claim, rows.ClaimRowStateNotRun, "", refusal.Error())
	return Answer{}, refusal
}

func answerOrError(answer Answer) (Answer, error) {
	if answer.Failed {
		return Answer{}, problem.New(problem.RunnerFailed, "%s", answer.Payload)
	}
	return answer, nil
}

// retry acquires a slot of another runner, if the retry budget and the deadline allow it.
func (di *Dispatcher) retry(ctx context.Context, re Request, last router.Runner) (router.Runner, error) {
	if !di.Budget.Withdraw() {
		return router.Runner{}, problem.New(problem.NoRunner, "the retry budget is exhausted")
	}
	return di.acquireSlot(ctx, re, last.ID)
}

// run makes one call to a runner, releases its slot and reports the result to the router.
func (di *Dispatcher) run(ctx context.Context, re Request, ru router.Runner, until clock.Millis) (Answer, error) {
	ctx, cancel := di.Clock.WithTimeout(ctx, until-di.Clock.Now())
	defer cancel()
	ctx, end := di.Tracer.Start(ctx, "runner.run")
	answer, err := di.Runners.Run(ctx, ru.Address, RunnerRequest{
		ID:        re.ID,
		Workspace: re.Workspace,
		Key:       re.Key,
		Kind:      re.Kind,
		Payload:   re.Payload,
	})
	end(err)
	di.Router.Release(ru.ID, resultOf(err), di.Clock.Now())
	if err != nil {
		di.Log.Warn().Str("request", string(re.ID)).Str("runner", string(ru.ID)).Err(err).Msg("runnerCallFailed")
	}
	return answer, err
}
