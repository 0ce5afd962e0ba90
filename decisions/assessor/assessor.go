// Package assessor decides what proves that a run is over. It takes the evidence that a leader has of a
// run and returns a verdict; a task may start again only after Over. It makes no calls and keeps no state.
package assessor

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// Verdicts.
const (
	// Unknown means that the evidence proves nothing, so that what was known before still holds.
	Unknown Verdict = iota
	// Running means that the worker is executing the run.
	Running
	// Unsettled means that the run is not executed, as far as the worker tells, but may have ended in a
	// way that is not known, or may still begin. It must be stopped before it can be over.
	Unsettled
	// Stopped means that the run is over because the worker has accepted a stop for it.
	Stopped
	// Lost means that the run is over because the incarnation that executed it has ended.
	Lost

	// Proofs that a run is over, as they are logged.

	// Listed means that the worker has listed the run's end.
	Listed Proof = "listed"
	// ToldByLeader means that a former leader has told the end, which the worker had listed.
	ToldByLeader Proof = "toldByLeader"
	// StartNotSent means that no start was ever sent.
	StartNotSent Proof = "startNotSent"
	// StartRefused means that the worker has refused the only start.
	StartRefused Proof = "startRefused"
	// StopAccepted means that the worker has accepted a stop and a later complete answer lacks the run.
	StopAccepted Proof = "stopAccepted"
	// WorkerRestarted means that the worker itself has told another incarnation.
	WorkerRestarted Proof = "workerRestarted"
	// SuccessorAnswered means that another worker has answered at the address.
	SuccessorAnswered Proof = "successorAnswered"
	// LeasesExpired means that all leases have certainly expired.
	LeasesExpired Proof = "leasesExpired"

	// maxClockDrift is the maximum amount, in thousandths, by which the clock of a worker runs slow: 2%
	// by the specification of the platform, and 1% for the leader's own clock.
	maxClockDrift = 30
)

type (
	// Verdict is what is known of a run.
	Verdict int

	// Proof is what proves that a run is over.
	Proof string

	// Run is what a leader knows of a run from its own commands and from the store.
	Run struct {
		// Incarnation is the incarnation of the worker on which the run was placed.
		Incarnation workload.Incarnation
		// StartSent means that a start command has or may have been sent.
		StartSent bool
		// StartUncertain means that a start command without an answer may still be executed.
		StartUncertain bool
		// StartedAt is when the worker confirmed the run; 0 means not yet.
		StartedAt clock.Millis
		// StoppedAt is when the worker accepted a stop command; 0 means not yet.
		StoppedAt clock.Millis
	}

	// Answer is the part of a worker's answer to a poll that concerns one run. The run has not ended as
	// far as the answer lists ends; such an end is applied first.
	Answer struct {
		// Incarnation is the one that answered.
		Incarnation workload.Incarnation
		// SentAt is when the poll was sent, so that the answer is not older.
		SentAt clock.Millis
		// Listed means that the answer lists the run as in progress.
		Listed bool
		// Truncated means that there may be more ended runs than the answer lists.
		Truncated bool
	}

	// Lease is what a leader knows of the leases of a worker's runs.
	Lease struct {
		// Answered means that the worker has answered this leader. Since then it has refused leases of
		// former leaders.
		Answered bool
		// Clock is the reading of the worker's clock at the time ClockAt or earlier.
		Clock, ClockAt clock.Millis
		// End is the latest expiry that any leader can have granted, on the worker's clock.
		End clock.Millis
		// FormerEndsBy is when no former leader can grant a lease any more.
		FormerEndsBy clock.Millis
		// Duration is the length of a lease.
		Duration clock.Millis
	}
)

// Over reports whether the run is certainly over.
func (ve Verdict) Over() bool { return ve == Stopped || ve == Lost }

// FromAnswer judges a run by an answer of its worker to a poll.
func (ru Run) FromAnswer(an Answer) Verdict {
	if an.Listed {
		return Running
	}
	confirmed := ru.StartedAt > 0 && ru.StartedAt <= an.SentAt
	if ru.Incarnation != an.Incarnation {
		// The worker itself tells which incarnation it is. Only a start that is still under way may yet
		// be executed, by the present one.
		if !ru.StartSent || confirmed && !ru.StartUncertain {
			return Lost
		}
		return Unsettled
	}
	switch {
	case an.Truncated:
		return Unknown // its end may be among those that are not listed
	case ru.StoppedAt > 0 && ru.StoppedAt <= an.SentAt:
		return Stopped
	case confirmed && ru.StoppedAt == 0:
		return Unsettled
	}
	return Unknown
}

// FromSuccessor judges a run by the answer of another worker at the address at which an incarnation of its
// worker was reported. No command for that incarnation is executed any more, because the other worker
// refuses it.
func (ru Run) FromSuccessor(reported workload.Incarnation) Verdict {
	if ru.Incarnation == reported {
		return Lost
	}
	return Unknown // it was placed on an incarnation that may have another address
}

// ExpiresAt returns the time, on the leader's clock, after which all leases of the worker have certainly
// expired.
func (le Lease) ExpiresAt() clock.Millis {
	if !le.Answered {
		return le.FormerEndsBy + maxElapsed(le.Duration)
	}
	return le.ClockAt + maxElapsed(le.End-le.Clock)
}

// maxElapsed returns how long a span on the clock of a worker lasts at most.
func maxElapsed(span clock.Millis) clock.Millis { return max(span, 0) * (1000 + maxClockDrift) / 1000 }

// Supersedes reports whether an entry of the registry may tell of a newer incarnation of a worker than
// the one that the worker itself has told; 0 means that it has not told any. Entries can be older than
// what the worker tells, and even a newer one proves nothing about runs: the worker must be asked.
func Supersedes(entry, told workload.Incarnation) bool { return entry > told }
