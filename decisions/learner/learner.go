// Package learner learns from finished runs how long tasks take, and from the urgent work
// under way how much room it lately needed.
package learner

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// mostRuns is how many runs of a queue are remembered: few enough to follow a change
	// within seconds, enough for a median.
	mostRuns = 32
	// leastRuns is how many must be known before they say more than an estimate.
	leastRuns = 5
	// demandSpan is the time over which the demand of urgent work is smoothed: about one
	// run of the shortest tasks.
	demandSpan = 3 * clock.Second
	// bulkWeight is the weight of the newest job in the mean size of urgent jobs.
	bulkWeight = 0.05
)

type (
	// Learner learns. It is not safe for concurrent use.
	Learner struct {
		queues map[identifier.Queue]*history
		pools  map[identifier.Pool]*demand
	}

	// demand is what urgent work needs of a pool.
	demand struct {
		// mean is the smoothed number of accelerators that it has, as of the moment at.
		mean float64
		at   clock.Millis
		// size and square are the means of the accelerators of a job, and of their square.
		size, square float64
	}

	// history holds the last runs of a queue.
	history struct {
		// runs is a ring of at most mostRuns; next is the place of the oldest.
		runs []sample
		next int
		// median is that of the run times.
		median clock.Millis
		// trusted means that the callers' estimates were nearer than the median.
		trusted bool
	}

	// sample is a finished run.
	sample struct{ estimate, ran clock.Millis }
)

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{queues: map[identifier.Queue]*history{}, pools: map[identifier.Pool]*demand{}}
}

// Ran takes a run that has finished, from its start to its end without a stop between.
func (le *Learner) Ran(queue identifier.Queue, estimate, ran clock.Millis) {
	hi := le.queues[queue]
	if hi == nil {
		hi = &history{}
		le.queues[queue] = hi
	}
	sa := sample{estimate: max(estimate, 1), ran: max(ran, 1)}
	if len(hi.runs) < mostRuns {
		hi.runs = append(hi.runs, sa)
	} else {
		hi.runs[hi.next] = sa
		hi.next = (hi.next + 1) % mostRuns
	}
	hi.judge()
}

// judge works out the median, and whether it or the estimates were nearer.
func (hi *history) judge() {
	times := make([]clock.Millis, 0, len(hi.runs))
	for _, sa := range hi.runs {
		times = append(times, sa.ran)
	}
	slices.Sort(times)
	hi.median = times[len(times)/2]
	var ofMedian, ofEstimate float64
	for _, sa := range hi.runs {
		ofMedian += off(hi.median, sa.ran)
		ofEstimate += off(sa.estimate, sa.ran)
	}
	hi.trusted = ofEstimate < ofMedian
}

// off is by how much a forecast misses, as a factor in either direction.
func off(forecast, ran clock.Millis) float64 {
	return math.Abs(math.Log(float64(forecast) / float64(ran)))
}

// Expected is how long a task of a queue runs, given what its caller has estimated.
func (le *Learner) Expected(queue identifier.Queue, estimate clock.Millis) clock.Millis {
	hi := le.queues[queue]
	if hi == nil || len(hi.runs) < leastRuns || hi.trusted && estimate > 0 {
		return estimate
	}
	return hi.median
}

// Came takes an urgent job that has come for a pool, with the accelerators it needs at once.
func (le *Learner) Came(pool identifier.Pool, need meter.Accelerators) {
	de := le.demand(pool)
	size := float64(need)
	if de.size == 0 {
		de.size, de.square = size, size*size
		return
	}
	de.size += bulkWeight * (size - de.size)
	de.square += bulkWeight * (size*size - de.square)
}

// Demand takes how many accelerators of a pool urgent work has now. It returns how many it
// lately had, and by how much that usually differs: jobs come independently of each other,
// so that the deviation grows with the root of their number.
func (le *Learner) Demand(pool identifier.Pool, now clock.Millis, taken meter.Accelerators) (mean, deviation float64) {
	de := le.demand(pool)
	weight := 1 - math.Exp(-float64(now-de.at)/float64(demandSpan))
	de.at = now
	de.mean += weight * (float64(taken) - de.mean)
	if de.size == 0 {
		return de.mean, 0
	}
	return de.mean, math.Sqrt(de.mean * de.square / de.size)
}

func (le *Learner) demand(pool identifier.Pool) *demand {
	de := le.pools[pool]
	if de == nil {
		de = &demand{}
		le.pools[pool] = de
	}
	return de
}
