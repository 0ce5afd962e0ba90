package operatorserver

import (
	"context"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
)

// GetTable refreshes and returns this instance's copy of the shared table.
func (se *Server) GetTable(ctx context.Context, _ operator.GetTableRequestObject) (operator.GetTableResponseObject, error) {
	// If the refresh fails, the last known table is returned, marked unconfirmed.
	_ = se.Table.Refresh(ctx)
	sn := se.Table.Snapshot()
	table := operator.Table{TableVersion: sn.Version, Confirmed: sn.Confirmed, Rows: []operator.RowView{}}
	for _, row := range sn.Rows {
		table.Rows = append(table.Rows, operator.RowView{Workspace: row.Workspace, RowVersion: row.Version, Cells: row.Cells})
	}
	return operator.GetTable200JSONResponse(table), nil
}

// SetRow edits a row; with dryRun it only returns the effects of the edit.
func (se *Server) SetRow(ctx context.Context, req operator.SetRowRequestObject) (operator.SetRowResponseObject, error) {
	ed := configurer.Edit{
		Workspace: req.Workspace,
		Expected:  req.Body.ExpectedVersion,
		Cells:     req.Body.Cells,
		Author:    req.Body.Author,
	}
	applyOrPlan := se.Table.Apply
	if req.Params.DryRun {
		applyOrPlan = se.Table.Plan
	}
	pl, err := applyOrPlan(ctx, ed)
	if err != nil {
		return nil, err
	}
	return operator.SetRow200JSONResponse{
		Applied:      !req.Params.DryRun,
		TableVersion: pl.TableVersion,
		RowVersion:   pl.RowVersion,
		Changes:      configurer.ToCellChanges(pl.Changes),
		Effects:      append([]string{}, pl.Effects...),
	}, nil
}

// GetHistory returns the accepted edits of a workspace's row. If no workspace is given, it
// returns all accepted edits, including those that drain targets.
func (se *Server) GetHistory(ctx context.Context, req operator.GetHistoryRequestObject) (operator.GetHistoryResponseObject, error) {
	list, err := se.Table.History(ctx, req.Params.Workspace)
	if err != nil {
		return nil, err
	}
	history := operator.History{Entries: []operator.HistoryEntry{}}
	for _, row := range list {
		history.Entries = append(history.Entries, operator.HistoryEntry{
			TableVersion: row.TableVersion,
			Workspace:    row.Workspace,
			Author:       row.Author,
			Changes:      row.Changes,
		})
	}
	return operator.GetHistory200JSONResponse(history), nil
}

// GetStatus returns every entry instance with the version of its copy of the shared table.
func (se *Server) GetStatus(ctx context.Context, _ operator.GetStatusRequestObject) (operator.GetStatusResponseObject, error) {
	if err := se.Table.Refresh(ctx); err != nil {
		return nil, err
	}
	if err := se.Peers.ReadAllZones(ctx); err != nil {
		return nil, err
	}
	status := operator.Status{TableVersion: se.Table.Snapshot().Version, Instances: []operator.InstanceView{}}
	for _, me := range se.Peers.Members() {
		scheduler, err := se.Schedulers.SchedulerOf(ctx, me.Zone)
		if err != nil {
			return nil, err
		}
		view := operator.InstanceView{
			Instance:     me.Instance,
			Zone:         me.Zone,
			TableVersion: me.TableVersion,
			State:        operator.InstanceViewStateConfirmed,
			Scheduler:    scheduler == me.Instance,
		}
		if me.Stale {
			view.State = operator.InstanceViewStateUnconfirmed
		}
		if me.ShuttingDown {
			view.State = operator.InstanceViewStateLeaving
		}
		status.Instances = append(status.Instances, view)
	}
	return operator.GetStatus200JSONResponse(status), nil
}
