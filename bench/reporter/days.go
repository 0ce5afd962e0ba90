package reporter

import (
	"fmt"
	"image/color"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/pager"
)

const (
	barWidth   = 14
	plotWidth  = 9
	plotHeight = 4
)

// DayPart is the part of the page that holds the tables of simulated days.
var DayPart = pager.Section{Begin: "<!-- tables: make days -->", End: "<!-- end of days -->"}

// DayRow holds the results of one policy on one load, one for each simulated day.
type DayRow struct {
	Load    string
	Policy  string
	Results []simulator.Result
}

// mean returns the mean of a figure over all days.
func (ro DayRow) mean(figure func(simulator.Result) float64) float64 {
	sum := 0.0
	for _, re := range ro.Results {
		sum += figure(re)
	}
	return sum / float64(len(ro.Results))
}

func worthOf(re simulator.Result) float64 { return re.Worth }

// DayTables returns a Markdown table for each load.
func DayTables(rows []DayRow, commit string, seeds int) string {
	var out strings.Builder
	fmt.Fprintf(&out, "Commit %s, %d days for each row. Figures are credit earned divided by credit owed; waste is the penalty for lost work.\n", commit, seeds)
	for i, ro := range rows {
		kinds := slices.Sorted(maps.Keys(ro.Results[0].ByKind))
		if i == 0 || ro.Load != rows[i-1].Load {
			fmt.Fprintf(&out, "\n%s\n\n| policy | worth | whole day | worst kind | worst zone | worst workspace | worst seconds | waste | preempted a day | core-seconds lost to preemption | with withdrawn workers | accelerator-seconds kept free | seconds until 0.9 again |", ro.Load)
			for _, name := range kinds {
				fmt.Fprintf(&out, " %s |", name)
			}
			out.WriteString("\n| --- " + strings.Repeat("| ---: ", 12+len(kinds)) + "|\n")
		}
		fmt.Fprintf(&out, "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |", ro.Policy, ro.mean(worthOf),
			ro.mean(func(re simulator.Result) float64 { return re.Day }), ro.mean(func(re simulator.Result) float64 { return re.WorstKind }),
			ro.mean(func(re simulator.Result) float64 { return re.WorstZone }), ro.mean(func(re simulator.Result) float64 { return re.WorstWorkspace }),
			ro.mean(func(re simulator.Result) float64 { return re.WorstWindows }), ro.mean(func(re simulator.Result) float64 { return re.WastePenalty }),
			ro.mean(func(re simulator.Result) float64 { return float64(re.Preemptions) }))
		fmt.Fprintf(&out, " %.0f | %.0f | %.0f | %.1f |", ro.mean(func(re simulator.Result) float64 { return re.Lost["preempted"] }),
			ro.mean(func(re simulator.Result) float64 { return re.Lost["workerLeft"] }), ro.mean(func(re simulator.Result) float64 { return re.Kept }),
			ro.mean(func(re simulator.Result) float64 { return float64(re.Recovery) / float64(clock.Second) }))
		for _, name := range kinds {
			fmt.Fprintf(&out, " %.3f |", ro.mean(func(re simulator.Result) float64 { return re.ByKind[name] }))
		}
		out.WriteString("\n")
	}
	return out.String()
}

// PlotDays draws a bar chart of the mean worth of each policy, with one group of bars for
// each load.
func PlotDays(rows []DayRow, path string) error {
	pl := plot.New()
	pl.Title.Text = "Worth of simulated days"
	pl.Y.Label.Text = "worth"
	pl.Legend.Top = true
	var loads []string
	byLoad := map[string][]DayRow{}
	for _, ro := range rows {
		if byLoad[ro.Load] == nil {
			loads = append(loads, ro.Load)
		}
		byLoad[ro.Load] = append(byLoad[ro.Load], ro)
	}
	policies := len(byLoad[loads[0]])
	for i := range policies {
		values := make(plotter.Values, 0, len(loads))
		for _, lo := range loads {
			values = append(values, max(byLoad[lo][i].mean(worthOf), 0))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		shade := uint8(230 - 200*i/policies)
		bars.Color = color.RGBA{R: shade, G: shade, B: 255, A: 255}
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(policies-1)/2))
		pl.Add(bars)
		pl.Legend.Add(byLoad[loads[0]][i].Policy, bars)
	}
	pl.NominalX(loads...)
	return pl.Save(plotWidth*vg.Inch, plotHeight*vg.Inch, path)
}
