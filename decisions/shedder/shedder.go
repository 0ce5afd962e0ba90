// Package shedder decides which connections of clients outside the operators' control are closed, so that
// an instance stays within its descriptors and its memory. It knows connections by number only.
package shedder

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// Silent is a connection on which nothing has been received yet.
	Silent Phase = iota
	// Idle is a connection whose last request has been answered.
	Idle
	// Head is a connection that is sending the head of a request.
	Head
	// Body is a connection that is sending the body of a request.
	Body
	// Serving is a connection whose request is complete and not answered yet.
	Serving
	// Answering is a connection that is being written to.
	Answering
	// Refused is a connection whose request has been refused and that will be closed.
	Refused

	// TooManyConnections means that a connection was closed or not taken because of their number.
	TooManyConnections Reason = "connections"
	// TooMuchMemory means that unfinished requests hold too much memory.
	TooMuchMemory Reason = "memory"
	// SlowHead means that the head of a request was not complete in time.
	SlowHead Reason = "slowHead"
	// SlowBody means that the body of a request made no progress.
	SlowBody Reason = "slowBody"

	// minRate is the rate, in bytes per millisecond, at which a client counts as making progress.
	minRate = 4
	// minLag is how long a connection must lag before it is closed for a new one. It keeps a flood of
	// new connections from closing those that have just been opened.
	minLag = clock.Second / 2
)

type (
	// Conn is the number of a connection.
	Conn uint64

	// Listener is the name of a listener.
	Listener string

	// Address is the address of a client's machine.
	Address string

	// Phase is what a connection is doing.
	Phase int

	// Reason is why a connection is closed.
	Reason string

	// Limits are the limits of one listener.
	Limits struct {
		// Connections is the number of connections of the listener, at least 1.
		Connections int
		// PerAddress is the number of connections from one address; 0 means no limit.
		PerAddress int
		// KeepsQuiet means that a connection which owes nothing is never closed for a new one.
		KeepsQuiet bool
	}

	// Options are the limits of an instance.
	Options struct {
		// Connections is the number of connections of all listeners together, at least 1.
		Connections int
		// Memory is what unfinished requests may hold, all together.
		Memory meter.Bytes
		// BodyTimeout is how long a body may make no progress.
		BodyTimeout clock.Millis
	}

	// Victim is a connection to be closed.
	Victim struct {
		Conn     Conn
		Listener Listener
		Reason   Reason
	}

	// Shedder holds what each open connection is doing. It is not safe for concurrent use.
	Shedder struct {
		op        Options
		listeners map[Listener]Limits
		conns     map[Conn]*state
		// counts holds the number of connections of each listener, and from each address at one.
		counts    map[Listener]int
		addresses map[source]int
		// held is the sum of the memory that the connections hold.
		held meter.Bytes
		// last is the number given last.
		last Conn
	}

	// source is an address at a listener.
	source struct {
		listener Listener
		address  Address
	}

	// state is what a connection is doing.
	state struct {
		source
		phase Phase
		// began is when the request in progress began.
		began clock.Millis
		// behind is when the connection would have sent or taken its last byte at minRate. It is
		// never in the future, so that sending fast earns no right to stop.
		behind clock.Millis
		// held is the memory that the request in progress holds, never negative.
		held meter.Bytes
	}
)

// New returns a shedder for listeners with their limits.
func New(op Options, listeners map[Listener]Limits) *Shedder {
	return &Shedder{op: op, listeners: listeners, conns: map[Conn]*state{}, counts: map[Listener]int{}, addresses: map[source]int{}}
}

// Open takes a new connection. It returns its number, and false if it is to be closed at once. A connection
// may have to be closed for it.
func (sh *Shedder) Open(li Listener, ad Address, now clock.Millis) (Conn, bool, []Victim) {
	limits, so := sh.listeners[li], source{li, ad}
	if limits.PerAddress > 0 && sh.addresses[so] >= limits.PerAddress {
		return 0, false, nil
	}
	var victims []Victim
	if sh.counts[li] >= limits.Connections || len(sh.conns) >= sh.op.Connections {
		only := li
		if sh.counts[li] < limits.Connections {
			only = ""
		}
		victim, found := sh.mostLagging(now, only)
		if !found {
			return 0, false, nil
		}
		victims = append(victims, sh.shed(victim, TooManyConnections))
	}
	sh.last++
	sh.conns[sh.last] = &state{source: so, began: now, behind: now}
	sh.counts[li]++
	sh.addresses[so]++
	return sh.last, true, victims
}

