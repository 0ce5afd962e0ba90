// Package retrier limits retries: a budget caps them at a fixed fraction of the calls, and
// exponential backoff with jitter spreads them over time.
package retrier

import (
	"math/rand/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

const (
	retryCost = 10  // tokens that a retry costs; each call adds one token
	maxTokens = 100 // maximum balance in tokens, enough for 10 retries
)

type (
	// Random generates random numbers in [0, n).
	Random interface {
		Int64N(n int64) int64
	}

	// Budget is a token bucket that allows one retry for every retryCost calls.
	Budget struct {
		mu locker.Mutex
		// tokens is between 0 and maxTokens; guarded by mu. A retry costs retryCost tokens.
		tokens int
	}

	// Backoff computes exponentially growing retry delays with full jitter.
	Backoff struct {
		Random  Random
		Initial clock.Millis
		Max     clock.Millis
	}

	// globalSource is the global random source of the process.
	globalSource struct{}
)

// New returns a full budget.
func New() *Budget {
	return &Budget{mu: locker.New(locker.RankBudget), tokens: maxTokens}
}

// Deposit adds a token for a first attempt.
func (bu *Budget) Deposit() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = min(bu.tokens+1, maxTokens)
}

// Withdraw reports whether a retry is allowed, and deducts its cost if it is.
func (bu *Budget) Withdraw() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.tokens < retryCost {
		return false
	}
	bu.tokens -= retryCost
	return true
}

// Delay returns the delay before retry n, counted from 0.
func (ba Backoff) Delay(n int) clock.Millis {
	limit := ba.Initial
	for range n {
		limit = min(2*limit, ba.Max)
	}
	return 1 + clock.Millis(ba.Random.Int64N(int64(max(limit, 1))))
}

// GlobalRandom returns the global random source of the process.
func GlobalRandom() Random { return globalSource{} }

// Int64N returns a random number in [0, n).
func (globalSource) Int64N(n int64) int64 { return rand.Int64N(n) }
