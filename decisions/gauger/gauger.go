// Package gauger estimates how fast each worker runs tasks, from finished runs and from the progress of runs
// that go on. Workers are compared by runs of the same step, and by what runs of its queue and image
// usually take.
package gauger

import (
	"math"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// maxSamples is the number of runs that are kept for each worker.
	maxSamples = 12
	// spread is the standard deviation of the logarithm of the factors of workers of which nothing is known.
	spread = 0.35
	// minEffect is the logarithm of the smallest factor that differs from 1; it is below what lets an
	// objective of one and a half times the run time be missed.
	minEffect = 0.1
	// minElapsed and minPercent are the time and the progress from which on a run shows a speed.
	minElapsed = 250 * clock.Millis(1)
	minPercent = 4
	// startError is the standard deviation of the time at which a run is known to have begun.
	startError = 40.0
	// turnRatio is the change of a run's pace from which on its worker counts as turned.
	turnRatio = 1.6
	// minTurnTime is the time over which a change of pace is looked for.
	minTurnTime = 300 * clock.Millis(1)
	// turnValidity is how long a worker that has turned is taken to stay so without further runs.
	turnValidity = 8 * clock.Second
	// disagreement is how many standard deviations two new runs differ from the earlier ones if the
	// worker has turned between them.
	disagreement = 4.0
	// minContradicted is the number of earlier runs that it takes to contradict them.
	minContradicted = 3
	// maxUncertainty is the variance of a step's usual run time up to which its runs are compared with what
	// their workers let expect.
	maxUncertainty = spread * spread / 2
)

var (
	// unknown is what is assumed of a worker of which nothing is known, and turned of one that has turned.
	unknown = belief{variance: spread * spread}
	turned  = belief{variance: 4}
)

type (
	// Run is a run in progress, or one that is done.
	Run struct {
		Task   workload.TaskKey
		Number meter.RunNumber
		Queue  identifier.Queue
		Image  string
		// Estimate is the caller's estimate of the run time; 0 means unknown.
		Estimate    clock.Millis
		Worker      identifier.Worker
		Incarnation workload.Incarnation
		// Percent is the progress since the start. It is 100 if the run is done; a member of a gang that
		// waits for the others shows nothing at 100.
		Percent meter.Percent
		// Elapsed is the time since the start.
		Elapsed clock.Millis
		// Done means that the run has ended and took Elapsed.
		Done bool
	}

	// Gauge is what is known of the speed of a worker.
	Gauge struct {
		// Factor multiplies run times; 1 is normal.
		Factor float64
		// Deviation is the standard deviation of the logarithm of the factor.
		Deviation float64
		// Runs is the number of runs on which the factor rests, and At is when the last of them was reported.
		Runs int
		At   clock.Millis
	}

	// Gauger knows the speeds of the workers. It is not safe for concurrent use.
	Gauger struct {
		workers map[identifier.Worker]*record
		kinds   *kinds
		// evidence decides whether workers differ at all.
		evidence evidence
		// remembered is what a former gauger knew.
		remembered map[Mark]belief
		// level is what the factors of all workers have in common.
		level level
	}

	// record is what is known of one incarnation of a worker.
	record struct {
		incarnation workload.Incarnation
		// samples holds at most maxSamples runs, the oldest first.
		samples []sample
		// known is the estimate from the samples and prior, and prior what is assumed without them.
		known, prior belief
		at           clock.Millis
		// usual is what was known before the worker turned. It is known again at turnedUntil, which is 0 if the
		// worker has not turned.
		usual       belief
		turnedUntil clock.Millis
		// counted is the part of the level that the worker makes up, if it counts.
		counted float64
		counts  bool
	}

	// belief is the mean and the variance of the logarithm of a factor.
	belief struct{ mean, variance float64 }

	// sample is the measurement of a worker by one run.
	sample struct {
		step *step
		task workload.TaskKey
		run  meter.RunNumber
		// total is the logarithm of the run time, and variance the variance of its measurement.
		total, variance float64
		// residual and precision are what the run has contributed to its step.
		residual, precision float64
		// percent and elapsed are the progress that the run had last.
		percent meter.Percent
		elapsed clock.Millis
	}
)

// New returns a gauger that knows nothing.
func New() *Gauger {
	return &Gauger{workers: map[identifier.Worker]*record{}, kinds: newKinds()}
}

