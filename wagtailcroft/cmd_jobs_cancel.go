package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdJobsCancel = command{
	path: []string{"jobs", "cancel"},
	help: "Cancel a job; all of its members are stopped.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		job := cl.Arg("job", "Job to cancel.").Required().String()
		return func(en *env) error { return jobsCancel(en, identifier.Job(*job)) }
	},
}

func jobsCancel(en *env, id identifier.Job) error {
	res, err := en.client.CancelAnyJobWithResponse(context.Background(), id)
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	return en.printer.Print(res.JSON200, printer.Table{Header: jobHeader, Rows: [][]string{jobRow(*res.JSON200)}})
}
