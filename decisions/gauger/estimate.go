package gauger

import "math"

const (
	// outlier is how many standard deviations from the others a run may lie to count in full.
	outlier = 2.0
	// refinements is how often runs are weighed again by their distance from the estimate.
	refinements = 3
	// evidenceWindow is the number of runs over which it is judged whether workers differ.
	evidenceWindow = 400.0
	// minEvidence is how many standard deviations the agreement of a worker's runs has to be above chance.
	minEvidence = 4.0
	// minCompared is the number of comparisons without which chance cannot be excluded.
	minCompared = 24
	// minSlope is how much of a predicted difference has to be seen again.
	minSlope = 0.4
	// maxContrast is the number of steps of a kind that a step is compared with.
	maxContrast = 32
	// levelPrior is how many workers of normal speed the level counts beside those that are known.
	levelPrior = 6
	// maxDifference bounds the weight of a single run.
	maxDifference = 1.0
)

type (
	// evidence answers fleets of even workers, of which chance alone makes some look fast: it correlates what
	// the earlier runs of a worker predict with what its next run shows. Both are compared with those of the
	// other workers of the step, so that no error which these share counts. It assumes nothing of the size of
	// errors.
	evidence struct {
		product, square, predicted float64
		// compared is the number of comparisons.
		compared int
	}

	// contrast is the mean of what was predicted and seen of the runs of a step, or of the steps of a kind.
	contrast struct{ count, predicted, seen float64 }

	// level is the sum, and the sum of the squares, of what is known of so many workers.
	level struct {
		sum, square float64
		count       int
	}
)

// take returns how far a prediction and what was seen are from those before, and adds them to these. These
// differences are independent of each other.
func (co *contrast) take(predicted, seen float64) (dp, ds float64) {
	scale := math.Sqrt(co.count / (co.count + 1))
	dp, ds = predicted-co.predicted, seen-co.seen
	co.count = min(co.count+1, maxContrast)
	co.predicted += dp / co.count
	co.seen += ds / co.count
	return scale * dp, scale * ds
}

// add takes in what was predicted for a run. The first run of a step is compared with what is usual for its
// kind.
func (ev *evidence) add(sa *sample, predicted float64) {
	st := sa.step
	of, seen := &st.contrast, sa.total
	if of.count == 0 {
		st.contrast = contrast{count: 1, predicted: predicted, seen: seen}
		usual, _ := st.kind.usual(st)
		if st.kind.count < minRecent {
			return
		}
		of, seen = &st.kind.contrast, seen-usual
	}
	dp, ds := of.take(predicted, seen)
	dp, ds = min(max(dp, -maxDifference), maxDifference), min(max(ds, -maxDifference), maxDifference)
	keep := 1 - 1/evidenceWindow
	ev.product = keep*ev.product + dp*ds
	ev.square = keep*ev.square + dp*ds*dp*ds
	ev.predicted = keep*ev.predicted + dp*dp
	ev.compared++
}

// differ reports whether workers certainly differ.
func (ev *evidence) differ() bool {
	return ev.compared >= minCompared && ev.product > minEvidence*math.Sqrt(ev.square) && ev.product > minSlope*ev.predicted
}

// estimate returns a worker's factor by its samples. Runs that lie far from the others count less, and
// few runs leave it near the prior.
func estimate(prior belief, samples []sample) belief {
	var values, variances [maxSamples]float64
	for i := range samples {
		values[i], variances[i] = samples[i].factor()
	}
	known := prior
	for round := range refinements {
		sum, weight := prior.mean/prior.variance, 1/prior.variance
		for i := range samples {
			we := 1 / variances[i]
			if distance := math.Abs(values[i]-known.mean) * math.Sqrt(we); round > 0 && distance > outlier {
				we *= outlier / distance
			}
			sum += we * values[i]
			weight += we
		}
		known = belief{mean: sum / weight, variance: 1 / weight}
	}
	return known
}

// mean returns what the factors of all workers have in common, which says nothing of any of them.
func (le *level) mean() float64 { return le.sum / float64(le.count+levelPrior) }

// deviation returns the standard deviation between workers.
func (le *level) deviation() float64 {
	mean, count := le.mean(), float64(le.count+levelPrior)
	return math.Sqrt(max((le.square+levelPrior*spread*spread)/count-mean*mean, minEffect*minEffect))
}

// add counts a worker, unless it has turned.
func (le *level) add(re *record) {
	if re.turnedUntil == 0 {
		re.counted, re.counts = re.known.mean, true
		le.sum += re.counted
		le.square += re.counted * re.counted
		le.count++
	}
}

func (le *level) remove(re *record) {
	if re.counts {
		re.counts = false
		le.sum -= re.counted
		le.square -= re.counted * re.counted
		le.count--
	}
}
