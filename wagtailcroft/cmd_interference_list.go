package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdInterferenceList = command{
	path: []string{"interference", "list"},
	help: "List which images slow each other down on one worker, with the evidence, and the workers whose tasks are slow.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		all := cl.Flag("all", "Also list pairs that are harmless or of which too little is known.").Bool()
		return func(en *env) error { return interferenceList(en, *all) }
	},
}

func interferenceList(en *env, all bool) error {
	res, err := en.client.ListInterferenceWithResponse(context.Background())
	if err != nil || res.JSON200 == nil {
		return responseError(res, err)
	}
	ta := printer.Table{Header: []string{"slowed down", "by", "verdict", "factor", "range", "comparisons", "workers", "named"}}
	for _, pa := range res.JSON200.Pairs {
		if !all && pa.Verdict != operator.ImagePairViewVerdictDisturbs && pa.Named == operator.ImagePairViewNamedNone {
			continue
		}
		ta.Rows = append(ta.Rows, []string{
			string(pa.Disturbed), string(pa.Disturbing), string(pa.Verdict), factor(pa.Factor), factor(pa.LowFactor) + " to " + factor(pa.HighFactor),
			strconv.Itoa(int(pa.Contrasts)), strconv.Itoa(pa.Workers), string(pa.Named),
		})
	}
	for _, wo := range res.JSON200.Workers {
		row := []string{"worker " + string(wo.Worker), string(wo.Cause), "slow", factor(wo.OwnFactor), "", strconv.Itoa(int(wo.Runs)), "", ""}
		if wo.Cause == operator.WorkerPaceViewCauseNeighbors {
			row[3] = factor(wo.NeighborFactor)
		}
		ta.Rows = append(ta.Rows, row)
	}
	return en.printer.Print(res.JSON200, ta)
}

func factor(fa float64) string { return fmt.Sprintf("%.2f", fa) }
