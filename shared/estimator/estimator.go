// Package estimator corrects declared run times by what work of the same workspace and
// kind took before.
package estimator

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	learningRate  = 0.1  // least weight of the newest observation
	largestRatio  = 20.0 // observations beyond it, or below its inverse, are cut
	trustedAfter  = 3    // observations before what was learned is used in full
	mostHistories = 4096 // kinds remembered; the rest go by their declared time
	leastVariance = 0.01 // keeps weights finite
)

type (
	// Kind is what run times are learned for.
	Kind struct {
		Workspace identifier.Workspace
		Name      string
	}

	// Estimator keeps a history for each kind. It is not safe for concurrent use; its
	// owner guards it.
	Estimator struct {
		// histories never holds more than mostHistories entries.
		histories map[Kind]history
	}

	history struct {
		// ratio follows the logarithm of real over declared time.
		ratio moments
		// took follows the logarithm of the real time in milliseconds.
		took moments
		// count is the number of observations.
		count int
	}

	// moments are a moving mean and variance.
	moments struct{ mean, variance float64 }
)

// New returns an estimator that has seen nothing.
func New() *Estimator { return &Estimator{histories: map[Kind]history{}} }

// Learn records that work declared to take one time took another.
func (es *Estimator) Learn(ki Kind, declared, took clock.Millis) {
	hi, known := es.histories[ki]
	if !known && len(es.histories) >= mostHistories {
		return
	}
	ratio := float64(max(took, 1)) / float64(max(declared, 1))
	ratio = min(max(ratio, 1/largestRatio), largestRatio)
	rate := max(learningRate, 1/float64(hi.count+1))
	hi.ratio.follow(math.Log(ratio), rate)
	hi.took.follow(math.Log(float64(max(took, 1))), rate)
	hi.count++
	es.histories[ki] = hi
}

func (mo *moments) follow(seen, rate float64) {
	off := seen - mo.mean
	mo.mean += rate * off
	mo.variance = (1 - rate) * (mo.variance + rate*off*off)
}

// Expect returns the expected run time of work that is declared to take a time, at least
// one millisecond. Of the corrected declaration and the usual time of the kind, the one
// that has varied less weighs more.
func (es *Estimator) Expect(ki Kind, declared clock.Millis) clock.Millis {
	hi := es.histories[ki]
	said := math.Log(float64(max(declared, 1)))
	byRatio := 1 / max(hi.ratio.variance, leastVariance)
	byKind := 1 / max(hi.took.variance, leastVariance)
	learned := ((said+hi.ratio.mean)*byRatio + hi.took.mean*byKind) / (byRatio + byKind)
	trust := min(float64(hi.count)/trustedAfter, 1)
	return max(clock.Millis(math.Round(math.Exp(said+trust*(learned-said)))), 1)
}
