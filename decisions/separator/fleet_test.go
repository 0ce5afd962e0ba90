package separator_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// tick is the time between two polls of a worker.
	tick = 500 * clock.Millis(1)
	// slots is the number of runs of a worker.
	slots = 4
)

type (
	// disturbances holds the true logarithmic slowdown of the first image by the second.
	disturbances map[separator.ImagePair]float64

	// generated is a fleet in which runs slow each other down by known amounts.
	generated struct {
		rnd    *rand.Rand
		now    clock.Millis
		se     *separator.Separator
		truth  disturbances
		images []identifier.Image
		hosts  []*host
		// noise is the standard deviation of the logarithmic pace from tick to tick, and load that of what
		// stays for seconds.
		noise, load float64
	}

	host struct {
		id identifier.Worker
		// speed is the worker's own speed, and turned the factor by which it is slower since it turned slow.
		speed, turned float64
		runs          []*run
		// only restricts the images that run here; nil allows all.
		only []identifier.Image
	}

	run struct {
		image identifier.Image
		// work and done are in milliseconds on a worker of speed 1 that is not disturbed.
		work, done float64
		// load is the logarithmic slowdown by what stays for seconds.
		load    float64
		history separator.History
		// seen and seenAt are the progress at the last poll at which the neighbours were the same.
		seen   int
		seenAt clock.Millis
		beside separator.Amounts
		// paced means that the pace of the run has been compared with what was expected.
		paced bool
	}
)

// generate returns a fleet with random disturbances between images.
func generate(seed uint64, hosts, images int, share float64) *generated {
	ge := &generated{rnd: rand.New(rand.NewPCG(seed, 40)), se: separator.New(), truth: disturbances{}, noise: 0.1}
	for i := range images {
		ge.images = append(ge.images, identifier.Image(fmt.Sprintf("image%d", i)))
	}
	for _, one := range ge.images {
		for _, other := range ge.images {
			if ge.rnd.Float64() < share {
				ge.truth[separator.ImagePair{A: one, B: other}] = math.Log(1.3 + 0.7*ge.rnd.Float64())
			}
		}
	}
	for i := range hosts {
		ge.hosts = append(ge.hosts, &host{id: identifier.Worker(fmt.Sprintf("w%03d", i)), speed: 0.5 + 1.2*ge.rnd.Float64(), turned: 1})
	}
	return ge
}

// play lets the fleet work and be polled for a time.
func (ge *generated) play(duration clock.Millis) {
	for end := ge.now + duration; ge.now < end; ge.now += tick {
		for _, ho := range ge.hosts {
			ge.step(ho)
		}
	}
}

func (ge *generated) step(ho *host) {
	allowed := ge.images
	if ho.only != nil {
		allowed = ho.only
	}
	for len(ho.runs) < slots && ge.rnd.Float64() < 0.4 {
		ho.runs = append(ho.runs, &run{image: allowed[ge.rnd.IntN(len(allowed))], work: 3000 + 9000*ge.rnd.Float64(), seenAt: ge.now})
	}
	ge.work(ho)
}

// work lets the runs of a worker make progress for a tick, and ends those that are done.
func (ge *generated) work(ho *host) {
	for _, ru := range ho.runs {
		beside := ho.beside(ru)
		if !equal(beside, ru.beside) {
			ru.seen, ru.seenAt, ru.beside = ru.progress(), ge.now, beside
		}
		noise := math.Exp(ge.noise*ge.rnd.NormFloat64() - ru.load)
		ru.load = 0.9*ru.load + 0.44*ge.load*ge.rnd.NormFloat64()
		ru.done += float64(tick) * ho.speed / ho.turned * noise / math.Exp(ge.slowdown(ru, beside))
	}
	left := ho.runs[:0]
	for _, ru := range ho.runs {
		ge.observe(ho, ru)
		if ru.done < ru.work {
			left = append(left, ru)
		}
	}
	ho.runs = left
}

func (ru *run) progress() int { return min(int(100*ru.done/ru.work), 100) }

// observe is what a poll tells, with progress in whole percent.
func (ge *generated) observe(ho *host, ru *run) {
	now, progress := ge.now+tick, ru.progress()
	if progress-ru.seen < 5 {
		return
	}
	took := math.Log(float64(now-ru.seenAt) / float64(progress-ru.seen))
	ge.se.Observe(&ru.history, separator.Sample{Now: now, Worker: ho.id, Image: ru.image, Slowdown: took, Beside: ru.beside})
	if progress >= 50 && !ru.paced {
		ru.paced = true
		mean, beside := ru.history.Mean()
		expected := ru.work * math.Exp(0.3*ge.rnd.NormFloat64())
		ge.se.ObservePace(separator.Pace{Now: now, Worker: ho.id, Image: ru.image, Slowdown: mean - math.Log(expected/100), Beside: beside})
	}
	ru.seen, ru.seenAt = progress, now
}

// slowdown returns the true logarithmic slowdown of a run.
func (ge *generated) slowdown(ru *run, beside separator.Amounts) float64 {
	sum := 0.0
	for image, amount := range beside {
		sum += amount * ge.truth[separator.ImagePair{A: ru.image, B: image}]
	}
	return sum
}

func (ho *host) beside(ru *run) separator.Amounts {
	amounts := separator.Amounts{}
	for _, other := range ho.runs {
		if other != ru {
			amounts[other.image]++
		}
	}
	return amounts
}

func equal(a, b separator.Amounts) bool {
	if len(a) != len(b) {
		return false
	}
	for image, amount := range a {
		if b[image] != amount {
			return false
		}
	}
	return true
}

// found counts the pairs that are found rightly and wrongly, and those that are missed.
func (ge *generated) found() (right, wrong, missed int) {
	known := map[separator.ImagePair]bool{}
	for _, pa := range ge.se.Pairs() {
		if pa.Verdict != separator.Disturbs {
			continue
		}
		names := separator.ImagePair{A: pa.Disturbed, B: pa.Disturbing}
		known[names] = true
		if ge.truth[names] > 0 {
			right++
		} else {
			wrong++
		}
	}
	for names := range ge.truth {
		if !known[names] {
			missed++
		}
	}
	return right, wrong, missed
}
