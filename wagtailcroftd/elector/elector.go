// Package elector decides which instance holds the duty: it follows the duty's row, takes
// it when its holder has gone, and gives it up.
package elector

import (
	"bytes"
	"context"
	"math/rand/v2"

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
	// WriteTimeout bounds one try of a transaction: 6 ms as a rule, 60 times that when the
	// store is slow.
	WriteTimeout = 900 * clock.Millis(1)
	// RetryPause lies between two tries of a call that failed.
	RetryPause = 150 * clock.Millis(1)
	// watchWait is how long the store may wait for a renewal before it answers a standby.
	watchWait = 1000 * clock.Millis(1)
)

type (
	// Store is what the elector needs of the table service.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		Reset()
	}

	// Peers knows the other instances.
	Peers interface {
		// Ended waits until the process at an address has certainly ended; false means that
		// ctx has.
		Ended(ctx context.Context, address string) bool
		// Answers reports whether the process at an address works; it asks for a short time.
		Answers(ctx context.Context, address string) bool
	}

	// Meters counts events.
	Meters interface {
		Count(name, label string)
	}

	// Options are the settings of an elector.
	Options struct {
		// Me is this process as it stands in the row once it holds the duty.
		Me ledger.Holder
		// Takeover is the time without a renewal after which the duty is taken.
		Takeover clock.Millis
		// Yield is how long this instance lets others take the duty first.
		Yield clock.Millis
	}

	// Elector is the duty's row as this instance last saw it.
	Elector struct {
		Options
		store Store
		peers Peers
		// jitter is drawn once.
		jitter clock.Millis
		cl     clock.Clock
		log    zerolog.Logger
		meters Meters

		// after is the store version up to which the row is known; 0 means not at all.
		after meter.RowVersion
		// unchanged is since when successful calls have shown the same row; 0 means that
		// the last call failed.
		unchanged clock.Millis
		// asked is the version of the row for which the holder was asked whether it works.
		asked meter.RowVersion
		// watched is the incarnation of the holder whose process is watched; unwatch ends
		// that.
		watched string
		unwatch context.CancelFunc

		// mu guards what follows; the row is changed by Acquire and Renewed alone, and read
		// by them without it.
		mu locker.Mutex
		// holder is nil while the row is absent.
		holder  *ledger.Holder
		version meter.RowVersion
		// hint says that a holder has gone; its incarnation must still be the row's.
		hint hint
		// interrupt ends the call that waits for a change of the row; interrupted means that
		// it has.
		interrupt   context.CancelFunc
		interrupted bool
	}
)

// New returns an elector that knows nothing until Acquire.
func New(st Store, pe Peers, cl clock.Clock, log zerolog.Logger, me Meters, op Options) *Elector {
	jitter := clock.Millis(rand.Int64N(int64(hintJitter))) //nolint:gosec // spreads calls, keeps no secret
	return &Elector{Options: op, store: st, peers: pe, jitter: jitter, cl: cl, log: log, meters: me, mu: locker.New(locker.RankPolicy)}
}

// Holder is the row of the holder, which is this instance after Acquire.
func (el *Elector) Holder() ledger.Holder { return *el.holder }

// Version is that of the row, on which each commit of the holder is conditioned.
func (el *Elector) Version() meter.RowVersion { return el.version }

// Renewed takes the row that the holder has written.
func (el *Elector) Renewed(next ledger.Holder, version meter.RowVersion) {
	el.set(&next, version)
}

// Acquire waits until this instance holds the duty. It returns only then or when ctx
// has ended.
func (el *Elector) Acquire(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // and with it the watch
	for ctx.Err() == nil {
		if err := el.look(ctx); err != nil {
			if ctx.Err() == nil {
				el.log.Debug().Err(err).Msg("dutyUnread")
			}
			el.unchanged = 0
			el.dropWord()
			el.store.Reset()
			clock.Sleep(ctx, el.cl, RetryPause)
			continue
		}
		el.doubt(ctx)
		why := el.free()
		if why != "" && el.take(ctx, why) {
			return true
		}
	}
	return false
}

