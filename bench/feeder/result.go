package feeder

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

type (
	// Result is what a policy made of a load.
	Result struct {
		// Small and Large hold for each job the ratio of its completion time to its run
		// time, which is its completion time alone on an empty zone.
		Small []float64
		Large []float64
		// Urgent holds the time from arrival to first start of urgent jobs.
		Urgent []clock.Millis
		// Reclaims holds that time for work that found a guarantee of its workspace unused
		// when it arrived.
		Reclaims []clock.Millis
		// Stranded sums over Samples the accelerators that no waiting gang could use.
		Stranded float64
		Samples  int
		// LostWork is the run time lost to preemption, in accelerator-milliseconds.
		LostWork    int64
		Preemptions int64
		Decisions   int64
		Makespan    clock.Millis
	}
)

// take records a job that has ended.
func (re *Result) take(st *state, at clock.Millis) {
	if st.guaranteed {
		re.Reclaims = append(re.Reclaims, st.first-st.job.Submitted)
	}
	ratio := float64(at-st.job.Submitted) / float64(st.job.Run)
	switch {
	case st.job.Urgent:
		re.Urgent = append(re.Urgent, st.first-st.job.Submitted)
	case st.job.Large:
		re.Large = append(re.Large, ratio)
	default:
		re.Small = append(re.Small, ratio)
	}
}

func (re *Result) lose(st *state) {
	re.Preemptions++
	re.LostWork += int64(restartCost) * int64(st.job.Shape.Total())
}

// Mean is the mean of a list; 0 for an empty one.
func Mean(list []float64) float64 {
	var sum float64
	for _, value := range list {
		sum += value
	}
	return sum / math.Max(float64(len(list)), 1)
}

// Quantile returns the value below which a part of the list lies; 0 for an empty list.
func Quantile[T clock.Millis | float64](list []T, part float64) T {
	if len(list) == 0 {
		return 0
	}
	ordered := slices.Clone(list)
	slices.Sort(ordered)
	index := int(math.Ceil(part*float64(len(ordered)))) - 1
	return ordered[max(index, 0)]
}

// StrandedMean is the mean number of stranded accelerators.
func (re *Result) StrandedMean() float64 { return re.Stranded / math.Max(float64(re.Samples), 1) }
