package gatekeeper

import (
	"bytes"
	"context"
	"encoding/gob"
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

func TestMessages(t *testing.T) {
	t.Run("calls of another instance are answered", func(t *testing.T) {
		client, err := rpc.Dial("tcp", newPeerRig(t).address)
		asserter.NoError(t, err)
		defer func() { _ = client.Close() }()
		for range 2 * maxUnanswered {
			var reply string
			asserter.NoError(t, client.Call("Echo.Say", strings.Repeat("a", 3000), &reply))
			asserter.Equal(t, len(reply), 3000)
		}
	})
	t.Run("a message may be as large as the limit, and comes in any parts", func(t *testing.T) {
		var text bytes.Buffer
		en := gob.NewEncoder(&text)
		for range 3 {
			asserter.NoError(t, en.Encode(strings.Repeat("a", 4000)))
		}
		for size := 1; size < 50; size++ {
			me := &messages{limit: 4096}
			for rest := text.Bytes(); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				asserter.NoError(t, me.scan(rest[:min(size, len(rest))]))
			}
			asserter.Equal(t, me.whole(), true)
		}
	})
	for name, text := range map[string]string{
		"claims to be a gigabyte":      "\xfc\x3f\xff\xff\xff",
		"claims the largest length":    "\xf8\xff\xff\xff\xff\xff\xff\xff\xff",
		"has a length of many bytes":   "\x80",
		"is one of many that are sent": strings.Repeat("\x01a", maxUnanswered+1),
	} {
		t.Run("a message is refused that "+name, func(t *testing.T) {
			me := &messages{limit: 4096}
			if me.scan([]byte(text)) == nil {
				t.Fatalf("it is taken")
			}
		})
	}
}

// FuzzMessages checks that no stream of messages makes the decoder wait for more than the limit.
func FuzzMessages(f *testing.F) {
	for _, text := range []string{"", "\x01a", "\xfc\x3f\xff\xff\xff", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\x7f" + strings.Repeat("a", 127), "\xfe\x10\x00"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		me := &messages{limit: 4096}
		for i := range text {
			err := me.scan(text[i : i+1])
			if err == nil && (me.left > me.limit || me.lengthLeft > maxLengthBytes || me.received > int(me.limit)) {
				t.Fatalf("%d bytes are awaited, with a limit of %d", me.left, me.limit)
			}
			if err != nil {
				return
			}
		}
	})
}

// FuzzRequests checks that nothing that a client sends is held once its connection has ended.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\nGET / HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 300), "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	ri := newRig(f)
	f.Fuzz(func(t *testing.T, text []byte) { ri.assertForgets(t, text) })
}

// FuzzPeerCalls is like FuzzRequests for net/rpc calls of other instances.
func FuzzPeerCalls(f *testing.F) {
	var text bytes.Buffer
	en := gob.NewEncoder(&text)
	for _, message := range []any{rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}, "text", rpc.Request{ServiceMethod: "Echo.Say", Seq: 2}, 7, rpc.Request{ServiceMethod: "None"}, []string{"a"}} {
		asserter.NoError(f, en.Encode(message))
		f.Add(bytes.Clone(text.Bytes()))
	}
	f.Add([]byte("\xfc\x3f\xff\xff\xff"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	ri := newPeerRig(f)
	f.Fuzz(func(t *testing.T, text []byte) { ri.assertForgets(t, text) })
}

// assertForgets sends a text, ends the connection and checks that nothing of it is held.
func (ri *rig) assertForgets(t *testing.T, text []byte) {
	t.Helper()
	nc, err := net.Dial("tcp", ri.address)
	asserter.NoError(t, err)
	defer func() { _ = nc.Close() }()
	asserter.NoError(t, nc.SetDeadline(time.Now().Add(hangTime)))
	_, _ = nc.Write(text) // it may be refused before its end
	if tc, is := nc.(*net.TCPConn); is {
		_ = tc.CloseWrite() // it may be closed already
	}
	_, _ = io.Copy(io.Discard, nc) // what is answered is of no interest
	_ = nc.Close()
	ri.awaitHeld(t, 0, false)
}
