package leaser

import (
	"context"
)

// balanceSeats takes or gives up one seat, so that each live instance holds an equal
// number.
func (le *Leaser) balanceSeats(ctx context.Context) error {
	live := max(le.Peers.Live(), 1)
	fair := (le.Options.Seats + live - 1) / live
	held := le.Seats()
	switch {
	case held < fair:
		return le.takeSeat(ctx)
	case held > fair:
		return le.giveSeat(ctx, held-1)
	default:
		return nil
	}
}

// takeSeat takes a seat that is free. A seat whose holder still answers is left to it,
// for the holder may be using it while it cannot reach the store.
func (le *Leaser) takeSeat(ctx context.Context) error {
	for _, ob := range le.seats {
		le.mu.Lock()
		holder := ob.Last().Holder
		may := ob.MayTake(le.Clock.Now())
		le.mu.Unlock()
		if may && (holder == "" || holder == le.Instance || !le.Peers.Hears(holder)) {
			return notConflict(le.write(ctx, ob, le.Instance, 1))
		}
	}
	return nil
}

// giveSeat stops the use of a seat first and gives it up once it is no longer in use.
func (le *Leaser) giveSeat(ctx context.Context, left int) error {
	le.Shares.Use(left)
	if !le.Shares.Within(left) {
		return nil
	}
	for _, ob := range le.seats {
		le.mu.Lock()
		held := ob.Held()
		le.mu.Unlock()
		if held {
			return notConflict(le.write(ctx, ob, "", 1))
		}
	}
	return nil
}

// Seats is the number of seats that may be used now. A seat that could not be renewed in
// time stays in use only while every other instance of the zone is in contact, for none
// of them takes it then.
func (le *Leaser) Seats() int {
	contact := le.Peers.HearsAll()
	le.mu.Lock()
	defer le.mu.Unlock()
	count := 0
	now := le.Clock.Now()
	for _, ob := range le.seats {
		if ob.Holds(now) || ob.Held() && contact {
			count++
		}
	}
	return count
}
