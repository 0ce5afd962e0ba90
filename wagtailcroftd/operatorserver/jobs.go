package operatorserver

import (
	"context"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/registrar"
)

// ListJobs returns the jobs that have not ended.
func (se *Server) ListJobs(ctx context.Context, _ operator.ListJobsRequestObject) (operator.ListJobsResponseObject, error) {
	list, err := se.Jobs.List(ctx)
	if err != nil {
		return nil, err
	}
	jobs := operator.JobList{Jobs: []operator.JobView{}}
	for _, row := range list {
		jobs.Jobs = append(jobs.Jobs, jobView(row))
	}
	return operator.ListJobs200JSONResponse(jobs), nil
}

// ShowJob returns one job.
func (se *Server) ShowJob(ctx context.Context, req operator.ShowJobRequestObject) (operator.ShowJobResponseObject, error) {
	row, err := se.Jobs.Get(ctx, "", req.JobID)
	if err != nil {
		return nil, err
	}
	return operator.ShowJob200JSONResponse(jobView(row)), nil
}

// CancelAnyJob requests the cancellation of a job of any workspace.
func (se *Server) CancelAnyJob(ctx context.Context, req operator.CancelAnyJobRequestObject) (operator.CancelAnyJobResponseObject, error) {
	row, err := se.Jobs.Cancel(ctx, "", req.JobID)
	if err != nil {
		return nil, err
	}
	return operator.CancelAnyJob200JSONResponse(jobView(row)), nil
}

// WhyJob explains the state of a job. For a job that has not ended it queries the instance
// that schedules the job's zone.
func (se *Server) WhyJob(ctx context.Context, req operator.WhyJobRequestObject) (operator.WhyJobResponseObject, error) {
	row, err := se.Jobs.Get(ctx, "", req.JobID)
	if err != nil {
		return nil, err
	}
	why := operator.Why{JobID: row.JobID, State: string(row.State), Lines: []string{}}
	if row.Reason != "" {
		why.Lines = append(why.Lines, "last change: "+row.Reason)
	}
	if registrar.HasEnded(row) {
		return operator.WhyJob200JSONResponse(why), nil
	}
	scheduler, err := se.Schedulers.SchedulerOf(ctx, row.Zone)
	if err != nil {
		return nil, err
	}
	lines, known, err := se.Peers.AskWhy(ctx, scheduler, row.JobID)
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, problem.New(problem.PeerUnavailable, "instance %s, which schedules zone %s, has not processed the job yet", scheduler, row.Zone)
	}
	why.Lines = append(why.Lines, lines...)
	return operator.WhyJob200JSONResponse(why), nil
}

func jobView(row rows.JobRow) operator.JobView {
	return operator.JobView{
		JobID:     row.JobID,
		Workspace: row.Workspace,
		Zone:      row.Zone,
		Kind:      row.Kind,
		Class:     row.Class,
		State:     string(row.State),
		Outcome:   row.Outcome,
		Shape:     row.Shape,
		Attempt:   int(row.Attempt),
		Reason:    registrar.Describe(row),
		Workers:   append([]identifier.Worker{}, row.Workers...),
	}
}

// ListTargets returns the runners and workers of every zone that has an instance.
func (se *Server) ListTargets(ctx context.Context, _ operator.ListTargetsRequestObject) (operator.ListTargetsResponseObject, error) {
	list, err := se.targets(ctx)
	if err != nil {
		return nil, err
	}
	return operator.ListTargets200JSONResponse{Targets: list}, nil
}

// targets returns the targets of this zone as this instance knows them, and those of the
// other zones as the platform's inventory lists them.
func (se *Server) targets(ctx context.Context) ([]operator.TargetView, error) {
	if err := se.Peers.ReadAllZones(ctx); err != nil {
		return nil, err
	}
	local := platform.Inventory{Runners: se.Targets.Runners(), Workers: se.Targets.Workers()}
	list := se.targetViews(se.Zone, local)
	for _, zone := range se.otherZones() {
		inventory, err := se.Inventories.Inventory(ctx, zone, 0)
		if err != nil {
			return nil, err
		}
		list = append(list, se.targetViews(zone, inventory)...)
	}
	return list, nil
}

