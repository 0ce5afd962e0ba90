// Package estimator corrects declared run times by what work of the same workspace and
// kind took before.
package estimator

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	learningRate  = 0.2  // weight of the newest observation
	largestRatio  = 20.0 // observations beyond it, or below its inverse, are cut
	trustedAfter  = 3    // observations before the learned ratio is used in full
	mostHistories = 4096 // kinds remembered; the rest go by their declared time
)

type (
	// Kind is what run times are learned for.
	Kind struct {
		Workspace identifier.Workspace
		Name      string
	}

	// Estimator keeps the ratio of real to declared run time for each kind. It is not
	// safe for concurrent use; its owner guards it.
	Estimator struct {
		// histories never holds more than mostHistories entries.
		histories map[Kind]history
	}

	history struct {
		// logRatio is the moving mean of the logarithm of real over declared time.
		logRatio float64
		// count is the number of observations.
		count int
	}
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
	seen := math.Log(min(max(ratio, 1/largestRatio), largestRatio))
	rate := max(learningRate, 1/float64(hi.count+1))
	hi.logRatio += rate * (seen - hi.logRatio)
	hi.count++
	es.histories[ki] = hi
}

// Expect returns the expected run time of work that is declared to take a time, at least
// one millisecond.
func (es *Estimator) Expect(ki Kind, declared clock.Millis) clock.Millis {
	hi := es.histories[ki]
	trust := min(float64(hi.count)/trustedAfter, 1)
	return max(clock.Millis(float64(declared)*math.Exp(trust*hi.logRatio)), 1)
}
