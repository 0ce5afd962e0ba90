// Package controller schedules the work of all workers while this instance is the leader. It
// keeps the state of the jobs and the workers, plans, records each plan in the store, and only
// then sends the commands, so that the next leader can continue from the recorded state.
package controller

import (
	"context"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/maintainer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

// policyPollInterval is the time between two checks for the first configuration.
const policyPollInterval = 20 * clock.Millis(1)

type (
	// Store is the part of the table service that the controller uses.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Watch(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		CloseIdleConnections()
	}

	// Workers sends commands to workers. Errors are those of package fleet.
	Workers interface {
		Start(ctx context.Context, to fleet.Target, co fleet.StartCommand) (fleet.Status, error)
		Stop(ctx context.Context, to fleet.Target, co fleet.StopCommand) (fleet.Status, error)
		Poll(ctx context.Context, to fleet.Target, co fleet.PollCommand) (fleet.Status, error)
		Throttle(ctx context.Context, to fleet.Target, co fleet.ThrottleCommand) (fleet.Status, error)
		CloseIdleConnections(to fleet.Target)
		Forget(address string)
	}

	// Peers gives access to the other instances.
	Peers interface {
		elector.Peers
		// RequestTransfer asks some of them to acquire the leadership from the leader with a
		// fencing token, until the leader's row has a number of renewals; it does not wait.
		RequestTransfer(ctx context.Context, fence meter.LeaseEpoch, endsAtRenewal int64)
		// OfferTransfer asks one that has more CPU to acquire the leadership, and reports whether
		// there is one; it does not wait.
		OfferTransfer(ctx context.Context, fence meter.LeaseEpoch, endsAtRenewal int64) bool
		// TermEnded reports whether a leader's term has certainly ended, so that no command of it leaves
		// any more. It then returns the ended runs that this leader knew and may not have recorded.
		TermEnded(ctx context.Context, leader ledger.FormerLeader) ([]fleet.EndedRun, bool)
	}

	// Advisers tells which workers may run the steps of the queues that use the advice service.
	Advisers interface {
		Advise(ctx context.Context, step string, workers []identifier.Worker) (fleet.Advice, error)
	}

	// Policies returns the newest known configuration, or nil if there is none yet.
	Policies interface {
		Current() *policy.Policy
		// Waves lists the maintenance waves that operators have requested.
		Waves() []fleet.MaintenanceWave
		// ConfirmedAt is the time up to which Evacuations is known to be complete.
		ConfirmedAt() clock.Millis
		// Evacuations holds the availability zones in which no run may be started.
		Evacuations() fleet.Evacuations
	}

	// Clock also tells the time of day, at which repeated jobs become due.
	Clock interface {
		clock.Clock
		TimeOfDay() clock.Millis
	}

	// Metrics counts events and records durations.
	Metrics interface {
		Count(name, label string)
		Add(name, label string, more int64)
		Observe(name string, d clock.Millis)
	}

	// Reports describes the table of worker reports and how a report is decoded.
	Reports struct {
		Table  rowstore.Table
		Decode func(name string, value []byte) (fleet.Report, error)
	}

	// Options are the settings of a controller.
	Options struct {
		Instance    identifier.Instance
		Incarnation string
		// Address is where this instance accepts calls from others; it is published in the
		// leader's row.
		Address string
		// LeaseDuration is the length of the leases of runs.
		LeaseDuration clock.Millis
		// TakeoverTimeout is the time without a renewal after which another instance acquires the
		// leadership.
		TakeoverTimeout clock.Millis
		// ElectionDelay is how long this instance lets others run for the leadership first.
		ElectionDelay clock.Millis
		// StopGrace is the longest time that a run takes to stop.
		StopGrace clock.Millis
		// GangTimeout is how long a member of a gang waits on its worker for the other members.
		GangTimeout clock.Millis
		// MaxEvacuationAge is how long after the last confirmation of the evacuations a start may leave; 0
		// means that no zone is evacuated.
		MaxEvacuationAge clock.Millis
		// MaintenanceDelay is how long a new leader waits before it sends commands to machines.
		MaintenanceDelay clock.Millis
		// MaxPolls is how many workers may be polled at the same time. A poll holds a connection
		// and a goroutine while the worker waits for a completion.
		MaxPolls int
		// Retention is how long ended jobs are kept.
		Retention clock.Millis
		// NamedPairs are the pairs of images that operators keep apart or ignore.
		NamedPairs separator.Names
		// RowLimit is the largest value of a row that the store accepts.
		RowLimit meter.Bytes
	}

	// Dependencies holds the clients and other objects that a controller uses.
	Dependencies struct {
		Store   Store
		Workers Workers
		Peers   Peers
		// Advisers and Machines are nil where the platform has no such service.
		Advisers Advisers
		Machines maintainer.Machines
		// WaveStatus encodes the row that shows operators the progress of a maintenance wave.
		WaveStatus func(number int64, completed bool) (rowstore.Put, error)
		Policies   Policies
		Reports    Reports
		Clock      Clock
		Metrics    Metrics
		Log        zerolog.Logger
		// LeadershipChanged is called when a term begins and when it has ended; nil means that nobody
		// wants to know.
		LeadershipChanged func(leading bool)
	}

	// Controller acquires the leadership when it is free, and schedules while this instance is
	// the leader.
	Controller struct {
		Dependencies
		op      Options
		planner *planner.Planner
		// term is nil while this instance is not the leader.
		term atomic.Pointer[term]
		// mu guards the beginning and the end of a term, and endedFence.
		mu locker.Mutex
		// endedFence is the highest fencing token up to which all terms of this process have ended or will
		// never begin.
		endedFence meter.LeaseEpoch
		// unrecordedEnds are the ended runs that this term knew and may not have recorded; it is never
		// changed after it is stored.
		unrecordedEnds atomic.Pointer[[]fleet.EndedRun]
		// candidate takes part in the election; it is nil while this instance is the leader.
		candidate atomic.Pointer[elector.Elector]
	}
)

