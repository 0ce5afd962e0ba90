package main

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdWorkspacesList = command{
	path: []string{"workspaces", "list"},
	help: "List the guaranteed, used, borrowed and waiting accelerators of each workspace.",
	bind: func(*kingpin.CmdClause) func(*env) error { return workspacesList },
}

func workspacesList(en *env) error {
	res, err := en.client.ListWorkspacesWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	ta := printer.Table{Header: []string{"workspace", "guaranteed", "used", "borrowed", "waiting", "jobs", "unreclaimable"}}
	for _, ws := range res.JSON200.Workspaces {
		ta.Rows = append(ta.Rows, []string{
			string(ws.Workspace), strconv.Itoa(int(ws.Guaranteed)), strconv.Itoa(int(ws.Used)),
			strconv.Itoa(int(ws.Borrowed)), strconv.Itoa(int(ws.Waiting)), strconv.Itoa(ws.Jobs), strconv.Itoa(int(ws.Unreclaimable)),
		})
	}
	return en.printer.Print(res.JSON200, ta)
}
