package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var (
	cmdJobsList = command{
		path: []string{"jobs", "list"},
		help: "List the jobs that have not ended.",
		bind: func(*kingpin.CmdClause) func(*env) error { return jobsList },
	}

	jobHeader = []string{"job", "workspace", "zone", "kind", "shape", "state", "reason"}
)

func jobsList(en *env) error {
	an, err := en.client.ListJobsWithResponse(context.Background())
	if err != nil || an.JSON200 == nil {
		return refusalOf(an, err)
	}
	ta := printer.Table{Header: jobHeader}
	for _, jo := range an.JSON200.Jobs {
		ta.Rows = append(ta.Rows, jobRow(jo))
	}
	return en.printer.Print(an.JSON200, ta)
}

func jobRow(jo operator.JobView) []string {
	state := jo.State
	if jo.Outcome != "" {
		state = fmt.Sprintf("%s (%s)", jo.State, jo.Outcome)
	}
	return []string{string(jo.JobID), string(jo.Workspace), string(jo.Zone), jo.Kind, shapeWord(jo.Shape), state, jo.Reason}
}

func shapeWord(sh types.Shape) string {
	return fmt.Sprintf("%dx%d/%s", sh.Members, sh.Accelerators, sh.Adjacency)
}
