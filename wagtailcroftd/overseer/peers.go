package overseer

import (
	"context"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// Names of the service that answers other instances.
const (
	ServiceName    = "Overseer"
	methodOverview = ServiceName + ".Overview"
)

// Service answers other instances.
type Service struct{ ov *Overseer }

// Service returns what answers other instances.
func (ov *Overseer) Service() *Service { return &Service{ov: ov} }

// Overview tells all that this instance knows, if it decides.
func (se *Service) Overview(args operator.OverviewQuery, reply *operator.Overview) error {
	ov := se.ov
	_, end := ov.Tracer.Start(ov.Tracer.Child(context.Background(), args.TraceParent), "entry.overview")
	defer end(nil)
	*reply, _ = ov.own()
	return nil
}

// own is what this instance knows; false means that it does not decide.
func (ov *Overseer) own() (operator.Overview, bool) {
	view, deciding := ov.Decider.View()
	if !deciding {
		return operator.Overview{Instance: ov.Instance}, false
	}
	return newOverview(ov.Instance, view), true
}

// overview asks whoever decides. Errors are of the kinds StoreUnavailable and
// PeerUnavailable.
func (ov *Overseer) overview(ctx context.Context) (operator.Overview, error) {
	if all, deciding := ov.own(); deciding {
		return all, nil
	}
	holder, err := ov.Duty.Holder(ctx)
	if err != nil {
		return operator.Overview{}, err
	}
	if holder.Instance == "" || holder.Instance == ov.Instance || holder.Address == "" {
		return operator.Overview{}, problem.New(problem.PeerUnavailable, "no other instance decides at this moment")
	}
	ctx, end := ov.Tracer.Start(ctx, "peer.overview")
	var all operator.Overview
	err = ov.Caller.Call(ctx, holder.Address, methodOverview, operator.OverviewQuery{Instance: ov.Instance, TraceParent: ov.Tracer.Parent(ctx)}, &all)
	end(err)
	switch {
	case err != nil:
		ov.Log.Warn().Err(err).Str("holder", string(holder.Instance)).Str("address", holder.Address).Msg("holderSilent")
		return operator.Overview{}, problem.New(problem.PeerUnavailable, "instance %s: %v", holder.Instance, err)
	case !all.Deciding:
		return operator.Overview{}, problem.New(problem.PeerUnavailable, "instance %s does not decide any more", holder.Instance)
	}
	return all, nil
}
