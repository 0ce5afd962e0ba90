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
	sc := newScene(t, 2)
	sc.setRow("studio")
	t.Run("a key sent again gets the stored answer", func(t *testing.T) {
		re := sc.request("again")
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		answer, err = sc.send(1, re)
		sc.answered(re, answer, err)
		asserter.Equal(t, answer.Replayed, true)
		sc.ran("again", 1)
	})
	t.Run("a key sent to another instance while it runs is not run there", func(t *testing.T) {
		re := sc.request("meanwhile")
		var nested error
		sc.runners.during = func(dispatcher.Call) { _, nested = sc.send(1, re) }
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		asserter.Outcome(t, nested, problem.Unknown)
		sc.ran("meanwhile", 1)
	})
	t.Run("a key with another body is refused", func(t *testing.T) {
		re := sc.request("again")
		re.Payload = "another body"
		_, err := sc.send(1, re)
		asserter.Kind(t, err, problem.KeyReused)
		sc.ran("again", 1)
	})
	t.Run("an answer of the store that was lost after the claim took effect", func(*testing.T) {
		sc.platform.Change(loseAnswers(1))
		re := sc.request("lost")
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		sc.ran("lost", 1)
	})
	t.Run("an attempt that may have reached its runner is never repeated", func(t *testing.T) {
		sc.runners.lose = 1
		re := sc.request("unknown")
		_, err := sc.send(0, re)
		asserter.Outcome(t, err, problem.Unknown)
		_, err = sc.send(1, re)
		asserter.Outcome(t, err, problem.Unknown)
		sc.ran("unknown", 1)
	})
	t.Run("an idempotent one is", func(*testing.T) {
		sc.runners.lose = 1
		re := sc.request("idempotent")
		re.Idempotent = true
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		sc.ran("idempotent", 2)
	})
	t.Run("a runner that started nothing is followed by another", func(*testing.T) {
		sc.runners.refuse = 1
		re := sc.request("refused")
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		sc.ran("refused", 1)
	})
}

func TestNotRunIsCertain(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	t.Run("a refusal excludes the key for good", func(t *testing.T) {
		re := sc.request("late")
		re.Deadline = sc.clock.Now()
		_, err := sc.send(0, re)
		asserter.Outcome(t, err, problem.NotRun)
		re.Deadline++
		_, err = sc.send(1, re)
		asserter.Kind(t, err, problem.AlreadyRefused)
		sc.ran("late", 0)
	})
	t.Run("a refusal of a key that has run tells the truth", func(*testing.T) {
		re := sc.request("ran")
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		re.Deadline = sc.clock.Now()
		answer, err = sc.send(1, re)
		sc.answered(re, answer, err)
		sc.ran("ran", 1)
	})
	t.Run("only so many refusals at a time are made certain; the rest are unknown", func(t *testing.T) {
		var outcomes []problem.Outcome
		var nest func(depth int) func()
		nest = func(depth int) func() {
			return func() {
				if depth == 0 {
					return
				}
				sc.doers[0].before = nest(depth - 1)
				re := sc.request(identifier.Key(fmt.Sprintf("overload-%d", depth)))
				re.Deadline = sc.clock.Now()
				_, err := sc.send(0, re)
				outcomes = append(outcomes, problem.From(err).Outcome)
			}
		}
		nest(17)()
		sc.doers[0].before = nil
		asserter.Equal(t, len(outcomes), 17)
		asserter.Equal(t, outcomes[0], problem.Unknown) // the innermost
		asserter.Equal(t, outcomes[16], problem.NotRun)
	})
	t.Run("runners that all refuse", func(t *testing.T) {
		sc.runners.refuse = 100
		_, err := sc.send(0, sc.request("busy"))
		asserter.Outcome(t, err, problem.NotRun)
		sc.runners.refuse = 0
		sc.ran("busy", 0)
	})
}

func TestStoreDown(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	ran := sc.request("before")
	answer, err := sc.send(0, ran)
	sc.answered(ran, answer, err)
	sc.platform.Change(storeDown(true))
	sc.pass(lease * 2)
	t.Run("idempotent work is served", func(*testing.T) {
		re := sc.request("idempotent")
		re.Idempotent = true
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
	})
	t.Run("a first attempt is certainly not run", func(t *testing.T) {
		re := sc.request("first")
		re.FirstAttempt = true
		_, err := sc.send(0, re)
		asserter.Kind(t, err, problem.StoreUnavailable)
		asserter.Outcome(t, err, problem.NotRun)
		sc.ran("first", 0)
	})
	t.Run("a key that may have been sent before is unknown", func(t *testing.T) {
		_, err := sc.send(1, ran)
		asserter.Outcome(t, err, problem.Unknown)
		sc.ran("before", 1)
	})
	t.Run("the table is not confirmed, and goes on", func(t *testing.T) {
		asserter.Equal(t, sc.daemons[0].Table.Confirmed(), false)
		asserter.Equal(t, sc.daemons[0].Table.Version(), 1)
	})
	t.Run("once it is back, the truth is told again", func(t *testing.T) {
		sc.platform.Change(storeDown(false))
		sc.pass(lease)
		ran.Deadline = sc.clock.Now() + 1
		answer, err := sc.send(1, ran)
		sc.answered(ran, answer, err)
		asserter.Equal(t, sc.daemons[0].Table.Confirmed(), true)
	})
}

