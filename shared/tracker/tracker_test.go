package tracker

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

const duration = 100

func TestObserver(t *testing.T) {
	other := Lease{Holder: "other", Epoch: 1, Version: 5}
	t.Run("a lease that has not been read may not be acquired", func(t *testing.T) {
		asserter.Equal(t, New("self", duration).MayAcquire(1000), false)
	})
	t.Run("a lease without a row may be acquired", func(t *testing.T) {
		ob := New("self", duration)
		ob.Observe(Lease{}, 0)
		asserter.Equal(t, ob.MayAcquire(0), true)
	})
	t.Run("a lease of another holder may be acquired after the lease duration without a change", func(t *testing.T) {
		ob := New("self", duration)
		ob.Observe(other, 10)
		asserter.Equal(t, ob.MayAcquire(109), false)
		asserter.Equal(t, ob.MayAcquire(110), true)
	})
	t.Run("a renewal restarts the lease duration; a stale read does not", func(t *testing.T) {
		ob := New("self", duration)
		ob.Observe(other, 10)
		ob.Observe(Lease{Holder: "other", Epoch: 1, Version: 6}, 60)
		ob.Observe(other, 100)
		asserter.Equal(t, ob.MayAcquire(150), false)
		asserter.Equal(t, ob.MayAcquire(160), true)
	})
	t.Run("a holder that does not renew stops before others may acquire the lease", func(t *testing.T) {
		ob := New("self", duration)
		ob.RecordWrite(Lease{Holder: "self", Epoch: 2, Version: 7}, 10)
		asserter.Equal(t, ob.Valid(84), true)
		asserter.Equal(t, ob.Valid(85), false)
		asserter.Equal(t, ob.Held(), true)
	})
	t.Run("a holder that reads a newer epoch has lost the lease", func(t *testing.T) {
		ob := New("self", duration)
		ob.RecordWrite(Lease{Holder: "self", Epoch: 2, Version: 7}, 10)
		ob.Observe(Lease{Holder: "self", Epoch: 3, Version: 8}, 20)
		asserter.Equal(t, ob.Held(), false)
	})
	t.Run("a released lease may be acquired at once", func(t *testing.T) {
		ob := New("self", duration)
		ob.Observe(Lease{Epoch: 3, Version: 8}, 20)
		asserter.Equal(t, ob.MayAcquire(20), true)
	})
}
