package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdTargetsDrain = command{
	path: []string{"targets", "drain"},
	help: "Drain a target: it gets no new work, and a gang with a member on it is moved with all its members.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		target := cl.Arg("target", "Runner or worker to drain.").Required().String()
		undo := cl.Flag("undo", "Stop draining the target, so that it gets work again.").Bool()
		return func(en *env) error { return targetsDrain(en, identifier.Target(*target), *undo) }
	},
}

func targetsDrain(en *env, id identifier.Target, undo bool) error {
	res, err := en.client.DrainTargetWithResponse(context.Background(), id, &operator.DrainTargetParams{Undo: undo})
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	return en.printer.Print(res.JSON200, printer.Table{Header: targetHeader, Rows: [][]string{targetRow(*res.JSON200)}})
}
