package main

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdWorkspacesList = command{
	path: []string{"workspaces", "list"},
	help: "List what each workspace is guaranteed, uses, has borrowed and waits for, in accelerators.",
	bind: func(*kingpin.CmdClause) func(*env) error { return workspacesList },
}

func workspacesList(en *env) error {
	an, err := en.client.ListWorkspacesWithResponse(context.Background())
	if err != nil || an.JSON200 == nil {
		return refusalOf(an, err)
	}
	ta := printer.Table{Header: []string{"workspace", "guaranteed", "used", "borrowed", "waiting", "jobs"}}
	for _, ws := range an.JSON200.Workspaces {
		ta.Rows = append(ta.Rows, []string{
			string(ws.Workspace), strconv.Itoa(int(ws.Guaranteed)), strconv.Itoa(int(ws.Used)),
			strconv.Itoa(int(ws.Borrowed)), strconv.Itoa(int(ws.Waiting)), strconv.Itoa(ws.Jobs),
		})
	}
	return en.printer.Print(an.JSON200, ta)
}
