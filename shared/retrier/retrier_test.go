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
		for bu.Allow() {
			count++
		}
		return count
	}
	asserter.Equal(t, drain(), fullBudget/sharePerCall)
	for range 1000 {
		bu.Called()
	}
	t.Run("no more is saved than the full budget", func(t *testing.T) {
		asserter.Equal(t, drain(), fullBudget/sharePerCall)
	})
	t.Run("ten calls pay for one retry", func(t *testing.T) {
		for range 25 {
			bu.Called()
		}
		asserter.Equal(t, drain(), 2)
	})
}

func TestBackoff(t *testing.T) {
	ba := Backoff{Random: rand.New(rand.NewPCG(1, 1)), First: 100, Most: 1000}
	var most clock.Millis
	for n := range 20 {
		wait := ba.Wait(n)
		if wait < 1 || wait > ba.Most {
			t.Fatalf("wait %d is out of bounds", wait)
		}
		most = max(most, wait)
	}
	if most <= ba.First {
		t.Fatalf("the waits do not grow")
	}
}
