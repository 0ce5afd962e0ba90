package pacer_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/pacer"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const target = 400 * clock.Millis(1)

// longestWait simulates a leader that answers a number of starts a second and always has work, and
// returns the longest time that a start waits in the last of some seconds, and how many are answered.
func longestWait(pa *pacer.Pacer, perSecond, seconds int) (longest clock.Millis, answered int) {
	return longestWaitFrom(0, pa, perSecond, seconds)
}

func longestWaitFrom(began clock.Millis, pa *pacer.Pacer, perSecond, seconds int) (longest clock.Millis, answered int) {
	var queue []clock.Millis
	last := began + clock.Millis(seconds-1)*clock.Second
	for now, done := began, 0; now < last+clock.Second; now++ {
		for range pa.Budget(len(queue)) {
			queue = append(queue, now)
		}
		for ; done < int(now-began)*perSecond/1000 && len(queue) > 0; done++ {
			took := now - queue[0]
			pa.Answered(took, len(queue), now)
			queue = queue[1:]
			if now >= last {
				longest = max(longest, took)
				answered++
			}
		}
	}
	return longest, answered
}

func TestPacer(t *testing.T) {
	for name, perSecond := range map[string]int{"slow": 80, "middling": 500, "fast": 5000} {
		t.Run("starts wait about as long as the target, and none of the speed is lost: "+name, func(t *testing.T) {
			longest, answered := longestWait(pacer.New(target), perSecond, 12)
			if longest > target*3/2 {
				t.Errorf("a start waits %d ms", longest)
			}
			if answered < perSecond*9/10 {
				t.Errorf("%d of %d starts are answered", answered, perSecond)
			}
		})
	}
	t.Run("a leader that becomes slow has a short queue again within seconds", func(t *testing.T) {
		pa := pacer.New(target)
		longestWait(pa, 5000, 5)
		if longest, _ := longestWaitFrom(5*clock.Second, pa, 1000, 6); longest > target*3/2 {
			t.Errorf("a start waits %d ms", longest)
		}
	})
	t.Run("a window that is not in use does not grow", func(t *testing.T) {
		pa := pacer.New(target)
		before := pa.Budget(0)
		for range 1000 {
			pa.Answered(1, 1, 0)
		}
		asserter.Equal(t, pa.Budget(0), before)
	})
	t.Run("nothing may be planned while the window is full", func(t *testing.T) {
		pa := pacer.New(target)
		asserter.Equal(t, pa.Budget(pa.Budget(0)), 0)
		asserter.Equal(t, pa.Budget(10*pa.Budget(0)), 0)
	})
}
