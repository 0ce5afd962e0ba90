// Package elector elects the leader among the instances. It follows the leader row in the
// store, acquires leadership when the current leader has failed, and releases it.
package elector

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

const (
	// WriteTimeout bounds one attempt of a transaction, which usually takes 6 ms and up to
	// 60 times as long when the store is slow.
	WriteTimeout = 900 * clock.Millis(1)
	// RetryPause is the pause before a failed store call is retried.
	RetryPause = 150 * clock.Millis(1)
	// maxWatchWait is the longest time that the store may hold a standby's Watch call while
	// it waits for a renewal.
	maxWatchWait = 1000 * clock.Millis(1)
)

type (
	// Store is the part of the table service that the elector uses.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Watch(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		CloseIdleConnections()
	}

	// Peers checks whether other instances are running.
	Peers interface {
		// AwaitExit waits until the process at an address is known to have ended. It returns
		// false if ctx is done first.
		AwaitExit(ctx context.Context, address string) bool
		// Ping reports whether the process at an address answers within a short timeout.
		Ping(ctx context.Context, address string) bool
	}

	// Metrics counts takeovers by their reason.
	Metrics interface {
		Count(name, label string)
	}

	// Options are the settings of an elector.
	Options struct {
		// Self is the row that this process writes when it becomes the leader.
		Self ledger.Leader
		// TakeoverTimeout is the time without a renewal after which another instance acquires
		// leadership.
		TakeoverTimeout clock.Millis
		// ElectionDelay is how long this instance lets others run first.
		ElectionDelay clock.Millis
	}

	// Elector follows the leader row and acquires leadership for this instance.
	Elector struct {
		Options
		store Store
		peers Peers
		// jitter is a random part of the election delay, drawn once per elector.
		jitter  clock.Millis
		cl      clock.Clock
		log     zerolog.Logger
		metrics Metrics

		// readVersion is the store version up to which changes of the row have been read; 0
		// means that the row must be read.
		readVersion meter.RowVersion
		// unchangedSince is the time from which every call has succeeded and found the row
		// unchanged; 0 means that the last call failed.
		unchangedSince clock.Millis
		// pingedVersion is the row version for which the leader was last pinged.
		pingedVersion meter.RowVersion
		// watchedIncarnation is the incarnation of the leader whose process is watched;
		// stopWatch ends the watch.
		watchedIncarnation string
		stopWatch          context.CancelFunc

		// mu guards the fields below. Only Acquire and RecordRenewal change leader and version,
		// so they read these two without mu.
		mu locker.Mutex
		// leader is nil while the row is absent.
		leader  *ledger.Leader
		version meter.RowVersion
		// acquiredAt is when the transaction that made this instance the leader was first sent.
		acquiredAt clock.Millis
		// suspicion is the last report that a leader has failed. It is ignored unless it
		// matches the leader in the row.
		suspicion suspicion
		// interrupt cancels the Watch call in progress; interrupted records that it was
		// called.
		interrupt   context.CancelFunc
		interrupted bool
	}
)

// New returns an elector that makes no store calls until Acquire.
func New(st Store, pe Peers, cl clock.Clock, log zerolog.Logger, mt Metrics, op Options) *Elector {
	jitter := clock.Millis(rand.Int64N(int64(maxElectionJitter))) //nolint:gosec // spreads calls; not security-sensitive
	return &Elector{Options: op, store: st, peers: pe, jitter: jitter, cl: cl, log: log, metrics: mt, mu: locker.New(locker.RankPolicy)}
}

// Leader returns the leader row. After Acquire has returned true, the leader is this instance.
func (el *Elector) Leader() ledger.Leader { return *el.leader }

// Version returns the version of the leader row. Every commit of the leader is conditional
// on it.
func (el *Elector) Version() meter.RowVersion { return el.version }

// AcquiredAt returns when the transaction that made this instance the leader was first sent; it
// took effect at this time or later.
func (el *Elector) AcquiredAt() clock.Millis { return el.acquiredAt }

// RecordRenewal records the row that this instance has written as the leader.
func (el *Elector) RecordRenewal(next ledger.Leader, version meter.RowVersion) {
	el.setRow(&next, version)
}

