package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/parser"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

const pollInterval = 200 * clock.Millis(1)

var cmdTableSet = command{
	path: []string{"table", "set"},
	help: "Change cells of one row; other cells keep their values.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		fl := &setFlags{}
		cl.Arg("workspace", "Workspace whose row is changed.").Required().StringVar(&fl.workspace)
		cl.Arg("cells", "Cells to change, each as CELL=VALUE; a guarantee is ZONE:COUNTxMEMBERSxACCELERATORS/ADJACENCY.").Required().StringsVar(&fl.cells)
		cl.Flag("create", "Create the row.").BoolVar(&fl.create)
		cl.Flag("dry-run", "Show the changes and their effect on placement without applying them.").BoolVar(&fl.dryRun)
		cl.Flag("wait", "Wait until the change is in force on every instance.").BoolVar(&fl.wait)
		cl.Flag("timeout", "Maximum time to wait with --wait.").Default("30s").DurationVar(&fl.timeout)
		cl.Flag("expect", "Fail unless the row still has this version.").Default("-1").Int64Var(&fl.expect)
		return func(en *env) error { return tableSet(en, fl) }
	},
}

// setFlags holds the flags and arguments of table set.
type setFlags struct {
	workspace string
	cells     []string
	create    bool
	dryRun    bool
	wait      bool
	timeout   time.Duration
	expect    int64
}

func tableSet(en *env, fl *setFlags) error {
	edit, err := buildEdit(en, fl)
	if err != nil {
		return err
	}
	res, err := en.client.SetRowWithResponse(context.Background(), identifier.Workspace(fl.workspace), &operator.SetRowParams{DryRun: fl.dryRun}, edit)
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	if err := printEdit(en, *res.JSON200); err != nil || fl.dryRun || !fl.wait {
		return err
	}
	return waitUntilInForce(en, res.JSON200.TableVersion, fl.timeout)
}

// buildEdit reads the current row and applies the assignments of the command line to it.
func buildEdit(en *env, fl *setFlags) (operator.RowEdit, error) {
	ws := identifier.Workspace(fl.workspace)
	table, err := getTable(en)
	if err != nil {
		return operator.RowEdit{}, err
	}
	row, found := findRow(table, ws)
	if found == fl.create {
		if found {
			return operator.RowEdit{}, eris.Errorf("row %s already exists; omit --create to change it", ws)
		}
		return operator.RowEdit{}, rowNotFound(ws)
	}
	cells := row.Cells
	if fl.create {
		cells = parser.NewCells()
	}
	if cells, err = parser.Apply(cells, fl.cells); err != nil {
		return operator.RowEdit{}, err
	}
	expected := row.RowVersion
	if fl.expect >= 0 {
		expected = meter.RowVersion(fl.expect)
	}
	return operator.RowEdit{ExpectedVersion: expected, Cells: cells, Author: author()}, nil
}

func printEdit(en *env, result operator.EditResult) error {
	ta := printer.Table{Header: []string{"workspace", "cell", "before", "after"}, Rows: changeRows(result.Changes)}
	if err := en.printer.Print(result, ta); err != nil {
		return err
	}
	for _, effect := range result.Effects {
		_, _ = fmt.Fprintln(en.progress, effect)
	}
	summary := "accepted as"
	if !result.Applied {
		summary = "dry run; nothing was changed; the table stays at"
	}
	_, _ = fmt.Fprintf(en.progress, "%s version %d\n", summary, result.TableVersion)
	return nil
}

func changeRows(changes []types.CellChange) [][]string {
	rows := make([][]string, 0, len(changes))
	for _, ch := range changes {
		rows = append(rows, []string{string(ch.Workspace), ch.Cell, ch.Before, ch.After})
	}
	return rows
}

// waitUntilInForce polls until every instance has the wanted version in force. It ignores
// instances that cannot confirm that their copy of the table is current, because they serve
// requests only within limits.unconfirmedRequests.
func waitUntilInForce(en *env, wanted meter.TableVersion, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		behind, unconfirmed, err := countBehind(en, wanted)
		if err != nil {
			return err
		}
		if behind == 0 {
			_, _ = fmt.Fprintf(en.progress, "version %d is in force on every instance (%d unconfirmed)\n", wanted, unconfirmed)
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("timed out waiting for %d instances to have version %d in force; see: wagtailcroft table status", behind, wanted)
		}
		_, _ = fmt.Fprintf(en.progress, "waiting for %d instances\n", behind)
		clock.Sleep(context.Background(), clock.New(), pollInterval)
	}
}

// countBehind returns the number of instances with an older version in force and the number of
// unconfirmed instances.
func countBehind(en *env, wanted meter.TableVersion) (int, int, error) {
	status, err := getStatus(en)
	if err != nil {
		return 0, 0, err
	}
	behind, unconfirmed := 0, 0
	for _, in := range status.Instances {
		switch {
		case in.State == operator.InstanceViewStateUnconfirmed:
			unconfirmed++
		case in.TableVersion < wanted:
			behind++
		}
	}
	return behind, unconfirmed, nil
}

func formatVersion(version meter.TableVersion) string { return strconv.FormatInt(int64(version), 10) }
