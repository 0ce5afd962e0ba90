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

	// pairCost is the cost of two tasks side by side.
	pairCost struct {
		// share is the part of the time together that both lose, and fixed what is lost besides, in
		// milliseconds.
		share, fixed float64
	}

	// Separation is what is known of all pairs at one time, for the planner. It never changes.
	Separation struct {
		// disturbs holds the pairs of a disturbed and a disturbing image that are not ignored, and costs those
		// of all pairs, in both orders, that cost anything.
		disturbs map[ImagePair]bool
		costs    map[ImagePair]pairCost
		// harmless holds the pairs that certainly make no difference.
		harmless map[ImagePair]bool
		// involved holds the images of costs.
		involved map[identifier.Image]bool
		runTime  RunTime
	}
)

// Separation returns what is known of all pairs, or nil if nothing is known that would change a plan.
func (se *Separator) Separation(na Names, runTime RunTime) *Separation {
	sn := &Separation{disturbs: map[ImagePair]bool{}, costs: map[ImagePair]pairCost{}, harmless: map[ImagePair]bool{}, involved: map[identifier.Image]bool{}, runTime: runTime}
	ignored := bothOrders(na.Ignored)
	for _, pa := range se.Pairs() {
		names := ImagePair{pa.Disturbed, pa.Disturbing}
		switch {
		case pa.Verdict == Harmless:
			sn.harmless[names] = true
		case pa.Verdict == Disturbs && !ignored[names]:
			sn.disturbs[names] = true
			sn.add(names, pairCost{share: math.Expm1(pa.certain())})
		}
	}
	for names := range bothOrders(na.Apart) {
		sn.add(names, pairCost{fixed: apartMillis / 2})
	}
	if len(sn.costs) == 0 {
		return nil
	}
	return sn
}

// add adds to the cost of a pair in both orders.
func (sn *Separation) add(names ImagePair, cost pairCost) {
	orders := []ImagePair{names, {names.B, names.A}}
	if names.A == names.B {
		orders = orders[:1]
		cost.share *= 2 // each of the two disturbs the other
		cost.fixed *= 2
	}
	for _, na := range orders {
		sum := sn.costs[na]
		sn.costs[na] = pairCost{share: sum.share + cost.share, fixed: sum.fixed + cost.fixed}
		sn.involved[na.A] = true
	}
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
	if !sn.involved[image] || len(pl.Occupants) == 0 {
		return 0
	}
	millis, expected := 0.0, sn.expected(pl.Job, step)
	for _, oc := range pl.Occupants {
		other := identifier.Image(oc.Image)
		if !sn.involved[other] {
			continue
		}
		if cost, known := sn.costs[ImagePair{image, other}]; known {
			// The run time of the other is not known by its job here.
			millis += cost.fixed + cost.share*float64(min(expected, sn.expected(nil, oc)))
		}
	}
	return min(millis, maxMillis)
}

// mutual returns how much longer two tasks take because they run side by side until the first of them ends.
func (sn *Separation) mutual(one, other identifier.Image, oneLeft, otherLeft clock.Millis) float64 {
	return sn.costs[ImagePair{one, other}].share * float64(min(oneLeft, otherLeft))
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
	return sn != nil && sn.disturbs[ImagePair{disturbed, disturbing}]
}

// Harmless reports whether one image certainly does not disturb another.
func (sn *Separation) Harmless(disturbing, disturbed identifier.Image) bool {
	return sn != nil && sn.harmless[ImagePair{disturbed, disturbing}]
}
