package heartbeater

import (
	"context"
	"net"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dialer"
)

// RPC methods that entry instances call on each other.
const (
	serviceName = "Peer"

	MethodHeartbeat = serviceName + ".Heartbeat"
	MethodWhy       = serviceName + ".Why"
)

// Service handles RPC calls from other instances.
type Service struct{ he *Heartbeater }

// Heartbeat records contact with another instance, its table version and its draining targets.
func (se *Service) Heartbeat(args peer.Heartbeat, reply *peer.HeartbeatReply) error {
	_, end := se.he.Tracer.Start(se.he.Tracer.WithTraceParent(context.Background(), args.TraceParent), "entry.heartbeat")
	defer end(nil)
	se.he.recordContact(args.Instance, args.TableVersion)
	se.he.Targets.RecordPeerReport(args.Instance, args.Draining)
	*reply = peer.HeartbeatReply{Instance: se.he.Instance, TableVersion: se.he.Table.Version(), InFlight: se.he.inFlight()}
	return nil
}

// Why explains the scheduling state of a job that this instance schedules.
func (se *Service) Why(args peer.WhyQuery, reply *peer.WhyReply) error {
	_, end := se.he.Tracer.Start(se.he.Tracer.WithTraceParent(context.Background(), args.TraceParent), "entry.why")
	defer end(nil)
	lines, known := se.he.Explainer.Explain(args.JobID)
	*reply = peer.WhyReply{Known: known, Lines: lines}
	return nil
}

// Service returns the RPC service for other instances.
func (he *Heartbeater) Service() *Service { return &Service{he: he} }

// Serve handles RPC connections on the listener until it is closed. The number of connections is
// limited only by the number of other instances.
func (he *Heartbeater) Serve(ln net.Listener) error {
	return dialer.Serve(ln, map[string]any{serviceName: he.Service()})
}
