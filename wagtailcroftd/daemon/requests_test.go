package daemon_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dispatcher"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

func loseAnswers(count int32) func(*platform.Faults) {
	return func(fa *platform.Faults) { fa.LoseAnswers = count }
}

func storeDown(down bool) func(*platform.Faults) {
	return func(fa *platform.Faults) { fa.StoreDown = down }
}

func TestAtMostOnce(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	t.Run("a key sent again gets the stored answer", func(t *testing.T) {
		re := ha.request("again")
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		answer, err = ha.send(1, re)
		ha.assertAnswered(re, answer, err)
		asserter.Equal(t, answer.Replayed, true)
		ha.assertRuns("again", 1)
	})
	t.Run("a key sent to another instance while it runs is not run again", func(t *testing.T) {
		re := ha.request("meanwhile")
		var nested error
		ha.runners.during = func(dispatcher.RunnerRequest) { _, nested = ha.send(1, re) }
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		asserter.Outcome(t, nested, problem.Unknown)
		ha.assertRuns("meanwhile", 1)
	})
	t.Run("a key with another body is refused", func(t *testing.T) {
		re := ha.request("again")
		re.Payload = "another body"
		_, err := ha.send(1, re)
		asserter.Kind(t, err, problem.KeyReused)
		ha.assertRuns("again", 1)
	})
	t.Run("a claim whose answer was lost by the store is still held", func(*testing.T) {
		ha.platform.EditFaults(loseAnswers(1))
		re := ha.request("lost")
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		ha.assertRuns("lost", 1)
	})
	t.Run("an attempt that may have reached its runner is never repeated", func(t *testing.T) {
		ha.runners.answersToLose = 1
		re := ha.request("unknown")
		_, err := ha.send(0, re)
		asserter.Outcome(t, err, problem.Unknown)
		_, err = ha.send(1, re)
		asserter.Outcome(t, err, problem.Unknown)
		ha.assertRuns("unknown", 1)
	})
	t.Run("an idempotent request is repeated", func(*testing.T) {
		ha.runners.answersToLose = 1
		re := ha.request("idempotent")
		re.Idempotent = true
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		ha.assertRuns("idempotent", 2)
	})
	t.Run("after a runner that did not start the work, another one is tried", func(*testing.T) {
		ha.runners.callsToRefuse = 1
		re := ha.request("refused")
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		ha.assertRuns("refused", 1)
	})
}

func TestNotRunIsCertain(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	t.Run("a refused key can never run", func(t *testing.T) {
		re := ha.request("late")
		re.Deadline = ha.clock.Now()
		_, err := ha.send(0, re)
		asserter.Outcome(t, err, problem.NotRun)
		re.Deadline++
		_, err = ha.send(1, re)
		asserter.Kind(t, err, problem.AlreadyRefused)
		ha.assertRuns("late", 0)
	})
	t.Run("a refused call with a key that has run gets the stored answer", func(*testing.T) {
		re := ha.request("ran")
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		re.Deadline = ha.clock.Now()
		answer, err = ha.send(1, re)
		ha.assertAnswered(re, answer, err)
		ha.assertRuns("ran", 1)
	})
	t.Run("only a limited number of refusals is recorded at a time; the outcome of the rest is unknown", func(t *testing.T) {
		var outcomes []problem.Outcome
		var nest func(depth int) func()
		nest = func(depth int) func() {
			return func() {
				if depth == 0 {
					return
				}
				ha.doers[0].beforeTransact = nest(depth - 1)
				re := ha.request(identifier.Key(fmt.Sprintf("overload-%d", depth)))
				re.Deadline = ha.clock.Now()
				_, err := ha.send(0, re)
				outcomes = append(outcomes, problem.From(err).Outcome)
			}
		}
		nest(17)()
		ha.doers[0].beforeTransact = nil
		asserter.Equal(t, len(outcomes), 17)
		asserter.Equal(t, outcomes[0], problem.Unknown) // the innermost
		asserter.Equal(t, outcomes[16], problem.NotRun)
	})
	t.Run("a request that all runners refuse is not run", func(t *testing.T) {
		ha.runners.callsToRefuse = 100
		_, err := ha.send(0, ha.request("busy"))
		asserter.Outcome(t, err, problem.NotRun)
		ha.runners.callsToRefuse = 0
		ha.assertRuns("busy", 0)
	})
}

func TestStoreDown(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	ran := ha.request("before")
	answer, err := ha.send(0, ran)
	ha.assertAnswered(ran, answer, err)
	ha.platform.EditFaults(storeDown(true))
	ha.passTime(leaseTime * 2)
	t.Run("idempotent requests are served", func(*testing.T) {
		re := ha.request("idempotent")
		re.Idempotent = true
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
	})
	t.Run("a first attempt is reported as not run", func(t *testing.T) {
		re := ha.request("first")
		re.FirstAttempt = true
		_, err := ha.send(0, re)
		asserter.Kind(t, err, problem.StoreUnavailable)
		asserter.Outcome(t, err, problem.NotRun)
		ha.assertRuns("first", 0)
	})
	t.Run("the outcome of a key that may have been sent before is unknown", func(t *testing.T) {
		_, err := ha.send(1, ran)
		asserter.Outcome(t, err, problem.Unknown)
		ha.assertRuns("before", 1)
	})
	t.Run("the table is unconfirmed but stays in force", func(t *testing.T) {
		asserter.Equal(t, ha.daemons[0].Table.Confirmed(), false)
		asserter.Equal(t, ha.daemons[0].Table.Version(), 1)
	})
	t.Run("once the store is back, the stored answer is returned", func(t *testing.T) {
		ha.platform.EditFaults(storeDown(false))
		ha.passTime(leaseTime)
		ran.Deadline = ha.clock.Now() + 1
		answer, err := ha.send(1, ran)
		ha.assertAnswered(ran, answer, err)
		asserter.Equal(t, ha.daemons[0].Table.Confirmed(), true)
	})
}

