package leaser

import (
	"context"
)

// balanceSeats acquires or releases at most one seat, so that over several calls every live
// instance comes to hold an equal number.
func (le *Leaser) balanceSeats(ctx context.Context) error {
	live := max(le.Peers.LiveCount(), 1)
	fairShare := (le.Options.Seats + live - 1) / live
	held := le.Seats()
	switch {
	case held < fairShare:
		return le.acquireSeat(ctx)
	case held > fairShare:
		return le.releaseSeat(ctx, held-1)
	default:
		return nil
	}
}

// acquireSeat acquires one available seat. It skips an expired seat whose holder is still in
// contact with this instance, because a holder that cannot reach the store may still use it.
func (le *Leaser) acquireSeat(ctx context.Context) error {
	for _, ob := range le.seats {
		le.mu.Lock()
		holder := ob.Lease().Holder
		available := ob.MayAcquire(le.Clock.Now())
		le.mu.Unlock()
		if available && (holder == "" || holder == le.Instance || !le.Peers.InContact(holder)) {
			return ignoreConflict(le.write(ctx, ob, le.Instance, 1))
		}
	}
	return nil
}

// releaseSeat lowers the limit to the remaining seats, and releases one seat once current use
// fits within that limit.
func (le *Leaser) releaseSeat(ctx context.Context, remaining int) error {
	le.Shares.SetSeats(remaining)
	if !le.Shares.FitsWithin(remaining) {
		return nil
	}
	for _, ob := range le.seats {
		le.mu.Lock()
		held := ob.Held()
		le.mu.Unlock()
		if held {
			return ignoreConflict(le.write(ctx, ob, "", 1))
		}
	}
	return nil
}

// Seats returns the number of seats that this instance may use now. A seat that was not
// renewed in time counts only while every other instance of the zone is in contact with this
// one, because then none of them acquires it.
func (le *Leaser) Seats() int {
	allInContact := le.Peers.AllInContact()
	le.mu.Lock()
	defer le.mu.Unlock()
	count := 0
	now := le.Clock.Now()
	for _, ob := range le.seats {
		if ob.Valid(now) || ob.Held() && allInContact {
			count++
		}
	}
	return count
}
