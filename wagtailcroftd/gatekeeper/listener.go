package gatekeeper

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// socketBuffer is the size of each of the two buffers that the kernel keeps for a connection. They count
	// as memory of the machine, and without a limit the kernel lets them grow to megabytes.
	socketBuffer = 16 << 10
	// acceptPause is the pause after a connection could not be taken for want of descriptors.
	acceptPause = 100 * clock.Millis(1)
)

// passing are errors after which a listener goes on.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// listener takes the connections that the shedder admits.
type listener struct {
	net.Listener
	ga   *Gatekeeper
	name shedder.Listener
	// peers means that the connections carry messages of other instances rather than HTTP.
	peers bool
}

// Listen opens a listener whose connections have small kernel buffers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A machine that refuses the sizes keeps its own.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
		})
	}}
	return lc.Listen(ctx, "tcp", address)
}

// Guard returns a listener of HTTP connections that keeps to the limits.
func (ga *Gatekeeper) Guard(ln net.Listener, name shedder.Listener) net.Listener {
	return &listener{Listener: ln, ga: ga, name: name}
}

// GuardMessages returns a listener of net/rpc connections that keeps to the limits.
func (ga *Gatekeeper) GuardMessages(ln net.Listener, name shedder.Listener) net.Listener {
	return &listener{Listener: ln, ga: ga, name: name, peers: true}
}

// Accept returns the next connection that is admitted. It waits while the machine has no descriptors.
func (li *listener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		switch {
		case slices.ContainsFunc(passing, func(cause error) bool { return errors.Is(err, cause) }):
			li.ga.note(li.name, noDescriptors)
			<-li.ga.Clock.After(acceptPause)
			continue
		case err != nil:
			return nil, err
		}
		if co := li.admit(nc); co != nil {
			return co, nil
		}
		_ = nc.Close() // it is not taken
	}
}

// admit returns a guarded connection, or nil if there is no room for it.
func (li *listener) admit(nc net.Conn) *conn {
	address := nc.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	ga := li.ga
	ga.mu.Lock()
	id, taken, victims := ga.shedder.Open(li.name, shedder.Address(address), ga.Clock.Now())
	removed := ga.remove(victims)
	if !taken {
		ga.count(li.name, shedder.TooManyConnections)
		ga.mu.Unlock()
		return nil
	}
	co := &conn{Conn: nc, ga: ga, listener: li.name, id: id}
	if li.peers {
		co.messages = &messages{limit: uint64(ga.MessageLimit)}
	}
	ga.conns[id] = co
	ga.mu.Unlock()
	reset(removed)
	return co
}