// TestDisconnectedCallersDoNotTripTheStore guards against a circuit breaker that counts calls
// whose caller has disconnected as failures of the platform and then rejects all calls.
func TestDisconnectedCallersDoNotTripTheStore(t *testing.T) {
	ha := newHarness(t, 1)
	ha.setRow("studio")
	id := ha.mustSubmit("job", shortWork)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 8 {
		_, err := ha.daemons[0].Jobs.Get(cancelled, "studio", id)
		asserter.Kind(t, err, problem.StoreUnavailable)
	}
	_, err := ha.daemons[0].Jobs.Get(context.Background(), "studio", id)
	asserter.NoError(t, err)
}

// TestRowsOfDeadInstancesAreDeleted checks that a member row that has not changed for ten
// minutes is removed.
func TestRowsOfDeadInstancesAreDeleted(t *testing.T) {
	ha := newHarness(t, 2)
	key := storer.MemberKey(kochi, "kochi-1")
	read := func() meter.RowVersion {
		row, err := storer.Read[rows.MemberRow](context.Background(), ha.daemons[0].Executor.Store, key)
		asserter.NoError(t, err)
		return row.Version
	}
	ha.paused[1] = true
	ha.passTime(clock.Minute)
	asserter.Equal(t, read() > 0, true)
	ha.clock.Advance(10 * clock.Minute)
	ha.passTime(shortWait)
	asserter.Equal(t, read(), 0)
	t.Run("an instance that resumes writes its row again", func(t *testing.T) {
		ha.paused[1] = false
		ha.passTime(shortWait)
		asserter.Equal(t, read() > 0, true)
	})
}

func TestOutcomeIsKeptUntilTheStoreAnswers(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	re := ha.request("recorded late")
	ha.runners.during = func(dispatcher.RunnerRequest) { ha.platform.EditFaults(storeDown(true)) }
	answer, err := ha.send(0, re)
	ha.assertAnswered(re, answer, err)
	ha.platform.EditFaults(storeDown(false))
	ha.passTime(leaseTime)
	re.Deadline = ha.clock.Now() + 1
	answer, err = ha.send(1, re)
	ha.assertAnswered(re, answer, err)
	ha.assertRuns("recorded late", 1)
}

func TestSeats(t *testing.T) {
	ha := newHarness(t, 2)
	sum := func() int {
		total := 0
		for number, da := range ha.daemons {
			if !ha.paused[number] {
				total += da.Leases.Seats()
			}
		}
		return total
	}
	ha.passTime(leaseTime)
	t.Run("are shared equally", func(t *testing.T) {
		asserter.Equal(t, ha.daemons[0].Leases.Seats(), 2)
		asserter.Equal(t, ha.daemons[1].Leases.Seats(), 2)
	})
	t.Run("of an instance that died are taken over, but only after its leases have expired", func(t *testing.T) {
		ha.paused[1] = true
		for range 40 {
			ha.runTicks(1)
			if held := ha.daemons[0].Leases.Seats() + ha.daemons[1].Leases.Seats(); held > 4 {
				t.Fatalf("%d of 4 seats are in use", held)
			}
		}
		asserter.Equal(t, sum(), 4)
	})
	t.Run("are released to the instance when it resumes", func(t *testing.T) {
		ha.paused[1] = false
		for range 60 {
			ha.runTicks(1)
			if sum() > 4 {
				t.Fatalf("%d of 4 seats are in use", sum())
			}
		}
		asserter.Equal(t, ha.daemons[1].Leases.Seats(), 2)
	})
	t.Run("of an instance that is cut off from the store but not from its peers are not taken over", func(t *testing.T) {
		ha.doers[1].callsLeft = 0
		for range 60 {
			ha.runTicks(1)
			if sum() > 4 {
				t.Fatalf("%d of 4 seats are in use", sum())
			}
		}
		asserter.Equal(t, ha.daemons[1].Leases.Seats(), 2)
		ha.doers[1].callsLeft = -1
		ha.passTime(leaseTime)
	})
	t.Run("of an instance that is shutting down are not taken over until it releases them", func(t *testing.T) {
		stopping := newHarness(t, 2)
		stopping.passTime(leaseTime)
		stopping.daemons[1].Table.MarkShuttingDown()
		stopping.runTicks(4)
		stopping.doers[1].callsLeft = 0
		stopping.passTime(3 * leaseTime)
		asserter.Equal(t, stopping.daemons[0].Leases.Seats(), 2)
		stopping.doers[1].callsLeft = -1
		stopping.clock.Advance(3 * clock.Second)
		asserter.NoError(t, stopping.daemons[1].Leases.ReleaseAll(context.Background()))
		stopping.passTime(2 * leaseTime)
		asserter.Equal(t, stopping.daemons[0].Leases.Seats(), 4)
	})
	t.Run("stay in use while the store is down and all peers answer", func(t *testing.T) {
		ha.platform.EditFaults(storeDown(true))
		ha.passTime(3 * leaseTime)
		asserter.Equal(t, sum(), 4)
	})
	t.Run("go out of use while the store is down and a peer does not answer", func(t *testing.T) {
		ha.peers.cut = true
		ha.passTime(3 * leaseTime)
		asserter.Equal(t, sum(), 0)
	})
}
