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
	if jo.Queue != "" {
		return []string{string(jo.JobID), string(jo.Workspace), "", jo.Queue, stepsWord(jo.Steps), state, lastOf(jo.Why)}
	}
	return []string{string(jo.JobID), string(jo.Workspace), string(jo.Zone), jo.Kind, shapeWord(jo.Shape), state, jo.Reason}
}

// stepsWord says for each step how many tasks of how many accelerators are done, run and
// wait.
func stepsWord(steps []operator.StepView) string {
	words := make([]string, 0, len(steps))
	for _, st := range steps {
		words = append(words, fmt.Sprintf("%dx%d:%d/%d/%d", st.Tasks, st.Accelerators, st.Done, st.Running, st.Waiting))
	}
	return strings.Join(words, " ")
}

func lastOf(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return lines[len(lines)-1]
}

func shapeWord(sh types.Shape) string {
	return fmt.Sprintf("%dx%d/%s", sh.Members, sh.Accelerators, sh.Adjacency)
}
