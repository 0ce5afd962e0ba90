package router

import (
	"math/rand/v2"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

func newRouter(runners int, se Seats) *Router {
	ro := New(rand.New(rand.NewPCG(1, 1)))
	for i := range runners {
		ro.Set(Runner{ID: identifier.Target(rune('a' + i)), Slots: 8, Connections: 64})
	}
	ro.SetSeats(se)
	return ro
}

// pickAll picks slots until none is free and counts them for each runner.
func pickAll(ro *Router, now clock.Millis) map[identifier.Target]int {
	counts := map[identifier.Target]int{}
	for {
		ru, found, _ := ro.Pick(now, "")
		if !found {
			return counts
		}
		counts[ru.ID]++
	}
}

func TestShare(t *testing.T) {
	for name, tc := range map[string]struct {
		seats Seats
		want  int
	}{
		"half":            {Seats{Held: 1, Total: 2}, 4},
		"all":             {Seats{Held: 2, Total: 2}, 8},
		"none":            {Seats{Held: 0, Total: 2}, 0},
		"uneven rounding": {Seats{Held: 1, Total: 3}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			asserter.Equal(t, pickAll(newRouter(1, tc.seats), 0)["a"], tc.want)
		})
	}
	t.Run("the connections limit the share too", func(t *testing.T) {
		ro := newRouter(0, Seats{Held: 1, Total: 1})
		ro.Set(Runner{ID: "a", Slots: 8, Connections: 3})
		asserter.Equal(t, pickAll(ro, 0)["a"], 3)
	})
	t.Run("FitsWithin reports when a seat can be released", func(t *testing.T) {
		ro := newRouter(1, Seats{Held: 2, Total: 2})
		pickAll(ro, 0)
		asserter.Equal(t, ro.FitsWithin(Seats{Held: 1, Total: 2}), false)
		for range 4 {
			ro.Release("a", Answered, 0)
		}
		asserter.Equal(t, ro.FitsWithin(Seats{Held: 1, Total: 2}), true)
	})
}

func TestPickSpreadsLoad(t *testing.T) {
	ro := newRouter(4, Seats{Held: 1, Total: 1})
	counts := map[identifier.Target]int{}
	for range 16 {
		ru, _, _ := ro.Pick(0, "")
		counts[ru.ID]++
	}
	for id, count := range counts {
		if count > 6 {
			t.Fatalf("runner %s got %d of 16 requests, want at most 6", id, count)
		}
	}
}

func TestDraining(t *testing.T) {
	ro := newRouter(2, Seats{Held: 1, Total: 1})
	t.Run("a runner drained by Drain gets no requests", func(t *testing.T) {
		ro.Drain([]identifier.Target{"a"})
		asserter.Equal(t, pickAll(ro, 0)["a"], 0)
	})
	t.Run("a runner that reports itself as draining gets no requests", func(t *testing.T) {
		ro.Set(Runner{ID: "b", Slots: 8, Connections: 64, Draining: true})
		asserter.Equal(t, ro.UsableCount(0), 0)
	})
}

func TestCircuitBreaker(t *testing.T) {
	ro := newRouter(1, Seats{Held: 1, Total: 1})
	fail := func(now clock.Millis) {
		_, _, _ = ro.Pick(now, "")
		ro.Release("a", Failed, now)
	}
	t.Run("consecutive failures open the circuit breaker", func(t *testing.T) {
		for range failureThreshold {
			fail(0)
		}
		asserter.Equal(t, ro.UsableCount(0), 0)
		asserter.Equal(t, ro.NextRetry(0), initialOpenTime)
	})
	t.Run("the runner returns with a window of one request", func(t *testing.T) {
		asserter.Equal(t, pickAll(ro, initialOpenTime)["a"], 1)
	})
	t.Run("a failure in that state doubles the open time", func(t *testing.T) {
		ro.Release("a", Failed, initialOpenTime)
		asserter.Equal(t, ro.NextRetry(initialOpenTime), initialOpenTime+2*initialOpenTime)
	})
	t.Run("answers double the window step by step", func(t *testing.T) {
		now := 10 * clock.Second
		for _, want := range []int{1, 2, 4, 8} {
			asserter.Equal(t, pickAll(ro, now)["a"], want)
			for range want - 1 {
				ro.Release("a", Refused, now)
			}
			ro.Release("a", Answered, now)
		}
	})
}

func TestReleaseNotifiesWaiters(t *testing.T) {
	ro := newRouter(1, Seats{Held: 1, Total: 8})
	_, found, _ := ro.Pick(0, "")
	asserter.Equal(t, found, true)
	_, found, freed := ro.Pick(0, "")
	asserter.Equal(t, found, false)
	ro.Release("a", Answered, 0)
	<-freed
	_, found, _ = ro.Pick(0, "")
	asserter.Equal(t, found, true)
}
