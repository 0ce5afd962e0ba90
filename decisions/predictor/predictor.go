// Package predictor estimates the run times of tasks from finished runs, and the demand of
// urgent work for accelerators from its recent use of them.
package predictor

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// maxSamples is the number of runs that are kept per queue: few enough to follow a
	// change within seconds, enough for a median.
	maxSamples = 32
	// minSamples is the minimum number of runs for the median to replace the caller's
	// estimate.
	minSamples = 5
	// demandTimeConstant is the time constant of the smoothed demand of urgent work: about
	// one run of the shortest tasks.
	demandTimeConstant = 3 * clock.Second
	// sizeWeight is the weight of the newest job in the moving averages of the sizes of
	// urgent jobs.
	sizeWeight = 0.05
)

type (
	// Predictor collects finished runs per queue and the demand of urgent work per pool. It
	// is not safe for concurrent use.
	Predictor struct {
		queues map[identifier.Queue]*history
		pools  map[identifier.Pool]*demand
	}

	// demand is the demand of urgent work for the accelerators of a pool.
	demand struct {
		// mean is the smoothed number of accelerators in use by urgent work at time at.
		mean float64
		at   clock.Millis
		// size and square are moving averages of the number of accelerators of a job and of
		// its square.
		size, square float64
	}

	// history holds the most recent finished runs of a queue.
	history struct {
		// runs is a ring buffer of at most maxSamples; next is the index of the oldest when
		// it is full.
		runs []sample
		next int
		// median is the median of the run times.
		median clock.Millis
		// preferEstimates means that the callers' estimates were closer to the run times
		// than the median was.
		preferEstimates bool
	}

	// sample is a finished run.
	sample struct{ estimate, ran clock.Millis }
)

// New returns a predictor without any samples.
func New() *Predictor {
	return &Predictor{queues: map[identifier.Queue]*history{}, pools: map[identifier.Pool]*demand{}}
}

// RecordRun records the run time of a finished run, which was not interrupted between its
// start and its end.
func (pr *Predictor) RecordRun(queue identifier.Queue, estimate, ran clock.Millis) {
	hi := pr.queues[queue]
	if hi == nil {
		hi = &history{}
		pr.queues[queue] = hi
	}
	sa := sample{estimate: max(estimate, 1), ran: max(ran, 1)}
	if len(hi.runs) < maxSamples {
		hi.runs = append(hi.runs, sa)
	} else {
		hi.runs[hi.next] = sa
		hi.next = (hi.next + 1) % maxSamples
	}
	hi.update()
}

// update recomputes the median, and whether it or the callers' estimates were closer to the
// run times.
func (hi *history) update() {
	times := make([]clock.Millis, 0, len(hi.runs))
	for _, sa := range hi.runs {
		times = append(times, sa.ran)
	}
	slices.Sort(times)
	hi.median = times[len(times)/2]
	var medianError, estimateError float64
	for _, sa := range hi.runs {
		medianError += logError(hi.median, sa.ran)
		estimateError += logError(sa.estimate, sa.ran)
	}
	hi.preferEstimates = estimateError < medianError
}

// logError returns the error of a forecast as the absolute logarithm of its ratio to the
// run time, so that too long and too short by the same factor count the same.
func logError(forecast, ran clock.Millis) float64 {
	return math.Abs(math.Log(float64(forecast) / float64(ran)))
}

// ExpectedRunTime returns the expected run time of a task of a queue, given its caller's
// estimate.
func (pr *Predictor) ExpectedRunTime(queue identifier.Queue, estimate clock.Millis) clock.Millis {
	hi := pr.queues[queue]
	if hi == nil || len(hi.runs) < minSamples || hi.preferEstimates && estimate > 0 {
		return estimate
	}
	return hi.median
}

// RecordArrival records the arrival of an urgent job for a pool and the number of
// accelerators that it needs at the same time.
func (pr *Predictor) RecordArrival(pool identifier.Pool, need meter.Accelerators) {
	de := pr.demand(pool)
	size := float64(need)
	if de.size == 0 {
		de.size, de.square = size, size*size
		return
	}
	de.size += sizeWeight * (size - de.size)
	de.square += sizeWeight * (size*size - de.square)
}

// UpdateDemand records how many accelerators of a pool are in use by urgent work at
// present. It returns the smoothed number and its standard deviation. Jobs are assumed to
// arrive independently of each other, so the deviation grows with the square root of their
// number.
func (pr *Predictor) UpdateDemand(pool identifier.Pool, now clock.Millis, used meter.Accelerators) (mean, deviation float64) {
	de := pr.demand(pool)
	weight := 1 - math.Exp(-float64(now-de.at)/float64(demandTimeConstant))
	de.at = now
	de.mean += weight * (float64(used) - de.mean)
	if de.size == 0 {
		return de.mean, 0
	}
	return de.mean, math.Sqrt(de.mean * de.square / de.size)
}

func (pr *Predictor) demand(pool identifier.Pool) *demand {
	de := pr.pools[pool]
	if de == nil {
		de = &demand{}
		pr.pools[pool] = de
	}
	return de
}