// mostLagging returns the connection that has sent or taken least for longest. Those that owe a part of
// a request, or do not take an answer, go before those between two requests. If a listener is given, only its
// connections are considered.
func (sh *Shedder) mostLagging(now clock.Millis, only Listener) (Conn, bool) {
	var worst Conn
	var worstLag clock.Millis
	worstOwes := false
	for co, st := range sh.conns {
		if only != "" && st.listener != only || st.phase == Serving {
			continue
		}
		owes := st.phase != Idle
		if sh.listeners[st.listener].KeepsQuiet && (st.phase == Idle || st.phase == Silent) {
			continue
		}
		lag := now - st.behind
		if lag < minLag || worst != 0 && (worstOwes && !owes || worstOwes == owes && (lag < worstLag || lag == worstLag && co > worst)) {
			continue
		}
		worst, worstLag, worstOwes = co, lag, owes
	}
	return worst, worst != 0
}

// Enter notes that a connection begins another phase. Unless it goes from a head to its body or its answer,
// it holds nothing any more.
func (sh *Shedder) Enter(co Conn, ph Phase, now clock.Millis) {
	st := sh.conns[co]
	if st == nil || st.phase == ph {
		return
	}
	st.phase, st.behind = ph, now
	switch ph {
	case Head:
		st.began = now
	case Silent, Idle:
		sh.hold(st, 0)
	}
}

// Progress notes that bytes have been received from a connection, and the memory that its request now
// holds. It returns the connections that must be closed, which may include this one.
func (sh *Shedder) Progress(co Conn, received int, held meter.Bytes, now clock.Millis) []Victim {
	st := sh.conns[co]
	if st == nil {
		return nil
	}
	st.behind = min(now, st.behind+clock.Millis(received/minRate))
	sh.hold(st, held)
	var victims []Victim
	for sh.held > sh.op.Memory {
		victim, found := sh.largestLag(now)
		if !found {
			break
		}
		victims = append(victims, sh.shed(victim, TooMuchMemory))
	}
	return victims
}

// largestLag returns the connection, among those that hold memory for an unfinished request, that has sent
// least for longest. It returns none if only one holds any: a single request is always served.
func (sh *Shedder) largestLag(now clock.Millis) (Conn, bool) {
	var worst Conn
	var worstLag clock.Millis
	holders := 0
	for co, st := range sh.conns {
		if st.held == 0 {
			continue
		}
		holders++
		if st.phase == Serving || st.phase == Answering {
			continue
		}
		if lag := now - st.behind; worst == 0 || lag > worstLag || lag == worstLag && co > worst {
			worst, worstLag = co, lag
		}
	}
	return worst, worst != 0 && holders > 1
}

// Overdue returns the connections whose head is not complete after a time, and those whose body has made no
// progress for too long. They must be closed.
func (sh *Shedder) Overdue(headTimeout, now clock.Millis) []Victim {
	var victims []Victim
	for co, st := range sh.conns {
		switch {
		case st.phase == Head && now-st.began > headTimeout:
			victims = append(victims, sh.shed(co, SlowHead))
		case st.phase == Body && now-st.behind > sh.op.BodyTimeout:
			victims = append(victims, sh.shed(co, SlowBody))
		}
	}
	return victims
}

// Forgive starts all times anew. It is called after a pause of the process, in which clients could not make
// progress.
func (sh *Shedder) Forgive(now clock.Millis) {
	for _, st := range sh.conns {
		st.began, st.behind = now, now
	}
}

// Close forgets a connection.
func (sh *Shedder) Close(co Conn) {
	st := sh.conns[co]
	if st == nil {
		return
	}
	sh.hold(st, 0)
	delete(sh.conns, co)
	sh.counts[st.listener]--
	if sh.addresses[st.source]--; sh.addresses[st.source] == 0 {
		delete(sh.addresses, st.source)
	}
}

// Held returns the memory that unfinished requests hold.
func (sh *Shedder) Held() meter.Bytes { return sh.held }

func (sh *Shedder) shed(co Conn, re Reason) Victim {
	vi := Victim{Conn: co, Listener: sh.conns[co].listener, Reason: re}
	sh.Close(co)
	return vi
}

func (sh *Shedder) hold(st *state, held meter.Bytes) {
	sh.held += held - st.held
	st.held = held
}
