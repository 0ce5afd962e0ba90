//go:build rankcheck

package locker

import (
	"testing"

	"github.com/matryer/is"
)

// panics reports whether fn panics.
func panics(fn func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	fn()
	return false
}

func TestLockOrder(t *testing.T) {
	low, high := New(RankConfig), New(RankZone)
	t.Run("ascending rank is allowed", func(t *testing.T) {
		is.New(t).True(!panics(func() {
			low.Lock()
			high.Lock()
			high.Unlock()
			low.Unlock()
		}))
	})
	t.Run("descending rank panics", func(t *testing.T) {
		high.Lock()
		defer high.Unlock()
		is.New(t).True(panics(low.Lock))
	})
	t.Run("second mutex of the same rank panics", func(t *testing.T) {
		other := New(RankZone)
		high.Lock()
		defer high.Unlock()
		is.New(t).True(panics(other.Lock))
	})
	t.Run("mutexes held by another goroutine are ignored", func(t *testing.T) {
		high.Lock()
		defer high.Unlock()
		done := make(chan bool)
		go func() { done <- panics(func() { low.Lock(); low.Unlock() }) }()
		is.New(t).True(!<-done)
	})
	t.Run("mutex without a rank panics", func(t *testing.T) {
		var mu Mutex
		is.New(t).True(panics(mu.Lock))
	})
}
