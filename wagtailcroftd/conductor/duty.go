package conductor

import (
	"bytes"
	"context"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

const (
	// watchWait is how long the store may wait for a renewal before it answers a standby.
	watchWait = 1000 * clock.Millis(1)
	// renewEvery is the time between two renewals, a fraction of the least takeover time.
	renewEvery = 800 * clock.Millis(1)
	// writeTimeout bounds one try of a transaction: 6 ms as a rule, 60 times that when the
	// store is slow.
	writeTimeout = 900 * clock.Millis(1)
	// retryPause lies between two tries of a call that failed.
	retryPause = 150 * clock.Millis(1)
)

type (
	// duty is the row that says who decides, as this instance last saw it.
	duty struct {
		store    Store
		cl       clock.Clock
		log      zerolog.Logger
		meters   Meters
		me       ledger.Holder
		takeover clock.Millis
		// yield is how long this instance lets others go first.
		yield clock.Millis

		// holder is nil while the row is absent.
		holder  *ledger.Holder
		version meter.RowVersion
		// after is the store version up to which the row is known; 0 means not at all.
		after meter.RowVersion
		// unchanged is since when successful calls have shown the same row; 0 means that
		// the last call failed.
		unchanged clock.Millis
	}
)

func newDuty(st Store, cl clock.Clock, log zerolog.Logger, me Meters, op Options) *duty {
	return &duty{
		store: st, cl: cl, log: log, meters: me, takeover: op.Takeover, yield: op.Yield,
		me: ledger.Holder{Instance: op.Instance, Incarnation: op.Incarnation, Address: op.Address},
	}
}

// acquire waits until this instance holds the duty. It returns only then or when ctx
// has ended.
func (du *duty) acquire(ctx context.Context) bool {
	for ctx.Err() == nil {
		if err := du.look(ctx); err != nil {
			if ctx.Err() == nil {
				du.log.Debug().Err(err).Msg("dutyUnread")
			}
			du.unchanged = 0
			du.store.Reset()
			clock.Sleep(ctx, du.cl, retryPause)
			continue
		}
		why := du.free()
		if why != "" && du.take(ctx, why) {
			return true
		}
	}
	return false
}

// look learns the row, or that it has not changed.
func (du *duty) look(ctx context.Context) error {
	if du.after == 0 {
		bound, cancel := du.cl.Bound(ctx, writeTimeout)
		defer cancel()
		page, err := du.store.Read(bound, recorder.Duty, "", "", 0)
		if err != nil {
			return err
		}
		du.holder, du.version = nil, 0
		return du.apply(page)
	}
	wait := watchWait
	if du.unchanged > 0 {
		wait = min(wait, max(du.unchanged+du.patience()-du.cl.Now(), 1))
	}
	bound, cancel := du.cl.Bound(ctx, wait+writeTimeout)
	defer cancel()
	page, err := du.store.Follow(bound, recorder.Duty, du.after, wait)
	if eris.Is(err, rowstore.ErrCompacted) {
		du.after = 0
		return nil
	}
	if err != nil {
		return err
	}
	return du.apply(page)
}

func (du *duty) apply(page rowstore.Page) error {
	if du.unchanged == 0 {
		du.unchanged = du.cl.Now()
	}
	for _, ro := range page.Rows {
		if ro.Key != recorder.DutyKey || ro.Version <= du.version {
			continue
		}
		holder, err := recorder.Decode[ledger.Holder](ro)
		if err != nil {
			return err
		}
		du.holder, du.version, du.unchanged = &holder, ro.Version, du.cl.Now()
	}
	du.after = max(page.Version, du.version)
	return nil
}

// free tells why the duty may be taken; an empty text means that it may not.
func (du *duty) free() string {
	switch {
	case du.holder != nil && du.holder.Instance == du.me.Instance:
		return "held by a former process of this instance"
	case du.unchanged == 0 || du.cl.Now()-du.unchanged < du.patience():
		return ""
	case du.holder == nil:
		return "never held"
	case du.holder.Instance == "":
		return "given up"
	}
	return "not renewed"
}

// patience is how long the row must have stayed as it is before this instance takes the
// duty: instances with less processor let the others go first.
func (du *duty) patience() clock.Millis {
	if du.holder == nil || du.holder.Instance == "" {
		return du.yield
	}
	return du.takeover + du.yield
}

// take tries to become holder with the next fence.
func (du *duty) take(ctx context.Context, why string) bool {
	next := du.me
	next.Fence = 1
	former := identifier.Instance("")
	if du.holder != nil {
		next.Fence = du.holder.Fence + 1
		former = du.holder.Instance
	}
	version, err := du.write(ctx, du.version, next)
	if err != nil {
		du.log.Info().Err(err).Str("former", string(former)).Msg("dutyNotTaken")
		du.after, du.unchanged = 0, 0
		return false
	}
	du.meters.Count("takeovers", why)
	du.log.Info().Str("why", why).Str("former", string(former)).Int64("fence", int64(next.Fence)).
		Int64("unchangedMillis", int64(du.cl.Now()-du.unchanged)).Msg("dutyTaken")
	du.holder, du.version = &next, version
	return true
}

// write puts the row on condition of its version, and finds out what became of it where
// the answer was lost.
func (du *duty) write(ctx context.Context, version meter.RowVersion, next ledger.Holder) (meter.RowVersion, error) {
	value := recorder.Encode(next)
	tr := rowstore.Transaction{
		Expect: []rowstore.Expectation{{Key: recorder.DutyKey, Version: version}},
		Puts:   []rowstore.Put{{Key: recorder.DutyKey, Value: value}},
	}
	for {
		bound, cancel := du.cl.Bound(ctx, writeTimeout)
		written, err := du.store.Write(bound, tr)
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
		du.store.Reset()
		if !clock.Sleep(ctx, du.cl, retryPause) {
			return 0, err
		}
	}
}

// Holder reads who holds the duty; an empty instance means nobody. Errors are of the kind
// StoreUnavailable.
func (co *Conductor) Holder(ctx context.Context) (ledger.Holder, error) {
	ctx, cancel := co.Clock.Bound(ctx, writeTimeout)
	defer cancel()
	page, err := co.Store.Read(ctx, recorder.Duty, "", "", 0)
	if err != nil {
		return ledger.Holder{}, problem.New(problem.StoreUnavailable, "%v", err)
	}
	for _, ro := range page.Rows {
		if ro.Key == recorder.DutyKey {
			return recorder.Decode[ledger.Holder](ro)
		}
	}
	return ledger.Holder{}, nil
}

// release gives the duty up, so that another instance takes it at once.
func (du *duty) release(ctx context.Context) {
	next := *du.holder
	next.Instance = ""
	if _, err := du.write(ctx, du.version, next); err != nil {
		du.log.Warn().Err(err).Msg("dutyNotReleased")
		return
	}
	du.log.Info().Int64("fence", int64(next.Fence)).Msg("dutyReleased")
}
