package shedder

import "bytes"

// HeadScanner finds the end of the head of a request in what is received, and counts its bytes and lines.
// The zero value is at the begin of a head. Empty lines before the request line belong to the head.
type HeadScanner struct {
	// Bytes and Lines count what has been received of the head.
	Bytes, Lines int
	// begun means that a line that is not empty has been seen, and text that the present line is not empty.
	begun, text bool
	// ended means that the head is complete; nothing is counted any more.
	ended bool
}

// Scan takes the next bytes and reports whether the head is complete.
func (hs *HeadScanner) Scan(next []byte) bool {
	for !hs.ended && len(next) > 0 {
		at := bytes.IndexByte(next, '\n')
		line := next
		if at >= 0 {
			line = next[:at+1]
		}
		next = next[len(line):]
		hs.Bytes += len(line)
		if len(bytes.Trim(line, "\r\n")) > 0 {
			hs.text = true
		}
		if at < 0 {
			break
		}
		hs.Lines++
		hs.ended = hs.begun && !hs.text
		hs.begun = hs.begun || hs.text
		hs.text = false
	}
	return hs.ended
}
