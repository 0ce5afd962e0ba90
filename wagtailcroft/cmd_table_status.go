package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdTableStatus = command{
	path: []string{"table", "status"},
	help: "Show the table version in force on every entry instance.",
	bind: func(*kingpin.CmdClause) func(*env) error { return tableStatus },
}

func tableStatus(en *env) error {
	status, err := getStatus(en)
	if err != nil {
		return err
	}
	ta := printer.Table{Header: []string{"instance", "zone", "in force", "newest", "state"}}
	for _, in := range status.Instances {
		ta.Rows = append(ta.Rows, []string{string(in.Instance), string(in.Zone), formatVersion(in.TableVersion), formatVersion(status.TableVersion), string(in.State)})
	}
	return en.printer.Print(status, ta)
}

func getStatus(en *env) (operator.Status, error) {
	res, err := en.client.GetStatusWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return operator.Status{}, responseError(res, err)
	}
	return *res.JSON200, nil
}
