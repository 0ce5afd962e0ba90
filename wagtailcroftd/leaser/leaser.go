// Package leaser takes, renews and gives up the leases of an availability zone: the
// scheduler lease, whose holder places gangs, and the seats, each of which allows an
// equal share of the slots and connections of every runner.
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
	// Options are what a leaser is made from.
	Options struct {
		Instance identifier.Instance
		Zone     identifier.Zone
		Seats    int
		Length   clock.Millis
		Store    *storer.Store
		Clock    clock.Clock
		Log      zerolog.Logger
		Peers    Peers
		Shares   Shares
	}

	// Peers knows the entry instances of the zone.
	Peers interface {
		// Live is the number of instances of the zone that are alive, this one included.
		Live() int
		// Hears reports whether an instance has lately been in contact with this one.
		Hears(in identifier.Instance) bool
		// HearsAll reports whether every other instance of the zone has.
		HearsAll() bool
	}

	// Shares is told how much of each runner may be used.
	Shares interface {
		// Use sets the number of seats in use.
		Use(held int)
		// Within reports whether no more than that is in use.
		Within(held int) bool
	}

	// Grant allows to act as the scheduler of the zone.
	Grant struct {
		Epoch meter.LeaseEpoch
		// Fence is the version of the fence row on which every commit is conditioned.
		Fence meter.RowVersion
	}

	// Leaser watches the leases of one zone.
	Leaser struct {
		Options

		mu locker.Mutex
		// scheduler and seats are guarded by mu.
		scheduler *tracker.Observer
		seats     []*tracker.Observer
		// epoch and fence belong to the scheduler lease that was taken last, guarded by mu.
		epoch meter.LeaseEpoch
		fence meter.RowVersion
		// scanned is the store version up to which the leases are known, guarded by mu.
		scanned meter.RowVersion
		// leaving means that no lease is taken or renewed any more, guarded by mu.
		leaving bool
		// renewals counts renewals of this process, guarded by mu.
		renewals int64
	}
)

// New returns a leaser that holds nothing.
func New(op Options) *Leaser {
	le := &Leaser{Options: op, mu: locker.New(locker.RankMembers)}
	le.scheduler = tracker.New(op.Instance, op.Length)
	for range op.Seats {
		le.seats = append(le.seats, tracker.New(op.Instance, op.Length))
	}
	return le
}

// Step reads the leases, renews those held, and takes or gives up what it should.
func (le *Leaser) Step(ctx context.Context) error {
	defer func() { le.Shares.Use(le.Seats()) }()
	if err := le.look(ctx); err != nil {
		return err
	}
	if le.isLeaving() {
		return nil
	}
	if err := le.renew(ctx); err != nil {
		return err
	}
	if err := le.takeScheduler(ctx); err != nil {
		return err
	}
	return le.balanceSeats(ctx)
}

func (le *Leaser) isLeaving() bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.leaving
}

// look reads the lease rows that have changed.
func (le *Leaser) look(ctx context.Context) error {
	le.mu.Lock()
	since := le.scanned
	le.mu.Unlock()
	list, upTo, err := storer.Scan[rows.LeaseRow](ctx, le.Store, storer.TableLeases, storer.LeasePrefix(le.Zone), since)
	if err != nil {
		return err
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	if upTo < le.scanned {
		return nil
	}
	le.scanned = upTo
	now := le.Clock.Now()
	for _, row := range list {
		if ob := le.observer(row.Name); ob != nil {
			ob.Saw(leaseOf(row), now)
		}
	}
	for _, ob := range le.all() {
		ob.Saw(tracker.Lease{}, now) // a lease without a row may be taken at once
	}
	return nil
}

func leaseOf(row storer.Row[rows.LeaseRow]) tracker.Lease {
	return tracker.Lease{Holder: row.Value.Holder, Epoch: row.Value.Epoch, Version: row.Version}
}

// observer returns the observer of a lease row; the fence has none.
func (le *Leaser) observer(name string) *tracker.Observer {
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

func (le *Leaser) all() []*tracker.Observer {
	return append([]*tracker.Observer{le.scheduler}, le.seats...)
}

func (le *Leaser) key(ob *tracker.Observer) storer.Key {
	for i, seat := range le.seats {
		if seat == ob {
			return storer.SeatKey(le.Zone, i)
		}
	}
	return storer.SchedulerKey(le.Zone)
}

// renew rewrites all leases that are held in one transaction. If one of them is lost, each
// is renewed on its own, so that the rest are kept.
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
		row, last := le.rowFor(ob, le.Instance, 0)
		ba.Replace(le.key(ob), last.Version, row)
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
		ob.Won(renewed[i], sent)
	}
	return nil
}

