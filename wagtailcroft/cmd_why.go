package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdWhy = command{
	path: []string{"why"},
	help: "Explain why a job is waiting, or why it was placed where it is.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		job := cl.Arg("job", "Job to explain.").Required().String()
		return func(en *env) error { return why(en, identifier.Job(*job)) }
	},
}

func why(en *env, id identifier.Job) error {
	res, err := en.client.WhyJobWithResponse(context.Background(), id)
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	ta := printer.Table{Rows: [][]string{{string(id), res.JSON200.State}}}
	for _, line := range res.JSON200.Lines {
		ta.Rows = append(ta.Rows, []string{"", line})
	}
	return en.printer.Print(res.JSON200, ta)
}
