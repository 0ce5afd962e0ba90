// Package retrier bounds retries: a budget keeps them to a fixed share of the traffic, and
// a jittered backoff keeps them apart.
package retrier

import (
	"math/rand/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

const (
	sharePerCall = 10  // calls that pay for one retry
	fullBudget   = 100 // most that is saved up, in tenths of a retry
)

type (
	// Random gives numbers in [0, n).
	Random interface {
		Int64N(n int64) int64
	}

	// Budget lets retries be at most one in sharePerCall calls.
	Budget struct {
		mu locker.Mutex
		// tokens is within 0 and fullBudget, guarded by mu; a retry costs sharePerCall.
		tokens int
	}

	// Backoff spaces retries out, with full jitter.
	Backoff struct {
		Random Random
		First  clock.Millis
		Most   clock.Millis
	}

	// global is the process's own source of random numbers.
	global struct{}
)

// New returns a full budget.
func New() *Budget {
	return &Budget{mu: locker.New(locker.RankBudget), tokens: fullBudget}
}

// Called pays in for one first try.
func (bu *Budget) Called() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.tokens+1, fullBudget)
}

// Allow takes the cost of one retry, if it is there.
func (bu *Budget) Allow() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.tokens < sharePerCall {
		return false
	}
	bu.tokens -= sharePerCall
	return true
}

// Wait is the time to wait before retry number n, the first being 0.
func (ba Backoff) Wait(n int) clock.Millis {
	most := ba.First
	for range n {
		most = min(2*most, ba.Most)
	}
	return 1 + clock.Millis(ba.Random.Int64N(int64(max(most, 1))))
}

// Global returns the process's own source of random numbers.
func Global() Random { return global{} }

// Int64N gives a number in [0, n).
func (global) Int64N(n int64) int64 { return rand.Int64N(n) }
