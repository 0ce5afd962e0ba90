package fleet

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Site is a cluster whose store, services and runners are served on the loopback interface.
type Site struct {
	*Cluster
	// StoreAt, AdviceAt and MachinesAt are the addresses of the platform's services.
	StoreAt, AdviceAt, MachinesAt string

	servers []*http.Server
}

// Listen creates a cluster, opens a port for each of its services and runners, and serves
// them until Close.
func Listen(op Options) (*Site, error) {
	var listeners []net.Listener
	for range op.Runners + 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range listeners {
				_ = open.Close() // the listen error is the one to return
			}
			return nil, eris.Wrap(err, "cannot listen on the loopback interface; free some ports")
		}
		listeners = append(listeners, ln)
	}
	for _, ln := range listeners[3:] {
		op.Addresses = append(op.Addresses, ln.Addr().String())
	}
	cl := New(op)
	si := &Site{Cluster: cl, StoreAt: listeners[0].Addr().String(), AdviceAt: listeners[1].Addr().String(), MachinesAt: listeners[2].Addr().String()}
	handlers := []http.Handler{cl.Store, cl.Advice, cl.machines}
	for _, address := range op.Addresses {
		handlers = append(handlers, cl.runnerAt(address))
	}
	for i, ln := range listeners {
		sv := &http.Server{Handler: handlers[i], ReadHeaderTimeout: headerTimeout}
		si.servers = append(si.servers, sv)
		go func() { _ = sv.Serve(ln) }() // returns after Close
	}
	return si, nil
}

// runnerAt returns a handler that forwards calls to the runner that is up at an address. It
// closes the connection if no runner is up there.
func (cl *Cluster) runnerAt(address string) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ru := cl.runnerUpAt(address)
		if ru == nil {
			panic(http.ErrAbortHandler)
		}
		ru.ServeHTTP(wr, rq)
	})
}

// Close stops all servers.
func (si *Site) Close() {
	for _, sv := range si.servers {
		_ = sv.Close() // the server is not used any more, also after an error
	}
}
