// Package tracker decides who may hold a lease: a lease whose row has not changed for its
// whole length, by the observer's own clock, may be taken; a holder that has not renewed
// in time stops.
package tracker

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// margin is the part of a lease, one in margin, by which its holder stops early.
const margin = 4

type (
	// Lease is a lease row as it was last read.
	Lease struct {
		Holder identifier.Instance
		Epoch  meter.LeaseEpoch
		// Version is the row's version; 0 means that the row is absent.
		Version meter.RowVersion
	}

	// Observer watches one lease. It is not safe for concurrent use; its owner guards it.
	Observer struct {
		self   identifier.Instance
		length clock.Millis
		last   Lease
		// changed is when the present version was first seen.
		changed clock.Millis
		// renewed is when this instance sent its last successful renewal; valid while held.
		renewed clock.Millis
		// held means that the row names this instance and that this process took it.
		held bool
	}
)

// New returns an observer of a lease that has not been read yet.
func New(self identifier.Instance, length clock.Millis) *Observer {
	return &Observer{self: self, length: length, changed: -1}
}

// Saw records what was read of the row. Older versions than the last are ignored.
func (ob *Observer) Saw(le Lease, now clock.Millis) {
	if ob.changed >= 0 && le.Version <= ob.last.Version {
		return
	}
	if le.Holder != ob.self || le.Epoch != ob.last.Epoch {
		ob.held = false
	}
	ob.last, ob.changed = le, now
}

// Won records that this instance wrote the row, by a request that it sent at the time.
func (ob *Observer) Won(le Lease, sent clock.Millis) {
	ob.last, ob.held = le, true
	ob.renewed, ob.changed = sent, sent
}

// Lost records that the row was not as this instance believed.
func (ob *Observer) Lost() { ob.held = false }

// Holds reports whether this instance may act under the lease now.
func (ob *Observer) Holds(now clock.Millis) bool {
	return ob.held && now-ob.renewed < ob.length-ob.length/margin
}

// Held reports whether this instance was the last to write the row, as far as it knows.
func (ob *Observer) Held() bool { return ob.held }

// MayTake reports whether the lease is free: absent, given up, or unchanged for its whole
// length.
func (ob *Observer) MayTake(now clock.Millis) bool {
	if ob.changed < 0 || ob.held {
		return false
	}
	return ob.last.Version == 0 || ob.last.Holder == "" || now-ob.changed >= ob.length
}

// Last returns the row as it was last read or written.
func (ob *Observer) Last() Lease { return ob.last }
