package stager

import (
	"net"
	"sync"
)

// severer is a listener that breaks off what it has accepted when it is closed, as the end
// of a process does.
type severer struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

// Accept waits for a connection.
func (se *severer) Accept() (net.Conn, error) {
	conn, err := se.Listener.Accept()
	if err != nil {
		se.sever()
		return nil, err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.open = append(se.open, conn)
	return conn, nil
}

func (se *severer) sever() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, conn := range se.open {
		_ = conn.Close() // it is broken off in any case
	}
}
