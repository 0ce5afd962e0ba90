package gatekeeper

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	front shedder.Listener = "front"

	headBytes   = 1024
	connections = 4
	// hangTime ends a test that waits for what does not come.
	hangTime = 30 * time.Second
)

type (
	// rig is a guarded server on the loopback interface, whose clock advances only by hand.
	rig struct {
		ga      *Gatekeeper
		cl      *clock.Fake
		address string
	}

	quietMetrics struct{}

	// poorListener has no descriptors for the first connection.
	poorListener struct {
		net.Listener
		tried bool
	}

	// Echo is a net/rpc service.
	Echo struct{}
)

func (quietMetrics) Count(string, string) {}

// Say returns its argument.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

func newGatekeeper(cl clock.Clock) *Gatekeeper {
	return New(Options{
		Options:   shedder.Options{Connections: connections, Memory: 100 << 10, BodyTimeout: 10 * clock.Second},
		Listeners: map[shedder.Listener]shedder.Limits{front: {Connections: connections}},
		Heads:     func() HeadLimits { return HeadLimits{Bytes: headBytes, Timeout: 3 * clock.Second} },
		Clock:     cl, Metrics: quietMetrics{}, Log: zerolog.Nop(), AnswerTimeout: clock.Minute, MessageLimit: 4096,
	})
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := Listen(context.Background(), "127.0.0.1:0")
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// newRig serves a handler that reads the body and answers with its size.
func newRig(t testing.TB) *rig {
	t.Helper()
	ri := &rig{cl: clock.NewFake(0)}
	ri.ga = newGatekeeper(ri.cl)
	ln := listen(t)
	ri.address = ln.Addr().String()
	sv := ri.ga.Server(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if _, err := io.ReadAll(rq.Body); err != nil {
			wr.WriteHeader(http.StatusBadRequest)
		}
	}))
	go func() { _ = sv.Serve(ri.ga.Guard(ln, front)) }()
	t.Cleanup(func() { _ = sv.Close() })
	return ri
}

// newPeerRig serves net/rpc calls.
func newPeerRig(t testing.TB) *rig {
	t.Helper()
	ri := &rig{cl: clock.NewFake(0)}
	ri.ga = newGatekeeper(ri.cl)
	ln, sv := listen(t), rpc.NewServer()
	ri.address = ln.Addr().String()
	asserter.NoError(t, sv.Register(Echo{}))
	guarded := ri.ga.GuardMessages(ln, front)
	go func() {
		for nc, err := guarded.Accept(); err == nil; nc, err = guarded.Accept() {
			go sv.ServeConn(nc)
		}
	}()
	return ri
}

// dial opens a connection that sends a text.
func (ri *rig) dial(t testing.TB, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", ri.address)
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	asserter.NoError(t, nc.SetDeadline(time.Now().Add(hangTime)))
	_, err = io.WriteString(nc, text)
	asserter.NoError(t, err)
	return nc
}

// awaitHeld waits until the number of connections and what they hold are as given.
func (ri *rig) awaitHeld(t testing.TB, conns int, holds bool) {
	t.Helper()
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ri.ga.mu.Lock()
		is := len(ri.ga.conns) == conns && (ri.ga.shedder.Held() > 0) == holds
		ri.ga.mu.Unlock()
		if is {
			return
		}
	}
	t.Fatalf("the connections are not as expected after %v", hangTime)
}

// status returns the status line of the answer, or nothing if the connection ends without one.
func status(nc net.Conn) string {
	answer := make([]byte, 12)
	n, _ := io.ReadFull(nc, answer) // a connection that ends has no answer
	return string(answer[:n])
}

