package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdJobsShow = command{
	path: []string{"jobs", "show"},
	help: "Show one job.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		job := cl.Arg("job", "Job to show.").Required().String()
		return func(en *env) error { return jobsShow(en, identifier.Job(*job)) }
	},
}

func jobsShow(en *env, id identifier.Job) error {
	res, err := en.client.ShowJobWithResponse(context.Background(), id)
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	jo := *res.JSON200
	ta := printer.Table{Header: []string{"field", "value"}}
	for i, value := range jobRow(jo) {
		ta.Rows = append(ta.Rows, []string{jobHeader[i], value})
	}
	ta.Rows = append(ta.Rows,
		[]string{"class", string(jo.Class)},
		[]string{"attempt", strconv.Itoa(jo.Attempt)},
		[]string{"workers", formatWorkers(jo.Workers)})
	return en.printer.Print(jo, ta)
}

func formatWorkers(workers []identifier.Worker) string {
	parts := make([]string, 0, len(workers))
	for _, wo := range workers {
		parts = append(parts, string(wo))
	}
	return strings.Join(parts, " ")
}
