package fleet

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Server is a cluster whose store, services and runners are served on the loopback interface.
type Server struct {
	*Cluster
	// StoreAddress, AdviceAddress and MachinesAddress are the addresses of the platform's
	// services.
	StoreAddress, AdviceAddress, MachinesAddress string

	servers []*http.Server
}

// Listen creates a cluster, opens a port for each of its services and runners, and serves
// them until Close.
func Listen(op Options) (*Server, error) {
	var listeners []net.Listener
	for range op.RunnerCount + 3 {
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
	sr := &Server{Cluster: cl, StoreAddress: listeners[0].Addr().String(), AdviceAddress: listeners[1].Addr().String(), MachinesAddress: listeners[2].Addr().String()}
	handlers := []http.Handler{cl.Store, cl.Advice, cl.machines}
	for _, address := range op.Addresses {
		ha := cl.runnerAt(address)
		if op.Wrap != nil {
			ha = op.Wrap(ha)
		}
		handlers = append(handlers, ha)
	}
	for i, ln := range listeners {
		sv := &http.Server{Handler: handlers[i], ReadHeaderTimeout: headerTimeout}
		sr.servers = append(sr.servers, sv)
		go func() { _ = sv.Serve(ln) }() // returns after Close
	}
	return sr, nil
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
func (sr *Server) Close() {
	for _, sv := range sr.servers {
		_ = sv.Close() // the server is not used any more, also after an error
	}
}