// rowFor is the next row of a lease, and the lease as it is known.
func (le *Leaser) rowFor(ob *tracker.Observer, holder identifier.Instance, rise meter.LeaseEpoch) (rows.LeaseRow, tracker.Lease) {
	le.mu.Lock()
	defer le.mu.Unlock()
	last := ob.Last()
	le.renewals++
	return rows.LeaseRow{Holder: holder, Epoch: last.Epoch + rise, Renewals: le.renewals}, last
}

func (le *Leaser) held() []*tracker.Observer {
	le.mu.Lock()
	defer le.mu.Unlock()
	var held []*tracker.Observer
	for _, ob := range le.all() {
		if ob.Held() {
			held = append(held, ob)
		}
	}
	return held
}

// write replaces a lease row: to renew it (rise 0), to take it (rise 1) or to give it up
// (no holder).
func (le *Leaser) write(ctx context.Context, ob *tracker.Observer, holder identifier.Instance, rise meter.LeaseEpoch) error {
	sent := le.Clock.Now()
	row, last := le.rowFor(ob, holder, rise)
	ba := &storer.Batch{}
	ba.Replace(le.key(ob), last.Version, row)
	if ob == le.scheduler && rise > 0 {
		ba.Put(storer.FenceKey(le.Zone), rows.FenceRow{Holder: holder, Epoch: row.Epoch})
	}
	version, err := le.Store.Commit(ctx, ba)
	le.mu.Lock()
	defer le.mu.Unlock()
	if problem.KindOf(err) == problem.Conflict {
		ob.Lost()
	}
	if err != nil {
		return err
	}
	ob.Won(tracker.Lease{Holder: holder, Epoch: row.Epoch, Version: version}, sent)
	if holder == "" {
		ob.Lost()
	}
	if ob == le.scheduler && rise > 0 && holder != "" {
		le.epoch, le.fence = row.Epoch, version
		le.Log.Info().Int64("epoch", int64(row.Epoch)).Msg("schedulerLeaseTaken")
	}
	return nil
}

func (le *Leaser) takeScheduler(ctx context.Context) error {
	le.mu.Lock()
	may := le.scheduler.MayTake(le.Clock.Now())
	le.mu.Unlock()
	if !may {
		return nil
	}
	return notConflict(le.write(ctx, le.scheduler, le.Instance, 1))
}

func notConflict(err error) error {
	if problem.KindOf(err) == problem.Conflict {
		return nil
	}
	return err
}

// Scheduler returns the grant to place gangs, if this instance holds it now.
func (le *Leaser) Scheduler() (Grant, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if !le.scheduler.Holds(le.Clock.Now()) {
		return Grant{}, false
	}
	return Grant{Epoch: le.epoch, Fence: le.fence}, true
}

// Leave gives up all leases, so that others can take them at once. It is called when
// nothing is in flight any more.
func (le *Leaser) Leave(ctx context.Context) error {
	le.mu.Lock()
	le.leaving = true
	le.mu.Unlock()
	le.Shares.Use(0)
	for _, ob := range le.held() {
		if err := le.write(ctx, ob, "", 1); err != nil {
			return err
		}
	}
	return nil
}

// Holder reads which instance holds the scheduler lease of any zone. An error is of the
// kind StoreUnavailable.
func (le *Leaser) Holder(ctx context.Context, zone identifier.Zone) (identifier.Instance, error) {
	row, err := storer.Read[rows.LeaseRow](ctx, le.Store, storer.SchedulerKey(zone))
	return row.Value.Holder, err
}
