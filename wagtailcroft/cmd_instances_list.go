package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdInstancesList = command{
	path: []string{"instances", "list"},
	help: "List entry instances.",
	bind: func(*kingpin.CmdClause) func(*env) error { return instancesList },
}

func instancesList(en *env) error {
	status, err := getStatus(en)
	if err != nil {
		return err
	}
	ta := printer.Table{Header: []string{"instance", "zone", "state", "schedules"}}
	for _, in := range status.Instances {
		schedules := ""
		if in.Scheduler {
			schedules = "yes"
		}
		ta.Rows = append(ta.Rows, []string{string(in.Instance), string(in.Zone), string(in.State), schedules})
	}
	return en.printer.Print(status.Instances, ta)
}
