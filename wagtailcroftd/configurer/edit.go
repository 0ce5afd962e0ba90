package configurer

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/checker"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

const maxRows = 1024 // workspaces in the table

var cellRules = checker.New(problem.BadRow, "json")

type (
	// Edit is an operator's request to create or change the row of a workspace.
	Edit struct {
		Workspace identifier.Workspace
		// Expected is the row version that the edit is based on, or 0 to create the row.
		Expected meter.RowVersion
		Cells    types.Cells
		Author   string
	}

	// Plan describes the changes that an edit makes and their effects.
	Plan struct {
		Changes []problem.Change
		// Effects describes in words where the placer reserves the guarantees.
		Effects []string
		// TableVersion and RowVersion are the versions after the edit, or before it if the plan
		// was not applied.
		TableVersion meter.TableVersion
		RowVersion   meter.RowVersion

		batch *storer.Batch
	}
)

// Plan checks an edit against the newest table and describes what it would do. Errors are of the kinds
// BadRow, StaleRow, GuaranteeTooLarge and StoreUnavailable.
func (co *Configurer) Plan(ctx context.Context, ed Edit) (Plan, error) {
	if err := checkEdit(ed); err != nil {
		return Plan{}, err
	}
	if err := co.Refresh(ctx); err != nil {
		return Plan{}, err
	}
	before := co.Snapshot()
	old, known := rowOf(before, ed.Workspace)
	if old.Version != ed.Expected {
		return Plan{}, co.staleError(ctx, old, ed)
	}
	if !known && len(before.Rows) >= maxRows {
		return Plan{}, problem.New(problem.BadRow, "the table has reached its limit of %d workspaces", maxRows)
	}
	return co.plan(ctx, before, old, ed)
}

func checkEdit(ed Edit) error {
	if ed.Workspace == "" || len(ed.Workspace) > 63 {
		return problem.New(problem.BadRow, "the workspace name must be 1 to 63 bytes long")
	}
	return cellRules.Check(ed.Cells)
}

func rowOf(sn Snapshot, ws identifier.Workspace) (Row, bool) {
	index := slices.IndexFunc(sn.Rows, func(row Row) bool { return row.Workspace == ws })
	if index < 0 {
		return Row{Workspace: ws}, false
	}
	return sn.Rows[index], true
}

// staleError returns an error with the changes made since the row version that the edit is based on.
func (co *Configurer) staleError(ctx context.Context, old Row, ed Edit) error {
	er := problem.New(problem.StaleRow, "row %s has version %d, not %d", ed.Workspace, old.Version, ed.Expected)
	history, _, err := storer.Scan[rows.HistoryRow](ctx, co.store, storer.TableHistory, "", ed.Expected)
	if err != nil {
		return er
	}
	for _, entry := range history {
		if entry.Value.Workspace == ed.Workspace {
			er.Changes = append(er.Changes, problemChanges(entry.Value.Changes)...)
		}
	}
	return er
}

func (co *Configurer) plan(ctx context.Context, before Snapshot, old Row, ed Edit) (Plan, error) {
	after := withRow(before, Row{Workspace: ed.Workspace, Version: old.Version, Cells: ed.Cells})
	pl := Plan{
		Changes:      diff(ed.Workspace, old.Cells, ed.Cells),
		TableVersion: before.Version,
		RowVersion:   old.Version,
		batch:        &storer.Batch{},
	}
	co.fillBatch(pl, before, old, ed)
	for _, zone := range zonesOf(old.Cells, ed.Cells) {
		effects, ledger, err := co.validator.CheckGuarantees(ctx, zone, after)
		if err != nil {
			return Plan{}, err
		}
		pl.Effects = append(pl.Effects, effects...)
		pl.batch.Require(storer.LedgerKey(zone), ledger)
	}
	return pl, nil
}

// fillBatch adds the writes of an edit. The history row comes first because it is never overwritten, so
// that reading it back always shows whether the edit was applied if the response is lost.
func (co *Configurer) fillBatch(pl Plan, before Snapshot, old Row, ed Edit) {
	next := before.Version + 1
	pl.batch.Replace(storer.HistoryKey(next), 0, rows.HistoryRow{
		TableVersion: next,
		Workspace:    ed.Workspace,
		Author:       ed.Author,
		Changes:      ToCellChanges(pl.Changes),
	})
	pl.batch.Replace(storer.HeadKey(), before.HeadVersion, rows.TableHead{TableVersion: next})
	pl.batch.Replace(storer.WorkspaceKey(ed.Workspace), old.Version, rows.WorkspaceRow{
		Workspace:    ed.Workspace,
		TableVersion: next,
		Cells:        ed.Cells,
	})
}

// Apply checks and commits an edit. If several operators edit concurrently, one succeeds and the others
// receive an error that states what has changed. An error of the kind StoreUnavailable means that it
// is not known whether the edit was accepted.
func (co *Configurer) Apply(ctx context.Context, ed Edit) (Plan, error) {
	pl, err := co.Plan(ctx, ed)
	if err != nil {
		return Plan{}, err
	}
	version, err := co.store.Commit(ctx, pl.batch)
	if problem.KindOf(err) == problem.Conflict {
		return Plan{}, co.conflictError(ctx, ed)
	}
	if err != nil {
		return Plan{}, err
	}
	pl.TableVersion++
	pl.RowVersion = version
	co.tryRefresh(ctx)
	co.log.Info().Str("workspace", string(ed.Workspace)).Str("author", ed.Author).Int64("tableVersion", int64(pl.TableVersion)).Msg("rowAccepted")
	return pl, nil
}

