package weigher

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/pager"
)

// Part is the part of the page that the slopes stand in.
var Part = pager.Part{Begin: "<!-- slopes: make slopes -->", End: "<!-- end of slopes -->"}

const (
	fewest         = 3   // samples for one line
	usualInstances = 2   // of a zone, in the series that do not vary them
	largeZone      = 200 // workers from which a zone serves the series of jobs
)

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

// series is one way in which the size grows.
type series struct {
	name string
	size func(Sample) float64
	// part reports whether a sample belongs to it.
	part func(Sample) bool
}

var allSeries = []series{
	{"worker of the zone, idle", func(sa Sample) float64 { return float64(sa.Workers) }, func(sa Sample) bool { return sa.Jobs == 0 && sa.Instances == usualInstances }},
	{"running gang job", func(sa Sample) float64 { return float64(sa.Jobs) }, func(sa Sample) bool { return sa.Workers >= largeZone }},
	{"entry instance of the zone, idle", func(sa Sample) float64 { return float64(sa.Instances) }, func(sa Sample) bool { return sa.Jobs == 0 && sa.Workers < largeZone }},
}

// Table writes the samples and the lines fitted to them.
func Table(samples []Sample) string {
	var out strings.Builder
	out.WriteString("| instances of the zone | workers | gang jobs running | processor, % of a core | resident MB | wire, bytes/s |\n| ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, sa := range samples {
		fmt.Fprintf(&out, "| %d | %d | %d | %.2f | %.1f | %.0f |\n", sa.Instances, sa.Workers, sa.Jobs, sa.Processor, sa.Memory, sa.Wire)
	}
	out.WriteString("\n| cost | limit | grows with each | base | slope | spread |\n| --- | ---: | --- | ---: | ---: | ---: |\n")
	for _, ki := range kinds {
		for _, se := range allSeries {
			line := Fit(se.of(samples), se.size, ki.cost)
			fmt.Fprintf(&out, "| %s | %g | %s | %.3g | %.3g | %.2g |\n", ki.name, ki.limit, se.name, line.Base, line.Slope, line.Spread)
		}
	}
	return out.String()
}

// Enough returns an error if there are too few samples to fit lines to.
func Enough(samples []Sample) error {
	for _, se := range allSeries {
		if count := len(se.of(samples)); count < fewest {
			return eris.Errorf("%d samples show the cost of each %s; at least %d are needed", count, se.name, fewest)
		}
	}
	return nil
}

func (se series) of(samples []Sample) []Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(sa Sample) bool { return !se.part(sa) })
}

// Parse reads a sample as Print writes it.
func Parse(line string) (Sample, error) {
	var sa Sample
	_, err := fmt.Sscanf(line, "%d %d %d %f %f %f", &sa.Instances, &sa.Workers, &sa.Jobs, &sa.Processor, &sa.Memory, &sa.Wire)
	return sa, err
}

// Print writes a sample in one line.
func (sa Sample) Print() string {
	return fmt.Sprintf("%d %d %d %f %f %f", sa.Instances, sa.Workers, sa.Jobs, sa.Processor, sa.Memory, sa.Wire)
}
