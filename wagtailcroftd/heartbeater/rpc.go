package heartbeater

import (
	"context"
	"net"
	"net/rpc"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

// The methods that entry instances call on each other.
const (
	serviceName = "Peer"

	MethodHeartbeat = serviceName + ".Heartbeat"
	MethodWhy       = serviceName + ".Why"
)

type (
	// Service answers the calls of other instances.
	Service struct{ he *Heartbeater }

	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// RPCDialer calls over net/rpc and keeps one connection to each address.
	RPCDialer struct {
		clock   clock.Clock
		timeout clock.Millis
		dial    Dial

		mu locker.Mutex
		// clients is guarded by mu.
		clients map[string]*rpc.Client
	}
)

// Heartbeat records that another instance is alive and what it knows.
func (se *Service) Heartbeat(args peer.Heartbeat, reply *peer.HeartbeatReply) error {
	_, end := se.he.Tracer.Start(se.he.Tracer.Child(context.Background(), args.TraceParent), "entry.heartbeat")
	defer end(nil)
	se.he.heard(args.Instance, args.TableVersion)
	se.he.Targets.Told(args.Instance, args.Draining)
	*reply = peer.HeartbeatReply{Instance: se.he.Instance, TableVersion: se.he.Table.Version(), InFlight: se.he.inFlight()}
	return nil
}

// Why explains a job that this instance schedules.
func (se *Service) Why(args peer.WhyQuery, reply *peer.WhyReply) error {
	_, end := se.he.Tracer.Start(se.he.Tracer.Child(context.Background(), args.TraceParent), "entry.why")
	defer end(nil)
	lines, known := se.he.Answerer.Why(args.JobID)
	*reply = peer.WhyReply{Known: known, Lines: lines}
	return nil
}

// Service returns what answers other instances.
func (he *Heartbeater) Service() *Service { return &Service{he: he} }

// Serve answers other instances on the listener until it is closed. Their number bounds
// that of the connections.
func (he *Heartbeater) Serve(ln net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, he.Service()); err != nil {
		return eris.Wrap(err, "register the peer service")
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return nil
		}
		go server.ServeConn(conn)
	}
}

// NewDialer returns a dialer whose calls end after the timeout.
func NewDialer(cl clock.Clock, timeout clock.Millis, dial Dial) *RPCDialer {
	return &RPCDialer{
		dial:    dial,
		clock:   cl,
		timeout: timeout,
		mu:      locker.New(locker.RankStore),
		clients: map[string]*rpc.Client{},
	}
}

// Call calls a method; a connection that fails or is silent is closed and not used again.
func (di *RPCDialer) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := di.clock.Bound(ctx, di.timeout)
	defer cancel()
	client, err := di.client(ctx, address)
	if err != nil {
		return err
	}
	done := client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	select {
	case call := <-done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	var server rpc.ServerError
	if err != nil && !eris.As(err, &server) {
		di.drop(address, client)
	}
	return err
}

func (di *RPCDialer) client(ctx context.Context, address string) (*rpc.Client, error) {
	di.mu.Lock()
	client := di.clients[address]
	di.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := di.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(conn)
	di.mu.Lock()
	defer di.mu.Unlock()
	di.clients[address] = client
	return client, nil
}

func (di *RPCDialer) drop(address string, client *rpc.Client) {
	_ = client.Close()
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.clients[address] == client {
		delete(di.clients, address)
	}
}

// Close closes all connections.
func (di *RPCDialer) Close() {
	di.mu.Lock()
	defer di.mu.Unlock()
	for address, client := range di.clients {
		_ = client.Close()
		delete(di.clients, address)
	}
}
