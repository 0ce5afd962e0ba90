package messenger

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// watchTime is how long a test watches a leader.
	watchTime = 600 * time.Millisecond
	// maxDials is how many connections may be opened within watchTime to a leader that closes each.
	maxDials = 8
	// exitBound is the time within which the end of a leader is noticed.
	exitBound = 100 * time.Millisecond
	// hangTime ends a test that waits for what does not come.
	hangTime = 30 * time.Second
)

// leader is a listener that closes each connection at once, or keeps them.
type leader struct {
	net.Listener
	// closes means that connections are closed at once; the others go to kept.
	closes atomic.Bool
	kept   chan net.Conn
	dials  atomic.Int64
}

func newLeader(t *testing.T, closes bool) *leader {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	le := &leader{Listener: ln, kept: make(chan net.Conn, 1)}
	le.closes.Store(closes)
	go le.serve()
	return le
}

func (le *leader) serve() {
	for nc, err := le.Accept(); err == nil; nc, err = le.Accept() {
		le.dials.Add(1)
		if le.closes.Load() {
			_ = nc.Close()
			continue
		}
		le.kept <- nc
	}
}

// watch returns a channel that receives the moment at which the leader's end is known.
func (le *leader) watch(ctx context.Context) <-chan time.Time {
	me := New(Options{Clock: clock.NewRuntime(), Dial: (&net.Dialer{}).DialContext, Log: zerolog.Nop()})
	known := make(chan time.Time, 1)
	go func() {
		if me.AwaitExit(ctx, le.Addr().String()) {
			known <- time.Now()
		}
		close(known)
	}()
	return known
}

// assertKnown checks that an end is known within exitBound.
func assertKnown(t *testing.T, known <-chan time.Time, end time.Time) {
	t.Helper()
	select {
	case at, is := <-known:
		asserter.Equal(t, is, true)
		if took := at.Sub(end); took > exitBound {
			t.Errorf("the end is known after %v, more than %v", took, exitBound)
		}
	case <-time.After(hangTime):
		t.Fatalf("the end is not known after %v", hangTime)
	}
}

func TestAwaitExit(t *testing.T) {
	t.Run("a leader that closes each connection is not dialed without pause", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), watchTime)
		defer cancel()
		le := newLeader(t, true)
		_, ended := <-le.watch(ctx)
		asserter.Equal(t, ended, false)
		if count := le.dials.Load(); count < 2 || count > maxDials {
			t.Errorf("%d connections in %v, not 2 to %d", count, watchTime, maxDials)
		}
	})
	t.Run("the end of a leader that kept the connection is known at once", func(t *testing.T) {
		le := newLeader(t, false)
		known := le.watch(t.Context())
		nc := <-le.kept
		time.Sleep(watchTime)
		end := time.Now()
		asserter.NoError(t, le.Close())
		asserter.NoError(t, nc.Close())
		assertKnown(t, known, end)
	})
	t.Run("also if the connection ends shortly before the listener does", func(t *testing.T) {
		le := newLeader(t, false)
		known := le.watch(t.Context())
		nc := <-le.kept
		time.Sleep(watchTime)
		le.closes.Store(true)
		asserter.NoError(t, nc.Close())
		time.Sleep(20 * time.Millisecond)
		end := time.Now()
		asserter.NoError(t, le.Close())
		assertKnown(t, known, end)
	})
}
