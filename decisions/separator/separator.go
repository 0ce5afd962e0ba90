// Package separator learns which images slow each other down on one worker, and makes the planner keep
// their tasks apart where there is room.
//
// A run is compared only with itself, with and without each neighbour. What makes all its samples slow, such
// as a slow worker, much work or far data, cancels out, so that only neighbours that come, go or are
// throttled are evidence against an image.
package separator

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Verdicts, and parameters of the evidence.
const (
	// Unknown means that the evidence suffices for neither of the others.
	Unknown Verdict = iota
	// Harmless means that the neighbour certainly makes no difference that matters.
	Harmless
	// Disturbs means that the neighbour certainly slows the image down.
	Disturbs

	// maxImages is how many disturbed images are kept, and maxNeighbors how many neighbours of each.
	maxImages    = 32
	maxNeighbors = 16
	// forgetTime is the time constant with which evidence loses its weight, because disturbances change.
	forgetTime = 120 * clock.Second
	// historyDepth is how many samples of a run its present ones are compared with, so that changes of its
	// own load do not count as evidence for long.
	historyDepth = 6
	// maxStep bounds the change of a run's logarithmic slowdown that counts, so that a worker that turns slow
	// does not outweigh all other evidence.
	maxStep = 1.0
	// minEffect is the logarithmic slowdown below which a neighbour is harmless: 5%.
	minEffect = 0.05
	// certainty is how many standard deviations an effect must lie above minEffect to count, and
	// harmlessness how many below.
	certainty, harmlessness = 3.0, 2.0
	// minAmount is the amount of a neighbour below which a history forgets it.
	minAmount = 0.01
	// minWorkers is on how many workers an effect must have been seen to count.
	minWorkers = 3
)

type (
	// Verdict is what is known of a pair of images.
	Verdict int

	// Amounts holds how much of each image runs beside a task: the sum of the speeds of its tasks, 1 for each
	// that is not throttled.
	Amounts map[identifier.Image]float64

	// Sample is one observation of a run.
	Sample struct {
		// Now is the time on the scheduler's own clock.
		Now    clock.Millis
		Worker identifier.Worker
		Image  identifier.Image
		// Slowdown is the logarithm of the time that the run takes per unit of progress, or of its tail
		// latency. Only differences within a run count, so that any unit will do.
		Slowdown float64
		Beside   Amounts
	}

	// History is the recent past of one run. The zero value is a run without a past.
	History struct {
		// count is the number of samples in the means, at most historyDepth.
		count float64
		// slowdown and beside are the means of the samples.
		slowdown float64
		beside   Amounts
	}

	// Pair is what is known of two images.
	Pair struct {
		Disturbed, Disturbing identifier.Image
		// Effect is the expected increase of the logarithmic slowdown for each task of the disturbing image,
		// and Deviation its standard deviation.
		Effect, Deviation float64
		// Contrasts is the number of comparisons with and without the neighbour, in which old ones count less.
		Contrasts float64
		// Workers is on how many workers they were made, at most maxWitnesses.
		Workers int
		Verdict Verdict
	}

	// Separator collects the evidence. It is not safe for concurrent use.
	Separator struct {
		// models holds the model of each disturbed image, at most maxImages.
		models map[identifier.Image]*model
		judge  judge
	}
)

// New returns a separator without evidence.
func New() *Separator {
	return &Separator{models: map[identifier.Image]*model{}, judge: newJudge()}
}

// Observe compares a sample of a run with its history and adds it to the history.
func (se *Separator) Observe(hi *History, sa Sample) {
	if sa.Image == "" {
		return
	}
	mo := se.model(sa.Image, sa.Now)
	mo.forget(sa.Now)
	if hi.count > 0 {
		weight := hi.count / (hi.count + 1)
		step := min(max(sa.Slowdown-hi.slowdown, -maxStep), maxStep)
		mo.add(sa.Worker, weight, step, hi.changes(sa.Beside), sa.Now)
	}
	hi.add(sa)
}

// Mean returns the mean slowdown of the recent samples, and what ran beside on average.
func (hi *History) Mean() (float64, Amounts) { return hi.slowdown, maps.Clone(hi.beside) }

// changes returns the differences of the neighbours from those of the history.
func (hi *History) changes(beside Amounts) Amounts {
	changed := Amounts{}
	for image, amount := range beside {
		if diff := amount - hi.beside[image]; diff != 0 {
			changed[image] = diff
		}
	}
	for image, amount := range hi.beside {
		if _, present := beside[image]; !present && amount != 0 {
			changed[image] = -amount
		}
	}
	return changed
}

func (hi *History) add(sa Sample) {
	if hi.beside == nil {
		hi.beside = Amounts{}
	}
	hi.count = min(hi.count+1, historyDepth)
	hi.slowdown += (sa.Slowdown - hi.slowdown) / hi.count
	for image, diff := range hi.changes(sa.Beside) {
		hi.beside[image] += diff / hi.count
		if math.Abs(hi.beside[image]) < minAmount {
			delete(hi.beside, image)
		}
	}
}

// Pairs returns all pairs of which there is evidence, those with the largest effects first.
func (se *Separator) Pairs() []Pair {
	var pairs []Pair
	for image, mo := range se.models {
		mo.fit()
		for i := range mo.neighbors {
			if pa := mo.pair(i); pa.Contrasts > 0 {
				pa.Disturbed = image
				pairs = append(pairs, pa)
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(b.Effect, a.Effect), cmp.Compare(a.Disturbed, b.Disturbed), cmp.Compare(a.Disturbing, b.Disturbing))
	})
	return pairs
}

// Factor returns how many times as long the disturbed image takes beside a task of the disturbing one,
// given that it does so certainly; otherwise 1.
func (pa Pair) Factor() float64 {
	if pa.Verdict != Disturbs {
		return 1
	}
	return math.Exp(pa.Effect)
}

// certain returns the part of the effect that is hardly in doubt; 0 unless the image certainly disturbs.
func (pa Pair) certain() float64 {
	if pa.Verdict != Disturbs {
		return 0
	}
	return max(pa.Effect-pa.Deviation, 0)
}

// model returns the model of a disturbed image. It replaces the one that was used longest ago if there are
// too many.
func (se *Separator) model(image identifier.Image, now clock.Millis) *model {
	mo := se.models[image]
	if mo != nil {
		return mo
	}
	if len(se.models) >= maxImages {
		delete(se.models, oldest(se.models, func(old *model) clock.Millis { return old.usedAt }))
	}
	mo = &model{usedAt: now}
	se.models[image] = mo
	return mo
}