func TestHeads(t *testing.T) {
	t.Run("a head within the limit is served", func(t *testing.T) {
		nc := newRig(t).dial(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", headBytes-60)+"\r\n\r\n")
		asserter.Equal(t, status(nc), "HTTP/1.1 200")
	})
	t.Run("a larger one is refused with 431, also while it has no end", func(t *testing.T) {
		nc := newRig(t).dial(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", headBytes))
		asserter.Equal(t, status(nc), "HTTP/1.1 431")
	})
	t.Run("a body that comes with the head does not count", func(t *testing.T) {
		nc := newRig(t).dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("\n", 2000))
		asserter.Equal(t, status(nc), "HTTP/1.1 200")
	})
	t.Run("requests that come at once are all served", func(t *testing.T) {
		text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("a", 900)
		nc := newRig(t).dial(t, strings.Repeat(text, 20))
		for range 20 {
			rs := make([]byte, 0, headBytes)
			for !bytes.HasSuffix(rs, []byte("\r\n\r\n")) {
				by := make([]byte, 1)
				_, err := io.ReadFull(nc, by)
				asserter.NoError(t, err)
				rs = append(rs, by...)
			}
			asserter.Equal(t, string(rs[:12]), "HTTP/1.1 200")
		}
	})
	t.Run("one without end is closed after its time", func(t *testing.T) {
		ri := newRig(t)
		nc := ri.dial(t, "GET / HTTP/1.1\r\n")
		ri.awaitPhase(t, shedder.Head)
		ri.cl.Advance(3001)
		ri.ga.sweep(ri.cl.Now(), false)
		asserter.Equal(t, status(nc), "")
		ri.awaitHeld(t, 0, false)
	})
}

// awaitPhase waits until a connection is in a phase.
func (ri *rig) awaitPhase(t testing.TB, ph shedder.Phase) {
	t.Helper()
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ri.ga.mu.Lock()
		for _, co := range ri.ga.conns {
			if co.phase == ph {
				ri.ga.mu.Unlock()
				return
			}
		}
		ri.ga.mu.Unlock()
	}
	t.Fatalf("no connection is in phase %d after %v", ph, hangTime)
}

func TestBodies(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"
	t.Run("what a request held is free once it is answered", func(t *testing.T) {
		ri := newRig(t)
		nc := ri.dial(t, head+strings.Repeat("a", 30_000))
		asserter.Equal(t, status(nc), "HTTP/1.1 200")
		ri.awaitHeld(t, 1, false)
	})
	t.Run("of several unfinished ones that hold too much, the one that sent nothing for longest is closed", func(t *testing.T) {
		ri := newRig(t)
		stalled := ri.dial(t, head+strings.Repeat("a", 29_999))
		ri.awaitHeld(t, 1, true)
		ri.cl.Advance(1000)
		second := ri.dial(t, head+strings.Repeat("a", 30_000))
		asserter.Equal(t, status(second), "HTTP/1.1 200")
		asserter.Equal(t, status(stalled), "")
	})
	t.Run("one that makes no progress is closed after its time", func(t *testing.T) {
		ri := newRig(t)
		nc := ri.dial(t, head+"a")
		ri.awaitPhase(t, shedder.Body)
		ri.cl.Advance(10_001)
		ri.ga.sweep(ri.cl.Now(), false)
		asserter.Equal(t, status(nc), "")
	})
	t.Run("after a pause of the process it may go on", func(t *testing.T) {
		ri := newRig(t)
		nc := ri.dial(t, head+"a")
		ri.awaitPhase(t, shedder.Body)
		ri.cl.Advance(60_000)
		ri.ga.sweep(ri.cl.Now(), true)
		_, err := io.WriteString(nc, strings.Repeat("a", 29_999))
		asserter.NoError(t, err)
		asserter.Equal(t, status(nc), "HTTP/1.1 200")
	})
}

// newIgnorantRig serves a handler that does not read the body. It tells when it has begun, and answers when it
// is released.
func newIgnorantRig(t testing.TB) (ri *rig, begun, release chan struct{}) {
	t.Helper()
	ri, begun, release = &rig{cl: clock.NewFake(0)}, make(chan struct{}), make(chan struct{})
	ri.ga = newGatekeeper(ri.cl)
	ln := listen(t)
	ri.address = ln.Addr().String()
	sv := ri.ga.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	go func() { _ = sv.Serve(ri.ga.Guard(ln, front)) }()
	t.Cleanup(func() { _ = sv.Close() })
	return ri, begun, release
}

