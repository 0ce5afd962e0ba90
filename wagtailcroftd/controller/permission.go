package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
)

const (
	// renewInterval is the longest time between two renewals, a fraction of the shortest takeover
	// timeout, and minRenewInterval the shortest.
	renewInterval    = 800 * clock.Millis(1)
	minRenewInterval = 200 * clock.Millis(1)
	// transferAfter is how long the store may accept no write before the leader asks other
	// instances to acquire the leadership. It is far longer than a slow answer and far shorter
	// than the takeover timeout.
	transferAfter = 500 * clock.Millis(1)
	// transferInterval is the time between two such requests.
	transferInterval = 1000 * clock.Millis(1)
	// offerInterval is the time between two offers to transfer the leadership to an instance
	// with more CPU. It gives an instance that has just restarted time to catch up with the
	// store.
	offerInterval = 4000 * clock.Millis(1)
)

// permission is what the leader itself knows about how long no other instance can be the leader.
// It does not depend on workers or machines that check fencing tokens.
type permission struct {
	// renewedAt is when the last successful renewal of the leadership was sent.
	renewedAt clock.Millis
	// commitTime is how long the last successful commit took.
	commitTime clock.Millis
	// renewals is the number of renewals that the store has confirmed, attempted that of the
	// last renewal that was sent; it is never lower.
	renewals, attempted int64
	// transferEndsAt is the number of renewals at which the last request or offer of a transfer
	// ends, requestEndsAt that of the last request.
	transferEndsAt, requestEndsAt int64
	// transferRequestedAt is when other instances were last asked to acquire the leadership.
	transferRequestedAt clock.Millis
	// heldBack means that commands are due and may not leave.
	heldBack bool
	// startsHeldBack means that starts are due and may not leave, because the evacuations are not confirmed.
	startsHeldBack bool
}

// exclusiveUntil returns the moment until which no other instance acquires the leadership. After
// a request or an offer of a transfer there is none until a renewal has ended it.
func (pe *permission) exclusiveUntil() clock.Millis {
	if pe.renewals < pe.transferEndsAt {
		return 0
	}
	return pe.renewedAt + elector.ExclusivePeriod
}

// renewAt returns when the next renewal is due: at once to end the request of a transfer that
// nobody has followed. A renewal takes as long as a commit and may have to wait for the one before,
// so that a slow store needs it earlier.
func (pe *permission) renewAt() clock.Millis {
	if pe.renewals < pe.requestEndsAt {
		return pe.renewedAt
	}
	return pe.renewedAt + min(max(renewInterval-2*pe.commitTime, minRenewInterval), renewInterval)
}

// renewalDue reports whether the leadership must be renewed. Only the rounds renew it.
func (te *term) renewalDue() bool {
	te.mu.Lock()
	defer te.mu.Unlock()
	return te.Clock.Now() >= te.renewAt()
}

// untilRenewal returns how long a round may wait for a trigger.
func (te *term) untilRenewal() clock.Millis {
	te.mu.Lock()
	defer te.mu.Unlock()
	return max(min(maxRoundInterval, te.renewAt()-te.Clock.Now()), 1)
}

// changeBy returns the latest moment at which a command may leave that starts or stops something.
func (te *term) changeBy() clock.Millis { return te.exclusiveUntil() }

// maintenanceBy returns the latest moment at which a maintenance command may leave. Unlike changeBy, it
// is called without mu.
func (te *term) maintenanceBy() clock.Millis {
	te.mu.Lock()
	defer te.mu.Unlock()
	return te.changeBy()
}

// keepBy returns the latest moment at which a command may leave that only keeps what is running.
// It may be sent twice around a takeover; a new leader waits for leases that were granted up to
// this moment.
func (te *term) keepBy() clock.Millis { return te.confirmedAt + maxUnconfirmed }

// mayChange reports whether a command that starts or stops something may leave now, and logs when
// this changes while commands are due.
func (te *term) mayChange(now clock.Millis) bool {
	held := now >= te.changeBy()
	if held != te.heldBack {
		te.heldBack = held
		te.log.Info().Bool("held", held).Int64("unrenewedMillis", int64(now-te.renewedAt)).
			Bool("transfer", te.renewals < te.transferEndsAt).Msg("commandsHeldBack")
	}
	return !held
}

// target returns the address of a worker for a command that must leave by a moment.
func (wo *worker) target(sendBy clock.Millis) fleet.Target {
	return fleet.Target{ID: wo.id, Address: wo.report.Address, SendBy: sendBy}
}

// requestTransfer asks other instances to acquire the leadership when the store has accepted no
// write from this one for a while, because they may still reach the store.
func (te *term) requestTransfer(since clock.Millis) {
	te.mu.Lock()
	now := te.Clock.Now()
	if now-since < transferAfter || now-te.transferRequestedAt < transferInterval {
		te.mu.Unlock()
		return
	}
	te.transferRequestedAt = now
	ends := te.attempted + 1
	te.transferEndsAt, te.requestEndsAt = ends, ends
	te.mu.Unlock()
	te.log.Info().Int64("failingMillis", int64(now-since)).Msg("leadershipTransferNeeded")
	te.Peers.RequestTransfer(te.ctx, te.fence, ends)
}

// offerTransfers regularly offers the leadership to an instance with more CPU, as long as the
// store accepts writes from this one. An instance with little CPU can have become the leader while
// the others were cut off or had failed.
func (te *term) offerTransfers() {
	for clock.Sleep(te.ctx, te.Clock, offerInterval) {
		te.mu.Lock()
		reachable := te.Clock.Now()-te.confirmedAt < offerInterval/2
		before := te.transferEndsAt
		ends := te.attempted + 1
		if reachable {
			te.transferEndsAt = ends
		}
		te.mu.Unlock()
		if !reachable || te.Peers.OfferTransfer(te.ctx, te.fence, ends) {
			continue
		}
		te.mu.Lock()
		if te.transferEndsAt == ends {
			te.transferEndsAt = before
		}
		te.mu.Unlock()
	}
}
