// Package messenger lets instances find and call each other: each enters its address in the
// store when it starts, notices at once when the process of the holder ends, and asks
// others to take the duty when the store serves them and not itself. What it says only
// hastens what the store decides.
package messenger

import (
	"cmp"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dialer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

const (
	// ServiceName is that of the service which answers other instances.
	ServiceName   = "Messenger"
	methodRelieve = ServiceName + ".Relieve"
	methodPing    = ServiceName + ".Ping"

	// storeTimeout bounds a call to the store, which answers within 10 ms as a rule.
	storeTimeout = 900 * clock.Millis(1)
	// enterPause lies between two tries to enter this instance in the store.
	enterPause = 500 * clock.Millis(1)
	// listEvery is the time between two readings of the members by the holder, who cannot
	// read them once it needs them.
	listEvery = 5 * clock.Second
	// dialTimeout bounds the opening of a connection to another instance.
	dialTimeout = 800 * clock.Millis(1)
	// pingTimeout bounds the question whether a process works: two ways of at most 8 ms, and
	// what a busy instance of little processor needs.
	pingTimeout = 300 * clock.Millis(1)
	// dialPause lies between two tries to reach a holder that does not answer.
	dialPause = 500 * clock.Millis(1)
	// mostAsked is how many instances are asked at once to take the duty: some may be cut off
	// too, and all would try at one time.
	mostAsked = 3
)

type (
	// Store is what the messenger needs of the table service.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
	}

	// Caller calls a method of another instance.
	Caller interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Candidate may take the duty.
	Candidate interface {
		Relieve(fence meter.LeaseEpoch)
	}

	// Options are what a messenger is made from.
	Options struct {
		Instance identifier.Instance
		Zone     identifier.Zone
		// Address is where this instance answers others; empty means that it does not.
		Address string
		// Yield is how long this instance lets others decide first.
		Yield  clock.Millis
		Store  Store
		Caller Caller
		Dial   dialer.Dial
		Clock  clock.Clock
		Tracer *tracer.Tracer
		Log    zerolog.Logger
	}

	// Messenger knows the other instances.
	Messenger struct {
		Options
		mu locker.Mutex
		// members holds the others, guarded by mu.
		members map[identifier.Instance]ledger.Member
	}

	// Service answers other instances.
	Service struct {
		me        *Messenger
		candidate Candidate
	}
)

// New returns a messenger that knows nobody until Run.
func New(op Options) *Messenger {
	return &Messenger{Options: op, mu: locker.New(locker.RankStore), members: map[identifier.Instance]ledger.Member{}}
}

// Service returns what answers other instances; the candidate takes the duty.
func (me *Messenger) Service(ca Candidate) *Service { return &Service{me: me, candidate: ca} }

// Run enters this instance in the store, and reads who else is there for as long as ctx
// lasts and deciding says that this instance may need it.
func (me *Messenger) Run(ctx context.Context, deciding func() bool) {
	if me.Address == "" {
		return
	}
	for me.enter(ctx) != nil && clock.Sleep(ctx, me.Clock, enterPause) {
	}
	me.list(ctx)
	for clock.Sleep(ctx, me.Clock, listEvery) {
		if deciding() {
			me.list(ctx)
		}
	}
}

// enter writes this instance's row.
func (me *Messenger) enter(ctx context.Context) error {
	ctx, cancel := me.Clock.Bound(ctx, storeTimeout)
	defer cancel()
	value := recorder.Encode(ledger.Member{Address: me.Address, Zone: me.Zone, Yield: me.Yield})
	_, err := me.Store.Write(ctx, rowstore.Transaction{Puts: []rowstore.Put{{Key: recorder.MemberKey(me.Instance), Value: value}}})
	me.Log.Info().Str("address", me.Address).AnErr("refusal", err).Msg("memberEntered")
	return err
}

