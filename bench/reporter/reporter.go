// Package reporter writes the results of the benchmarks as Markdown tables and plots.
package reporter

import (
	"fmt"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/bench/replayer"
	"github.com/wagtailcroft/wagtailcroft/bench/timer"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/pager"
)

const (
	p95 = 0.95
	p99 = 0.99
)

// ResultsPart is the part of the page that holds the tables of results and decision costs.
var ResultsPart = pager.Section{Begin: "<!-- tables: make bench -->", End: "<!-- end of tables -->"}

// Row holds the result of one policy on one load.
type Row struct {
	Load   generator.Load
	Policy string
	Result replayer.Result
}

// Tables returns a Markdown table of results for each load and a table of decision costs.
func Tables(rows []Row, costs []timer.Cost, commit string, seed uint64) string {
	var out strings.Builder
	fmt.Fprintf(&out, "Commit %s, seed %d. Completion is the time from arrival to end divided by the run time alone on an empty zone.\n", commit, seed)
	for i, row := range rows {
		if i == 0 || row.Load.Name != rows[i-1].Load.Name {
			writeHeader(&out, row.Load)
		}
		writeRow(&out, row)
	}
	writeCosts(&out, costs)
	return out.String()
}

func writeHeader(out *strings.Builder, lo generator.Load) {
	fmt.Fprintf(out, "\n%s: %d workers, %d accelerators, %d h of arrivals\n\n", lo.Name, lo.Size.Racks*lo.Size.WorkersPerRack, lo.Size.Total(), lo.Length/clock.Hour)
	out.WriteString("| policy | small mean | small p95 | large mean | large p95 | large max | urgent p50 ms | urgent max ms | reclaim p99 ms | reclaims | stranded | preempted | lost acc-h | makespan over arrivals |\n")
	out.WriteString("| --- " + strings.Repeat("| ---: ", 13) + "|\n")
}

func writeRow(out *strings.Builder, row Row) {
	re := row.Result
	reclaim := "none"
	if len(re.ReclaimWaits) > 0 {
		reclaim = fmt.Sprint(replayer.Quantile(re.ReclaimWaits, p99))
	}
	fmt.Fprintf(out, "| %s | %.2f | %.2f | %.2f | %.2f | %.1f | %d | %d | %s | %d | %.1f | %d | %.1f | %.3f |\n",
		row.Policy,
		replayer.Mean(re.Small), replayer.Quantile(re.Small, p95),
		replayer.Mean(re.Large), replayer.Quantile(re.Large, p95), replayer.Quantile(re.Large, 1),
		replayer.Quantile(re.UrgentWaits, 0.5), replayer.Quantile(re.UrgentWaits, 1),
		reclaim, len(re.ReclaimWaits), re.StrandedMean(), re.Preemptions,
		float64(re.LostWork)/float64(clock.Hour), float64(re.Makespan)/float64(row.Load.Length))
}

func writeCosts(out *strings.Builder, costs []timer.Cost) {
	out.WriteString("\n| workers | decision | ns | bytes | allocations |\n| ---: | --- | ---: | ---: | ---: |\n")
	for _, co := range costs {
		fmt.Fprintf(out, "| %d | %s | %d | %d | %d |\n", co.Workers, co.Decision, co.Nanos, co.Bytes, co.Allocations)
	}
}
