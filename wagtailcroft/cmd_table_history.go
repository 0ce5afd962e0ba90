package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdTableHistory = command{
	path: []string{"table", "history"},
	help: "Show the accepted changes of the table, oldest first.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		workspace := cl.Arg("workspace", "Show only this workspace.").String()
		return func(en *env) error { return tableHistory(en, identifier.Workspace(*workspace)) }
	},
}

func tableHistory(en *env, ws identifier.Workspace) error {
	history, err := getHistory(en, ws)
	if err != nil {
		return err
	}
	ta := printer.Table{Header: []string{"version", "author", "workspace", "cell", "before", "after"}}
	for _, entry := range history.Entries {
		for _, ch := range entry.Changes {
			ta.Rows = append(ta.Rows, []string{formatVersion(entry.TableVersion), entry.Author, string(ch.Workspace), ch.Cell, ch.Before, ch.After})
		}
	}
	return en.printer.Print(history, ta)
}

func getHistory(en *env, ws identifier.Workspace) (operator.History, error) {
	res, err := en.client.GetHistoryWithResponse(context.Background(), &operator.GetHistoryParams{Workspace: ws})
	if err != nil || res.JSON200 == nil {
		return operator.History{}, responseError(res, err)
	}
	return *res.JSON200, nil
}
