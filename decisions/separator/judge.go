package separator

import (
	"cmp"
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Causes of slow runs on a worker, and parameters of the judgment.
const (
	// NoCause means that its runs are not known to be slow.
	NoCause Cause = iota
	// SlowWorker means that its runs are slow whichever neighbours they have.
	SlowWorker
	// Neighbors means that its runs are slow because of each other.
	Neighbors

	// maxJudged is how many workers are judged; the one that was observed longest ago is forgotten.
	maxJudged = 2048
	// levelWeight is the weight of the newest run in the usual pace of an image, and recentRuns how many
	// runs of a worker count.
	levelWeight = 0.05
	recentRuns  = 16
	// spreadWeight is the least weight of the newest run in the spread within workers.
	spreadWeight = 0.002
	// minRuns is how many runs a worker must have for a judgment.
	minRuns = 4
	// slowAbove is the logarithmic slowdown above which a worker is slow: 25%.
	slowAbove = 0.22
)

type (
	// Cause is why the runs of a worker are slow.
	Cause int

	// Pace is the pace of one run, compared with what was expected of it. Each run counts once, because its
	// samples share the error of what was expected.
	Pace struct {
		Now    clock.Millis
		Worker identifier.Worker
		Image  identifier.Image
		// Slowdown is the logarithm of the time per unit of progress over that which is expected on a normal
		// worker.
		Slowdown float64
		Beside   Amounts
	}

	// Judgment tells why the runs of a worker are slow.
	Judgment struct {
		Worker identifier.Worker
		// Own is the logarithmic slowdown that its neighbours do not explain, with its standard deviation,
		// and Disturbed that which they do.
		Own, Deviation, Disturbed float64
		// Runs is the number of runs, in which old ones count less.
		Runs  float64
		Cause Cause
	}

	// judge compares workers with each other.
	judge struct {
		levels  map[identifier.Image]*level
		workers map[identifier.Worker]*judged
		// square is the mean square difference between runs of the same worker, and compared the number of
		// runs that it is from.
		square, compared float64
	}

	// level is how slow runs of an image usually are where nothing disturbs them.
	level struct {
		mean, count float64
		usedAt      clock.Millis
	}

	// judged is the mean of what the runs of a worker showed.
	judged struct {
		own, disturbed, runs float64
		usedAt               clock.Millis
	}
)

func newJudge() judge {
	return judge{levels: map[identifier.Image]*level{}, workers: map[identifier.Worker]*judged{}}
}

// ObservePace records the pace of a run for the judgment of its worker.
func (se *Separator) ObservePace(pa Pace) {
	if pa.Image == "" {
		return
	}
	disturbed := 0.0
	if mo := se.models[pa.Image]; mo != nil {
		disturbed = mo.expected(pa.Beside)
	}
	own := pa.Slowdown - disturbed
	le := se.judge.level(pa.Image, pa.Now)
	usual := le.mean
	le.add(own)
	wo := se.judge.worker(pa.Worker, pa.Now)
	diff := min(max(own-usual, -2*maxStep), 2*maxStep) - wo.own
	if wo.runs > 0 {
		se.judge.compare(diff * diff * wo.runs / (wo.runs + 1))
	}
	wo.runs = min(wo.runs+1, recentRuns)
	wo.own += diff / wo.runs
	wo.disturbed += (disturbed - wo.disturbed) / wo.runs
}

// add adds a run. Its weight never falls below levelWeight, so that the level follows changes.
func (le *level) add(own float64) {
	le.count++
	le.mean += max(1/le.count, levelWeight) * (own - le.mean)
}

// compare adds the squared difference of a run from others of its worker.
func (ju *judge) compare(square float64) {
	ju.compared = min(ju.compared+1, 1/spreadWeight)
	ju.square += (square - ju.square) / ju.compared
}

// Undisturbed returns the factor by which the neighbours of a run certainly lengthen it, at least 1. Whoever
// measures the speed of workers divides the run time by it, so that disturbed workers do not pass for slow ones.
func (se *Separator) Undisturbed(image identifier.Image, beside Amounts) float64 {
	mo := se.models[image]
	if mo == nil {
		return 1
	}
	return math.Exp(mo.expected(beside))
}

// Judgments returns the workers of which enough is known, those that are slowest by themselves first.
func (se *Separator) Judgments() []Judgment {
	deviation := math.Sqrt(max(se.judge.square, minNoise*minNoise))
	var all []Judgment
	for id, wo := range se.judge.workers {
		if wo.runs < minRuns {
			continue
		}
		ju := Judgment{Worker: id, Own: wo.own, Deviation: deviation / math.Sqrt(wo.runs), Disturbed: wo.disturbed, Runs: wo.runs}
		switch {
		case ju.Own-harmlessness*ju.Deviation > slowAbove:
			ju.Cause = SlowWorker
		case ju.Disturbed > minEffect && ju.Disturbed > ju.Own:
			ju.Cause = Neighbors
		}
		all = append(all, ju)
	}
	slices.SortFunc(all, func(a, b Judgment) int {
		return cmp.Or(cmp.Compare(b.Own, a.Own), cmp.Compare(a.Worker, b.Worker))
	})
	return all
}

func (ju *judge) level(image identifier.Image, now clock.Millis) *level {
	le := ju.levels[image]
	if le == nil {
		if len(ju.levels) >= maxImages {
			delete(ju.levels, oldest(ju.levels, func(old *level) clock.Millis { return old.usedAt }))
		}
		le = &level{}
		ju.levels[image] = le
	}
	le.usedAt = now
	return le
}

func (ju *judge) worker(id identifier.Worker, now clock.Millis) *judged {
	wo := ju.workers[id]
	if wo == nil {
		if len(ju.workers) >= maxJudged {
			delete(ju.workers, oldest(ju.workers, func(old *judged) clock.Millis { return old.usedAt }))
		}
		wo = &judged{}
		ju.workers[id] = wo
	}
	wo.usedAt = now
	return wo
}

// oldest returns the key of the entry that was used longest ago.
func oldest[K cmp.Ordered, V any](entries map[K]V, usedAt func(V) clock.Millis) K {
	var found K
	first := true
	for key, entry := range entries {
		if at := usedAt(entry); first || at < usedAt(entries[found]) || at == usedAt(entries[found]) && key < found {
			found, first = key, false
		}
	}
	return found
}
