package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

// maxZoneJobs is how many jobs of a zone the table names; the output as JSON has all.
const maxZoneJobs = 8

var cmdZonesList = command{
	path: []string{"zones", "list"},
	help: "List the availability zones of the workers, whether they are evacuated, and what runs there.",
	bind: func(*kingpin.CmdClause) func(*env) error { return zonesList },
}

func zonesList(en *env) error {
	res, err := en.client.ListZonesWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	ta := printer.Table{Header: []string{"zone", "state", "workers", "accelerators", "free", "tasks", "jobs"}}
	for _, zo := range res.JSON200.Zones {
		ta.Rows = append(ta.Rows, []string{
			string(zo.Zone), zoneState(zo), strconv.Itoa(zo.Workers), strconv.Itoa(int(zo.Accelerators)),
			strconv.Itoa(int(zo.FreeAccelerators)), strconv.Itoa(len(zo.Tasks)), zoneJobs(zo),
		})
	}
	return en.printer.Print(res.JSON200, ta)
}

func zoneState(zo operator.ZoneView) string {
	if zo.Evacuated {
		return fmt.Sprintf("evacuated by row version %d", zo.RowVersion)
	}
	return "in use"
}

// zoneJobs names the jobs that run in a zone, as far as they fit.
func zoneJobs(zo operator.ZoneView) string {
	var names []string
	for _, job := range zo.Jobs[:min(len(zo.Jobs), maxZoneJobs)] {
		names = append(names, string(job))
	}
	if more := len(zo.Jobs) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, " ")
}
