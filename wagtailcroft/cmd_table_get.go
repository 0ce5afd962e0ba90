package main

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/parser"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdTableGet = command{
	path: []string{"table", "get"},
	help: "Show the table, or one row with all its cells.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		workspace := cl.Arg("workspace", "Workspace to show.").String()
		return func(en *env) error { return tableGet(en, identifier.Workspace(*workspace)) }
	},
}

func tableGet(en *env, ws identifier.Workspace) error {
	table, err := getTable(en)
	if err != nil {
		return err
	}
	if ws != "" {
		return showRow(en, table, ws)
	}
	ta := printer.Table{Header: []string{"workspace", "version", "weight", "accelerators", "requests", "urgent", "guarantees"}}
	for _, row := range table.Rows {
		ta.Rows = append(ta.Rows, []string{
			string(row.Workspace),
			strconv.FormatInt(int64(row.RowVersion), 10),
			strconv.Itoa(int(row.Cells.Weight)),
			strconv.Itoa(int(row.Cells.Limits.Accelerators)),
			strconv.Itoa(int(row.Cells.Limits.Requests)),
			strconv.FormatBool(row.Cells.UrgentAllowed),
			parser.Format(row.Cells)[1][1],
		})
	}
	return en.printer.Print(table, ta)
}

func getTable(en *env) (operator.Table, error) {
	res, err := en.client.GetTableWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return operator.Table{}, responseError(res, err)
	}
	return *res.JSON200, nil
}

func showRow(en *env, table operator.Table, ws identifier.Workspace) error {
	row, found := findRow(table, ws)
	if !found {
		return rowNotFound(ws)
	}
	ta := printer.Table{Header: []string{"cell", "value"}, Rows: parser.Format(row.Cells)}
	ta.Rows = append(ta.Rows, []string{"(row version)", strconv.FormatInt(int64(row.RowVersion), 10)})
	return en.printer.Print(row, ta)
}

// findRow returns the row of a workspace, or an empty row with version 0 if there is none.
func findRow(table operator.Table, ws identifier.Workspace) (operator.RowView, bool) {
	for _, row := range table.Rows {
		if row.Workspace == ws {
			return row, true
		}
	}
	return operator.RowView{Workspace: ws}, false
}