func (se *Server) otherZones() []identifier.Zone {
	var zones []identifier.Zone
	for _, me := range se.Peers.Members() {
		if me.Zone != se.Zone && !slices.Contains(zones, me.Zone) {
			zones = append(zones, me.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func (se *Server) targetViews(zone identifier.Zone, inventory platform.Inventory) []operator.TargetView {
	draining := se.Table.Snapshot().Draining
	quarantined := se.Gangs.Quarantined()
	list := make([]operator.TargetView, 0, len(inventory.Runners)+len(inventory.Workers))
	for _, ru := range inventory.Runners {
		view := operator.TargetView{TargetID: ru.Runner, Kind: operator.TargetViewKindRunner, Zone: zone}
		view.State = targetState(ru.Leaving, slices.Contains(draining, ru.Runner), false)
		list = append(list, view)
	}
	for _, wo := range inventory.Workers {
		id := identifier.Target(wo.Worker)
		view := operator.TargetView{TargetID: id, Kind: operator.TargetViewKindWorker, Zone: zone, Rack: wo.Rack, Accelerators: wo.Accelerators}
		view.State = targetState(wo.Leaving, slices.Contains(draining, id), slices.Contains(quarantined, wo.Worker))
		list = append(list, view)
	}
	return list
}

func targetState(leaving, draining, quarantined bool) operator.TargetViewState {
	switch {
	case draining:
		return operator.TargetViewStateDraining
	case leaving:
		return operator.TargetViewStateLeaving
	case quarantined:
		return operator.TargetViewStateQuarantined
	default:
		return operator.TargetViewStateLive
	}
}

// DrainTarget drains a target of any zone; with undo the target accepts work again.
func (se *Server) DrainTarget(ctx context.Context, req operator.DrainTargetRequestObject) (operator.DrainTargetResponseObject, error) {
	list, err := se.targets(ctx)
	if err != nil {
		return nil, err
	}
	index := slices.IndexFunc(list, func(ta operator.TargetView) bool { return ta.TargetID == req.TargetID })
	if index < 0 {
		return nil, problem.New(problem.NotFound, "no zone has a target %s", req.TargetID)
	}
	if err := se.Table.Drain(ctx, req.TargetID, req.Params.Undo); err != nil {
		return nil, err
	}
	view := list[index]
	view.State = targetState(false, !req.Params.Undo, false)
	return operator.DrainTarget200JSONResponse(view), nil
}

// ListZones returns the zones of the workers. None is evacuated: the table has no such request.
func (se *Server) ListZones(ctx context.Context, _ operator.ListZonesRequestObject) (operator.ListZonesResponseObject, error) {
	targets, err := se.targets(ctx)
	if err != nil {
		return nil, err
	}
	list := operator.ZoneList{Zones: []operator.ZoneView{}}
	for _, ta := range targets {
		if ta.Kind != operator.TargetViewKindWorker {
			continue
		}
		at := slices.IndexFunc(list.Zones, func(zo operator.ZoneView) bool { return zo.Zone == ta.Zone })
		if at < 0 {
			at = len(list.Zones)
			list.Zones = append(list.Zones, operator.ZoneView{Zone: ta.Zone, Tasks: []string{}, Jobs: []identifier.Job{}})
		}
		list.Zones[at].Workers++
		list.Zones[at].Accelerators += ta.Accelerators
	}
	return operator.ListZones200JSONResponse(list), nil
}

// ListInterference returns an empty list: gang jobs name no images.
func (se *Server) ListInterference(context.Context, operator.ListInterferenceRequestObject) (operator.ListInterferenceResponseObject, error) {
	return operator.ListInterference200JSONResponse{Pairs: []operator.ImagePairView{}, Workers: []operator.WorkerPaceView{}}, nil
}

// ListWorkspaces returns the accelerators that each workspace is guaranteed, uses, borrows
// and waits for.
func (se *Server) ListWorkspaces(ctx context.Context, _ operator.ListWorkspacesRequestObject) (operator.ListWorkspacesResponseObject, error) {
	jobs, err := se.Jobs.List(ctx)
	if err != nil {
		return nil, err
	}
	list := operator.WorkspaceList{Workspaces: []operator.WorkspaceView{}}
	for _, row := range se.Table.Snapshot().Rows {
		view := operator.WorkspaceView{Workspace: row.Workspace}
		for _, gu := range row.Cells.Guarantees {
			view.Guaranteed += meter.Accelerators(gu.Count) * gangAccelerators(gu.Shape)
		}
		for _, jo := range jobs {
			if jo.Workspace == row.Workspace {
				addJob(&view, jo)
			}
		}
		list.Workspaces = append(list.Workspaces, view)
	}
	return operator.ListWorkspaces200JSONResponse(list), nil
}

func addJob(view *operator.WorkspaceView, row rows.JobRow) {
	view.Jobs++
	switch {
	case len(row.Workers) == 0:
		view.Waiting += gangAccelerators(row.Shape)
	case row.Guaranteed:
		view.Used += gangAccelerators(row.Shape)
	default:
		view.Borrowed += gangAccelerators(row.Shape)
	}
}

// gangAccelerators returns the number of accelerators of all members of a gang.
func gangAccelerators(sh types.Shape) meter.Accelerators {
	return meter.Accelerators(sh.Members) * sh.Accelerators
}
