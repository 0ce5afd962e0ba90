package reporter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wagtailcroft/wagtailcroft/bench/journalreader"
	"github.com/wagtailcroft/wagtailcroft/shared/pager"
)

const (
	score = "score"
	hunt  = "hunt"
	// commitDigits is the number of digits of a commit hash that are shown.
	commitDigits = 7
	// maxWhyLength is the length in bytes after which the reason for a run is cut off.
	maxWhyLength = 90
)

// JournalPart is the part of the page that holds the tables of the journal.
var JournalPart = pager.Section{Begin: "<!-- tables: make journal-page -->", End: "<!-- end of journal -->"}

// Journal returns Markdown tables of the scores and of the hunts with their broken rules.
func Journal(entries []journalreader.Entry) string {
	var out strings.Builder
	writeScores(&out, entries)
	writeHunts(&out, entries)
	return out.String()
}

func writeScores(out *strings.Builder, entries []journalreader.Entry) {
	for _, site := range sites(entries, score) {
		fmt.Fprintf(out, "\n## Scores on %s\n\n| at | commit | score | worst day, worth | mean worth | waste | broken | why |\n| --- | --- | ---: | ---: | ---: | ---: | ---: | --- |\n", site)
		for _, en := range entries {
			if en.Command != score || en.Site != site || len(en.Days) == 0 {
				continue
			}
			worst, mean, waste := 1.0, 0.0, 0.0
			for _, da := range en.Days {
				worst = min(worst, da.Worth)
				mean += da.Worth / float64(len(en.Days))
				waste += da.WastePenalty / float64(len(en.Days))
			}
			fmt.Fprintf(out, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %d | %s |\n", en.At(), commitLabel(en), en.Score, worst, mean, waste, en.DaysWithViolations(), truncate(en.Reason))
		}
	}
}

func writeHunts(out *strings.Builder, entries []journalreader.Entry) {
	out.WriteString("\n## Hunts\n\n| site | hunts | days | days with a broken rule | rules that were broken |\n| --- | ---: | ---: | ---: | --- |\n")
	for _, site := range sites(entries, hunt) {
		calls, days, broken := 0, 0, 0
		rules := map[string]int{}
		for _, en := range entries {
			if en.Command != hunt || en.Site != site {
				continue
			}
			calls++
			days += len(en.Days)
			broken += en.DaysWithViolations()
			for _, da := range en.Days {
				for rule := range da.Violations {
					rules[rule]++
				}
			}
		}
		names := make([]string, 0, len(rules))
		for _, rule := range slices.Sorted(maps.Keys(rules)) {
			names = append(names, fmt.Sprintf("%s on %d days", rule, rules[rule]))
		}
		fmt.Fprintf(out, "| %s | %d | %d | %d | %s |\n", site, calls, days, broken, strings.Join(names, ", "))
	}
}

func commitLabel(en journalreader.Entry) string {
	name := en.Commit[:min(len(en.Commit), commitDigits)]
	if en.Dirty {
		return name + " and changes"
	}
	return name
}

func truncate(why string) string {
	why = strings.ReplaceAll(why, "|", "/")
	if len(why) > maxWhyLength {
		return why[:maxWhyLength] + "..."
	}
	return why
}

// sites returns the sorted names of the sites that have entries of a subcommand.
func sites(entries []journalreader.Entry, command string) []string {
	var names []string
	for _, en := range entries {
		if en.Command == command && en.Site != "" && !slices.Contains(names, en.Site) {
			names = append(names, en.Site)
		}
	}
	slices.Sort(names)
	return names
}

// PlotWorth draws the mean worth of the days of each score entry, with one line for each
// site.
func PlotWorth(entries []journalreader.Entry, path string) error {
	pl := plot.New()
	pl.Title.Text = "Mean worth of the days of a score"
	pl.X.Label.Text = "score, in order of time"
	pl.Y.Label.Text = "worth"
	scored := sites(entries, score)
	lines := make([]any, 0, 2*len(scored))
	for _, site := range scored {
		var points plotter.XYs
		for _, en := range entries {
			if en.Command != score || en.Site != site || len(en.Days) == 0 {
				continue
			}
			mean := 0.0
			for _, da := range en.Days {
				mean += da.Worth / float64(len(en.Days))
			}
			points = append(points, plotter.XY{X: float64(len(points) + 1), Y: mean})
		}
		lines = append(lines, site, points)
	}
	if err := plotutil.AddLinePoints(pl, lines...); err != nil {
		return err
	}
	return pl.Save(plotWidth*vg.Inch, plotHeight*vg.Inch, path)
}
