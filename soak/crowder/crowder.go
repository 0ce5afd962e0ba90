// Package crowder opens crowds of connections that keep to no limit, for tests of what they do to an
// instance.
package crowder

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	// dialTimeout and writeTimeout end the attempts of a client that the instance no longer reads.
	dialTimeout  = 5 * clock.Second
	writeTimeout = 10 * clock.Second
	// piece is the size of a write of a client that sends piece by piece.
	piece = 16 << 10
)

type (
	// Client is what one client of a crowd does with its connection. Its errors are of no interest: an
	// instance may refuse or close it at any time.
	Client func(conn net.Conn)

	// Crowd is a number of clients whose connections stay open until Close.
	Crowd struct {
		mu sync.Mutex
		// conns is guarded by mu.
		conns []net.Conn
	}
)

// Gather opens connections to an address, all at once, and returns when each client has done its part.
func Gather(address string, count int, client Client) *Crowd {
	cr := &Crowd{}
	var clients sync.WaitGroup
	for range count {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout.Duration())
			if err != nil {
				return
			}
			cr.mu.Lock()
			cr.conns = append(cr.conns, conn)
			cr.mu.Unlock()
			client(conn)
		})
	}
	clients.Wait()
	return cr
}

// Close closes all connections.
func (cr *Crowd) Close() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, conn := range cr.conns {
		_ = conn.Close() // it is not used any more
	}
}

// send writes a text piece by piece, and reports whether all of it was taken.
func send(conn net.Conn, text string, size int) bool {
	for text != "" {
		next := min(size, len(text))
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())) // a closed connection fails below
		if _, err := io.WriteString(conn, text[:next]); err != nil {
			return false
		}
		text = text[next:]
	}
	return true
}

// Silent says nothing.
func Silent(net.Conn) {}

// Text sends a text and stays open.
func Text(text string) Client { return func(conn net.Conn) { send(conn, text, piece) } }

// Pieces sends a text in pieces of a size with pauses between them, and stays open.
func Pieces(text string, size int, pause clock.Millis) Client {
	return func(conn net.Conn) {
		for text := text; text != ""; text = text[min(size, len(text)):] {
			if !send(conn, text[:min(size, len(text))], size) {
				return
			}
			time.Sleep(pause.Duration())
		}
	}
}

// Head returns a request line with header lines of a size, without the end of the head.
func Head(size int) string {
	return "POST /urgent/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nX-Long: " + strings.Repeat("a", size)
}

// Lines returns a request line with so many header lines, without the end of the head.
func Lines(count int) string {
	var sb strings.Builder
	sb.WriteString("POST /urgent/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n")
	for i := range count {
		_, _ = fmt.Fprintf(&sb, "H%x:\r\n", i) // a builder cannot fail
	}
	return sb.String()
}

// Post returns the head of a submission with further header lines, each with its end.
func Post(id, key, lines string) string {
	return "POST /urgent/" + id + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\nAuthorization: Bearer " + key + "\r\n" + lines + "\r\n"
}

// Chunks encodes a body in chunks of a size, without the last, empty one.
func Chunks(body string, size int) string {
	var sb strings.Builder
	for body != "" {
		next := min(size, len(body))
		_, _ = fmt.Fprintf(&sb, "%x\r\n%s\r\n", next, body[:next]) // a builder cannot fail
		body = body[next:]
	}
	return sb.String()
}

// Repeat sends a text several times and discards what is answered.
func Repeat(text string, times int) Client {
	return func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
		for range times {
			if !send(conn, text, len(text)) {
				return
			}
		}
	}
}
