package pool

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

func TestPool(t *testing.T) {
	t.Run("submit to a full queue is rejected", func(t *testing.T) {
		po := New(1, 1)
		block, started := make(chan struct{}), make(chan struct{})
		is.New(t).NoErr(po.Submit(false, func() { close(started); <-block }))
		<-started
		is.New(t).NoErr(po.Submit(false, func() {}))
		is.New(t).True(eris.Is(po.Submit(false, func() {}), ErrFull))
		close(block)
		po.Close()
	})
	t.Run("urgent functions run before normal ones", func(t *testing.T) {
		po := New(1, 4)
		block, started := make(chan struct{}), make(chan struct{})
		var order []string
		_ = po.Submit(false, func() { close(started); <-block })
		<-started
		_ = po.Submit(false, func() { order = append(order, "normal") })
		_ = po.Submit(true, func() { order = append(order, "urgent") })
		close(block)
		po.Close()
		is.New(t).Equal(order, []string{"urgent", "normal"})
	})
	t.Run("close runs the queued functions and rejects new ones", func(t *testing.T) {
		po := New(2, 16)
		done := make(chan struct{}, 16)
		for range 16 {
			_ = po.Submit(false, func() { done <- struct{}{} })
		}
		po.Close()
		is.New(t).Equal(len(done), 16)
		is.New(t).True(eris.Is(po.Submit(false, func() {}), ErrClosed))
	})
}
