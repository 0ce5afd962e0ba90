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

const mostRows = 1024 // workspaces in the table

type (
	// Edit is what an operator wants of a row.
	Edit struct {
		Workspace identifier.Workspace
		// Expected is the row version that the operator read; 0 to create the row.
		Expected meter.RowVersion
		Cells    types.Cells
		Author   string
	}

	// Plan says what an edit does.
	Plan struct {
		Changes []problem.Change
		// Effects says in words what the placer does with the row.
		Effects []string
		// TableVersion and RowVersion are those after the edit, or before it if the plan
		// was not carried out.
		TableVersion meter.TableVersion
		RowVersion   meter.RowVersion

		batch *storer.Batch
	}
)

var rules = checker.New(problem.BadRow, "json")

// Plan checks an edit against the newest table and says what it would do. Errors are of
// the kinds BadRow, StaleRow, GuaranteeTooLarge and StoreUnavailable.
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
		return Plan{}, co.stale(ctx, old, ed)
	}
	if !known && len(before.Rows) >= mostRows {
		return Plan{}, problem.New(problem.BadRow, "the table holds %d workspaces, the most there may be", mostRows)
	}
	return co.plan(ctx, before, old, ed)
}

func checkEdit(ed Edit) error {
	if ed.Workspace == "" || len(ed.Workspace) > 63 {
		return problem.New(problem.BadRow, "the workspace's name must have 1 to 63 characters")
	}
	return rules.Check(ed.Cells)
}

func rowOf(sn Snapshot, ws identifier.Workspace) (Row, bool) {
	index := slices.IndexFunc(sn.Rows, func(row Row) bool { return row.Workspace == ws })
	if index < 0 {
		return Row{Workspace: ws}, false
	}
	return sn.Rows[index], true
}

// stale tells the operator what has changed since the version that was read.
func (co *Configurer) stale(ctx context.Context, old Row, ed Edit) error {
	er := problem.New(problem.StaleRow, "row %s has version %d, not %d", ed.Workspace, old.Version, ed.Expected)
	history, _, err := storer.Scan[rows.HistoryRow](ctx, co.store, storer.TableHistory, "", ed.Expected)
	if err != nil {
		return er
	}
	for _, entry := range history {
		if entry.Value.Workspace == ed.Workspace {
			er.Changes = append(er.Changes, coreChanges(entry.Value.Changes)...)
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
		effects, ledger, err := co.surveyor.Survey(ctx, zone, after)
		if err != nil {
			return Plan{}, err
		}
		pl.Effects = append(pl.Effects, effects...)
		pl.batch.Require(storer.LedgerKey(zone), ledger)
	}
	return pl, nil
}

// fillBatch writes the history first: its row is never overwritten, so that a lost answer
// can always be resolved by it.
func (co *Configurer) fillBatch(pl Plan, before Snapshot, old Row, ed Edit) {
	next := before.Version + 1
	pl.batch.Replace(storer.HistoryKey(next), 0, rows.HistoryRow{
		TableVersion: next,
		Workspace:    ed.Workspace,
		Author:       ed.Author,
		Changes:      SchemaChanges(pl.Changes),
	})
	pl.batch.Replace(storer.HeadKey(), before.Head, rows.TableHead{TableVersion: next})
	pl.batch.Replace(storer.WorkspaceKey(ed.Workspace), old.Version, rows.WorkspaceRow{
		Workspace:    ed.Workspace,
		TableVersion: next,
		Cells:        ed.Cells,
	})
}

// Apply carries out an edit: one operator wins, another is told what has changed. An
// error of the kind StoreUnavailable means that it is not known whether it was accepted.
func (co *Configurer) Apply(ctx context.Context, ed Edit) (Plan, error) {
	pl, err := co.Plan(ctx, ed)
	if err != nil {
		return Plan{}, err
	}
	version, err := co.store.Commit(ctx, pl.batch)
	if problem.KindOf(err) == problem.Conflict {
		return Plan{}, co.lostRace(ctx, ed)
	}
	if err != nil {
		return Plan{}, err
	}
	pl.TableVersion++
	pl.RowVersion = version
	co.refreshSoon(ctx)
	co.log.Info().Str("workspace", string(ed.Workspace)).Str("author", ed.Author).Int64("tableVersion", int64(pl.TableVersion)).Msg("rowAccepted")
	return pl, nil
}

// refreshSoon brings an accepted change into force here. If it cannot, the next step does.
func (co *Configurer) refreshSoon(ctx context.Context) {
	if err := co.Refresh(ctx); err != nil {
		co.log.Debug().Err(err).Msg("refreshPutOff")
	}
}

// lostRace tells what came first: a change of the row, of another row, or of the zone.
func (co *Configurer) lostRace(ctx context.Context, ed Edit) error {
	if err := co.Refresh(ctx); err != nil {
		return err
	}
	row, _ := rowOf(co.Snapshot(), ed.Workspace)
	if row.Version != ed.Expected {
		return co.stale(ctx, row, ed)
	}
	return problem.New(problem.Conflict, "another row or a placement changed while row %s was being set", ed.Workspace)
}

// Drain empties a target, or with undo lets it take work again. It is a change of the
// table like any other.
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
	ba.Replace(storer.HeadKey(), sn.Head, rows.TableHead{TableVersion: next})
	if undo {
		ba.Remove(storer.DrainKey(target))
	} else {
		ba.Put(storer.DrainKey(target), rows.DrainRow{Target: target})
	}
	if _, err := co.store.Commit(ctx, ba); err != nil {
		return err
	}
	co.log.Info().Str("target", string(target)).Bool("undo", undo).Msg("drainAccepted")
	co.refreshSoon(ctx)
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// History returns the accepted edits, oldest first, of one workspace or of all.
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

// zonesOf lists the zones whose guarantees an edit could change.
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

// diff lists the cells that differ, in the order of the schema.
func diff(ws identifier.Workspace, old, cells types.Cells) []problem.Change {
	var changes []problem.Change
	add := func(cell string, before, after any) {
		was, is := text(before), text(after)
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

func text(value any) string {
	out, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	if string(out) == "null" {
		return "[]"
	}
	return string(out)
}

// SchemaChanges converts changes for the schema.
func SchemaChanges(list []problem.Change) []types.CellChange {
	out := make([]types.CellChange, 0, len(list))
	for _, ch := range list {
		out = append(out, types.CellChange{Workspace: ch.Workspace, Cell: ch.Cell, Before: ch.Before, After: ch.After})
	}
	return out
}

func coreChanges(list []types.CellChange) []problem.Change {
	out := make([]problem.Change, 0, len(list))
	for _, ch := range list {
		out = append(out, problem.Change{Workspace: ch.Workspace, Cell: ch.Cell, Before: ch.Before, After: ch.After})
	}
	return out
}