// New returns a controller that does nothing until Run is called.
func New(de Dependencies, op Options) *Controller {
	return &Controller{Dependencies: de, op: op, planner: planner.New(planner.Contention), mu: locker.New(locker.RankMembers)}
}

// Leader reads from the store which instance is the leader; an empty instance means that there is
// none. Errors are of the kind StoreUnavailable.
func (co *Controller) Leader(ctx context.Context) (ledger.Leader, error) {
	ctx, cancel := co.Clock.WithTimeout(ctx, elector.WriteTimeout)
	defer cancel()
	page, err := co.Store.Read(ctx, recorder.Leadership, "", "", 0)
	if err != nil {
		return ledger.Leader{}, problem.New(problem.StoreUnavailable, "%v", err)
	}
	for _, ro := range page.Rows {
		if ro.Key == recorder.LeadershipKey {
			return recorder.Decode[ledger.Leader](ro)
		}
	}
	return ledger.Leader{}, nil
}

// Leading reports whether this instance is the leader.
func (co *Controller) Leading() bool { return co.term.Load() != nil }

// Renounce makes sure that no term with a fencing token, or a lower one, begins any more, and returns the
// token up to which all terms have ended. This process may have acquired such a term without knowing it,
// because the store did not answer. The caller has replaced that term.
func (co *Controller) Renounce(fence meter.LeaseEpoch) meter.LeaseEpoch {
	co.mu.Lock()
	defer co.mu.Unlock()
	if te := co.term.Load(); te == nil || te.fence > fence {
		co.endedFence = max(co.endedFence, fence)
	}
	return co.endedFence
}

// begin makes a term the present one, unless it has been renounced.
func (co *Controller) begin(te *term) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if te.fence <= co.endedFence {
		return false
	}
	co.term.Store(te)
	return true
}

// end records that the present term is over.
func (co *Controller) end(te *term) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.endedFence = max(co.endedFence, te.fence)
	co.term.Store(nil)
}

// UnrecordedEnds returns the ended runs that the last term of this process knew and may not have recorded.
func (co *Controller) UnrecordedEnds() []fleet.EndedRun {
	if ends := co.unrecordedEnds.Load(); ends != nil {
		return *ends
	}
	return nil
}

// AcceptTransfer makes this instance acquire the leadership from a leader that requests a
// transfer, unless this instance is the leader itself.
func (co *Controller) AcceptTransfer(fence meter.LeaseEpoch, endsAtRenewal int64) {
	if el := co.candidate.Load(); el != nil {
		el.AcceptTransfer(fence, endsAtRenewal)
	}
}

func (co *Controller) reportLeadership(leading bool) {
	if co.LeadershipChanged != nil {
		co.LeadershipChanged(leading)
	}
}

// Run takes part in elections and schedules as the leader until ctx ends. Then it releases the
// leadership, unless another instance may already be the leader; last limits the time for that. What this
// instance still knows is recorded in the same transaction.
func (co *Controller) Run(ctx, last context.Context) {
	// The number of attempts of a task depends on the configuration, so there is nothing to
	// decide before the first one is known.
	for co.Policies.Current() == nil {
		if !clock.Sleep(ctx, co.Clock, policyPollInterval) {
			return
		}
	}
	for ctx.Err() == nil {
		el := elector.New(co.Store, co.Peers, co.Clock, co.Log, co.Metrics, elector.Options{
			Self:            ledger.Leader{Instance: co.op.Instance, Incarnation: co.op.Incarnation, Address: co.op.Address},
			TakeoverTimeout: co.op.TakeoverTimeout, ElectionDelay: co.op.ElectionDelay,
		})
		co.candidate.Store(el)
		if !el.Acquire(ctx) {
			return
		}
		co.candidate.Store(nil)
		te := newTerm(co, el)
		if !co.begin(te) {
			te.log.Info().Msg("leadershipRenounced")
			te.release()
			continue
		}
		co.reportLeadership(true)
		te.run(ctx)
		if ctx.Err() != nil && !te.lost.Load() {
			te.flush(last)
		}
		ends := te.endsToHandOver()
		co.unrecordedEnds.Store(&ends)
		co.end(te)
		co.reportLeadership(false)
		if ctx.Err() != nil && !te.lost.Load() && !te.released {
			el.Release(last)
		}
	}
}
