package heartbeater

import (
	"context"
	"net"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dialer"
)

// The methods that entry instances call on each other.
const (
	serviceName = "Peer"

	MethodHeartbeat = serviceName + ".Heartbeat"
	MethodWhy       = serviceName + ".Why"
)

// Service answers the calls of other instances.
type Service struct{ he *Heartbeater }

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
	return dialer.Serve(ln, map[string]any{serviceName: he.Service()})
}
