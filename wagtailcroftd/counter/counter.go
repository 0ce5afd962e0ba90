// Package counter counts the bytes that control costs on the wire.
package counter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Counter sums the bytes of all connections that were opened or accepted through it.
	Counter struct {
		bytes  atomic.Int64
		dialer net.Dialer
	}

	// conn is a connection whose bytes are counted.
	conn struct {
		net.Conn
		counter *Counter
	}

	// listener counts the bytes of the connections it accepts.
	listener struct {
		net.Listener
		counter *Counter
	}
)

// New returns a counter at 0.
func New() *Counter { return &Counter{} }

// Bytes is the sum of what was sent and received.
func (co *Counter) Bytes() meter.Bytes { return meter.Bytes(co.bytes.Load()) }

// DialContext opens a counted connection.
func (co *Counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := co.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, counter: co}, nil
}

// Listener counts what is accepted on ln.
func (co *Counter) Listener(ln net.Listener) net.Listener {
	return &listener{Listener: ln, counter: co}
}

// Accept returns a counted connection.
func (ln *listener) Accept() (net.Conn, error) {
	inner, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, counter: ln.counter}, nil
}

// Read counts what is received.
func (co *conn) Read(buf []byte) (int, error) {
	n, err := co.Conn.Read(buf)
	co.counter.bytes.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (co *conn) Write(buf []byte) (int, error) {
	n, err := co.Conn.Write(buf)
	co.counter.bytes.Add(int64(n))
	return n, err
}
