package injector

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// sendRequests sends requests that must run at most once. It sends each to its own instance
// first, and again to the following instances while the outcome is unknown.
func (ij *Injector) sendRequests(ctx context.Context, number, sender int) {
	for i := 0; ctx.Err() == nil; i++ {
		key := identifier.Key(fmt.Sprintf("key-%d-%d-%d", number, sender, i))
		outcome := noAnswer
		for try := range maxTries {
			outcome = ij.call(context.WithoutCancel(ctx), (number+try)%len(ij.options.Instances), key, try == 0)
			if outcome != noAnswer && outcome != unknown {
				break
			}
		}
		ij.mu.Lock()
		ij.keys[key] = outcome
		ij.mu.Unlock()
		ij.sleep(ctx, requestInterval)
	}
}

// call sends one request with a key and returns the answer. A response with a wrong payload
// counts as no answer.
func (ij *Injector) call(ctx context.Context, number int, key identifier.Key, first bool) answer {
	client, err := ij.caller(number)
	if err != nil {
		return noAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, (2 * requestTimeout).Duration())
	defer cancel()
	an, err := client.SendRequestWithResponse(ctx, caller.RequestBody{
		Key:           key,
		Kind:          caller.RequestBodyKindSignUp,
		Class:         types.ClassNormal,
		FirstAttempt:  first,
		TimeoutMillis: requestTimeout,
		Payload:       string(key),
	})
	if err != nil {
		ij.countCutOff(number, err)
		return noAnswer
	}
	if an.JSON200 != nil {
		if an.JSON200.Payload != "answer to "+string(key) {
			return noAnswer
		}
		return done
	}
	if an.ApplicationProblemJSONDefault == nil {
		return noAnswer
	}
	switch an.ApplicationProblemJSONDefault.Outcome {
	case types.OutcomeNotRun:
		return notRun
	case types.OutcomeFailed:
		return failed
	case types.OutcomeUnknown:
		return unknown
	default:
		return noAnswer
	}
}

// countCutOff counts a call that failed during the graceful stop of its instance. It does not
// count refused connections, because those calls were never accepted.
func (ij *Injector) countCutOff(number int, err error) {
	var op *net.OpError
	if eris.As(err, &op) && op.Op == "dial" {
		return
	}
	ij.mu.Lock()
	defer ij.mu.Unlock()
	if ij.stopping == ij.options.Instances[number].Name {
		ij.cutOff++
	}
}

// submitJobs submits a gang job every second, to the first instance that accepts it.
func (ij *Injector) submitJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		body := caller.JobBody{
			Key:            identifier.Key(fmt.Sprintf("gang-%d", i)),
			Kind:           caller.JobBodyKindPracticeSet,
			Class:          types.ClassNormal,
			Zone:           ij.options.Instances[i%len(ij.options.Instances)].Zone,
			Shape:          types.Shape{Members: 4, Accelerators: 8, Adjacency: types.AdjacencyRack},
			ExpectedMillis: 2 * clock.Second,
			Payload:        `{"runMillis":1500}`,
		}
		for try := range len(ij.options.Instances) {
			if id, ok := ij.submit(ctx, (i+try)%len(ij.options.Instances), body); ok {
				ij.mu.Lock()
				ij.jobs = append(ij.jobs, id)
				ij.mu.Unlock()
				break
			}
		}
		ij.sleep(ctx, time.Second)
	}
}

// submit submits a job to an instance and reports whether it was accepted.
func (ij *Injector) submit(ctx context.Context, number int, body caller.JobBody) (identifier.Job, bool) {
	client, err := ij.caller(number)
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	an, err := client.SubmitJobWithResponse(ctx, body)
	if err != nil || an.JSON202 == nil {
		return "", false
	}
	return an.JSON202.JobID, true
}