// look learns the row, or that it has not changed.
func (el *Elector) look(ctx context.Context) error {
	if el.after == 0 {
		bound, cancel := el.cl.Bound(ctx, WriteTimeout)
		defer cancel()
		page, err := el.store.Read(bound, recorder.Duty, "", "", 0)
		if err != nil {
			return err
		}
		el.set(nil, 0)
		return el.apply(ctx, page)
	}
	wait := el.wait()
	bound, cancel := el.cl.Bound(ctx, wait+WriteTimeout)
	defer cancel()
	el.mu.Lock()
	el.interrupt, el.interrupted = cancel, false
	el.mu.Unlock()
	page, err := el.store.Follow(bound, recorder.Duty, el.after, wait)
	el.mu.Lock()
	el.interrupt = nil
	interrupted := el.interrupted
	el.mu.Unlock()
	if eris.Is(err, rowstore.ErrCompacted) {
		el.after = 0
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

// wait is how long the store may wait before it answers: no longer than until the duty
// may be taken.
func (el *Elector) wait() clock.Millis {
	now, wait := el.cl.Now(), watchWait
	if el.unchanged > 0 {
		wait = min(wait, el.unchanged+el.patience()-now)
		if el.asked != el.version {
			wait = min(wait, el.unchanged+doubtAfter-now)
		}
	}
	if hi, hinted := el.hinted(); hinted {
		wait = min(wait, hi.at+el.hintYield()-now)
	}
	return max(wait, 1)
}

func (el *Elector) apply(ctx context.Context, page rowstore.Page) error {
	if el.unchanged == 0 {
		el.unchanged = el.cl.Now()
	}
	for _, ro := range page.Rows {
		if ro.Key != recorder.DutyKey || ro.Version <= el.version {
			continue
		}
		holder, err := recorder.Decode[ledger.Holder](ro)
		if err != nil {
			return err
		}
		el.set(&holder, ro.Version)
		el.unchanged = el.cl.Now()
	}
	el.after = max(page.Version, el.version)
	el.watch(ctx)
	return nil
}

// set takes the row of a holder.
func (el *Elector) set(holder *ledger.Holder, version meter.RowVersion) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.holder, el.version = holder, version
}

// free tells why the duty may be taken; an empty text means that it may not.
func (el *Elector) free() string {
	switch {
	case el.holder != nil && el.holder.Instance == el.Me.Instance:
		return "held by a former process of this instance"
	case el.gone() != "":
		return el.gone()
	case el.unchanged == 0 || el.cl.Now()-el.unchanged < el.patience():
		return ""
	case el.holder == nil:
		return "never held"
	case el.holder.Instance == "":
		return "given up"
	}
	return "not renewed"
}

// age is for how long the row is known to have stayed as it is; 0 where the store did not
// answer last.
func (el *Elector) age() clock.Millis {
	if el.unchanged == 0 {
		return 0
	}
	return el.cl.Now() - el.unchanged
}

// patience is how long the row must have stayed as it is before this instance takes the
// duty: instances with less processor let the others go first.
func (el *Elector) patience() clock.Millis {
	if el.holder == nil || el.holder.Instance == "" {
		return el.Yield
	}
	return el.Takeover + el.Yield
}

// take tries to become holder with the next fence.
func (el *Elector) take(ctx context.Context, why string) bool {
	next := el.Me
	next.Fence = 1
	former := identifier.Instance("")
	if el.holder != nil {
		next.Fence = el.holder.Fence + 1
		former = el.holder.Instance
	}
	version, err := el.write(ctx, el.version, next)
	if err != nil {
		el.log.Info().Err(err).Str("former", string(former)).Msg("dutyNotTaken")
		el.after, el.unchanged = 0, 0
		el.dropWord()
		return false
	}
	el.meters.Count("takeovers", why)
	el.log.Info().Str("why", why).Str("former", string(former)).Int64("fence", int64(next.Fence)).
		Int64("unchangedMillis", int64(el.age())).Msg("dutyTaken")
	el.set(&next, version)
	return true
}

// write puts the row on condition of its version, and finds out what became of it where
// the answer was lost.
func (el *Elector) write(ctx context.Context, version meter.RowVersion, next ledger.Holder) (meter.RowVersion, error) {
	value := recorder.Encode(next)
	tr := rowstore.Transaction{
		Expect: []rowstore.Expectation{{Key: recorder.DutyKey, Version: version}},
		Puts:   []rowstore.Put{{Key: recorder.DutyKey, Value: value}},
	}
	for {
		bound, cancel := el.cl.Bound(ctx, WriteTimeout)
		written, err := el.store.Write(bound, tr)
		cancel()
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			return written, nil
		case eris.As(err, &conflict):
			if row := conflict.Row(recorder.DutyKey); bytes.Equal(row.Value, value) {
				return row.Version, nil
			}
			return 0, err
		case !eris.Is(err, rowstore.ErrUnknown) || ctx.Err() != nil:
			return 0, err
		}
		el.store.Reset()
		if !clock.Sleep(ctx, el.cl, RetryPause) {
			return 0, err
		}
	}
}

// Release gives the duty up, so that another instance takes it at once.
func (el *Elector) Release(ctx context.Context) {
	next := *el.holder
	next.Instance = ""
	if _, err := el.write(ctx, el.version, next); err != nil {
		el.log.Warn().Err(err).Msg("dutyNotReleased")
		return
	}
	el.log.Info().Int64("fence", int64(next.Fence)).Msg("dutyReleased")
}
