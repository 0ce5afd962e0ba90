package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var (
	cmdTargetsList = command{
		path: []string{"targets", "list"},
		help: "List runners and workers.",
		bind: func(*kingpin.CmdClause) func(*env) error {
			return func(en *env) error { return listTargets(en, "") }
		},
	}

	targetHeader = []string{"target", "kind", "zone", "rack", "accelerators", "free", "tasks", "run time", "state"}
)

// listTargets prints the targets of a kind, or all targets if kind is empty.
func listTargets(en *env, kind operator.TargetViewKind) error {
	res, err := en.client.ListTargetsWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	list := operator.TargetList{Targets: []operator.TargetView{}}
	ta := printer.Table{Header: targetHeader}
	for _, target := range res.JSON200.Targets {
		if kind == "" || target.Kind == kind {
			list.Targets = append(list.Targets, target)
			ta.Rows = append(ta.Rows, targetRow(target))
		}
	}
	return en.printer.Print(list, ta)
}

func targetRow(target operator.TargetView) []string {
	return []string{
		string(target.TargetID),
		string(target.Kind),
		string(target.Zone),
		string(target.Rack),
		strconv.Itoa(int(target.Accelerators)),
		formatFree(target),
		strconv.Itoa(len(target.Tasks)),
		formatSpeed(target),
		string(target.State),
	}
}

// formatFree formats the free accelerators and cores of a worker that runs step jobs. It returns
// an empty string for other targets, which do not report free capacity.
func formatFree(target operator.TargetView) string {
	if target.Pool == "" {
		return ""
	}
	return fmt.Sprintf("%d, %d cores", target.FreeAccelerators, target.FreeMilliCores/1000)
}

// formatSpeed formats the run time of tasks on a worker against that on a normal one, on how many runs that
// rests, and how old it is. It returns an empty string without a measured run.
func formatSpeed(target operator.TargetView) string {
	if target.SpeedRuns == 0 {
		return ""
	}
	return fmt.Sprintf("%d%%, %d runs, %d s ago", target.RunTimePercent, target.SpeedRuns, target.SpeedAgeMillis/clock.Second)
}
