package profiler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/pager"
)

const (
	minSamples       = 3   // minimum number of samples for a fitted line
	defaultInstances = 2   // entry instances of the zone in the series that do not vary them
	minLargeZone     = 200 // minimum number of workers of the zone in the series that varies the jobs
)

var (
	// SlopesPart is the part of the page that holds the slopes.
	SlopesPart = pager.Section{Begin: "<!-- slopes: make slopes -->", End: "<!-- end of slopes -->"}

	costKinds = []costKind{
		{"processor, % of a core", 2.5, func(sa Sample) float64 { return sa.CPUPercent }},
		{"resident memory, MB", 64, func(sa Sample) float64 { return sa.Memory }},
		{"wire, bytes/s", 3 * kilobyte, func(sa Sample) float64 { return sa.BytesPerSecond }},
	}

	allSeries = []series{
		{"worker of the zone, idle", func(sa Sample) float64 { return float64(sa.Workers) }, func(sa Sample) bool { return sa.Jobs == 0 && sa.Instances == defaultInstances }},
		{"running gang job", func(sa Sample) float64 { return float64(sa.Jobs) }, func(sa Sample) bool { return sa.Workers >= minLargeZone }},
		{"entry instance of the zone, idle", func(sa Sample) float64 { return float64(sa.Instances) }, func(sa Sample) bool { return sa.Jobs == 0 && sa.Workers < minLargeZone }},
	}
)

type (
	// costKind is a kind of cost, with its limit for one instance.
	costKind struct {
		name  string
		limit float64
		cost  func(Sample) float64
	}

	// series is a series of samples in which one of the sizes varies.
	series struct {
		name string
		size func(Sample) float64
		// includes reports whether a sample belongs to the series.
		includes func(Sample) bool
	}
)

// Table returns Markdown tables of the samples and of the lines fitted to them.
func Table(samples []Sample) string {
	var out strings.Builder
	out.WriteString("| instances of the zone | workers | gang jobs running | processor, % of a core | resident MB | wire, bytes/s |\n| ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, sa := range samples {
		fmt.Fprintf(&out, "| %d | %d | %d | %.2f | %.1f | %.0f |\n", sa.Instances, sa.Workers, sa.Jobs, sa.CPUPercent, sa.Memory, sa.BytesPerSecond)
	}
	out.WriteString("\n| cost | limit | grows with each | base | slope | spread |\n| --- | ---: | --- | ---: | ---: | ---: |\n")
	for _, ki := range costKinds {
		for _, se := range allSeries {
			line := Fit(se.filter(samples), se.size, ki.cost)
			fmt.Fprintf(&out, "| %s | %g | %s | %.3g | %.3g | %.2g |\n", ki.name, ki.limit, se.name, line.Base, line.Slope, line.MaxDeviation)
		}
	}
	return out.String()
}

// CheckSamples returns an error if a series has too few samples to fit a line.
func CheckSamples(samples []Sample) error {
	for _, se := range allSeries {
		if count := len(se.filter(samples)); count < minSamples {
			return eris.Errorf("%d samples for the series %q; at least %d are needed", count, se.name, minSamples)
		}
	}
	return nil
}

// filter returns the samples that belong to the series.
func (se series) filter(samples []Sample) []Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(sa Sample) bool { return !se.includes(sa) })
}

// Parse parses a line that Encode returned.
func Parse(line string) (Sample, error) {
	var sa Sample
	_, err := fmt.Sscanf(line, "%d %d %d %f %f %f", &sa.Instances, &sa.Workers, &sa.Jobs, &sa.CPUPercent, &sa.Memory, &sa.BytesPerSecond)
	return sa, err
}

// Encode returns a sample as one line of text.
func (sa Sample) Encode() string {
	return fmt.Sprintf("%d %d %d %f %f %f", sa.Instances, sa.Workers, sa.Jobs, sa.CPUPercent, sa.Memory, sa.BytesPerSecond)
}