// Acquire waits until this instance is the leader. It returns false if ctx is done first.
func (el *Elector) Acquire(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // also stops the goroutine that watches the leader's process
	for ctx.Err() == nil {
		if err := el.refresh(ctx); err != nil {
			if ctx.Err() == nil {
				el.log.Debug().Err(err).Msg("leadershipReadFailed")
			}
			el.unchangedSince = 0
			el.dropReportedSuspicion()
			el.store.CloseIdleConnections()
			clock.Sleep(ctx, el.cl, RetryPause)
			continue
		}
		el.pingLeader(ctx)
		reason := el.takeoverReason()
		if reason != "" && el.tryAcquire(ctx, reason) {
			return true
		}
	}
	return false
}

// refresh reads the row, or waits for it to change once it has been read.
func (el *Elector) refresh(ctx context.Context) error {
	if el.readVersion == 0 {
		bound, cancel := el.cl.WithTimeout(ctx, WriteTimeout)
		defer cancel()
		page, err := el.store.Read(bound, recorder.Leadership, "", "", 0)
		if err != nil {
			return err
		}
		el.setRow(nil, 0)
		return el.apply(ctx, page)
	}
	waitTime := el.waitTime()
	bound, cancel := el.cl.WithTimeout(ctx, waitTime+WriteTimeout)
	defer cancel()
	el.mu.Lock()
	el.interrupt, el.interrupted = cancel, false
	el.mu.Unlock()
	page, err := el.store.Watch(bound, recorder.Leadership, el.readVersion, waitTime)
	el.mu.Lock()
	el.interrupt = nil
	interrupted := el.interrupted
	el.mu.Unlock()
	if eris.Is(err, rowstore.ErrCompacted) {
		el.readVersion = 0
		return nil
	}
	if interrupted {
		return nil
	}
	if err != nil {
		return err
	}
	return el.apply(ctx, page)
}

// waitTime returns how long the store may hold the next Watch call: until the leader is
// due to be pinged or leadership may be acquired, and at most maxWatchWait.
func (el *Elector) waitTime() clock.Millis {
	now, waitTime := el.cl.Now(), maxWatchWait
	if el.unchangedSince > 0 {
		waitTime = min(waitTime, el.unchangedSince+el.acquireDelay()-now)
		if el.pingedVersion != el.version {
			waitTime = min(waitTime, el.unchangedSince+pingAfter-now)
		}
	}
	if su, suspected := el.suspected(); suspected {
		waitTime = min(waitTime, su.at+el.suspicionDelay()-now)
	}
	return max(waitTime, 1)
}

// apply records a page that was read from the store and watches the process of its leader.
func (el *Elector) apply(ctx context.Context, page rowstore.Page) error {
	if el.unchangedSince == 0 {
		el.unchangedSince = el.cl.Now()
	}
	for _, ro := range page.Rows {
		if ro.Key != recorder.LeadershipKey || ro.Version <= el.version {
			continue
		}
		leader, err := recorder.Decode[ledger.Leader](ro)
		if err != nil {
			return err
		}
		el.setRow(&leader, ro.Version)
		el.unchangedSince = el.cl.Now()
	}
	el.readVersion = max(page.Version, el.version)
	el.watchLeader(ctx)
	return nil
}

func (el *Elector) setRow(leader *ledger.Leader, version meter.RowVersion) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.leader, el.version = leader, version
}

// takeoverReason returns why this instance may acquire leadership now, or "" if it may not.
func (el *Elector) takeoverReason() string {
	switch {
	case el.leader != nil && el.leader.Instance == el.Self.Instance:
		return "held by a former process of this instance"
	case el.suspicionReason() != "":
		return el.suspicionReason()
	case el.unchangedSince == 0 || el.cl.Now()-el.unchangedSince < el.acquireDelay():
		return ""
	case el.leader == nil:
		return "never held"
	case el.leader.Instance == "":
		return "given up"
	}
	return "not renewed"
}

