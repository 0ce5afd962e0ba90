// Package heartbeater keeps contact with the other entry instances over net/rpc: it learns
// who is alive, hastens the spread of table versions and of leaving targets, and passes
// questions on to the instance that knows.
package heartbeater

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

type (
	// Options are what a heartbeater is made from.
	Options struct {
		Instance identifier.Instance
		Zone     identifier.Zone
		Store    *storer.Store
		Clock    clock.Clock
		Log      zerolog.Logger
		Tracer   *tracer.Tracer
		Dialer   Dialer
		Table    Table
		Targets  Targets
		Answerer Answerer
		// Silence is how long an instance may say nothing and still count as alive.
		Silence clock.Millis
		// Forget is how long a row that does not change is shown to operators.
		Forget clock.Millis
	}

	// Dialer calls a method of another instance. Its errors mean that there was no answer.
	Dialer interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Table is this instance's copy of the shared table.
	Table interface {
		Version() meter.TableVersion
		// Hint tells of a version; it reports whether this instance is behind.
		Hint(version meter.TableVersion) bool
	}

	// Targets knows the targets that are leaving.
	Targets interface {
		Leaving() []identifier.Target
		// Told records targets that a peer knows to be leaving.
		Told(from identifier.Instance, leaving []identifier.Target)
	}

	// Answerer explains jobs; it reports false for one that it does not know.
	Answerer interface {
		Why(job identifier.Job) ([]string, bool)
	}

	// Member is an entry instance as its own row describes it.
	Member struct {
		Instance     identifier.Instance
		Zone         identifier.Zone
		Address      string
		TableVersion meter.TableVersion
		Leaving      bool
		// Seen is when its row was last seen to change.
		Seen clock.Millis
		// Stale means that the row has not changed for a while: the instance is dead, or
		// cannot confirm its table.
		Stale bool
		// Version is that of the row.
		Version meter.RowVersion
	}

	// Heartbeater is the table of entry instances.
	Heartbeater struct {
		Options

		mu locker.Mutex
		// members is guarded by mu.
		members map[identifier.Instance]Member
		// contact is when each instance last answered or called, guarded by mu.
		contact map[identifier.Instance]clock.Millis
		// scanned is the store version up to which the members of the zone are whole, and
		// looked when they were last read, guarded by mu.
		scanned meter.RowVersion
		looked  clock.Millis
		// everywhere and lookedEverywhere are the same for all zones, guarded by mu.
		everywhere       meter.RowVersion
		lookedEverywhere clock.Millis
		// behind is signalled when a peer has a newer table.
		behind chan struct{}
		// inFlight tells peers how busy this instance is.
		inFlight func() int32
	}
)

// New returns a heartbeater that knows no one.
func New(op Options, inFlight func() int32) *Heartbeater {
	return &Heartbeater{
		Options:  op,
		mu:       locker.New(locker.RankMembers),
		members:  map[identifier.Instance]Member{},
		contact:  map[identifier.Instance]clock.Millis{},
		behind:   make(chan struct{}, 1),
		inFlight: inFlight,
	}
}

// Beat calls every other instance of the zone once. Those that do not answer are simply
// not in contact.
func (he *Heartbeater) Beat(ctx context.Context) {
	for _, me := range he.neighbours() {
		he.beat(ctx, me)
	}
}

func (he *Heartbeater) beat(ctx context.Context, me Member) {
	ctx, end := he.Tracer.Start(ctx, "peer.heartbeat")
	args := peer.Heartbeat{
		Instance:     he.Instance,
		Zone:         he.Zone,
		TableVersion: he.Table.Version(),
		Draining:     he.Targets.Leaving(),
		TraceParent:  he.Tracer.Parent(ctx),
	}
	var reply peer.HeartbeatReply
	err := he.Dialer.Call(ctx, me.Address, MethodHeartbeat, args, &reply)
	end(err)
	if err != nil {
		he.Log.Debug().Str("peer", string(me.Instance)).Err(err).Msg("peerSilent")
		return
	}
	he.heard(reply.Instance, reply.TableVersion)
}

// heard records contact with an instance and what it said of the table.
func (he *Heartbeater) heard(in identifier.Instance, version meter.TableVersion) {
	he.mu.Lock()
	he.contact[in] = he.Clock.Now()
	he.mu.Unlock()
	if !he.Table.Hint(version) {
		return
	}
	select {
	case he.behind <- struct{}{}:
	default:
	}
}

// Behind receives when a peer has a newer table than this instance.
func (he *Heartbeater) Behind() <-chan struct{} { return he.behind }

func (he *Heartbeater) member(in identifier.Instance) (Member, bool) {
	he.mu.Lock()
	defer he.mu.Unlock()
	me, known := he.members[in]
	return me, known
}

// Ask has another instance explain a job. An error is of the kind PeerUnavailable.
func (he *Heartbeater) Ask(ctx context.Context, in identifier.Instance, job identifier.Job) ([]string, bool, error) {
	me, known := he.member(in)
	if !known {
		if err := he.LookEverywhere(ctx); err != nil {
			return nil, false, err
		}
		me, known = he.member(in)
	}
	if !known {
		return nil, false, problem.New(problem.PeerUnavailable, "instance %s is not known here", in)
	}
	ctx, end := he.Tracer.Start(ctx, "peer.why")
	var reply peer.WhyReply
	err := he.Dialer.Call(ctx, me.Address, MethodWhy, peer.WhyQuery{JobID: job, TraceParent: he.Tracer.Parent(ctx)}, &reply)
	end(err)
	if err != nil {
		return nil, false, problem.New(problem.PeerUnavailable, "instance %s: %v", in, err)
	}
	return reply.Lines, reply.Known, nil
}
