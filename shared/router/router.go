// Package router chooses a runner for each request: by load with two probes, within this
// instance's share of each runner's slots and connections, past runners that fail or
// leave, which come back slowly.
package router

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	failuresToOpen = 3 // failures in a row after which a runner gets nothing
	firstOpen      = clock.Second
	longestOpen    = 30 * clock.Second
)

// What became of a request at a runner.
const (
	// Answered means a whole answer.
	Answered Result = iota
	// Refused means that the runner started nothing.
	Refused
	// Broken means no whole answer.
	Broken
)

type (
	// Result is what became of a request at a runner.
	Result int

	// Random gives numbers in [0, n).
	Random interface {
		Int64N(n int64) int64
	}

	// Runner describes a runner to the router.
	Runner struct {
		ID          identifier.Target
		Address     string
		Slots       meter.Slots
		Connections meter.Connections
		Leaving     bool
	}

	// Seats is the share of each runner that this instance may use: Held parts of Of.
	Seats struct {
		Held int32
		Of   int32
	}

	// Router is the table of the runners of an availability zone.
	Router struct {
		random Random

		mu locker.Mutex
		// runners is guarded by mu, in the order of their ids.
		runners []*state
		// seats is guarded by mu.
		seats Seats
		// freed is closed and replaced whenever a slot may have become free, guarded by mu.
		freed chan struct{}
	}

	state struct {
		Runner
		// inFlight is the number of slots this instance uses; at most its share.
		inFlight meter.Slots
		// failures counts broken answers in a row.
		failures int
		// openUntil is when the runner gets requests again after failures.
		openUntil clock.Millis
		// openFor is the length of the last break; it doubles until an answer.
		openFor clock.Millis
		// window bounds inFlight while a runner comes back; 0 means the whole share.
		window meter.Slots
		// draining means that an operator or a peer said that the runner leaves.
		draining bool
	}
)

// New returns an empty table.
func New(ra Random) *Router {
	return &Router{random: ra, mu: locker.New(locker.RankRunners), freed: make(chan struct{})}
}

// Set adds a runner or takes over what has changed of it.
func (ro *Router) Set(ru Runner) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if st := ro.state(ru.ID); st != nil {
		st.Runner = ru
	} else {
		ro.runners = append(ro.runners, &state{Runner: ru})
		slices.SortFunc(ro.runners, func(a, b *state) int { return cmp.Compare(a.ID, b.ID) })
	}
	ro.wake()
}

// Remove forgets a runner.
func (ro *Router) Remove(id identifier.Target) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.runners = slices.DeleteFunc(ro.runners, func(st *state) bool { return st.ID == id })
}

// Drain tells exactly which targets get nothing new.
func (ro *Router) Drain(ids []identifier.Target) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, st := range ro.runners {
		st.draining = slices.Contains(ids, st.ID)
	}
	ro.wake()
}

// SetSeats changes the share of each runner that this instance may use.
func (ro *Router) SetSeats(se Seats) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.seats = se
	ro.wake()
}

// Pick takes a slot of a runner. If none is free now it returns false and a channel that
// is closed when one may be.
func (ro *Router) Pick(now clock.Millis, avoid identifier.Target) (Runner, bool, <-chan struct{}) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	st := ro.choose(now, avoid)
	if st == nil {
		return Runner{}, false, ro.freed
	}
	st.inFlight++
	return st.Runner, true, nil
}

// choose probes two runners with a free slot and returns the less loaded.
func (ro *Router) choose(now clock.Millis, avoid identifier.Target) *state {
	var open []*state
	for _, st := range ro.runners {
		if st.ID != avoid && ro.takes(st, now) {
			open = append(open, st)
		}
	}
	if len(open) == 0 {
		return nil
	}
	first := open[ro.random.Int64N(int64(len(open)))]
	second := open[ro.random.Int64N(int64(len(open)))]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

// takes reports whether a runner gets one more request.
func (ro *Router) takes(st *state, now clock.Millis) bool {
	if st.Leaving || st.draining || st.openUntil > now {
		return false
	}
	most := share(st, ro.seats)
	if st.window > 0 {
		most = min(most, st.window)
	}
	return st.inFlight < most
}

// share is what this instance may use of a runner: whole slots, and no more than its
// connections, for each request in flight has a connection of its own.
func share(st *state, se Seats) meter.Slots {
	if se.Of == 0 {
		return 0
	}
	slots := st.Slots / meter.Slots(se.Of) * meter.Slots(se.Held)
	connections := st.Connections / meter.Connections(se.Of) * meter.Connections(se.Held)
	return min(slots, meter.Slots(connections))
}

// Done gives the slot back and learns from what became of the request.
func (ro *Router) Done(id identifier.Target, re Result, now clock.Millis) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	defer ro.wake()
	st := ro.state(id)
	if st == nil {
		return
	}
	st.inFlight--
	switch re {
	case Answered:
		st.answered(share(st, ro.seats))
	case Refused:
	case Broken:
		st.broken(now)
	}
}

func (st *state) answered(most meter.Slots) {
	st.failures, st.openFor = 0, 0
	if st.window == 0 {
		return
	}
	st.window *= 2
	if st.window >= most {
		st.window = 0
	}
}

func (st *state) broken(now clock.Millis) {
	st.failures++
	if st.failures < failuresToOpen && st.window == 0 {
		return
	}
	st.openFor = min(max(2*st.openFor, firstOpen), longestOpen)
	st.openUntil = now + st.openFor
	st.window = 1
}

// Usable is the number of runners that would take a request if a slot were free.
func (ro *Router) Usable(now clock.Millis) int {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	count := 0
	for _, st := range ro.runners {
		if !st.Leaving && !st.draining && st.openUntil <= now {
			count++
		}
	}
	return count
}

// NextOpen is the earliest moment at which a runner comes back; 0 means that none is out.
func (ro *Router) NextOpen(now clock.Millis) clock.Millis {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var next clock.Millis
	for _, st := range ro.runners {
		if st.openUntil > now && (next == 0 || st.openUntil < next) {
			next = st.openUntil
		}
	}
	return next
}

// wake lets waiting requests look again.
func (ro *Router) wake() {
	close(ro.freed)
	ro.freed = make(chan struct{})
}

func (ro *Router) state(id identifier.Target) *state {
	for _, st := range ro.runners {
		if st.ID == id {
			return st
		}
	}
	return nil
}

// Within reports whether no more of any runner is in use than a number of seats allows.
func (ro *Router) Within(se Seats) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, st := range ro.runners {
		if st.inFlight > share(st, se) {
			return false
		}
	}
	return true
}
