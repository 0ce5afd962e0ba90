package failovertester

import (
	"net"
	"sync"
)

// closingListener is a listener that closes its accepted connections when it is closed
// itself, so that its clients see what they see when a process is killed.
type closingListener struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

// Accept waits for a connection. Once the listener is closed, it closes all connections that
// it accepted.
func (se *closingListener) Accept() (net.Conn, error) {
	conn, err := se.Listener.Accept()
	if err != nil {
		se.closeConnections()
		return nil, err
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.open = append(se.open, conn)
	return conn, nil
}

func (se *closingListener) closeConnections() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, conn := range se.open {
		_ = conn.Close() // nothing is left to do if this fails
	}
}
