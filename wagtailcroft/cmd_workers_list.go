package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
)

var cmdWorkersList = command{
	path: []string{"workers", "list"},
	help: "List workers.",
	bind: func(*kingpin.CmdClause) func(*env) error {
		return func(en *env) error { return listTargets(en, operator.TargetViewKindWorker) }
	},
}
