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
	help: "Empty a target: it gets nothing new, and gangs on it move as a whole.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		target := cl.Arg("target", "Runner or worker to empty.").Required().String()
		undo := cl.Flag("undo", "Let the target take work again.").Bool()
		return func(en *env) error { return targetsDrain(en, identifier.Target(*target), *undo) }
	},
}

func targetsDrain(en *env, id identifier.Target, undo bool) error {
	an, err := en.client.DrainTargetWithResponse(context.Background(), id, &operator.DrainTargetParams{Undo: undo})
	if err != nil || an.JSON200 == nil {
		return refusalOf(an, err)
	}
	return en.printer.Print(an.JSON200, printer.Table{Header: targetHeader, Rows: [][]string{targetRow(*an.JSON200)}})
}