// unchangedFor returns how long the row is known not to have changed, or 0 if the last store
// call failed.
func (el *Elector) unchangedFor() clock.Millis {
	if el.unchangedSince == 0 {
		return 0
	}
	return el.cl.Now() - el.unchangedSince
}

// acquireDelay returns how long the row must not have changed before this instance acquires
// leadership. Instances with less CPU have a longer election delay and so let others go first.
func (el *Elector) acquireDelay() clock.Millis {
	if el.leader == nil || el.leader.Instance == "" {
		return el.ElectionDelay
	}
	return el.TakeoverTimeout + el.ElectionDelay
}

// tryAcquire tries to become the leader with the next fencing token.
func (el *Elector) tryAcquire(ctx context.Context, reason string) bool {
	next := el.Self
	next.Fence = 1
	previous := identifier.Instance("")
	if el.leader != nil {
		next.Fence = el.leader.Fence + 1
		previous = el.leader.Instance
		next.Formers = el.formers(*el.leader)
	}
	el.acquiredAt = el.cl.Now()
	version, err := el.write(ctx, el.version, next)
	if err != nil {
		el.log.Info().Err(err).Str("former", string(previous)).Msg("leadershipNotAcquired")
		el.readVersion, el.unchangedSince = 0, 0
		el.dropReportedSuspicion()
		return false
	}
	el.metrics.Count("takeovers", reason)
	el.log.Info().Str("why", reason).Str("former", string(previous)).Int64("fence", int64(next.Fence)).
		Int("formers", len(next.Formers)).Int64("unchangedMillis", int64(el.unchangedFor())).Msg("leadershipAcquired")
	el.setRow(&next, version)
	return true
}

// formers lists the leaders whose terms may not have ended when this instance replaces a leader: that one,
// unless it has released leadership, and those that it did not know to have ended. A process takes
// leadership after its own former terms, and after the end of a former process of its instance.
func (el *Elector) formers(replaced ledger.Leader) []ledger.FormerLeader {
	all := slices.Clone(replaced.Formers)
	if replaced.Instance != "" {
		last := ledger.FormerLeader{Instance: replaced.Instance, Incarnation: replaced.Incarnation, Fence: replaced.Fence, Address: replaced.Address}
		all = slices.DeleteFunc(all, func(fo ledger.FormerLeader) bool {
			return fo.Instance == last.Instance && fo.Incarnation == last.Incarnation
		})
		all = append(all, last)
	}
	return slices.DeleteFunc(all, func(fo ledger.FormerLeader) bool { return fo.Instance == el.Self.Instance })
}

// write writes the row if it still has the version. If the store does not answer, it repeats
// the same transaction to learn whether the row was written.
func (el *Elector) write(ctx context.Context, version meter.RowVersion, next ledger.Leader) (meter.RowVersion, error) {
	value := recorder.Encode(next)
	tr := rowstore.Transaction{
		Preconditions: []rowstore.Precondition{{Key: recorder.LeadershipKey, Version: version}},
		Puts:          []rowstore.Put{{Key: recorder.LeadershipKey, Value: value}},
	}
	for {
		bound, cancel := el.cl.WithTimeout(ctx, WriteTimeout)
		written, err := el.store.Write(bound, tr)
		cancel()
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			return written, nil
		case eris.As(err, &conflict):
			if row := conflict.Row(recorder.LeadershipKey); bytes.Equal(row.Value, value) {
				return row.Version, nil
			}
			return 0, err
		case !eris.Is(err, rowstore.ErrOutcomeUnknown) || ctx.Err() != nil:
			return 0, err
		}
		el.store.CloseIdleConnections()
		if !clock.Sleep(ctx, el.cl, RetryPause) {
			return 0, err
		}
	}
}

// Release releases leadership, so that another instance can acquire it at once.
func (el *Elector) Release(ctx context.Context) {
	next := *el.leader
	next.Instance = ""
	if _, err := el.write(ctx, el.version, next); err != nil {
		el.log.Warn().Err(err).Msg("leadershipReleaseFailed")
		return
	}
	el.log.Info().Int64("fence", int64(next.Fence)).Msg("leadershipReleased")
}
