// Package counter counts the bytes of control traffic on the network.
package counter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Counter counts the bytes of all connections that were opened or accepted through it.
	Counter struct {
		bytes  atomic.Int64
		dialer net.Dialer
	}

	// conn is a connection whose bytes are counted.
	conn struct {
		net.Conn
		counter *Counter
	}

	// listener accepts connections whose bytes are counted.
	listener struct {
		net.Listener
		counter *Counter
	}
)

// New returns a counter whose count is 0.
func New() *Counter { return &Counter{} }

// Bytes returns the number of bytes sent and received so far.
func (co *Counter) Bytes() meter.Bytes { return meter.Bytes(co.bytes.Load()) }

// DialContext opens a connection whose bytes are counted.
func (co *Counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := co.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, counter: co}, nil
}

// Listener wraps ln so that the bytes of its connections are counted.
func (co *Counter) Listener(ln net.Listener) net.Listener {
	return &listener{Listener: ln, counter: co}
}

// Accept returns the next connection, whose bytes are counted.
func (ln *listener) Accept() (net.Conn, error) {
	inner, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, counter: ln.counter}, nil
}

// Read counts the bytes received.
func (co *conn) Read(buf []byte) (int, error) {
	n, err := co.Conn.Read(buf)
	co.counter.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (co *conn) Write(buf []byte) (int, error) {
	n, err := co.Conn.Write(buf)
	co.counter.bytes.Add(int64(n))
	return n, err
}
