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
func (li *closingListener) Accept() (net.Conn, error) {
	conn, err := li.Listener.Accept()
	if err != nil {
		li.closeConnections()
		return nil, err
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	li.open = append(li.open, conn)
	return conn, nil
}

func (li *closingListener) closeConnections() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, conn := range li.open {
		_ = conn.Close() // nothing is left to do if this fails
	}
}
