// Package heartbeater exchanges heartbeats with the other entry instances over net/rpc. It tracks
// which instances are alive, speeds up the propagation of table versions and draining targets,
// and forwards queries about a job to the instance that schedules it.
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
	// Options configures a Heartbeater.
	Options struct {
		Instance  identifier.Instance
		Zone      identifier.Zone
		Store     *storer.Store
		Clock     clock.Clock
		Log       zerolog.Logger
		Tracer    *tracer.Tracer
		Dialer    Dialer
		Table     Table
		Targets   Targets
		Explainer JobExplainer
		// LivenessTimeout is the time without any contact after which an instance
		// no longer counts as alive.
		LivenessTimeout clock.Millis
		// RetentionTimeout is the time after which an unchanged member row is no longer shown to
		// operators and may be removed.
		RetentionTimeout clock.Millis
	}

	// Dialer calls a method of another instance. An error means that there was no response.
	Dialer interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Table is this instance's copy of the shared table.
	Table interface {
		Version() meter.TableVersion
		// ReportVersion records a table version that a peer reported. It reports whether this
		// instance has an older version.
		ReportVersion(version meter.TableVersion) bool
	}

	// Targets tracks the draining targets.
	Targets interface {
		Draining() []identifier.Target
		// RecordPeerReport records the targets that a peer reported as draining.
		RecordPeerReport(from identifier.Instance, draining []identifier.Target)
	}

	// JobExplainer explains the scheduling state of jobs. It reports false for a job that this
	// instance does not schedule.
	JobExplainer interface {
		Explain(job identifier.Job) ([]string, bool)
	}

	// Member is an entry instance as described by its member row.
	Member struct {
		Instance     identifier.Instance
		Zone         identifier.Zone
		Address      string
		TableVersion meter.TableVersion
		ShuttingDown bool
		// ChangedAt is the time at which the row was last observed to change.
		ChangedAt clock.Millis
		// Stale means that the row has not changed within the liveness timeout: the instance
		// has failed, or cannot confirm its copy of the shared table.
		Stale bool
		// RowVersion is the version of the row.
		RowVersion meter.RowVersion
	}

	// Heartbeater exchanges heartbeats with the entry instances of its zone and tracks the
	// instances of all zones.
	Heartbeater struct {
		Options

		mu locker.Mutex
		// members is guarded by mu.
		members map[identifier.Instance]Member
		// lastContact is when each instance last responded or called, guarded by mu.
		lastContact map[identifier.Instance]clock.Millis
		// scanned is the store version up to which the members of this zone are complete, and
		// scannedAt is when they were last read, guarded by mu.
		scanned   meter.RowVersion
		scannedAt clock.Millis
		// allScanned and allScannedAt are the same for the members of all zones, guarded by mu.
		allScanned   meter.RowVersion
		allScannedAt clock.Millis
		// behind receives a signal when a peer has a newer table version.
		behind chan struct{}
		// inFlight returns the number of requests in flight, which is reported to peers.
		inFlight func() int32
	}
)

// New returns a heartbeater without any members.
func New(op Options, inFlight func() int32) *Heartbeater {
	return &Heartbeater{
		Options:     op,
		mu:          locker.New(locker.RankMembers),
		members:     map[identifier.Instance]Member{},
		lastContact: map[identifier.Instance]clock.Millis{},
		behind:      make(chan struct{}, 1),
		inFlight:    inFlight,
	}
}

// SendHeartbeats sends a heartbeat to every other instance of the zone that may be alive.
// Instances that do not respond are not recorded as in contact.
func (he *Heartbeater) SendHeartbeats(ctx context.Context) {
	for _, me := range he.zonePeers() {
		he.sendHeartbeat(ctx, me)
	}
}

func (he *Heartbeater) sendHeartbeat(ctx context.Context, me Member) {
	ctx, end := he.Tracer.Start(ctx, "peer.heartbeat")
	args := peer.Heartbeat{
		Instance:     he.Instance,
		Zone:         he.Zone,
		TableVersion: he.Table.Version(),
		Draining:     he.Targets.Draining(),
		TraceParent:  he.Tracer.TraceParent(ctx),
	}
	var reply peer.HeartbeatReply
	err := he.Dialer.Call(ctx, me.Address, MethodHeartbeat, args, &reply)
	end(err)
	if err != nil {
		he.Log.Debug().Str("peer", string(me.Instance)).Err(err).Msg("peerUnresponsive")
		return
	}
	he.recordContact(reply.Instance, reply.TableVersion)
}

// recordContact records contact with an instance and the table version that it reported.
func (he *Heartbeater) recordContact(in identifier.Instance, version meter.TableVersion) {
	he.mu.Lock()
	he.lastContact[in] = he.Clock.Now()
	he.mu.Unlock()
	if !he.Table.ReportVersion(version) {
		return
	}
	select {
	case he.behind <- struct{}{}:
	default:
	}
}

// NewerVersion returns a channel that receives a signal when a peer has a newer table version
// than this instance.
func (he *Heartbeater) NewerVersion() <-chan struct{} { return he.behind }

func (he *Heartbeater) member(in identifier.Instance) (Member, bool) {
	he.mu.Lock()
	defer he.mu.Unlock()
	me, known := he.members[in]
	return me, known
}

// AskWhy calls another instance to explain the scheduling state of a job. If the call fails, the
// error is of the kind PeerUnavailable.
func (he *Heartbeater) AskWhy(ctx context.Context, in identifier.Instance, job identifier.Job) ([]string, bool, error) {
	me, known := he.member(in)
	if !known {
		if err := he.ReadAllZones(ctx); err != nil {
			return nil, false, err
		}
		me, known = he.member(in)
	}
	if !known {
		return nil, false, problem.New(problem.PeerUnavailable, "instance %s is not among the known members", in)
	}
	ctx, end := he.Tracer.Start(ctx, "peer.why")
	var reply peer.WhyReply
	err := he.Dialer.Call(ctx, me.Address, MethodWhy, peer.WhyQuery{JobID: job, TraceParent: he.Tracer.TraceParent(ctx)}, &reply)
	end(err)
	if err != nil {
		return nil, false, problem.New(problem.PeerUnavailable, "call to instance %s failed: %v", in, err)
	}
	return reply.Lines, reply.Known, nil
}
