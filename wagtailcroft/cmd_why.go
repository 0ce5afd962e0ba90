package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdWhy = command{
	path: []string{"why"},
	help: "Say why a job waits, or why it was placed where it is.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		job := cl.Arg("job", "Job to explain.").Required().String()
		return func(en *env) error { return why(en, identifier.Job(*job)) }
	},
}

func why(en *env, id identifier.Job) error {
	an, err := en.client.WhyJobWithResponse(context.Background(), id)
	if err != nil || an.JSON200 == nil {
		return refusalOf(an, err)
	}
	ta := printer.Table{Rows: [][]string{{string(id), an.JSON200.State}}}
	for _, line := range an.JSON200.Lines {
		ta.Rows = append(ta.Rows, []string{"", line})
	}
	return en.printer.Print(an.JSON200, ta)
}
