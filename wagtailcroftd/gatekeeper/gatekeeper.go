// Package gatekeeper keeps the connections of clients outside the operators' control within the memory and
// the descriptors of an instance. Package shedder decides which connections are closed; this package counts
// what they send and closes them.
package gatekeeper

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// sweepInterval is the time between two looks for overdue connections. A longer gap means that the
	// process was paused.
	sweepInterval = clock.Second
	// maxHeadBytes is the limit of net/http itself, which ends a head that the scanner has lost track of
	// because it was received together with the request before it.
	maxHeadBytes = 1 << 20

	// headTooLarge means that a head was refused with 431.
	headTooLarge shedder.Reason = "headTooLarge"
	// messageTooLarge means that another instance sent too large a message, or too many at once.
	messageTooLarge shedder.Reason = "messageTooLarge"
	// slowAnswer means that a client did not take an answer in time.
	slowAnswer shedder.Reason = "slowAnswer"
	// noDescriptors means that the machine had no descriptors for a connection.
	noDescriptors shedder.Reason = "descriptors"
)

type (
	// Metrics counts events.
	Metrics interface {
		Count(name, label string)
	}

	// HeadLimits are the limits of the head of a request.
	HeadLimits struct {
		// Bytes is its largest size, and Timeout the time from its first byte to its end.
		Bytes   meter.Bytes
		Timeout clock.Millis
	}

	// Options are the limits and dependencies of a Gatekeeper.
	Options struct {
		shedder.Options
		// Listeners holds the limits of each listener.
		Listeners map[shedder.Listener]shedder.Limits
		// Heads returns the limits of heads in force. It is called without a lock held.
		Heads func() HeadLimits
		// AnswerTimeout is how long a client may not take an answer.
		AnswerTimeout clock.Millis
		// MessageLimit is the largest message of another instance.
		MessageLimit meter.Bytes
		Clock        clock.Clock
		Metrics      Metrics
		Log          zerolog.Logger
	}

	// Gatekeeper guards the listeners of an instance.
	Gatekeeper struct {
		Options
		mu locker.Mutex
		// shedder knows the same connections as conns; both are guarded by mu, and so are the counts of
		// connections closed since the last log line.
		shedder *shedder.Shedder
		conns   map[shedder.Conn]*conn
		closed  map[cause]int
	}

	// cause is why connections of a listener were closed.
	cause struct {
		listener shedder.Listener
		reason   shedder.Reason
	}

	// connKey is the key of the connection in a request's context.
	connKey struct{}
)

// New returns a gatekeeper. Overdue connections are closed only while Run runs.
func New(op Options) *Gatekeeper {
	return &Gatekeeper{
		Options: op, mu: locker.New(locker.RankAdmission), shedder: shedder.New(op.Options, op.Listeners),
		conns: map[shedder.Conn]*conn{}, closed: map[cause]int{},
	}
}

// Server returns an HTTP server for a listener returned by Guard.
func (ga *Gatekeeper) Server(next http.Handler) *http.Server {
	return &http.Server{ //nolint:gosec // Run closes connections with overdue heads
		Handler:        http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) { ga.serve(next, wr, rq) }),
		MaxHeaderBytes: maxHeadBytes,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
		ConnState: func(nc net.Conn, state http.ConnState) {
			co, guarded := nc.(*conn)
			if !guarded {
				return
			}
			switch state {
			case http.StateActive:
				co.headComplete()
			case http.StateIdle:
				co.answered()
			default:
			}
		},
	}
}

// serve notes when a request is complete and what its handler keeps of its body.
func (ga *Gatekeeper) serve(next http.Handler, wr http.ResponseWriter, rq *http.Request) {
	if co, guarded := rq.Context().Value(connKey{}).(*conn); guarded {
		if rq.Body == nil || rq.Body == http.NoBody {
			co.enter(shedder.Serving)
		} else {
			rq.Body = &body{ReadCloser: rq.Body, conn: co}
		}
	}
	next.ServeHTTP(wr, rq)
}

// Run closes overdue connections and logs what was closed, until ctx is done.
func (ga *Gatekeeper) Run(ctx context.Context) {
	for last := ga.Clock.Now(); clock.Sleep(ctx, ga.Clock, sweepInterval); {
		now := ga.Clock.Now()
		ga.sweep(now, now-last > 2*sweepInterval)
		last = now
	}
}

func (ga *Gatekeeper) sweep(now clock.Millis, paused bool) {
	timeout := ga.Heads().Timeout
	ga.mu.Lock()
	if paused {
		ga.shedder.Forgive(now)
	}
	victims := ga.remove(ga.shedder.Overdue(timeout, now))
	closed, held, open := ga.closed, ga.shedder.Held(), len(ga.conns)
	ga.closed = map[cause]int{}
	ga.mu.Unlock()
	reset(victims)
	causes := make([]cause, 0, len(closed))
	for ca := range closed {
		causes = append(causes, ca)
	}
	slices.SortFunc(causes, func(a, b cause) int {
		return cmp.Or(cmp.Compare(a.listener, b.listener), cmp.Compare(a.reason, b.reason))
	})
	for _, ca := range causes {
		ga.Log.Warn().Str("listener", string(ca.listener)).Str("reason", string(ca.reason)).Int("count", closed[ca]).
			Int("connections", open).Int64("heldBytes", int64(held)).Msg("clientsShed")
	}
}

// count counts a closed connection. The caller must hold mu.
func (ga *Gatekeeper) count(li shedder.Listener, re shedder.Reason) {
	ga.closed[cause{li, re}]++
	ga.Metrics.Count("clientsShed", string(li)+"."+string(re))
}

// note counts a connection that is closed for a reason of this package.
func (ga *Gatekeeper) note(li shedder.Listener, re shedder.Reason) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.count(li, re)
}

// remove counts victims and returns their connections. The caller must hold mu, and reset them when it no
// longer does.
func (ga *Gatekeeper) remove(victims []shedder.Victim) []*conn {
	removed := make([]*conn, 0, len(victims))
	for _, vi := range victims {
		ga.count(vi.Listener, vi.Reason)
		removed = append(removed, ga.conns[vi.Conn])
		delete(ga.conns, vi.Conn)
	}
	return removed
}

// reset closes connections without keeping what is still to be sent.
func reset(victims []*conn) {
	for _, co := range victims {
		if tc, is := co.Conn.(interface{ SetLinger(seconds int) error }); is {
			_ = tc.SetLinger(0) // it is closed anyway
		}
		_ = co.Conn.Close() // whoever uses it sees the end
	}
}
