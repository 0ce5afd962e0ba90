// Package messenger lets instances find and call each other. Each instance registers its address
// in the store when it starts, detects at once when the leader's process ends, and, as the
// leader, asks others to acquire leadership when it cannot reach the store itself. These messages
// only speed up a change of leadership; the store alone decides who is the leader.
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

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
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
	// ServiceName is the name of the net/rpc service that answers other instances.
	ServiceName   = "Messenger"
	methodRelieve = ServiceName + ".Relieve"
	methodPing    = ServiceName + ".Ping"

	// storeTimeout bounds a call to the store, which usually answers within 10 ms.
	storeTimeout = 900 * clock.Millis(1)
	// registerPause is the pause between two attempts to register this instance in the store.
	registerPause = 500 * clock.Millis(1)
	// listInterval is the time between two reads of the members by the leader. The leader reads
	// them in advance, because it needs them when it cannot reach the store.
	listInterval = 5 * clock.Second
	// dialTimeout bounds the time to connect to another instance.
	dialTimeout = 800 * clock.Millis(1)
	// pingTimeout bounds a ping: a round trip of at most 8 ms each way, and the time that a busy
	// instance with little CPU needs to answer.
	pingTimeout = 300 * clock.Millis(1)
	// dialPause is the pause between two attempts to connect to a leader that does not answer.
	dialPause = 500 * clock.Millis(1)
	// firstPause is the first pause after a connection that was closed soon; each next one is twice as long, up to
	// dialPause. The connection of a process that ends may close shortly before its listener does.
	firstPause = 10 * clock.Millis(1)
	// maxTransferRequests is how many instances are asked to acquire leadership. Asking one is
	// not enough, because it may be cut off from the store too; if all were asked, they would
	// all try at the same time.
	maxTransferRequests = 3
)

type (
	// Store is the part of the table service that the messenger uses.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
	}

	// Caller calls a method of another instance.
	Caller interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Candidate can acquire leadership.
	Candidate interface {
		// AcceptTransfer makes this instance acquire leadership from the leader with a fencing
		// token, until the leader's row has the given number of renewals.
		AcceptTransfer(fence meter.LeaseEpoch, endsAtRenewal int64)
		// Renounce makes sure that no term with a fencing token, or a lower one, begins any more, and returns
		// the token up to which all terms of this process have ended.
		Renounce(fence meter.LeaseEpoch) meter.LeaseEpoch
		// UnrecordedEnds returns ended runs that this term knew and may not have recorded.
		UnrecordedEnds() []fleet.EndedRun
	}

	// Options are the settings and dependencies of a messenger.
	Options struct {
		Instance identifier.Instance
		// Incarnation identifies this process.
		Incarnation string
		Zone        identifier.Zone
		// Address is the address at which this instance answers others; empty means that it
		// does not answer.
		Address string
		// ElectionDelay is how long this instance lets others run first.
		ElectionDelay clock.Millis
		Store         Store
		Caller        Caller
		Dial          dialer.DialFunc
		Clock         clock.Clock
		Tracer        *tracer.Tracer
		Log           zerolog.Logger
	}

	// Messenger registers this instance and calls the other registered instances.
	Messenger struct {
		Options
		mu locker.Mutex
		// members holds the other registered instances, guarded by mu.
		members map[identifier.Instance]ledger.Member
	}

	// Service is the net/rpc service that answers other instances.
	Service struct {
		me        *Messenger
		candidate Candidate
	}
)

// New returns a messenger that knows no other instances until Run.
func New(op Options) *Messenger {
	return &Messenger{Options: op, mu: locker.New(locker.RankStore), members: map[identifier.Instance]ledger.Member{}}
}

// Service returns the net/rpc service for other instances. The candidate is called when another
// instance asks this one to acquire leadership.
func (me *Messenger) Service(ca Candidate) *Service { return &Service{me: me, candidate: ca} }

// Run registers this instance in the store and reads the other members. It then reads them again
// every listInterval in which leading reports that this instance is the leader, until ctx is done.
func (me *Messenger) Run(ctx context.Context, leading func() bool) {
	if me.Address == "" {
		return
	}
	for me.register(ctx) != nil && clock.Sleep(ctx, me.Clock, registerPause) {
	}
	me.list(ctx)
	for clock.Sleep(ctx, me.Clock, listInterval) {
		if leading() {
			me.list(ctx)
		}
	}
}

// register writes this instance's row.
func (me *Messenger) register(ctx context.Context) error {
	ctx, cancel := me.Clock.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value := recorder.Encode(ledger.Member{Address: me.Address, Zone: me.Zone, ElectionDelay: me.ElectionDelay})
	_, err := me.Store.Write(ctx, rowstore.Transaction{Puts: []rowstore.Put{{Key: recorder.MemberKey(me.Instance), Value: value}}})
	me.Log.Info().Str("address", me.Address).AnErr("refusal", err).Msg("memberRegistered")
	return err
}

