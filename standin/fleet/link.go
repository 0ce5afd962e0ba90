package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// link is a slow link of a machine. It transfers one response at a time; nil takes no time.
type link struct {
	// busy holds one element while a response is transferred.
	busy chan struct{}
	// bytesPerSecond is the rate at which responses arrive.
	bytesPerSecond int
}

// SetLink makes the responses to calls from a machine arrive at a limited rate.
func (cl *Cluster) SetLink(from string, bytesPerSecond int) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.links[from] = &link{busy: make(chan struct{}, 1), bytesPerSecond: bytesPerSecond}
}

func (fa *faults) linkOf(from string) *link {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.links[from]
}

// receive transfers a response. It fails if the caller gives up before its end; what has arrived until
// then has used the link.
func (li *link) receive(ctx context.Context, rs *http.Response) (*http.Response, error) {
	if li == nil {
		return rs, nil
	}
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, err
	}
	select {
	case li.busy <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-li.busy }()
	select {
	case <-time.After(time.Duration(len(text)) * time.Second / time.Duration(li.bytesPerSecond)):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	rs.Body = io.NopCloser(bytes.NewReader(text))
	return rs, nil
}