// Record takes in a run. It must be a run that nothing has slowed down but its worker: neither throttled,
// disturbed, resumed, far from its data or its gang, nor failed.
func (ga *Gauger) Record(ru Run, now clock.Millis) {
	if !ru.Done && (ru.Percent < minPercent || ru.Percent >= 100 || ru.Elapsed < minElapsed) || ru.Elapsed <= 0 {
		return
	}
	re := ga.record(ru)
	// The step of a run that is known is kept, also when so many other steps have come that it is forgotten.
	if i := re.find(ru); i >= 0 {
		ga.refine(re, i, measured(ru, re.samples[i].step), now)
		return
	}
	ga.add(re, measured(ru, ga.kinds.step(ru)), now)
}

// record returns the record of the worker of a run. Another incarnation may be of another kind.
func (ga *Gauger) record(ru Run) *record {
	re := ga.workers[ru.Worker]
	if re == nil || re.incarnation != ru.Incarnation {
		ga.Forget(ru.Worker)
		assumed, _ := ga.before(ru.Worker, ru.Incarnation)
		re = &record{incarnation: ru.Incarnation, known: assumed, prior: assumed}
		ga.workers[ru.Worker] = re
	}
	return re
}

// measured returns the sample of a run. A percentage is rounded down.
func measured(ru Run, st *step) sample {
	sa := sample{step: st, task: ru.Task, run: ru.Number, percent: ru.Percent, elapsed: ru.Elapsed}
	begun := startError / float64(ru.Elapsed)
	if ru.Done {
		sa.total, sa.variance = math.Log(float64(ru.Elapsed)), begun*begun
		return sa
	}
	part := float64(ru.Percent) + 0.5
	rounding := 0.3 / part
	sa.total, sa.variance = math.Log(float64(ru.Elapsed)*100/part), begun*begun+rounding*rounding
	return sa
}

// find returns the index of the sample of a run, or -1.
func (re *record) find(ru Run) int {
	for i := range re.samples {
		if sa := &re.samples[i]; sa.task == ru.Task && sa.run == ru.Number {
			return i
		}
	}
	return -1
}

// add takes in a run of which nothing was known.
func (ga *Gauger) add(re *record, sa sample, now clock.Millis) {
	ga.kinds.note(sa.step)
	if re.turnedUntil > 0 && now >= re.turnedUntil {
		re.samples = re.samples[:0]
		re.regain()
	}
	ga.evidence.add(&sa, re.known.mean)
	if len(re.samples) > 0 {
		if expected, variance := sa.step.expected(sa); variance < maxUncertainty {
			sa.step.kind.noteError(sa.total-expected-re.known.mean, re.known.variance+variance+sa.noise())
		}
	}
	sa.contribute(re.known)
	if len(re.samples) == maxSamples {
		re.samples = append(re.samples[:0], re.samples[1:]...)
	}
	re.samples = append(re.samples, sa)
	re.dropContradicted(now)
	ga.update(re, now)
}

// refine replaces the sample of a run by a newer one.
func (ga *Gauger) refine(re *record, i int, sa sample, now clock.Millis) {
	old := &re.samples[i]
	if total, turned := turnedPace(old, &sa); turned {
		ga.turn(re, i, total, sa, now)
		return
	}
	old.withdraw()
	sa.contribute(re.without(i))
	// The pace is compared with that of a while ago, so that a slow change is seen too.
	if sa.elapsed-old.elapsed < minTurnTime {
		sa.percent, sa.elapsed = old.percent, old.elapsed
	}
	re.samples[i] = sa
	ga.update(re, now)
}

// turnedPace returns the run time at the pace since a run was last seen, if that is certainly another
// pace than before.
func turnedPace(old, sa *sample) (total float64, turned bool) {
	passed, before := float64(sa.elapsed-old.elapsed), float64(old.elapsed)
	if sa.elapsed-old.elapsed < minTurnTime || old.percent < minPercent || sa.percent >= 100 {
		return 0, false
	}
	done := float64(sa.percent - old.percent)
	part := float64(old.percent)
	slower := passed/(done+1) > turnRatio*before/part
	faster := done > 1 && passed/(done-1) < before/(part+1)/turnRatio
	return math.Log(passed * 100 / max(done, 0.5)), slower || faster
}