// list reads the other members. The previous list is kept if the store does not answer.
func (me *Messenger) list(ctx context.Context) {
	ctx, cancel := me.Clock.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := me.Store.Read(ctx, recorder.Members, "", "", 0)
	if err != nil {
		me.Log.Debug().Err(err).Msg("memberListFailed")
		return
	}
	members := make(map[identifier.Instance]ledger.Member, len(page.Rows))
	for _, ro := range page.Rows {
		row, err := recorder.Decode[ledger.Member](ro)
		if err != nil {
			me.Log.Error().Err(err).Str("member", ro.Name).Msg("rowInvalid")
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

// AwaitExit waits until the process at an address is known to have ended, because a connection is
// refused. It returns false if ctx is done first. A process that cannot be reached for another
// reason may still be running.
func (me *Messenger) AwaitExit(ctx context.Context, address string) bool {
	for pause := firstPause; ctx.Err() == nil; {
		bound, cancel := me.Clock.WithTimeout(ctx, dialTimeout)
		conn, err := me.Dial(bound, "tcp", address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			clock.Sleep(ctx, me.Clock, dialPause)
			continue
		}
		began := me.Clock.Now()
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_, err = conn.Read(make([]byte, 1)) // the peer never sends data, so this returns only when the connection ends
		me.Log.Debug().AnErr("end", err).Str("address", address).Msg("leaderConnectionClosed")
		stop()
		_ = conn.Close()
		if me.Clock.Now()-began >= dialPause {
			pause = firstPause
			continue
		}
		clock.Sleep(ctx, me.Clock, pause)
		pause = min(2*pause, dialPause)
	}
	return false
}

// Ping reports whether the process at an address answers a ping.
func (me *Messenger) Ping(ctx context.Context, address string) bool {
	_, err := me.ping(ctx, address, peer.Ping{})
	return err == nil
}

// TermEnded reports whether a leader's term has certainly ended: its process says so, or has been
// replaced by another one. A refused connection proves nothing, because a partition may refuse it too. It
// also returns the ended runs that the process knows and may not have recorded.
func (me *Messenger) TermEnded(ctx context.Context, leader ledger.FormerLeader) ([]fleet.EndedRun, bool) {
	reply, err := me.ping(ctx, leader.Address, peer.Ping{Fence: leader.Fence, Ends: true})
	if err != nil {
		return nil, false
	}
	replaced := reply.Incarnation != "" && reply.Incarnation != leader.Incarnation
	if !replaced && reply.EndedFence < leader.Fence {
		return nil, false
	}
	return decodeEnds(reply.Ends), true
}

// ping opens a new connection, because an existing one may be dead without having been closed.
func (me *Messenger) ping(ctx context.Context, address string, args peer.Ping) (peer.InstanceReply, error) {
	ctx, cancel := me.Clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	di := dialer.New(me.Clock, pingTimeout, me.Dial)
	defer di.Close()
	var reply peer.InstanceReply
	args.Instance = me.Instance
	err := di.Call(ctx, address, methodPing, args, &reply)
	return reply, err
}

// RequestTransfer asks up to maxTransferRequests other instances to acquire leadership from the
// leader with a fencing token. It prefers those with the shortest election delay, which have the
// most CPU. It does not wait for their answers.
func (me *Messenger) RequestTransfer(ctx context.Context, fence meter.LeaseEpoch, endsAtRenewal int64) {
	for _, other := range me.candidates(maxTransferRequests, math.MaxInt64) {
		go me.requestTransfer(ctx, other, fence, endsAtRenewal)
	}
}

// OfferTransfer asks one instance with a shorter election delay than this one, and thus more CPU,
// to acquire leadership, and reports whether there is one. It does not wait for the answer.
func (me *Messenger) OfferTransfer(ctx context.Context, fence meter.LeaseEpoch, endsAtRenewal int64) bool {
	others := me.candidates(1, me.ElectionDelay)
	for _, other := range others {
		go me.requestTransfer(ctx, other, fence, endsAtRenewal)
	}
	return len(others) > 0
}

// requestTransfer asks another instance to acquire leadership and logs the result.
func (me *Messenger) requestTransfer(ctx context.Context, other ledger.Member, fence meter.LeaseEpoch, endsAtRenewal int64) {
	ctx, end := me.Tracer.Start(ctx, "peer.relieve")
	var reply peer.InstanceReply
	err := me.Caller.Call(ctx, other.Address, methodRelieve, peer.LeadershipTransfer{
		Instance: me.Instance, Fence: fence, EndsAtRenewal: endsAtRenewal, TraceParent: me.Tracer.TraceParent(ctx),
	}, &reply)
	end(err)
	me.Log.Info().Str("peer", other.Address).Int64("fence", int64(fence)).AnErr("refusal", err).Msg("leadershipTransferSent")
}

// candidates returns up to limit members whose election delay is below a bound, those with the
// shortest first. Members with equal delays are in random order.
func (me *Messenger) candidates(limit int, below clock.Millis) []ledger.Member {
	me.mu.Lock()
	defer me.mu.Unlock()
	var eligible []ledger.Member
	for _, other := range me.members {
		if other.ElectionDelay < below {
			eligible = append(eligible, other)
		}
	}
	rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	slices.SortStableFunc(eligible, func(a, b ledger.Member) int { return cmp.Compare(a.ElectionDelay, b.ElectionDelay) })
	return eligible[:min(len(eligible), limit)]
}

// Ping answers that this process is running, and which of its terms has ended.
func (se *Service) Ping(args peer.Ping, reply *peer.InstanceReply) error {
	*reply = peer.InstanceReply{Instance: se.me.Instance, Incarnation: se.me.Incarnation, EndedFence: se.candidate.Renounce(args.Fence)}
	if args.Ends {
		reply.Ends = encodeEnds(se.candidate.UnrecordedEnds())
	}
	return nil
}

// Relieve makes this instance acquire leadership at the request of a leader that cannot reach the
// store or that hands leadership to an instance with more CPU.
func (se *Service) Relieve(args peer.LeadershipTransfer, reply *peer.InstanceReply) error {
	_, end := se.me.Tracer.Start(se.me.Tracer.WithTraceParent(context.Background(), args.TraceParent), "entry.relieve")
	defer end(nil)
	se.me.Log.Info().Str("holder", string(args.Instance)).Int64("fence", int64(args.Fence)).Msg("leadershipTransferReceived")
	se.candidate.AcceptTransfer(args.Fence, args.EndsAtRenewal)
	*reply = peer.InstanceReply{Instance: se.me.Instance}
	return nil
}
