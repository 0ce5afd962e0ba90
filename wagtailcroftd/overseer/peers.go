package overseer

import (
	"context"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// Names of the net/rpc service and its method.
const (
	ServiceName    = "Overseer"
	methodOverview = ServiceName + ".Overview"
)

// Service is the net/rpc service that other instances query.
type Service struct{ ov *Overseer }

// Service returns the net/rpc service of this overseer.
func (ov *Overseer) Service() *Service { return &Service{ov: ov} }

// Overview returns all jobs, workers and workspaces if this instance is the leader, and a
// message with Deciding unset otherwise.
func (se *Service) Overview(args operator.OverviewQuery, reply *operator.Overview) error {
	ov := se.ov
	_, end := ov.Tracer.Start(ov.Tracer.WithTraceParent(context.Background(), args.TraceParent), "entry.overview")
	defer end(nil)
	*reply, _ = ov.localOverview()
	return nil
}

// localOverview returns the overview of this instance; false if it is not the leader.
func (ov *Overseer) localOverview() (operator.Overview, bool) {
	view, leading := ov.Controller.View()
	if !leading {
		return operator.Overview{Instance: ov.Instance}, false
	}
	return newOverview(ov.Instance, view), true
}

// overview returns the overview of the leader, whether it is this instance or another.
// Errors are of the kinds StoreUnavailable and PeerUnavailable.
func (ov *Overseer) overview(ctx context.Context) (operator.Overview, error) {
	if snapshot, leading := ov.localOverview(); leading {
		return snapshot, nil
	}
	leader, err := ov.Leadership.Leader(ctx)
	if err != nil {
		return operator.Overview{}, err
	}
	if leader.Instance == "" || leader.Instance == ov.Instance || leader.Address == "" {
		return operator.Overview{}, problem.New(problem.PeerUnavailable, "no other instance is the leader at present")
	}
	ctx, end := ov.Tracer.Start(ctx, "peer.overview")
	var snapshot operator.Overview
	err = ov.Caller.Call(ctx, leader.Address, methodOverview, operator.OverviewQuery{Instance: ov.Instance, TraceParent: ov.Tracer.TraceParent(ctx)}, &snapshot)
	end(err)
	switch {
	case err != nil:
		ov.Log.Warn().Err(err).Str("holder", string(leader.Instance)).Str("address", leader.Address).Msg("leaderUnresponsive")
		return operator.Overview{}, problem.New(problem.PeerUnavailable, "instance %s: %v", leader.Instance, err)
	case !snapshot.Deciding:
		return operator.Overview{}, problem.New(problem.PeerUnavailable, "instance %s is no longer the leader", leader.Instance)
	}
	return snapshot, nil
}
