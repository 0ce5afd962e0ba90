package fleet

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// headerTimeout bounds the reading of a call's header.
const headerTimeout = 5 * time.Second

// Site is a cluster that serves its store, its services and its runners on loopback.
type Site struct {
	*Cluster
	// StoreAt, AdviceAt and MachinesAt are the addresses of the platform's services.
	StoreAt, AdviceAt, MachinesAt string
	servers                       []*http.Server
}

// Listen opens a port for each part of a cluster and serves them until Close.
func Listen(op Options) (*Site, error) {
	var listeners []net.Listener
	for range op.Runners + 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range listeners {
				_ = open.Close() // the error of the one that failed is told
			}
			return nil, eris.Wrap(err, "listen on loopback; free some ports")
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
		go func() { _ = sv.Serve(ln) }() // ends with Close
	}
	return si, nil
}

// runnerAt answers for the runner that is up at an address; the connection breaks off where
// none is.
func (cl *Cluster) runnerAt(address string) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ru := cl.at(address)
		if ru == nil {
			panic(http.ErrAbortHandler)
		}
		ru.ServeHTTP(wr, rq)
	})
}

// Close ends all that serves.
func (si *Site) Close() {
	for _, sv := range si.servers {
		_ = sv.Close() // nothing is left to do where that fails
	}
}