func TestCallersThatLeaveDoNotStopTheStore(t *testing.T) {
	sc := newScene(t, 1)
	sc.setRow("studio")
	id := sc.mustSubmit("job", shortWork)
	left, leave := context.WithCancel(context.Background())
	leave()
	for range 8 {
		_, err := sc.daemons[0].Jobs.Get(left, "studio", id)
		asserter.Kind(t, err, problem.StoreUnavailable)
	}
	_, err := sc.daemons[0].Jobs.Get(context.Background(), "studio", id)
	asserter.OK(t, err)
}

func TestRowsOfTheDeadAreSwept(t *testing.T) {
	sc := newScene(t, 2)
	key := storer.MemberKey(kochi, "kochi-1")
	read := func() meter.RowVersion {
		row, err := storer.Read[rows.MemberRow](context.Background(), sc.daemons[0].Gangs.Store, key)
		asserter.OK(t, err)
		return row.Version
	}
	sc.paused[1] = true
	sc.pass(clock.Minute)
	asserter.Equal(t, read() > 0, true)
	sc.clock.Advance(10 * clock.Minute)
	sc.pass(soon)
	asserter.Equal(t, read(), 0)
	t.Run("one that wakes writes its row again", func(t *testing.T) {
		sc.paused[1] = false
		sc.pass(soon)
		asserter.Equal(t, read() > 0, true)
	})
}

func TestOutcomeIsKeptUntilTheStoreAnswers(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	re := sc.request("settled late")
	sc.runners.during = func(dispatcher.Call) { sc.platform.Change(storeDown(true)) }
	answer, err := sc.send(0, re)
	sc.answered(re, answer, err)
	sc.platform.Change(storeDown(false))
	sc.pass(lease)
	re.Deadline = sc.clock.Now() + 1
	answer, err = sc.send(1, re)
	sc.answered(re, answer, err)
	sc.ran("settled late", 1)
}

func TestSeats(t *testing.T) {
	sc := newScene(t, 2)
	sum := func() int {
		total := 0
		for number, da := range sc.daemons {
			if !sc.paused[number] {
				total += da.Leases.Seats()
			}
		}
		return total
	}
	sc.pass(lease)
	t.Run("are shared equally", func(t *testing.T) {
		asserter.Equal(t, sc.daemons[0].Leases.Seats(), 2)
		asserter.Equal(t, sc.daemons[1].Leases.Seats(), 2)
	})
	t.Run("of an instance that died are taken over, never before it must have stopped", func(t *testing.T) {
		sc.paused[1] = true
		for range 40 {
			sc.run(1)
			if held := sc.daemons[0].Leases.Seats() + sc.daemons[1].Leases.Seats(); held > 4 {
				t.Fatalf("%d of 4 seats are in use", held)
			}
		}
		asserter.Equal(t, sum(), 4)
	})
	t.Run("are given back when it returns", func(t *testing.T) {
		sc.paused[1] = false
		for range 60 {
			sc.run(1)
			if sum() > 4 {
				t.Fatalf("%d of 4 seats are in use", sum())
			}
		}
		asserter.Equal(t, sc.daemons[1].Leases.Seats(), 2)
	})
	t.Run("of an instance that only the store cannot hear are left to it", func(t *testing.T) {
		sc.doers[1].left = 0
		for range 60 {
			sc.run(1)
			if sum() > 4 {
				t.Fatalf("%d of 4 seats are in use", sum())
			}
		}
		asserter.Equal(t, sc.daemons[1].Leases.Seats(), 2)
		sc.doers[1].left = -1
		sc.pass(lease)
	})
	t.Run("of one that is stopping as well, until it gives them up", func(t *testing.T) {
		leaving := newScene(t, 2)
		leaving.pass(lease)
		leaving.daemons[1].Table.Leave()
		leaving.run(4)
		leaving.doers[1].left = 0
		leaving.pass(3 * lease)
		asserter.Equal(t, leaving.daemons[0].Leases.Seats(), 2)
		leaving.doers[1].left = -1
		leaving.clock.Advance(3 * clock.Second)
		asserter.OK(t, leaving.daemons[1].Leases.Leave(context.Background()))
		leaving.pass(2 * lease)
		asserter.Equal(t, leaving.daemons[0].Leases.Seats(), 4)
	})
	t.Run("stay in use while the store is down and all are in contact", func(t *testing.T) {
		sc.platform.Change(storeDown(true))
		sc.pass(3 * lease)
		asserter.Equal(t, sum(), 4)
	})
	t.Run("go out of use while the store is down and another is silent", func(t *testing.T) {
		sc.peers.cut = true
		sc.pass(3 * lease)
		asserter.Equal(t, sum(), 0)
	})
}
