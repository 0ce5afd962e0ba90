package main

import (
	"context"
	"fmt"
	"strings"

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

	jobHeader = []string{"job", "workspace", "zone", "kind or queue", "shape or steps", "state", "reason"}
)

func jobsList(en *env) error {
	res, err := en.client.ListJobsWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	ta := printer.Table{Header: jobHeader}
	for _, jo := range res.JSON200.Jobs {
		ta.Rows = append(ta.Rows, jobRow(jo))
	}
	return en.printer.Print(res.JSON200, ta)
}

func jobRow(jo operator.JobView) []string {
	state := jo.State
	if jo.Outcome != "" {
		state = fmt.Sprintf("%s (%s)", jo.State, jo.Outcome)
	}
	if jo.Queue != "" {
		return []string{string(jo.JobID), string(jo.Workspace), "", jo.Queue, formatSteps(jo.Steps), state, lastLine(jo.Why)}
	}
	return []string{string(jo.JobID), string(jo.Workspace), string(jo.Zone), jo.Kind, formatShape(jo.Shape), state, jo.Reason}
}

// formatSteps formats each step as TASKSxACCELERATORS:DONE/RUNNING/WAITING, where ACCELERATORS
// is per task.
func formatSteps(steps []operator.StepView) string {
	parts := make([]string, 0, len(steps))
	for _, st := range steps {
		parts = append(parts, fmt.Sprintf("%dx%d:%d/%d/%d", st.Tasks, st.Accelerators, st.Done, st.Running, st.Waiting))
	}
	return strings.Join(parts, " ")
}

func lastLine(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return lines[len(lines)-1]
}

func formatShape(sh types.Shape) string {
	return fmt.Sprintf("%dx%d/%s", sh.Members, sh.Accelerators, sh.Adjacency)
}