// tryRefresh reads an accepted change into this instance's copy. If that fails, the next step reads it.
func (co *Configurer) tryRefresh(ctx context.Context) {
	if err := co.Refresh(ctx); err != nil {
		co.log.Debug().Err(err).Msg("refreshDeferred")
	}
}

// conflictError returns an error that states which concurrent change caused the conflict: a
// change of the row itself, or a change of another row or of a placement.
func (co *Configurer) conflictError(ctx context.Context, ed Edit) error {
	if err := co.Refresh(ctx); err != nil {
		return err
	}
	row, _ := rowOf(co.Snapshot(), ed.Workspace)
	if row.Version != ed.Expected {
		return co.staleError(ctx, row, ed)
	}
	return problem.New(problem.Conflict, "another row or a placement changed concurrently with the edit of row %s", ed.Workspace)
}

// Drain sets a target to drain, or with undo makes it accept work again. Like any other change of the
// table, it increments the table version and is recorded in the history.
func (co *Configurer) Drain(ctx context.Context, target identifier.Target, undo bool) error {
	if err := co.Refresh(ctx); err != nil {
		return err
	}
	sn := co.Snapshot()
	if slices.Contains(sn.Draining, target) != undo {
		return nil
	}
	next := sn.Version + 1
	change := types.CellChange{Cell: "drain/" + string(target), Before: onOff(undo), After: onOff(!undo)}
	ba := &storer.Batch{}
	ba.Replace(storer.HistoryKey(next), 0, rows.HistoryRow{TableVersion: next, Changes: []types.CellChange{change}})
	ba.Replace(storer.HeadKey(), sn.HeadVersion, rows.TableHead{TableVersion: next})
	if undo {
		ba.Remove(storer.DrainKey(target))
	} else {
		ba.Put(storer.DrainKey(target), rows.DrainRow{Target: target})
	}
	if _, err := co.store.Commit(ctx, ba); err != nil {
		return err
	}
	co.log.Info().Str("target", string(target)).Bool("undo", undo).Msg("drainAccepted")
	co.tryRefresh(ctx)
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// History returns the accepted edits of one workspace, or of all if ws is empty, oldest first.
func (co *Configurer) History(ctx context.Context, ws identifier.Workspace) ([]rows.HistoryRow, error) {
	list, _, err := storer.Scan[rows.HistoryRow](ctx, co.store, storer.TableHistory, "", 0)
	if err != nil {
		return nil, err
	}
	var entries []rows.HistoryRow
	for _, row := range list {
		if ws == "" || row.Value.Workspace == ws {
			entries = append(entries, row.Value)
		}
	}
	return entries, nil
}

func withRow(sn Snapshot, row Row) Snapshot {
	rest := slices.DeleteFunc(slices.Clone(sn.Rows), func(other Row) bool { return other.Workspace == row.Workspace })
	sn.Rows = append(rest, row)
	return sn
}

// zonesOf lists the zones that an edit may affect: those with guarantees in the old or the new cells.
func zonesOf(old, cells types.Cells) []identifier.Zone {
	var zones []identifier.Zone
	for _, gu := range slices.Concat(old.Guarantees, cells.Guarantees) {
		if !slices.Contains(zones, gu.Zone) {
			zones = append(zones, gu.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// diff lists the cells that differ, in schema order.
func diff(ws identifier.Workspace, old, cells types.Cells) []problem.Change {
	var changes []problem.Change
	add := func(cell string, before, after any) {
		was, is := jsonText(before), jsonText(after)
		if was != is {
			changes = append(changes, problem.Change{Workspace: ws, Cell: cell, Before: was, After: is})
		}
	}
	add("weight", old.Weight, cells.Weight)
	add("guarantees", old.Guarantees, cells.Guarantees)
	add("limits.accelerators", old.Limits.Accelerators, cells.Limits.Accelerators)
	add("limits.requests", old.Limits.Requests, cells.Limits.Requests)
	add("limits.unconfirmedRequests", old.Limits.UnconfirmedRequests, cells.Limits.UnconfirmedRequests)
	add("limits.queuedJobs", old.Limits.QueuedJobs, cells.Limits.QueuedJobs)
	add("urgentAllowed", old.UrgentAllowed, cells.UrgentAllowed)
	add("tokenDigests", old.TokenDigests, cells.TokenDigests)
	return changes
}

func jsonText(value any) string {
	out, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	if string(out) == "null" {
		return "[]"
	}
	return string(out)
}

// ToCellChanges converts changes to the generated type of the schema.
func ToCellChanges(list []problem.Change) []types.CellChange {
	out := make([]types.CellChange, 0, len(list))
	for _, ch := range list {
		out = append(out, types.CellChange{Workspace: ch.Workspace, Cell: ch.Cell, Before: ch.Before, After: ch.After})
	}
	return out
}

func problemChanges(list []types.CellChange) []problem.Change {
	out := make([]problem.Change, 0, len(list))
	for _, ch := range list {
		out = append(out, problem.Change{Workspace: ch.Workspace, Cell: ch.Cell, Before: ch.Before, After: ch.After})
	}
	return out
}