func TestBodiesNotRead(t *testing.T) {
	const length = "\r\nHost: h\r\nContent-Length: 900\r\n\r\n"
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		for name, text := range map[string]string{
			"with a length": length + strings.Repeat("a", 900),
			"in chunks":     "\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		} {
			t.Run("a complete request is not closed while its handler runs: "+method+" "+name, func(t *testing.T) {
				ri, begun, release := newIgnorantRig(t)
				nc := ri.dial(t, method+" / HTTP/1.1"+text)
				<-begun
				ri.awaitPhase(t, shedder.Serving)
				ri.cl.Advance(10_001)
				ri.ga.sweep(ri.cl.Now(), false)
				release <- struct{}{}
				asserter.Equal(t, status(nc), "HTTP/1.1 200")
			})
		}
		t.Run("the handler does not begin before the body is complete: "+method, func(t *testing.T) {
			ri, begun, _ := newIgnorantRig(t)
			nc := ri.dial(t, method+" / HTTP/1.1"+length+"a")
			ri.awaitPhase(t, shedder.Body)
			ri.cl.Advance(10_001)
			ri.ga.sweep(ri.cl.Now(), false)
			asserter.Equal(t, status(nc), "")
			asserter.Equal(t, len(begun), 0)
		})
		t.Run("one with a malformed body does not run: "+method, func(t *testing.T) {
			ri, begun, _ := newIgnorantRig(t)
			nc := ri.dial(t, method+" / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n")
			asserter.Equal(t, status(nc), "HTTP/1.1 400")
			asserter.Equal(t, len(begun), 0)
		})
		t.Run("the handler does not wait for a body that is too large to be drained: "+method, func(t *testing.T) {
			ri, begun, release := newIgnorantRig(t)
			ri.dial(t, method+" / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
			<-begun
			release <- struct{}{}
		})
	}
}

func TestConnections(t *testing.T) {
	t.Run("silent ones make room for an ordinary caller", func(t *testing.T) {
		ri := newRig(t)
		for range connections {
			ri.dial(t, "")
		}
		ri.awaitHeld(t, connections, false)
		ri.cl.Advance(1000)
		asserter.Equal(t, status(ri.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")), "HTTP/1.1 200")
	})
}

// Accept fails once.
func (po *poorListener) Accept() (net.Conn, error) {
	if !po.tried {
		po.tried = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return po.Listener.Accept()
}

func TestDescriptors(t *testing.T) {
	t.Run("a listener without descriptors goes on after a while", func(t *testing.T) {
		cl, ln := clock.NewRuntime(), listen(t)
		guarded := newGatekeeper(cl).Guard(&poorListener{Listener: ln}, front)
		nc, err := net.Dial("tcp", ln.Addr().String())
		asserter.NoError(t, err)
		defer func() { _ = nc.Close() }()
		accepted, err := guarded.Accept()
		asserter.NoError(t, err)
		asserter.NoError(t, accepted.Close())
	})
	t.Run("a closed listener ends", func(t *testing.T) {
		ln := listen(t)
		asserter.NoError(t, ln.Close())
		if _, err := newGatekeeper(clock.NewRuntime()).Guard(ln, front).Accept(); !errors.Is(err, net.ErrClosed) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestAnswers(t *testing.T) {
	t.Run("a client that does not take its answer is disconnected", func(t *testing.T) {
		ri := newRig(t)
		ri.ga.AnswerTimeout = 50
		nc := ri.dial(t, "")
		go func() { _, _ = io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100_000)) }() // it is cut off
		for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
			ri.ga.mu.Lock()
			count := ri.ga.closed[cause{front, slowAnswer}]
			ri.ga.mu.Unlock()
			if count > 0 {
				return
			}
		}
		t.Fatalf("it is connected after %v", hangTime)
	})
}

// newViewRig serves a view of a size.
func newViewRig(t testing.TB, size int) *rig {
	t.Helper()
	ri := &rig{cl: clock.NewFake(0)}
	ri.ga = newGatekeeper(ri.cl)
	ln := listen(t)
	ri.address = ln.Addr().String()
	view := []byte(strings.Repeat("a", size))
	sv := ri.ga.Server(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write(view) }))
	go func() { _ = sv.Serve(ri.ga.Guard(ln, front)) }()
	t.Cleanup(func() { _ = sv.Close() })
	return ri
}

func TestSlowReaders(t *testing.T) {
	t.Run("a client that takes a large answer slowly gets all of it", func(t *testing.T) {
		const size, part = 4 << 20, 128 << 10
		ri := newViewRig(t, size)
		ri.ga.AnswerTimeout = 300
		nc := ri.dial(t, "")
		_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		asserter.NoError(t, err)
		taken, buffer := 0, make([]byte, part)
		for err == nil {
			var n int
			n, err = nc.Read(buffer)
			taken += n
			time.Sleep(10 * time.Millisecond)
		}
		if taken < size {
			t.Errorf("%d bytes are taken, less than %d: %v", taken, size, err)
		}
	})
}
