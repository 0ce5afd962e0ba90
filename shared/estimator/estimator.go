// Package estimator corrects declared run times from the measured run times of earlier work
// of the same workspace and kind.
package estimator

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	minLearningRate = 0.1  // minimum weight of the newest observation
	maxRatio        = 20.0 // ratios of measured to declared time are clamped to [1/maxRatio, maxRatio]
	fullTrustCount  = 3    // number of observations from which the learned estimate is used in full
	maxHistories    = 4096 // kinds with a history; all other kinds use their declared time
	minVariance     = 0.01 // lower bound that keeps the inverse-variance weights finite
)

type (
	// Kind identifies work with a common run-time history.
	Kind struct {
		Workspace identifier.Workspace
		Name      string
	}

	// Estimator keeps a run-time history for each kind. It is not safe for concurrent
	// use; the caller must serialize access.
	Estimator struct {
		// histories has at most maxHistories entries.
		histories map[Kind]history
	}

	history struct {
		// logRatio tracks the logarithm of the ratio of measured to declared time.
		logRatio moments
		// logDuration tracks the logarithm of the measured time in milliseconds.
		logDuration moments
		// count is the number of observations.
		count int
	}

	// moments holds an exponentially weighted mean and variance.
	moments struct{ mean, variance float64 }
)

// New returns an estimator without history.
func New() *Estimator { return &Estimator{histories: map[Kind]history{}} }

// Record records the declared and the measured run time of completed work.
func (es *Estimator) Record(ki Kind, declared, measured clock.Millis) {
	hi, known := es.histories[ki]
	if !known && len(es.histories) >= maxHistories {
		return
	}
	ratio := float64(max(measured, 1)) / float64(max(declared, 1))
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	rate := max(minLearningRate, 1/float64(hi.count+1))
	hi.logRatio.update(math.Log(ratio), rate)
	hi.logDuration.update(math.Log(float64(max(measured, 1))), rate)
	hi.count++
	es.histories[ki] = hi
}

func (mo *moments) update(value, rate float64) {
	delta := value - mo.mean
	mo.mean += rate * delta
	mo.variance = (1 - rate) * (mo.variance + rate*delta*delta)
}

// Estimate returns the expected run time for a declared run time, at least one millisecond.
// It combines the corrected declared time and the mean measured time of the kind, each
// weighted by its inverse variance.
func (es *Estimator) Estimate(ki Kind, declared clock.Millis) clock.Millis {
	hi := es.histories[ki]
	logDeclared := math.Log(float64(max(declared, 1)))
	ratioWeight := 1 / max(hi.logRatio.variance, minVariance)
	durationWeight := 1 / max(hi.logDuration.variance, minVariance)
	estimate := ((logDeclared+hi.logRatio.mean)*ratioWeight + hi.logDuration.mean*durationWeight) / (ratioWeight + durationWeight)
	trust := min(float64(hi.count)/fullTrustCount, 1)
	return max(clock.Millis(math.Round(math.Exp(logDeclared+trust*(estimate-logDeclared)))), 1)
}
