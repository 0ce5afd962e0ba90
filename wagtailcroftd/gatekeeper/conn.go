package gatekeeper

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// lineBytes is what a header line takes beside its text: an entry of a map and a slice. textFactor is
	// what a byte of a request takes while buffers grow and are decoded, in halves.
	lineBytes  = 160
	textFactor = 5
	// freeBytes is what a request may hold without being counted, because each connection is counted with
	// buffers of this size.
	freeBytes = 4 << 10
	// refusal answers a head that is too large. The request has not run.
	refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/json\r\nContent-Length: 49\r\nConnection: close\r\n\r\n" +
		`{"error":"the head of the request is too large"}` + "\n"
	// lingerTime is how long a refused client may go on sending, so that it can read the refusal, and
	// lingerBytes is how much.
	lingerTime  = clock.Second / 2
	lingerBytes = 256 << 10
	// writeBytes is the size of the parts of an answer, for each of which a client has AnswerTimeout.
	writeBytes = 4 << 10
)

type (
	// conn is a connection that reports to the shedder what it does.
	conn struct {
		net.Conn
		ga       *Gatekeeper
		listener shedder.Listener
		id       shedder.Conn

		// The fields below are guarded by ga.mu. messages is nil for HTTP. phase is that of the request in progress, and head what has
		// been received of its head; kept is the size of what its handler has read of its body.
		messages *messages
		phase    shedder.Phase
		head     shedder.HeadScanner
		kept     int
	}

	// body is the body of a request, as its handler reads it.
	body struct {
		io.ReadCloser
		conn *conn
	}
)

// Read reads what a client sends. A client whose head is too large is refused, and gets no other answer.
func (co *conn) Read(p []byte) (int, error) {
	n, err := co.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if co.messages != nil {
		return co.readMessages(p[:n], err)
	}
	limit, refused, over := int(co.ga.Heads().Bytes), false, false
	gone := co.update(func() int {
		if refused = co.phase == shedder.Refused; refused {
			return n
		}
		if co.phase == shedder.Silent || co.phase == shedder.Idle {
			co.phase, co.head, co.kept = shedder.Head, shedder.HeadScanner{}, 0
		}
		if co.phase == shedder.Head {
			if co.head.Scan(p[:n]) {
				co.phase = shedder.Body
			}
			over = co.head.Bytes > limit
		}
		return n
	})
	switch {
	case gone, refused:
		return 0, io.EOF // a reader that goes on after an end must not get the rest of a refused head
	case over:
		co.refuse()
		return 0, io.EOF
	}
	return n, err
}

// update changes the state of the connection by a function, which returns the number of bytes received or taken, and
// closes those connections that the change makes a burden. It reports whether this one is among them.
func (co *conn) update(change func() int) bool {
	ga := co.ga
	ga.mu.Lock()
	if ga.conns[co.id] != co {
		ga.mu.Unlock()
		return true
	}
	now, received := ga.Clock.Now(), change()
	ga.shedder.Enter(co.id, co.phase, now)
	removed := ga.remove(ga.shedder.Progress(co.id, received, co.held(), now))
	_, open := ga.conns[co.id]
	ga.mu.Unlock()
	reset(removed)
	return !open
}

// held returns the memory that the request in progress holds. The caller must hold ga.mu.
func (co *conn) held() meter.Bytes {
	return meter.Bytes(max((co.head.Bytes+co.kept)*textFactor/2+co.head.Lines*lineBytes-freeBytes, 0))
}

func (co *conn) enter(ph shedder.Phase) {
	co.update(func() int {
		co.phase = ph
		return 0
	})
}

// answered notes that a request has been answered. The next one may have been received with it.
func (co *conn) answered() {
	co.update(func() int {
		co.phase, co.head, co.kept = shedder.Idle, shedder.HeadScanner{}, 0
		return 0
	})
}

// headComplete notes that the server has read a head. It may have been received together with the request
// before it.
func (co *conn) headComplete() {
	co.update(func() int {
		if co.phase == shedder.Silent || co.phase == shedder.Idle || co.phase == shedder.Head {
			co.phase = shedder.Body
		}
		return 0
	})
}

// refuse answers that the head is too large, and waits until the client has read that.
func (co *conn) refuse() {
	co.ga.note(co.listener, headTooLarge)
	co.enter(shedder.Refused)
	_ = co.SetDeadline(time.Now().Add(lingerTime.Duration())) // without a deadline, the shedder closes it
	if _, err := io.WriteString(co.Conn, refusal); err == nil && co.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, co.Conn, lingerBytes) // what it sends is of no interest
	}
}

// Write writes a part of an answer. A client that makes no progress with it is disconnected.
func (co *conn) Write(p []byte) (int, error) {
	before := shedder.Serving
	co.update(func() int {
		before, co.phase = co.phase, shedder.Answering
		return 0
	})
	n, err := co.writeParts(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		co.ga.note(co.listener, slowAnswer)
	}
	co.update(func() int {
		co.phase = before
		if co.messages == nil {
			return 0
		}
		co.messages.answered()
		if co.messages.whole() {
			co.phase = shedder.Idle
		}
		return 0
	})
	return n, err
}

// writeParts writes in parts, so that the time is that without progress.
func (co *conn) writeParts(p []byte) (int, error) {
	written := 0
	for {
		_ = co.SetWriteDeadline(time.Now().Add(co.ga.AnswerTimeout.Duration())) // a closed connection fails below
		n, err := co.Conn.Write(p[written:min(written+writeBytes, len(p))])
		written += n
		co.update(func() int { return n })
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite signals to the client that nothing more follows.
func (co *conn) CloseWrite() error {
	if cw, is := co.Conn.(interface{ CloseWrite() error }); is {
		return cw.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (co *conn) Close() error {
	co.ga.mu.Lock()
	if co.ga.conns[co.id] == co {
		co.ga.shedder.Close(co.id)
		delete(co.ga.conns, co.id)
	}
	co.ga.mu.Unlock()
	return co.Conn.Close()
}

// Read reads a part of the body for a handler, which keeps it.
func (bo *body) Read(p []byte) (int, error) {
	n, err := bo.ReadCloser.Read(p)
	bo.conn.update(func() int {
		bo.conn.kept += n
		if err != nil {
			bo.conn.phase = shedder.Serving
		}
		return 0 // they counted when they were received
	})
	return n, err
}
