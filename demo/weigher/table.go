package weigher

import (
	"fmt"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/pager"
)

// Part is the part of the page that the slopes stand in.
var Part = pager.Part{Begin: "<!-- slopes: make slopes -->", End: "<!-- end of slopes -->"}

// kind names one cost and its limit for a node.
type kind struct {
	name  string
	limit float64
	cost  func(Sample) float64
}

var kinds = []kind{
	{"processor, % of a core", 2.5, func(sa Sample) float64 { return sa.Processor }},
	{"resident memory, MB", 64, func(sa Sample) float64 { return sa.Memory }},
	{"wire, bytes/s", 3 * kilobyte, func(sa Sample) float64 { return sa.Wire }},
}

// Table writes the samples and the lines fitted to them.
func Table(samples []Sample) string {
	var out strings.Builder
	out.WriteString("| workers of the zone | gang jobs running | processor, % of a core | resident MB | wire, bytes/s |\n| ---: | ---: | ---: | ---: | ---: |\n")
	for _, sa := range samples {
		fmt.Fprintf(&out, "| %d | %d | %.2f | %.1f | %.0f |\n", sa.Workers, sa.Jobs, sa.Processor, sa.Memory, sa.Wire)
	}
	idle, busy := split(samples)
	out.WriteString("\n| cost | limit | base | per worker (idle) | spread | per running job | spread |\n| --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, ki := range kinds {
		byWorker := Fit(idle, func(sa Sample) float64 { return float64(sa.Workers) }, ki.cost)
		byJob := Fit(busy, func(sa Sample) float64 { return float64(sa.Jobs) }, ki.cost)
		fmt.Fprintf(&out, "| %s | %g | %.3g | %.3g | %.2g | %.3g | %.2g |\n", ki.name, ki.limit, byWorker.Base, byWorker.Slope, byWorker.Spread, byJob.Slope, byJob.Spread)
	}
	return out.String()
}

// split separates the samples without jobs from those at the size that has some.
func split(samples []Sample) (idle, busy []Sample) {
	largest := 0
	for _, sa := range samples {
		if sa.Jobs > 0 {
			largest = sa.Workers
		}
	}
	for _, sa := range samples {
		if sa.Jobs == 0 {
			idle = append(idle, sa)
		}
		if sa.Workers == largest {
			busy = append(busy, sa)
		}
	}
	return idle, busy
}

// Parse reads a sample as Print writes it.
func Parse(line string) (Sample, error) {
	var sa Sample
	_, err := fmt.Sscanf(line, "%d %d %f %f %f", &sa.Workers, &sa.Jobs, &sa.Processor, &sa.Memory, &sa.Wire)
	return sa, err
}

// Print writes a sample in one line.
func (sa Sample) Print() string {
	return fmt.Sprintf("%d %d %f %f %f", sa.Workers, sa.Jobs, sa.Processor, sa.Memory, sa.Wire)
}
