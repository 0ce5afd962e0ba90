// Package router chooses a runner for each request. It takes the less loaded of two random
// runners (power of two choices) and uses no more than this instance's share of the slots
// and connections of each runner. It skips draining runners. A circuit breaker takes failing
// runners out of use and returns them to full load in steps.
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
	failureThreshold = 3 // consecutive failures that open the circuit breaker of a runner
	initialOpenTime  = clock.Second
	maxOpenTime      = 30 * clock.Second
)

// Results of a request sent to a runner.
const (
	// Answered means that the runner returned a complete answer.
	Answered Result = iota
	// Refused means that the runner refused the request without starting it.
	Refused
	// Failed means that the runner returned no complete answer.
	Failed
)

type (
	// Result is the result of a request sent to a runner.
	Result int

	// Random generates random numbers in [0, n).
	Random interface {
		Int64N(n int64) int64
	}

	// Runner describes a runner.
	Runner struct {
		ID          identifier.Target
		Address     string
		Slots       meter.Slots
		Connections meter.Connections
		Draining    bool
	}

	// Seats is the fraction of each runner that this instance may use: Held out of Total
	// seats.
	Seats struct {
		Held  int32
		Total int32
	}

	// Router holds the runners of an availability zone.
	Router struct {
		random Random

		mu locker.Mutex
		// runners is sorted by id; guarded by mu.
		runners []*runnerState
		// seats is guarded by mu.
		seats Seats
		// freed is closed and replaced whenever a slot may have become free; guarded by mu.
		freed chan struct{}
	}

	runnerState struct {
		Runner
		// inFlight is the number of slots that this instance uses; Pick keeps it within the
		// share of this instance.
		inFlight meter.Slots
		// failures counts consecutive failures.
		failures int
		// openUntil is the time until which the circuit breaker is open and the runner gets no
		// requests.
		openUntil clock.Millis
		// openFor is the duration of the last opening of the circuit breaker. It doubles, up to
		// maxOpenTime, with each opening until the runner answers.
		openFor clock.Millis
		// window limits inFlight while a runner recovers; 0 means that the whole share of
		// this instance is available.
		window meter.Slots
		// draining means that an operator or a peer has reported the runner as draining.
		draining bool
	}
)

// New returns a router without runners.
func New(ra Random) *Router {
	return &Router{random: ra, mu: locker.New(locker.RankRunners), freed: make(chan struct{})}
}

// Set adds a runner or updates a known one.
func (ro *Router) Set(ru Runner) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if st := ro.lookup(ru.ID); st != nil {
		st.Runner = ru
	} else {
		ro.runners = append(ro.runners, &runnerState{Runner: ru})
		slices.SortFunc(ro.runners, func(a, b *runnerState) int { return cmp.Compare(a.ID, b.ID) })
	}
	ro.notifyWaiters()
}

// Remove removes a runner.
func (ro *Router) Remove(id identifier.Target) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.runners = slices.DeleteFunc(ro.runners, func(st *runnerState) bool { return st.ID == id })
}

// Drain sets which targets are draining and get no new requests; all others no longer drain.
func (ro *Router) Drain(ids []identifier.Target) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, st := range ro.runners {
		st.draining = slices.Contains(ids, st.ID)
	}
	ro.notifyWaiters()
}

// SetSeats sets the share of each runner that this instance may use.
func (ro *Router) SetSeats(se Seats) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.seats = se
	ro.notifyWaiters()
}

// Pick reserves a slot of a runner other than avoid. If no slot is free it returns false and
// a channel that is closed when one may have become free.
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

// choose picks two random runners that accept requests and returns the less loaded one.
func (ro *Router) choose(now clock.Millis, avoid identifier.Target) *runnerState {
	var candidates []*runnerState
	for _, st := range ro.runners {
		if st.ID != avoid && ro.accepts(st, now) {
			candidates = append(candidates, st)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[ro.random.Int64N(int64(len(candidates)))]
	second := candidates[ro.random.Int64N(int64(len(candidates)))]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

// accepts reports whether a runner may get one more request.
func (ro *Router) accepts(st *runnerState, now clock.Millis) bool {
	if st.Draining || st.draining || st.openUntil > now {
		return false
	}
	limit := instanceShare(st, ro.seats)
	if st.window > 0 {
		limit = min(limit, st.window)
	}
	return st.inFlight < limit
}

// instanceShare returns the number of slots of a runner that this instance may use,
// rounded down for each seat. Its share of the connections is a limit too, because each
// request in flight has its own connection.
func instanceShare(st *runnerState, se Seats) meter.Slots {
	if se.Total == 0 {
		return 0
	}
	slots := st.Slots / meter.Slots(se.Total) * meter.Slots(se.Held)
	connections := st.Connections / meter.Connections(se.Total) * meter.Connections(se.Held)
	return min(slots, meter.Slots(connections))
}

// Release releases the slot of a request and updates the circuit breaker from its result.
func (ro *Router) Release(id identifier.Target, re Result, now clock.Millis) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	defer ro.notifyWaiters()
	st := ro.lookup(id)
	if st == nil {
		return
	}
	st.inFlight--
	switch re {
	case Answered:
		st.recordAnswer(instanceShare(st, ro.seats))
	case Refused:
	case Failed:
		st.recordFailure(now)
	}
}

func (st *runnerState) recordAnswer(limit meter.Slots) {
	st.failures, st.openFor = 0, 0
	if st.window == 0 {
		return
	}
	st.window *= 2
	if st.window >= limit {
		st.window = 0
	}
}

func (st *runnerState) recordFailure(now clock.Millis) {
	st.failures++
	if st.failures < failureThreshold && st.window == 0 {
		return
	}
	st.openFor = min(max(2*st.openFor, initialOpenTime), maxOpenTime)
	st.openUntil = now + st.openFor
	st.window = 1
}

// UsableCount returns the number of runners that are not draining and whose circuit breaker is
// not open.
func (ro *Router) UsableCount(now clock.Millis) int {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	count := 0
	for _, st := range ro.runners {
		if !st.Draining && !st.draining && st.openUntil <= now {
			count++
		}
	}
	return count
}

// NextRetry returns the earliest time at which an open circuit breaker lets requests through
// again; 0 means that none is open.
func (ro *Router) NextRetry(now clock.Millis) clock.Millis {
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

// notifyWaiters lets waiting requests try Pick again.
func (ro *Router) notifyWaiters() {
	close(ro.freed)
	ro.freed = make(chan struct{})
}

func (ro *Router) lookup(id identifier.Target) *runnerState {
	for _, st := range ro.runners {
		if st.ID == id {
			return st
		}
	}
	return nil
}

// FitsWithin reports whether the slots in use at every runner are within the share that the given
// seats allow. If not, a seat cannot be released yet.
func (ro *Router) FitsWithin(se Seats) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, st := range ro.runners {
		if st.inFlight > instanceShare(st, se) {
			return false
		}
	}
	return true
}
