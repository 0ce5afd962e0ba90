//go:build rankcheck

package locker

import (
	"testing"

	"github.com/matryer/is"
)

// panics reports whether fn panics.
func panics(fn func()) (did bool) {
	defer func() { did = recover() != nil }()
	fn()
	return false
}

func TestLockOrder(t *testing.T) {
	low, high := New(RankConfig), New(RankZone)
	t.Run("rising is allowed", func(t *testing.T) {
		is.New(t).True(!panics(func() {
			low.Lock()
			high.Lock()
			high.Unlock()
			low.Unlock()
		}))
	})
	t.Run("falling panics", func(t *testing.T) {
		high.Lock()
		defer high.Unlock()
		is.New(t).True(panics(low.Lock))
	})
	t.Run("the same rank twice panics", func(t *testing.T) {
		other := New(RankZone)
		high.Lock()
		defer high.Unlock()
		is.New(t).True(panics(other.Lock))
	})
	t.Run("another goroutine is not concerned", func(t *testing.T) {
		high.Lock()
		defer high.Unlock()
		done := make(chan bool)
		go func() { done <- panics(func() { low.Lock(); low.Unlock() }) }()
		is.New(t).True(!<-done)
	})
	t.Run("a mutex without a rank panics", func(t *testing.T) {
		var mu Mutex
		is.New(t).True(panics(mu.Lock))
	})
}
