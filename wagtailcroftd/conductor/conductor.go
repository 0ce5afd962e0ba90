// Package conductor decides for all workers while this instance holds the duty: it keeps
// the jobs and the workers, plans, records each plan in the store, and only then gives the
// orders. What is recorded suffices for the next holder to go on.
package conductor

import (
	"context"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/maintainer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

// policyPause lies between two looks for the first configuration.
const policyPause = 20 * clock.Millis(1)

type (
	// Store is what the conductor needs of the table service.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		Reset()
	}

	// Workers carries orders. Errors are those of package fleet.
	Workers interface {
		Start(ctx context.Context, to fleet.Target, or fleet.StartOrder) (fleet.Status, error)
		Stop(ctx context.Context, to fleet.Target, or fleet.StopOrder) (fleet.Status, error)
		Hold(ctx context.Context, to fleet.Target, or fleet.HoldOrder) (fleet.Status, error)
		Pace(ctx context.Context, to fleet.Target, or fleet.PaceOrder) (fleet.Status, error)
		Reset(to fleet.Target)
		Forget(address string)
	}

	// Peers knows the other instances.
	Peers interface {
		elector.Peers
		// Relieve asks some of them to take the duty with a fence; it does not wait.
		Relieve(ctx context.Context, fence meter.LeaseEpoch)
		// HandOver asks one that has more processor, if there is one; it does not wait.
		HandOver(ctx context.Context, fence meter.LeaseEpoch)
	}

	// Advisers tells which workers may run the steps of some queues.
	Advisers interface {
		Advise(ctx context.Context, step string, workers []identifier.Worker) (fleet.Advice, error)
	}

	// Policies gives the newest known configuration, or nil before there is one.
	Policies interface {
		Current() *policy.Policy
		// Waves lists the waves of upkeep that operators ask for.
		Waves() []fleet.Wave
	}

	// Clock also tells the time of day, at which repeated jobs come due.
	Clock interface {
		clock.Clock
		TimeOfDay() clock.Millis
	}

	// Meters counts events and times.
	Meters interface {
		Count(name, label string)
		Took(name string, d clock.Millis)
	}

	// Reports is where the workers report and how a report is read.
	Reports struct {
		Table  rowstore.Table
		Decode func(name string, value []byte) (fleet.Report, error)
	}

	// Options are the settings of a conductor.
	Options struct {
		Instance    identifier.Instance
		Incarnation string
		// Address is where this instance answers others; it is told with the duty.
		Address string
		// Lease is the length of the leases of runs.
		Lease clock.Millis
		// Takeover is the time without a renewal after which the duty is taken.
		Takeover clock.Millis
		// Yield is how long this instance lets others take the duty first.
		Yield clock.Millis
		// StopGrace is the longest time that a stopped run takes to end.
		StopGrace clock.Millis
		// Settle is how long a new holder gives no orders to machines.
		Settle clock.Millis
		// Retention is how long ended jobs are kept.
		Retention clock.Millis
	}

	// Parts are what a conductor works with.
	Parts struct {
		Store   Store
		Workers Workers
		Peers   Peers
		// Advisers and Machines are nil where the platform has no such service.
		Advisers Advisers
		Machines maintainer.Machines
		// WaveStatus encodes the row that tells operators how far a wave is.
		WaveStatus func(number int64, completed bool) (rowstore.Put, error)
		Policies   Policies
		Reports    Reports
		Clock      Clock
		Meters     Meters
		Log        zerolog.Logger
	}

	// Conductor takes the duty when it is free and decides while it holds it.
	Conductor struct {
		Parts
		op      Options
		planner *planner.Planner
		// term is nil while another instance decides.
		term atomic.Pointer[term]
		// electing is nil while this instance decides.
		electing atomic.Pointer[elector.Elector]
	}
)

// New returns a conductor that does nothing until Run.
func New(pa Parts, op Options) *Conductor {
	return &Conductor{Parts: pa, op: op, planner: planner.New(planner.Completion)}
}

// Holder reads who holds the duty; an empty instance means nobody. Errors are of the kind
// StoreUnavailable.
func (co *Conductor) Holder(ctx context.Context) (ledger.Holder, error) {
	ctx, cancel := co.Clock.Bound(ctx, elector.WriteTimeout)
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

// Deciding reports whether this instance decides.
func (co *Conductor) Deciding() bool { return co.term.Load() != nil }

// Relieve has this instance take the duty of a holder that asks for it, unless it decides
// itself.
func (co *Conductor) Relieve(fence meter.LeaseEpoch) {
	if el := co.electing.Load(); el != nil {
		el.Hint("", fence, "its holder asks for it")
	}
}

// Run takes part until ctx ends; then it gives the duty up within the bound of last.
func (co *Conductor) Run(ctx, last context.Context) {
	// Without a configuration nobody can tell how often a task may fail.
	for co.Policies.Current() == nil {
		if !clock.Sleep(ctx, co.Clock, policyPause) {
			return
		}
	}
	for ctx.Err() == nil {
		du := elector.New(co.Store, co.Peers, co.Clock, co.Log, co.Meters, elector.Options{
			Me:       ledger.Holder{Instance: co.op.Instance, Incarnation: co.op.Incarnation, Address: co.op.Address},
			Takeover: co.op.Takeover, Yield: co.op.Yield,
		})
		co.electing.Store(du)
		if !du.Acquire(ctx) {
			return
		}
		co.electing.Store(nil)
		te := newTerm(co, du)
		co.term.Store(te)
		te.run(ctx)
		co.term.Store(nil)
		if ctx.Err() != nil && !te.lost.Load() {
			du.Release(last)
		}
	}
}
