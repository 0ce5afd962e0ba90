package gauger

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// maxKinds, maxSteps and maxRecent bound the kinds, the steps, and the steps that define what is usual for
	// a kind.
	maxKinds  = 256
	maxSteps  = 1024
	maxRecent = 24
	// minRecent is the number of steps from which on the usual run time of a kind is known.
	minRecent = 4
	// unknownDeviation is the standard deviation of the logarithm of a run time of which nothing is known.
	unknownDeviation = 1.0
	// firstNoise is the standard deviation between the tasks of a step that is assumed at first, and minNoise
	// its minimum.
	firstNoise = 0.2
	minNoise   = 0.05
	// noiseWeight is the weight of a new run in the noise of its kind.
	noiseWeight = 1.0 / 32
	// maxNoiseRatio bounds what one run adds to the noise, in relation to what was expected.
	maxNoiseRatio = 9.0
	// refreshAfter is the number of runs after which what is usual for a kind is worked out again.
	refreshAfter = 8
	// scaleMAD makes the median distance from the median a standard deviation.
	scaleMAD = 1.4826
)

type (
	// kinds holds what is known of the run times of work.
	kinds struct {
		byKey map[kindKey]*kind
		steps map[stepKey]*step
		// order holds the keys of steps, the oldest at next once there are maxSteps.
		order []stepKey
		next  int
	}

	kindKey struct {
		queue identifier.Queue
		image string
	}

	stepKey struct {
		job              identifier.Job
		occurrence, step int
	}

	// kind is work of one queue and image.
	kind struct {
		// recent holds the last steps that have runs, the oldest at next once there are maxRecent.
		recent []*step
		next   int
		// noise is the variance of the logarithm of run times between the tasks of a step.
		noise float64
		// times and ratios are what the recent steps took, and took against the callers' estimates. age is the
		// number of runs that have come since they were worked out.
		times, ratios spreadOf
		count, age    int
		contrast      contrast
	}

	// spreadOf is a median and the standard deviation from it.
	spreadOf struct{ median, deviation float64 }

	// step is a set of identical tasks.
	step struct {
		kind *kind
		// estimate is the logarithm of the caller's estimate, or 0.
		estimate float64
		// weight and sum are the precisions, and the products of these with the logarithms of the run times on
		// a normal worker, of all runs.
		weight, sum float64
		// noted means that the step is among the recent ones of its kind.
		noted    bool
		contrast contrast
	}
)

func newKinds() *kinds { return &kinds{byKey: map[kindKey]*kind{}, steps: map[stepKey]*step{}} }

// step returns the step of a run.
func (ki *kinds) step(ru Run) *step {
	key := stepKey{job: ru.Task.Job, occurrence: ru.Task.Occurrence, step: ru.Task.Step}
	if st := ki.steps[key]; st != nil {
		return st
	}
	st := &step{kind: ki.kind(kindKey{queue: ru.Queue, image: ru.Image}), estimate: math.Log(float64(max(ru.Estimate, 1*clock.Millis(1))))}
	if len(ki.order) < maxSteps {
		ki.order = append(ki.order, key)
	} else {
		delete(ki.steps, ki.order[ki.next])
		ki.order[ki.next] = key
		ki.next = (ki.next + 1) % maxSteps
	}
	ki.steps[key] = st
	return st
}

func (ki *kinds) kind(key kindKey) *kind {
	if kd := ki.byKey[key]; kd != nil {
		return kd
	}
	if len(ki.byKey) >= maxKinds {
		clear(ki.byKey) // names that never come again would take all room
	}
	kd := &kind{noise: firstNoise * firstNoise}
	ki.byKey[key] = kd
	return kd
}

// note adds a step to the recent ones of its kind.
func (ki *kinds) note(st *step) {
	st.kind.refresh()
	if st.noted {
		return
	}
	st.noted = true
	kd := st.kind
	if len(kd.recent) < maxRecent {
		kd.recent = append(kd.recent, st)
		return
	}
	kd.recent[kd.next] = st
	kd.next = (kd.next + 1) % maxRecent
}

// usual returns the mean and the variance of the logarithm of a step's run time by the steps of its kind:
// by their run times, or by these against the callers' estimates, whichever varies less.
func (kd *kind) usual(st *step) (mean, variance float64) {
	if kd.count < minRecent {
		return st.estimate, unknownDeviation * unknownDeviation
	}
	of := kd.times
	if st.estimate > 0 && kd.ratios.deviation < of.deviation {
		of = kd.ratios
		of.median += st.estimate
	}
	return of.median, of.deviation * of.deviation * (1 + 1/float64(kd.count))
}

// refresh works out what the recent steps took, now and then.
func (kd *kind) refresh() {
	if kd.age++; kd.age < refreshAfter && kd.count >= minRecent {
		return
	}
	kd.age = 0
	var times, ratios [maxRecent]float64
	kd.count = 0
	for _, st := range kd.recent {
		if st.weight > 0 {
			times[kd.count] = st.sum / st.weight
			ratios[kd.count] = times[kd.count] - st.estimate
			kd.count++
		}
	}
	if kd.count >= minRecent {
		kd.times, kd.ratios = middle(times[:kd.count]), middle(ratios[:kd.count])
	}
}

// middle returns the median of values and their standard deviation by the median distance from it.
func middle(values []float64) spreadOf {
	slices.Sort(values)
	median := values[len(values)/2]
	for i := range values {
		values[i] = math.Abs(values[i] - median)
	}
	slices.Sort(values)
	return spreadOf{median: median, deviation: max(scaleMAD*values[len(values)/2], minNoise)}
}

// variance is that between the tasks of a step.
func (kd *kind) variance() float64 { return max(kd.noise, minNoise*minNoise) }

// noteError takes in how far a run was from what was expected, and the variance that was expected.
func (kd *kind) noteError(difference, expected float64) {
	seen := min(difference*difference, maxNoiseRatio*expected)
	kd.noise = max(kd.noise+noiseWeight*kd.noise*(seen/expected-1), minNoise*minNoise)
}

// expected returns the logarithm of the run time of the step on a normal worker, by the other runs of the
// step and by its kind, and its variance.
func (st *step) expected(sa sample) (mean, variance float64) {
	usual, between := st.kind.usual(st)
	weight, sum := st.weight-sa.precision+1/between, st.sum-sa.precision*sa.residual+usual/between
	return sum / weight, 1 / weight
}

// noise is the variance of a run's time against that of its step, beside what its worker makes of it.
func (sa *sample) noise() float64 { return sa.step.kind.variance() + sa.variance }

// factor returns the logarithm of the worker's factor by the sample, and its variance.
func (sa *sample) factor() (value, variance float64) {
	mean, variance := sa.step.expected(*sa)
	return sa.total - mean, variance + sa.noise()
}

// contribute adds the run to the step, given what is known of the worker.
func (sa *sample) contribute(of belief) {
	sa.residual, sa.precision = sa.total-of.mean, 1/(of.variance+sa.noise())
	sa.step.weight += sa.precision
	sa.step.sum += sa.precision * sa.residual
}

// withdraw takes back what the run has contributed.
func (sa *sample) withdraw() {
	sa.step.weight = max(sa.step.weight-sa.precision, 0)
	sa.step.sum -= sa.precision * sa.residual
	sa.residual, sa.precision = 0, 0
}
