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

const waitPoll = 200 * clock.Millis(1)

// setFlags are the flags and arguments of table set.
type setFlags struct {
	workspace string
	cells     []string
	create    bool
	dryRun    bool
	wait      bool
	timeout   time.Duration
	expect    int64
}

var cmdTableSet = command{
	path: []string{"table", "set"},
	help: "Change cells of one row; nothing else changes.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		fl := &setFlags{}
		cl.Arg("workspace", "Workspace whose row to change.").Required().StringVar(&fl.workspace)
		cl.Arg("cells", "Cells to change, each CELL=VALUE; a guarantee is ZONE:COUNTxMEMBERSxACCELERATORS/ADJACENCY.").Required().StringsVar(&fl.cells)
		cl.Flag("create", "Create the row.").BoolVar(&fl.create)
		cl.Flag("dry-run", "Show what would change, and what the placer would do, and change nothing.").BoolVar(&fl.dryRun)
		cl.Flag("wait", "Return when the change is in force on every instance.").BoolVar(&fl.wait)
		cl.Flag("timeout", "Longest wait.").Default("30s").DurationVar(&fl.timeout)
		cl.Flag("expect", "Refuse unless the row still has this version.").Default("-1").Int64Var(&fl.expect)
		return func(en *env) error { return tableSet(en, fl) }
	},
}

func tableSet(en *env, fl *setFlags) error {
	edit, err := editOf(en, fl)
	if err != nil {
		return err
	}
	an, err := en.client.SetRowWithResponse(context.Background(), identifier.Workspace(fl.workspace), &operator.SetRowParams{DryRun: fl.dryRun}, edit)
	if err != nil || an.JSON200 == nil {
		return refusalOf(an, err)
	}
	if err := printEdit(en, *an.JSON200); err != nil || fl.dryRun || !fl.wait {
		return err
	}
	return awaitInForce(en, an.JSON200.TableVersion, fl.timeout)
}

// editOf reads the row and applies the assignments to it.
func editOf(en *env, fl *setFlags) (operator.RowEdit, error) {
	ws := identifier.Workspace(fl.workspace)
	table, err := getTable(en)
	if err != nil {
		return operator.RowEdit{}, err
	}
	row, found := rowOf(table, ws)
	if found == fl.create {
		if found {
			return operator.RowEdit{}, eris.Errorf("row %s exists; leave out --create to change it", ws)
		}
		return operator.RowEdit{}, noRow(ws)
	}
	cells := row.Cells
	if fl.create {
		cells = parser.Empty()
	}
	if cells, err = parser.Set(cells, fl.cells); err != nil {
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
	verb := "accepted as"
	if !result.Applied {
		verb = "dry run; nothing was changed; the table stays at"
	}
	_, _ = fmt.Fprintf(en.progress, "%s version %d\n", verb, result.TableVersion)
	return nil
}

func changeRows(changes []types.CellChange) [][]string {
	rows := make([][]string, 0, len(changes))
	for _, ch := range changes {
		rows = append(rows, []string{string(ch.Workspace), ch.Cell, ch.Before, ch.After})
	}
	return rows
}

// awaitInForce waits until every instance has the version in force. Instances that cannot
// confirm their table do not count: they serve within limits.unconfirmedRequests only.
func awaitInForce(en *env, wanted meter.TableVersion, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		behind, unconfirmed, err := behindOf(en, wanted)
		if err != nil {
			return err
		}
		if behind == 0 {
			_, _ = fmt.Fprintf(en.progress, "version %d is in force on every instance (%d unconfirmed)\n", wanted, unconfirmed)
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("%d instances are behind version %d; look at: wagtailcroft table status", behind, wanted)
		}
		_, _ = fmt.Fprintf(en.progress, "waiting for %d instances\n", behind)
		clock.Sleep(context.Background(), clock.New(), waitPoll)
	}
}

func behindOf(en *env, wanted meter.TableVersion) (int, int, error) {
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

func versionWord(version meter.TableVersion) string { return strconv.FormatInt(int64(version), 10) }
