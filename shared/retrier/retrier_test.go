package retrier

import (
	"math/rand/v2"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

func TestBudget(t *testing.T) {
	bu := New()
	drain := func() int {
		count := 0
		for bu.Withdraw() {
			count++
		}
		return count
	}
	asserter.Equal(t, drain(), maxTokens/retryCost)
	for range 1000 {
		bu.Deposit()
	}
	t.Run("the balance does not exceed the maximum", func(t *testing.T) {
		asserter.Equal(t, drain(), maxTokens/retryCost)
	})
	t.Run("ten calls pay for one retry", func(t *testing.T) {
		for range 25 {
			bu.Deposit()
		}
		asserter.Equal(t, drain(), 2)
	})
}

func TestBackoff(t *testing.T) {
	ba := Backoff{Random: rand.New(rand.NewPCG(1, 1)), Initial: 100, Max: 1000}
	var longest clock.Millis
	for n := range 20 {
		wait := ba.Delay(n)
		if wait < 1 || wait > ba.Max {
			t.Fatalf("backoff delay of %d ms is out of bounds", wait)
		}
		longest = max(longest, wait)
	}
	if longest <= ba.Initial {
		t.Fatalf("backoff delays do not grow")
	}
}