// turn drops the samples of a worker from before its pace changed under a run. Its usual speed is kept for the
// time when no more runs show the change.
func (ga *Gauger) turn(re *record, i int, total float64, sa sample, now clock.Millis) {
	factor := re.known.mean + total - re.samples[i].total
	re.leaveUsual(now)
	for j := range re.samples {
		re.samples[j].withdraw()
	}
	re.samples = re.samples[:0]
	// The run itself is no longer a measure of its step, but its pace is one of the worker.
	expected, _ := sa.step.expected(sample{})
	sa.total, sa.variance = expected+factor, 0
	re.samples = append(re.samples, sa)
	ga.update(re, now)
}

// leaveUsual notes that the worker has turned, so that what was known of it holds no longer.
func (re *record) leaveUsual(now clock.Millis) {
	if re.turnedUntil == 0 {
		re.usual = re.known
	}
	re.prior, re.turnedUntil = turned, now+turnValidity
}

// regain takes the worker for usual again. Of the runs, the last one says so too.
func (re *record) regain() {
	if last := len(re.samples) - 1; last > 0 {
		re.samples = append(re.samples[:0], re.samples[last])
	}
	re.prior, re.turnedUntil = re.usual, 0
	re.known = estimate(re.prior, re.samples)
}

// dropContradicted forgets earlier runs if the last two agree with each other and not with these.
func (re *record) dropContradicted(now clock.Millis) {
	last := len(re.samples) - 1
	if last < minContradicted {
		return
	}
	before := estimate(re.prior, re.samples[:last-1])
	limit := math.Log(turnRatio)
	high, low := math.Inf(-1), math.Inf(1)
	for _, sa := range re.samples[last-1:] {
		value, variance := sa.factor()
		limit = max(limit, disagreement*math.Sqrt(before.variance+variance))
		high, low = max(high, value-before.mean), min(low, value-before.mean)
	}
	if low < limit && high > -limit {
		return
	}
	re.leaveUsual(now)
	re.samples = append(re.samples[:0], re.samples[last-1:]...)
}

// update works out again what is known of a worker.
func (ga *Gauger) update(re *record, now clock.Millis) {
	ga.level.remove(re)
	defer ga.level.add(re)
	re.known, re.at = estimate(re.prior, re.samples), now
	switch {
	case re.turnedUntil == 0:
	case math.Abs(re.known.mean-re.usual.mean) < math.Log(turnRatio)/2:
		re.regain()
	case len(re.samples) == maxSamples:
		re.turnedUntil = 0 // it has stayed so for long
	default:
		re.turnedUntil = now + turnValidity
	}
}

// without returns what is known of a worker without one of its samples.
func (re *record) without(i int) belief {
	var others [maxSamples]sample
	rest := append(others[:0], re.samples[:i]...)
	return estimate(re.prior, append(rest, re.samples[i+1:]...))
}

// Gauge returns what is known of a worker. The factor is 1 as long as nothing shows that workers differ.
func (ga *Gauger) Gauge(id identifier.Worker, incarnation workload.Incarnation, now clock.Millis) Gauge {
	re := ga.workers[id]
	if re == nil || re.incarnation != incarnation || re.at == 0 {
		return ga.untold(id, incarnation)
	}
	known, hasTurned := re.known, re.turnedUntil > now
	if re.turnedUntil > 0 && !hasTurned {
		known = re.usual
	}
	out := Gauge{Factor: 1, Deviation: math.Sqrt(known.variance), Runs: len(re.samples), At: re.at}
	effect := known.mean - ga.level.mean()
	if math.Abs(effect) >= minEffect && (hasTurned || ga.evidence.differ()) {
		out.Factor = math.Exp(effect)
	}
	return out
}

// untold returns what is known of a worker without samples.
func (ga *Gauger) untold(id identifier.Worker, incarnation workload.Incarnation) Gauge {
	assumed, known := ga.before(id, incarnation)
	if !known {
		return Gauge{Factor: 1, Deviation: ga.level.deviation()}
	}
	out := Gauge{Factor: 1, Deviation: math.Sqrt(assumed.variance)}
	if math.Abs(assumed.mean) >= minEffect && ga.evidence.differ() {
		out.Factor = math.Exp(assumed.mean)
	}
	return out
}

// Uneven reports whether workers certainly differ.
func (ga *Gauger) Uneven() bool { return ga.evidence.differ() }

// Forget forgets a worker.
func (ga *Gauger) Forget(id identifier.Worker) {
	if re := ga.workers[id]; re != nil {
		ga.level.remove(re)
		delete(ga.workers, id)
	}
}
