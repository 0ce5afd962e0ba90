// Package leaser acquires, renews and releases the leases of an availability zone: the
// scheduler lease, whose holder places gangs, and the seats. A seat is a lease on an equal
// share of the slots and connections of every runner in the zone.
package leaser

import (
	"context"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracker"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

type (
	// Options are the settings and dependencies of a leaser.
	Options struct {
		Instance      identifier.Instance
		Zone          identifier.Zone
		Seats         int
		LeaseDuration clock.Millis
		Store         *storer.Store
		Clock         clock.Clock
		Log           zerolog.Logger
		Peers         Peers
		Shares        Shares
	}

	// Peers reports which entry instances of the zone are live and in contact with this one.
	Peers interface {
		// LiveCount returns the number of live instances in the zone, including this one.
		LiveCount() int
		// InContact reports whether an instance has recently been in contact with this one.
		InContact(in identifier.Instance) bool
		// AllInContact reports whether every other instance of the zone has recently been in
		// contact with this one.
		AllInContact() bool
	}

	// Shares limits how much of each runner this instance uses.
	Shares interface {
		// SetSeats sets the limit to the shares of that many seats.
		SetSeats(held int)
		// FitsWithin reports whether current use fits into the shares of that many seats.
		FitsWithin(held int) bool
	}

	// Grant permits this instance to act as the scheduler of the zone.
	Grant struct {
		Epoch meter.LeaseEpoch
		// Fence is the version of the fence row. Every commit is conditional on it.
		Fence meter.RowVersion
	}

	// Leaser manages this instance's leases in one zone.
	Leaser struct {
		Options

		mu locker.Mutex
		// scheduler and seats are guarded by mu.
		scheduler *tracker.Observer
		seats     []*tracker.Observer
		// epoch and fence are those of the scheduler lease that this instance acquired last,
		// guarded by mu.
		epoch meter.LeaseEpoch
		fence meter.RowVersion
		// readVersion is the store version up to which the lease rows have been read, guarded
		// by mu.
		readVersion meter.RowVersion
		// shuttingDown means that no more leases are acquired or renewed, guarded by mu.
		shuttingDown bool
		// renewals counts the lease rows that this process has prepared to write, including
		// those whose write failed, guarded by mu.
		renewals int64
	}
)

// New returns a leaser that holds no leases.
func New(op Options) *Leaser {
	le := &Leaser{Options: op, mu: locker.New(locker.RankMembers)}
	le.scheduler = tracker.New(op.Instance, op.LeaseDuration)
	for range op.Seats {
		le.seats = append(le.seats, tracker.New(op.Instance, op.LeaseDuration))
	}
	return le
}

// Step reads the lease rows, renews the held leases, tries to acquire the scheduler lease and
// acquires or releases at most one seat.
func (le *Leaser) Step(ctx context.Context) error {
	defer func() { le.Shares.SetSeats(le.Seats()) }()
	if err := le.refresh(ctx); err != nil {
		return err
	}
	if le.isShuttingDown() {
		return nil
	}
	if err := le.renew(ctx); err != nil {
		return err
	}
	if err := le.acquireScheduler(ctx); err != nil {
		return err
	}
	return le.balanceSeats(ctx)
}

func (le *Leaser) isShuttingDown() bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.shuttingDown
}

