// Package dialer is the net/rpc client and server for calls between instances.
package dialer

import (
	"context"
	"net"
	"net/rpc"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

type (
	// DialFunc opens a connection, like net.Dialer.DialContext.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Dialer calls net/rpc methods and keeps one connection open per address.
	Dialer struct {
		clock   clock.Clock
		timeout clock.Millis
		dial    DialFunc

		mu locker.Mutex
		// clients is guarded by mu.
		clients map[string]*rpc.Client
	}
)

// Serve serves net/rpc calls to the services, which are registered by their names, until the
// listener is closed.
func Serve(ln net.Listener, services map[string]any) error {
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			return eris.Wrapf(err, "register the service %s", name)
		}
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return nil
		}
		go server.ServeConn(conn)
	}
}

// New returns a dialer whose calls fail after the timeout.
func New(cl clock.Clock, timeout clock.Millis, dial DialFunc) *Dialer {
	return &Dialer{
		dial:    dial,
		clock:   cl,
		timeout: timeout,
		mu:      locker.New(locker.RankStore),
		clients: map[string]*rpc.Client{},
	}
}

// Call calls a method. A connection that fails or does not answer in time is closed and not
// reused.
func (di *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := di.clock.WithTimeout(ctx, di.timeout)
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

func (di *Dialer) client(ctx context.Context, address string) (*rpc.Client, error) {
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

func (di *Dialer) drop(address string, client *rpc.Client) {
	_ = client.Close()
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.clients[address] == client {
		delete(di.clients, address)
	}
}

// Close closes all connections.
func (di *Dialer) Close() {
	di.mu.Lock()
	defer di.mu.Unlock()
	for address, client := range di.clients {
		_ = client.Close()
		delete(di.clients, address)
	}
}
