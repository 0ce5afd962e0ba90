package launcher

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/runner"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
)

const maxWait = 30 * clock.Second

// launch starts instances in one zone with one runner, sets a row for the workspace studio,
// and waits until every instance can send requests to the runner.
func launch(t *testing.T, instances int) *Cluster {
	t.Helper()
	cl, err := Launch(Options{Deployment: platform.Thengola(), Zones: 1, InstancesPerZone: instances, RunnersPerZone: 1, Log: io.Discard, Seed: 1})
	asserter.NoError(t, err)
	t.Cleanup(cl.Close)
	client, err := cl.Operator(0)
	asserter.NoError(t, err)
	an, err := client.SetRowWithResponse(t.Context(), "studio", &operator.SetRowParams{}, operator.RowEdit{Cells: types.Cells{
		Weight:       1,
		Guarantees:   []types.Guarantee{},
		Limits:       types.Limits{Accelerators: 64, Requests: 64, UnconfirmedRequests: 8, QueuedJobs: 8},
		TokenDigests: []string{identifier.Digest("token")},
	}})
	asserter.NoError(t, err)
	asserter.Equal(t, an.StatusCode(), 200)
	waitUntil(t, func() bool {
		for _, da := range cl.Daemons {
			if da.Leases.Seats() == 0 || da.Table.Version() == 0 || da.Router.UsableCount(0) == 0 {
				return false
			}
		}
		return true
	})
	return cl
}

// waitUntil waits for a condition. The timeout is generous, so that only a test that hangs
// reaches it.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	cl := clock.New()
	for deadline := cl.Now() + maxWait; !done(); {
		if cl.Now() > deadline {
			t.Fatalf("timed out waiting for a condition")
		}
		clock.Sleep(context.Background(), cl, 10)
	}
}

func send(t *testing.T, cl *Cluster, number int, key string, idempotent bool) *caller.SendRequestResponse {
	t.Helper()
	return sendFor(t, cl, number, key, idempotent, maxWait)
}

func sendFor(t *testing.T, cl *Cluster, number int, key string, idempotent bool, timeout clock.Millis) *caller.SendRequestResponse {
	t.Helper()
	client, err := cl.Caller(number, "token")
	asserter.NoError(t, err)
	an, err := client.SendRequestWithResponse(t.Context(), caller.RequestBody{
		Key:           identifier.Key(key),
		Kind:          caller.RequestBodyKindSignUp,
		Class:         types.ClassNormal,
		Idempotent:    idempotent,
		TimeoutMillis: timeout,
		Payload:       key,
	})
	asserter.NoError(t, err)
	return an
}

// assertAnswer checks that a call got the complete answer to its own request.
func assertAnswer(t *testing.T, an *caller.SendRequestResponse, key string) {
	t.Helper()
	if an.JSON200 == nil || an.JSON200.Payload != "answer to "+key {
		t.Fatalf("key %s: wrong or incomplete answer: %s", key, an.Body)
	}
}

func TestWrongAnswers(t *testing.T) {
	cl := launch(t, 1)
	target := cl.Runners["kochi"][0]
	assertAnswer(t, send(t, cl, 0, "first", false), "first")
	for name, faults := range map[string]runner.Faults{
		"truncated": {Truncated: 1},
		"dropped":   {Dropped: 1},
		"swapped":   {Swapped: 1},
	} {
		t.Run(name+" answer is reported as unknown and the request is not run again", func(t *testing.T) {
			target.InjectFaults(faults)
			for range 2 {
				an := sendFor(t, cl, 0, name, false, 3*clock.Second)
				asserter.Equal(t, an.ApplicationProblemJSONDefault != nil, true)
				asserter.Equal(t, an.ApplicationProblemJSONDefault.Outcome, types.OutcomeUnknown)
			}
			asserter.Equal(t, target.RunCount("studio", identifier.Key(name)), 1)
			assertAnswer(t, send(t, cl, 0, "after "+name, false), "after "+name)
		})
	}
	t.Run("doubled answer does not reach another request", func(t *testing.T) {
		target.InjectFaults(runner.Faults{Doubled: 8})
		for i := range 16 {
			key := fmt.Sprintf("doubled-%d", i)
			assertAnswer(t, send(t, cl, 0, key, true), key)
		}
	})
	t.Run("late answer is reported as unknown, and returned to a later call", func(t *testing.T) {
		target.InjectFaults(runner.Faults{DelayMillis: 3000})
		an := sendFor(t, cl, 0, "late", false, 1500)
		asserter.Equal(t, an.ApplicationProblemJSONDefault != nil, true)
		asserter.Equal(t, an.ApplicationProblemJSONDefault.Outcome, types.OutcomeUnknown)
		target.InjectFaults(runner.Faults{})
		assertAnswer(t, send(t, cl, 0, "late", false), "late")
		asserter.Equal(t, target.RunCount("studio", "late"), 1)
	})
	t.Run("failed run is reported as failed", func(t *testing.T) {
		target.InjectFaults(runner.Faults{Failing: true})
		an := send(t, cl, 0, "failing", false)
		asserter.Equal(t, an.ApplicationProblemJSONDefault.Outcome, types.OutcomeFailed)
	})
}

func TestGracefulStop(t *testing.T) {
	cl := launch(t, 2)
	cl.Runners["kochi"][0].InjectFaults(runner.Faults{DelayMillis: 300})
	var wait sync.WaitGroup
	answers := make([]*caller.SendRequestResponse, 4)
	for i := range answers {
		wait.Go(func() { answers[i] = send(t, cl, 0, fmt.Sprintf("in flight %d", i), false) })
	}
	waitUntil(t, func() bool { return cl.Daemons[0].InFlight() == int32(len(answers)) })
	asserter.NoError(t, cl.Daemons[0].Stop(context.Background()))
	wait.Wait()
	t.Run("every request in flight is answered", func(t *testing.T) {
		for i, an := range answers {
			assertAnswer(t, an, fmt.Sprintf("in flight %d", i))
		}
	})
	t.Run("the other instance acquires the seats and the scheduler lease", func(t *testing.T) {
		waitUntil(t, func() bool {
			_, schedules := cl.Daemons[1].Leases.SchedulerGrant()
			return schedules && cl.Daemons[1].Leases.Seats() == 2
		})
		assertAnswer(t, send(t, cl, 1, "afterwards", false), "afterwards")
	})
}
