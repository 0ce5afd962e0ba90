package gatekeeper

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

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