// list reads the other members; what was known stays if the store does not answer.
func (me *Messenger) list(ctx context.Context) {
	ctx, cancel := me.Clock.Bound(ctx, storeTimeout)
	defer cancel()
	page, err := me.Store.Read(ctx, recorder.Members, "", "", 0)
	if err != nil {
		me.Log.Debug().Err(err).Msg("membersUnread")
		return
	}
	members := make(map[identifier.Instance]ledger.Member, len(page.Rows))
	for _, ro := range page.Rows {
		row, err := recorder.Decode[ledger.Member](ro)
		if err != nil {
			me.Log.Error().Err(err).Str("member", ro.Name).Msg("rowUnread")
			continue
		}
		if in := identifier.Instance(ro.Name); in != me.Instance {
			members[in] = row
		}
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	me.members = members
}

// Ended waits until the process at an address has certainly ended: nobody listens there any
// more. False means that ctx has ended. A process that cannot be reached may be alive.
func (me *Messenger) Ended(ctx context.Context, address string) bool {
	for ctx.Err() == nil {
		bound, cancel := me.Clock.Bound(ctx, dialTimeout)
		conn, err := me.Dial(bound, "tcp", address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			clock.Sleep(ctx, me.Clock, dialPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_, err = conn.Read(make([]byte, 1)) // nothing is ever sent: it ends with the connection
		me.Log.Debug().AnErr("end", err).Str("address", address).Msg("holderConnectionEnded")
		stop()
		_ = conn.Close()
	}
	return false
}

// Answers reports whether the process at an address works. It asks over a connection of its
// own, for an old one may be silent for good.
func (me *Messenger) Answers(ctx context.Context, address string) bool {
	ctx, cancel := me.Clock.Bound(ctx, pingTimeout)
	defer cancel()
	once := dialer.New(me.Clock, pingTimeout, me.Dial)
	defer once.Close()
	var reply peer.ReliefReply
	return once.Call(ctx, address, methodPing, peer.Ping{Instance: me.Instance}, &reply) == nil
}

// Relieve asks some other instances to take the duty with a fence, those with the most
// processor first; it does not wait.
func (me *Messenger) Relieve(ctx context.Context, fence meter.LeaseEpoch) {
	for _, other := range me.strongest(mostAsked, math.MaxInt64) {
		go me.relieve(ctx, other, fence)
	}
}

// HandOver asks an instance with more processor than this one to take the duty, if there is
// one; it does not wait.
func (me *Messenger) HandOver(ctx context.Context, fence meter.LeaseEpoch) {
	for _, other := range me.strongest(1, me.Yield) {
		go me.relieve(ctx, other, fence)
	}
}

func (me *Messenger) relieve(ctx context.Context, other ledger.Member, fence meter.LeaseEpoch) {
	ctx, end := me.Tracer.Start(ctx, "peer.relieve")
	var reply peer.ReliefReply
	err := me.Caller.Call(ctx, other.Address, methodRelieve, peer.Relief{Instance: me.Instance, Fence: fence, TraceParent: me.Tracer.Parent(ctx)}, &reply)
	end(err)
	me.Log.Info().Str("peer", other.Address).Int64("fence", int64(fence)).AnErr("refusal", err).Msg("reliefAsked")
}

// strongest draws members that yield less than a bound, those that yield least first.
func (me *Messenger) strongest(most int, below clock.Millis) []ledger.Member {
	me.mu.Lock()
	defer me.mu.Unlock()
	var able []ledger.Member
	for _, other := range me.members {
		if other.Yield < below {
			able = append(able, other)
		}
	}
	rand.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	slices.SortStableFunc(able, func(a, b ledger.Member) int { return cmp.Compare(a.Yield, b.Yield) })
	return able[:min(len(able), most)]
}

// Ping answers that this process works.
func (se *Service) Ping(_ peer.Ping, reply *peer.ReliefReply) error {
	*reply = peer.ReliefReply{Instance: se.me.Instance}
	return nil
}

// Relieve has this instance take the duty of a holder that cannot reach the store.
func (se *Service) Relieve(args peer.Relief, reply *peer.ReliefReply) error {
	_, end := se.me.Tracer.Start(se.me.Tracer.Child(context.Background(), args.TraceParent), "entry.relieve")
	defer end(nil)
	se.me.Log.Info().Str("holder", string(args.Instance)).Int64("fence", int64(args.Fence)).Msg("reliefWanted")
	se.candidate.Relieve(args.Fence)
	*reply = peer.ReliefReply{Instance: se.me.Instance}
	return nil
}
