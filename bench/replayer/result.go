package replayer

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

type (
	// Result holds the measurements of a simulation.
	Result struct {
		// Small and Large hold, for each job that is not urgent, the time from its arrival to
		// its completion divided by its run time, which is the time it would take alone in
		// an empty zone.
		Small []float64
		Large []float64
		// UrgentWaits holds the time from arrival to first start of each urgent job.
		UrgentWaits []clock.Millis
		// ReclaimWaits holds the same time for each job that an unused guarantee of its workspace
		// covered when it arrived.
		ReclaimWaits []clock.Millis
		// StrandedSum is the sum, over all Samples, of the free accelerators that no waiting
		// gang could use.
		StrandedSum float64
		Samples     int
		// LostWork is the run time lost to preemption, in accelerator-milliseconds.
		LostWork    int64
		Preemptions int64
		Decisions   int64
		Makespan    clock.Millis
	}
)

// recordEnd records a job that has ended.
func (re *Result) recordEnd(st *state, at clock.Millis) {
	if st.guaranteed {
		re.ReclaimWaits = append(re.ReclaimWaits, st.firstStart-st.job.Submitted)
	}
	ratio := float64(at-st.job.Submitted) / float64(st.job.RunTime)
	switch {
	case st.job.Urgent:
		re.UrgentWaits = append(re.UrgentWaits, st.firstStart-st.job.Submitted)
	case st.job.Large:
		re.Large = append(re.Large, ratio)
	default:
		re.Small = append(re.Small, ratio)
	}
}

// recordPreemption records a preempted job that has stopped.
func (re *Result) recordPreemption(st *state) {
	re.Preemptions++
	re.LostWork += int64(restartCost) * int64(st.job.Shape.Total())
}

// Mean returns the mean of a list, or 0 for an empty list.
func Mean(list []float64) float64 {
	var sum float64
	for _, value := range list {
		sum += value
	}
	return sum / math.Max(float64(len(list)), 1)
}

// Quantile returns the smallest value of the list that at least the given fraction of its
// values do not exceed, or 0 for an empty list.
func Quantile[T clock.Millis | float64](list []T, fraction float64) T {
	if len(list) == 0 {
		return 0
	}
	ordered := slices.Clone(list)
	slices.Sort(ordered)
	index := int(math.Ceil(fraction*float64(len(ordered)))) - 1
	return ordered[max(index, 0)]
}

// StrandedMean returns the mean number of stranded accelerators per sample.
func (re *Result) StrandedMean() float64 { return re.StrandedSum / math.Max(float64(re.Samples), 1) }
