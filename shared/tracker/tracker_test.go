package tracker

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

const length = 100

func TestObserver(t *testing.T) {
	other := Lease{Holder: "other", Epoch: 1, Version: 5}
	t.Run("an unread lease may not be taken", func(t *testing.T) {
		asserter.Equal(t, New("self", length).MayTake(1000), false)
	})
	t.Run("an absent one may", func(t *testing.T) {
		ob := New("self", length)
		ob.Saw(Lease{}, 0)
		asserter.Equal(t, ob.MayTake(0), true)
	})
	t.Run("another's may after its whole length without a change", func(t *testing.T) {
		ob := New("self", length)
		ob.Saw(other, 10)
		asserter.Equal(t, ob.MayTake(109), false)
		asserter.Equal(t, ob.MayTake(110), true)
	})
	t.Run("a renewal starts the length anew; a stale read does not", func(t *testing.T) {
		ob := New("self", length)
		ob.Saw(other, 10)
		ob.Saw(Lease{Holder: "other", Epoch: 1, Version: 6}, 60)
		ob.Saw(other, 100)
		asserter.Equal(t, ob.MayTake(150), false)
		asserter.Equal(t, ob.MayTake(160), true)
	})
	t.Run("a holder that does not renew stops before others may take", func(t *testing.T) {
		ob := New("self", length)
		ob.Won(Lease{Holder: "self", Epoch: 2, Version: 7}, 10)
		asserter.Equal(t, ob.Holds(84), true)
		asserter.Equal(t, ob.Holds(85), false)
		asserter.Equal(t, ob.Held(), true)
	})
	t.Run("a holder that sees another's epoch has lost", func(t *testing.T) {
		ob := New("self", length)
		ob.Won(Lease{Holder: "self", Epoch: 2, Version: 7}, 10)
		ob.Saw(Lease{Holder: "self", Epoch: 3, Version: 8}, 20)
		asserter.Equal(t, ob.Held(), false)
	})
	t.Run("a lease that was given up may be taken at once", func(t *testing.T) {
		ob := New("self", length)
		ob.Saw(Lease{Epoch: 3, Version: 8}, 20)
		asserter.Equal(t, ob.MayTake(20), true)
	})
}
