package elector

import (
	"context"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// reportTimeout is how long a suspicion that another instance reported is valid; the
	// leader may recover.
	reportTimeout = 1000 * clock.Millis(1)
	// pingAfter is how long the row must not have changed before a standby pings the leader:
	// one renewal interval plus the network latency of the next renewal.
	pingAfter = 950 * clock.Millis(1)
	// ExclusivePeriod is the time after a renewal was sent in which no other instance acquires
	// the leadership, unless the leader has asked for it or its process has ended: a standby does
	// nothing for pingAfter. A clock may run 3% fast.
	ExclusivePeriod = pingAfter * 97 / 100
	// suspicionDelayDivisor shortens the election delay when the leader is suspected. The
	// shortened delays of instances with different CPU still differ by more than the network
	// latency to the store.
	suspicionDelayDivisor = 4
	// maxElectionJitter spreads the attempts of instances with equal CPU, of which only one
	// succeeds; a transaction takes 6 ms.
	maxElectionJitter = 40 * clock.Millis(1)
)

// suspicion is a report by another instance, or an observation by this one, that a leader
// has failed.
type suspicion struct {
	// incarnation is the incarnation of the leader, or "" for a report by another instance.
	incarnation string
	fence       meter.LeaseEpoch
	// version is the only row version for which the suspicion is valid; 0 means any version.
	version meter.RowVersion
	// endsAtRenewal is the number of renewals from which the suspicion is no longer valid; 0 means
	// no such limit.
	endsAtRenewal int64
	reason        string
	at            clock.Millis
}

// AcceptTransfer makes this instance acquire leadership from the leader with a fencing token, at
// the request of that leader, until the leader's row has the given number of renewals; 0 means no
// such limit.
func (el *Elector) AcceptTransfer(fence meter.LeaseEpoch, endsAtRenewal int64) {
	el.suspect(suspicion{fence: fence, endsAtRenewal: endsAtRenewal, reason: "its holder asks for it"})
}

// suspect records a suspicion. With an incarnation the failure of the leader is certain; without one
// the suspicion expires after reportTimeout.
func (el *Elector) suspect(su suspicion) {
	el.mu.Lock()
	defer el.mu.Unlock()
	su.at = el.cl.Now()
	el.suspicion = su
	if el.interrupt != nil {
		el.interrupted = true
		el.interrupt()
	}
}

// suspected returns the suspicion if it is valid for the current leader.
func (el *Elector) suspected() (suspicion, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	su := el.suspicion
	if el.leader == nil || su.fence == 0 || su.fence != el.leader.Fence {
		return suspicion{}, false
	}
	if su.incarnation == "" {
		ended := su.endsAtRenewal != 0 && el.leader.Renewals >= su.endsAtRenewal
		return su, !ended && el.cl.Now()-su.at <= reportTimeout
	}
	return su, su.incarnation == el.leader.Incarnation && (su.version == 0 || su.version == el.version)
}

// dropReportedSuspicion discards a suspicion that another instance reported. It is called
// when the store does not answer this instance either, or when another instance has acquired
// leadership first.
func (el *Elector) dropReportedSuspicion() {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.suspicion.incarnation == "" {
		el.suspicion = suspicion{}
	}
}

// watchLeader starts a goroutine that records a suspicion when the leader's process ends.
func (el *Elector) watchLeader(ctx context.Context) {
	if el.leader == nil || el.leader.Address == "" || el.leader.Instance == el.Self.Instance || el.leader.Incarnation == el.watchedIncarnation {
		return
	}
	if el.stopWatch != nil {
		el.stopWatch()
	}
	ctx, el.stopWatch = context.WithCancel(ctx)
	watched := *el.leader
	el.watchedIncarnation = watched.Incarnation
	go func() {
		if el.peers.AwaitExit(ctx, watched.Address) {
			el.suspect(suspicion{incarnation: watched.Incarnation, fence: watched.Fence, reason: "its process has ended"})
		}
	}()
}

// pingLeader pings the leader once a renewal is overdue, and suspects it if it does not
// answer. A leader that neither renews nor answers has died with its connection still open,
// hangs, or is cut off from the network.
func (el *Elector) pingLeader(ctx context.Context) {
	now := el.cl.Now()
	if el.leader == nil || el.leader.Instance == "" || el.leader.Instance == el.Self.Instance || el.leader.Address == "" ||
		el.unchangedSince == 0 || now-el.unchangedSince < pingAfter || el.pingedVersion == el.version {
		return
	}
	el.pingedVersion = el.version
	if _, suspected := el.suspected(); suspected || el.peers.Ping(ctx, el.leader.Address) || ctx.Err() != nil {
		return
	}
	el.log.Info().Str("holder", string(el.leader.Instance)).Int64("unchangedMillis", int64(el.cl.Now()-el.unchangedSince)).Msg("leaderSuspected")
	el.mu.Lock()
	defer el.mu.Unlock()
	el.suspicion = suspicion{
		incarnation: el.leader.Incarnation, fence: el.leader.Fence, version: el.version, reason: "it neither renews nor answers", at: el.cl.Now(),
	}
}

// suspicionReason returns why the leader is suspected, once the suspicion delay has passed,
// or "" otherwise.
func (el *Elector) suspicionReason() string {
	if su, suspected := el.suspected(); suspected && el.cl.Now()-su.at >= el.suspicionDelay() {
		return su.reason
	}
	return ""
}

// suspicionDelay returns the election delay when the leader is suspected. It is just long
// enough that the instances do not all write at the same time.
func (el *Elector) suspicionDelay() clock.Millis {
	return el.ElectionDelay/suspicionDelayDivisor + el.jitter
}
