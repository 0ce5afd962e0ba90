// Package tracker decides who may hold a lease. Another instance may acquire a lease whose
// row has not changed for the lease duration by that instance's own clock. A holder that
// has not renewed in time stops acting under the lease before it expires.
package tracker

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// marginDivisor sets the safety margin: the holder stops acting 1/marginDivisor of the lease
// duration before the lease expires.
const marginDivisor = 4

type (
	// Lease is the content of a lease row as last read or written.
	Lease struct {
		Holder identifier.Instance
		Epoch  meter.LeaseEpoch
		// Version is the version of the row; 0 means that the row does not exist.
		Version meter.RowVersion
	}

	// Observer tracks the state of one lease. It is not safe for concurrent use; the caller
	// must serialize access.
	Observer struct {
		self     identifier.Instance
		duration clock.Millis
		last     Lease
		// changedAt is when the current version was first read; -1 means that the row has
		// not been read yet.
		changedAt clock.Millis
		// renewedAt is when this instance sent its last successful renewal; valid while held.
		renewedAt clock.Millis
		// held means that the row names this instance and that this process acquired the
		// lease.
		held bool
	}
)

// New returns an observer of a lease that has not been read yet.
func New(self identifier.Instance, duration clock.Millis) *Observer {
	return &Observer{self: self, duration: duration, changedAt: -1}
}

// Observe records the row as read at the given time. A version that is not newer than the last
// one is ignored.
func (ob *Observer) Observe(le Lease, now clock.Millis) {
	if ob.changedAt >= 0 && le.Version <= ob.last.Version {
		return
	}
	if le.Holder != ob.self || le.Epoch != ob.last.Epoch {
		ob.held = false
	}
	ob.last, ob.changedAt = le, now
}

// RecordWrite records that this instance wrote the row with a request sent at the given time.
func (ob *Observer) RecordWrite(le Lease, sent clock.Millis) {
	ob.last, ob.held = le, true
	ob.renewedAt, ob.changedAt = sent, sent
}

// MarkLost records that the row differs from the expected one, so that the lease is lost.
func (ob *Observer) MarkLost() { ob.held = false }

// Valid reports whether this instance may act under the lease at the given time.
func (ob *Observer) Valid(now clock.Millis) bool {
	return ob.held && now-ob.renewedAt < ob.duration-ob.duration/marginDivisor
}

// Held reports whether this instance was the last known writer of the row, also after the
// lease has expired.
func (ob *Observer) Held() bool { return ob.held }

// MayAcquire reports whether this instance may acquire the lease: its row does not exist, names
// no holder, or has not changed for the lease duration.
func (ob *Observer) MayAcquire(now clock.Millis) bool {
	if ob.changedAt < 0 || ob.held {
		return false
	}
	return ob.last.Version == 0 || ob.last.Holder == "" || now-ob.changedAt >= ob.duration
}

// Lease returns the row as last read or written.
func (ob *Observer) Lease() Lease { return ob.last }