// refresh reads the lease rows that have changed since the last call.
func (le *Leaser) refresh(ctx context.Context) error {
	le.mu.Lock()
	since := le.readVersion
	le.mu.Unlock()
	list, upTo, err := storer.Scan[rows.LeaseRow](ctx, le.Store, storer.TableLeases, storer.LeasePrefix(le.Zone), since)
	if err != nil {
		return err
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	if upTo < le.readVersion {
		return nil
	}
	le.readVersion = upTo
	now := le.Clock.Now()
	for _, row := range list {
		if ob := le.observerOf(row.Name); ob != nil {
			ob.Observe(leaseOf(row), now)
		}
	}
	for _, ob := range le.observers() {
		ob.Observe(tracker.Lease{}, now) // a lease without a row can be acquired at once
	}
	return nil
}

func leaseOf(row storer.Row[rows.LeaseRow]) tracker.Lease {
	return tracker.Lease{Holder: row.Value.Holder, Epoch: row.Value.Epoch, Version: row.Version}
}

// observerOf returns the observer of the lease in a row, or nil if the row is not a lease, such
// as the fence row.
func (le *Leaser) observerOf(name string) *tracker.Observer {
	name = strings.TrimPrefix(name, storer.LeasePrefix(le.Zone))
	if name == "scheduler" {
		return le.scheduler
	}
	seat, err := strconv.Atoi(strings.TrimPrefix(name, "seat/"))
	if err != nil || seat < 0 || seat >= len(le.seats) {
		return nil
	}
	return le.seats[seat]
}

func (le *Leaser) observers() []*tracker.Observer {
	return append([]*tracker.Observer{le.scheduler}, le.seats...)
}

func (le *Leaser) rowKey(ob *tracker.Observer) storer.Key {
	for i, seat := range le.seats {
		if seat == ob {
			return storer.SeatKey(le.Zone, i)
		}
	}
	return storer.SchedulerKey(le.Zone)
}

// renew renews all held leases in one transaction. If that conflicts because a lease was lost,
// each lease is renewed in its own transaction, so that the others are kept.
func (le *Leaser) renew(ctx context.Context) error {
	held := le.held()
	if len(held) == 0 {
		return nil
	}
	err := le.renewAll(ctx, held)
	if problem.KindOf(err) != problem.Conflict {
		return err
	}
	for _, ob := range held {
		if err := le.write(ctx, ob, le.Instance, 0); err != nil && problem.KindOf(err) != problem.Conflict {
			return err
		}
	}
	return nil
}

func (le *Leaser) renewAll(ctx context.Context, held []*tracker.Observer) error {
	sent := le.Clock.Now()
	ba := &storer.Batch{}
	renewed := make([]tracker.Lease, 0, len(held))
	for _, ob := range held {
		row, last := le.nextRow(ob, le.Instance, 0)
		ba.Replace(le.rowKey(ob), last.Version, row)
		renewed = append(renewed, tracker.Lease{Holder: row.Holder, Epoch: row.Epoch})
	}
	version, err := le.Store.Commit(ctx, ba)
	if err != nil {
		return err
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	for i, ob := range held {
		renewed[i].Version = version
		ob.RecordWrite(renewed[i], sent)
	}
	return nil
}

// nextRow returns the row to write for a lease, and the lease as it was last read or written.
func (le *Leaser) nextRow(ob *tracker.Observer, holder identifier.Instance, epochStep meter.LeaseEpoch) (rows.LeaseRow, tracker.Lease) {
	le.mu.Lock()
	defer le.mu.Unlock()
	last := ob.Lease()
	le.renewals++
	return rows.LeaseRow{Holder: holder, Epoch: last.Epoch + epochStep, Renewals: le.renewals}, last
}

func (le *Leaser) held() []*tracker.Observer {
	le.mu.Lock()
	defer le.mu.Unlock()
	var held []*tracker.Observer
	for _, ob := range le.observers() {
		if ob.Held() {
			held = append(held, ob)
		}
	}
	return held
}

// write replaces a lease row in order to renew the lease (epochStep 0), acquire it (epochStep
// 1) or release it (no holder).
func (le *Leaser) write(ctx context.Context, ob *tracker.Observer, holder identifier.Instance, epochStep meter.LeaseEpoch) error {
	sent := le.Clock.Now()
	row, last := le.nextRow(ob, holder, epochStep)
	ba := &storer.Batch{}
	ba.Replace(le.rowKey(ob), last.Version, row)
	if ob == le.scheduler && epochStep > 0 {
		ba.Put(storer.FenceKey(le.Zone), rows.FenceRow{Holder: holder, Epoch: row.Epoch})
	}
	version, err := le.Store.Commit(ctx, ba)
	le.mu.Lock()
	defer le.mu.Unlock()
	if problem.KindOf(err) == problem.Conflict {
		ob.MarkLost()
	}
	if err != nil {
		return err
	}
	ob.RecordWrite(tracker.Lease{Holder: holder, Epoch: row.Epoch, Version: version}, sent)
	if holder == "" {
		ob.MarkLost()
	}
	if ob == le.scheduler && epochStep > 0 && holder != "" {
		le.epoch, le.fence = row.Epoch, version
		le.Log.Info().Int64("epoch", int64(row.Epoch)).Msg("schedulerLeaseTaken")
	}
	return nil
}

func (le *Leaser) acquireScheduler(ctx context.Context) error {
	le.mu.Lock()
	available := le.scheduler.MayAcquire(le.Clock.Now())
	le.mu.Unlock()
	if !available {
		return nil
	}
	return ignoreConflict(le.write(ctx, le.scheduler, le.Instance, 1))
}

// ignoreConflict returns nil if err is a conflict: another instance has written the row first.
func ignoreConflict(err error) error {
	if problem.KindOf(err) == problem.Conflict {
		return nil
	}
	return err
}

// SchedulerGrant returns the grant to place gangs if this instance holds the scheduler lease now.
func (le *Leaser) SchedulerGrant() (Grant, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if !le.scheduler.Valid(le.Clock.Now()) {
		return Grant{}, false
	}
	return Grant{Epoch: le.epoch, Fence: le.fence}, true
}

// ReleaseAll releases all leases, so that other instances can acquire them at once. It must be
// called only when no requests are in flight.
func (le *Leaser) ReleaseAll(ctx context.Context) error {
	le.mu.Lock()
	le.shuttingDown = true
	le.mu.Unlock()
	le.Shares.SetSeats(0)
	for _, ob := range le.held() {
		if err := le.write(ctx, ob, "", 1); err != nil {
			return err
		}
	}
	return nil
}

// SchedulerOf reads from the store which instance holds the scheduler lease of a zone, which
// need not be this instance's zone. An error is of the kind StoreUnavailable.
func (le *Leaser) SchedulerOf(ctx context.Context, zone identifier.Zone) (identifier.Instance, error) {
	row, err := storer.Read[rows.LeaseRow](ctx, le.Store, storer.SchedulerKey(zone))
	return row.Value.Holder, err
}
