// Package heartbeater keeps contact with the other entry instances over net/rpc: it learns
// who is alive, hastens the spread of table versions and of leaving targets, and passes
// questions on to the instance that knows.
package heartbeater

import (
	"context"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

// secondLook is the time between two looks at all zones, longer than between two beats.
const secondLook = 1500 * clock.Millis(1)

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

// Look reads which instances of the zone there are.
func (he *Heartbeater) Look(ctx context.Context) error {
	he.mu.Lock()
	since := he.scanned
	he.mu.Unlock()
	upTo, err := he.scan(ctx, storer.MemberPrefix(he.Zone), since)
	if err != nil {
		return err
	}
	he.mu.Lock()
	defer he.mu.Unlock()
	he.scanned, he.looked = max(he.scanned, upTo), he.Clock.Now()
	return nil
}

// LookEverywhere reads which instances there are in all zones. If that was not done
// lately it looks twice, for a row tells that its instance lives only by changing.
func (he *Heartbeater) LookEverywhere(ctx context.Context) error {
	he.mu.Lock()
	since, recent := he.everywhere, he.Clock.Now()-he.lookedEverywhere < he.Silence
	he.mu.Unlock()
	upTo, err := he.scan(ctx, "", since)
	if err != nil {
		return err
	}
	he.mu.Lock()
	he.everywhere, he.lookedEverywhere = max(he.everywhere, upTo), he.Clock.Now()
	he.mu.Unlock()
	if recent {
		return nil
	}
	he.age(he.Silence)
	clock.Sleep(ctx, he.Clock, secondLook)
	return he.LookEverywhere(ctx)
}

// age makes every member of another zone count as silent until its row changes.
func (he *Heartbeater) age(by clock.Millis) {
	he.mu.Lock()
	defer he.mu.Unlock()
	for id, me := range he.members {
		if me.Zone != he.Zone {
			me.Seen -= by
			he.members[id] = me
		}
	}
}

// scan takes over the rows that have changed under a prefix.
func (he *Heartbeater) scan(ctx context.Context, prefix string, since meter.RowVersion) (meter.RowVersion, error) {
	list, upTo, err := storer.Scan[rows.MemberRow](ctx, he.Store, storer.TableMembers, prefix, since)
	if err != nil {
		return 0, err
	}
	he.mu.Lock()
	defer he.mu.Unlock()
	now := he.Clock.Now()
	for _, row := range list {
		if !row.Removed {
			he.members[row.Value.Instance] = memberOf(row.Value, now)
		}
	}
	return upTo, nil
}

func memberOf(row rows.MemberRow, now clock.Millis) Member {
	return Member{
		Instance:     row.Instance,
		Zone:         row.Zone,
		Address:      row.PeerAddress,
		TableVersion: row.TableVersion,
		Leaving:      row.Leaving,
		Seen:         now,
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

// neighbours lists the other instances of the zone that may be alive.
func (he *Heartbeater) neighbours() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		if me.Zone == he.Zone && me.Instance != he.Instance && he.mayLive(me) {
			list = append(list, me)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// mayLive reports whether a member's row or the member itself was heard of lately, or the
// rows have not been read lately, in which case they say nothing.
func (he *Heartbeater) mayLive(me Member) bool {
	now := he.Clock.Now()
	recent := now-me.Seen < he.Silence || he.inContact(me.Instance)
	return !me.Leaving && (recent || now-he.looked >= he.Silence)
}

func (he *Heartbeater) inContact(in identifier.Instance) bool {
	at, known := he.contact[in]
	return known && he.Clock.Now()-at < he.Silence
}

// Live is the number of instances of the zone that are alive, this one included.
func (he *Heartbeater) Live() int { return len(he.neighbours()) + 1 }

// Hears reports whether an instance has lately been in contact.
func (he *Heartbeater) Hears(in identifier.Instance) bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	return he.inContact(in)
}

// HearsAll reports whether every other instance of the zone that may be alive has lately
// been in contact.
func (he *Heartbeater) HearsAll() bool {
	for _, me := range he.neighbours() {
		if !he.Hears(me.Instance) {
			return false
		}
	}
	return true
}

// Members lists all instances whose rows have changed within Forget, this one included.
func (he *Heartbeater) Members() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		age := he.Clock.Now() - me.Seen
		me.Stale = age >= he.Silence
		if age < he.Forget {
			list = append(list, me)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

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
