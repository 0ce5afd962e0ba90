package separator

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// unknownRunTime stands for a run time of which nothing is known.
	unknownRunTime = 5 * clock.Second
	// LastingRunTime stands for the rest of a task that runs until it is cancelled.
	LastingRunTime = 60 * clock.Second
	// maxMillis bounds the cost of a place, so that a worker that fails runs stays the worse choice.
	maxMillis = 8192.0
	// apartMillis is the cost of a place beside an image from which an operator wants it kept apart.
	apartMillis = 6144.0
)

var _ planner.Cost = (*Separation)(nil)

type (
	// ImagePair names two images.
	ImagePair struct{ A, B identifier.Image }

	// Names holds the pairs that operators have named, in any order of the two images.
	Names struct {
		// Apart are kept apart where there is room, whatever is measured.
		Apart []ImagePair
		// Ignored are treated as harmless, whatever is measured.
		Ignored []ImagePair
	}

	// RunTime returns the expected run time of a task of a step, or 0 if nothing is known.
	RunTime func(jo *workload.Job, step *workload.Step) clock.Millis

	// Separation is what is known of all pairs at one time, for the planner. It never changes.
	Separation struct {
		// effects holds, for each disturbed image, the certain logarithmic slowdown by each disturbing one.
		effects map[identifier.Image]map[identifier.Image]float64
		// harmless holds the pairs that certainly make no difference.
		harmless map[ImagePair]bool
		// apart and ignored hold the named pairs in both orders.
		apart, ignored map[ImagePair]bool
		runTime        RunTime
	}
)

// Separation returns what is known of all pairs, or nil if nothing is known that would change a plan.
func (se *Separator) Separation(na Names, runTime RunTime) *Separation {
	sn := &Separation{effects: map[identifier.Image]map[identifier.Image]float64{}, harmless: map[ImagePair]bool{}, apart: bothOrders(na.Apart), ignored: bothOrders(na.Ignored), runTime: runTime}
	for _, pa := range se.Pairs() {
		names := ImagePair{pa.Disturbed, pa.Disturbing}
		switch {
		case pa.Verdict == Harmless:
			sn.harmless[names] = true
		case pa.Verdict == Disturbs && !sn.ignored[names]:
			if sn.effects[pa.Disturbed] == nil {
				sn.effects[pa.Disturbed] = map[identifier.Image]float64{}
			}
			sn.effects[pa.Disturbed][pa.Disturbing] = pa.certain()
		}
	}
	if len(sn.effects)+len(sn.apart) == 0 {
		return nil
	}
	return sn
}

func bothOrders(pairs []ImagePair) map[ImagePair]bool {
	both := make(map[ImagePair]bool, 2*len(pairs))
	for _, pa := range pairs {
		both[pa], both[ImagePair{pa.B, pa.A}] = true, true
	}
	return both
}

// Millis answers tasks that slow each other down: it is how much longer the task and those beside it are
// expected to take.
func (sn *Separation) Millis(pl planner.Place) float64 {
	step := pl.Job.StepOf(pl.Stage)
	image := identifier.Image(step.Image)
	if image == "" {
		return 0
	}
	millis := 0.0
	for _, oc := range pl.Occupants {
		if other := identifier.Image(oc.Image); other != "" {
			if sn.apart[ImagePair{image, other}] {
				millis += apartMillis
			}
			// The run time of the other is not known by its job here.
			millis += sn.mutual(image, other, sn.expected(pl.Job, step), sn.expected(nil, oc))
		}
	}
	return min(millis, maxMillis)
}

// mutual returns how much longer two tasks take because they run side by side until the first of them ends.
func (sn *Separation) mutual(one, other identifier.Image, oneLeft, otherLeft clock.Millis) float64 {
	together := float64(min(oneLeft, otherLeft))
	return together * (math.Expm1(sn.effects[one][other]) + math.Expm1(sn.effects[other][one]))
}

func (sn *Separation) expected(jo *workload.Job, step *workload.Step) clock.Millis {
	if step.LongRunning {
		return LastingRunTime
	}
	if jo != nil && sn.runTime != nil {
		if ran := sn.runTime(jo, step); ran > 0 {
			return ran
		}
	}
	if step.Estimate > 0 {
		return step.Estimate
	}
	return unknownRunTime
}

// Disturbs reports whether one image certainly disturbs another.
func (sn *Separation) Disturbs(disturbing, disturbed identifier.Image) bool {
	return sn != nil && sn.effects[disturbed][disturbing] > 0
}

// Harmless reports whether one image certainly does not disturb another.
func (sn *Separation) Harmless(disturbing, disturbed identifier.Image) bool {
	return sn != nil && sn.harmless[ImagePair{disturbed, disturbing}]
}
