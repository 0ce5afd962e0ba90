package separator_test

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Bounds on what is found in generated fleets.
const (
	fleets       = 10
	minPrecision = 0.95
	minRecall    = 0.85
	// maxFalseShare is the share of pairs that may be found where nothing is disturbed.
	maxFalseShare = 0.001
	// minSlowFound is the share of slow workers that must be called slow, maxSlowWrong the share of
	// disturbed or sound workers that may be.
	minSlowFound = 0.8
	maxSlowWrong = 0.05
)

func expectAtLeast(t *testing.T, what string, got, least float64) {
	t.Helper()
	t.Logf("%s: %.3f, at least %.3f", what, got, least)
	if got < least {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, least)
	}
}

func expectAtMost(t *testing.T, what string, got, most float64) {
	t.Helper()
	t.Logf("%s: %.4f, at most %.4f", what, got, most)
	if got > most {
		t.Errorf("%s: %.4f, want at most %.4f", what, got, most)
	}
}

func TestPairs(t *testing.T) {
	t.Run("the pairs that disturb are found, and hardly any others", func(t *testing.T) {
		var right, wrong, missed int
		for seed := range fleets {
			ge := generate(uint64(seed), 24, 8, 0.15)
			ge.play(200 * clock.Second)
			ri, wr, mi := ge.found()
			right, wrong, missed = right+ri, wrong+wr, missed+mi
		}
		expectAtLeast(t, "precision", float64(right)/float64(right+wrong), minPrecision)
		expectAtLeast(t, "recall", float64(right)/float64(right+missed), minRecall)
	})
	t.Run("weak effects in much noise on few workers are missed rather than guessed", func(t *testing.T) {
		var right, wrong, missed int
		for seed := range fleets {
			ge := generate(uint64(seed), 12, 12, 0.15)
			ge.noise, ge.load = 0.2, 0.2
			for names := range ge.truth {
				ge.truth[names] /= 2
			}
			ge.play(120 * clock.Second)
			ri, wr, mi := ge.found()
			right, wrong, missed = right+ri, wrong+wr, missed+mi
		}
		expectAtLeast(t, "precision", float64(right)/float64(right+wrong), minPrecision)
		t.Logf("recall: %.3f, no bound", float64(right)/float64(right+missed))
	})
	t.Run("load that stays for seconds is no evidence against the neighbours", func(t *testing.T) {
		wrong, pairs := 0, 0
		for seed := range fleets {
			ge := generate(uint64(seed), 24, 8, 0)
			ge.load = 0.4
			ge.play(200 * clock.Second)
			_, wr, _ := ge.found()
			wrong, pairs = wrong+wr, pairs+len(ge.images)*len(ge.images)
		}
		expectAtMost(t, "share of false pairs", float64(wrong)/float64(pairs), maxFalseShare)
	})
	t.Run("workers of different speeds, and some that turn slow, are no evidence against their images", func(t *testing.T) {
		wrong, pairs := 0, 0
		for seed := range fleets {
			ge := generate(uint64(seed), 24, 8, 0)
			for range 5 {
				ge.play(40 * clock.Second)
				for _, ho := range ge.hosts[:6] {
					ho.turned = 7.5 - ho.turned // between 1 and 6.5
				}
			}
			_, wr, _ := ge.found()
			wrong, pairs = wrong+wr, pairs+len(ge.images)*len(ge.images)
		}
		expectAtMost(t, "share of false pairs", float64(wrong)/float64(pairs), maxFalseShare)
	})
	t.Run("a neighbour that is always there is no evidence", func(t *testing.T) {
		se := separator.New()
		for worker := range 5 {
			var hi separator.History
			for second := range 20 {
				se.Observe(&hi, separator.Sample{Now: clock.Millis(second) * clock.Second, Worker: workerName(worker), Image: "a", Slowdown: 1, Beside: separator.Amounts{"b": 1}})
			}
		}
		asserter.Equal(t, len(se.Pairs()), 0)
	})
	t.Run("of two neighbours that always come and go together neither is blamed", func(t *testing.T) {
		se := separator.New()
		alternate(se, 6, separator.Amounts{"b": 1, "c": 1}, 0.3)
		for _, pa := range se.Pairs() {
			asserter.Equal(t, pa.Verdict, separator.Unknown)
		}
	})
	t.Run("an effect that was seen on too few workers does not count", func(t *testing.T) {
		se := separator.New()
		alternate(se, 2, separator.Amounts{"b": 1}, 0.5)
		asserter.Equal(t, se.Pairs()[0].Verdict, separator.Unknown)
		alternate(se, 3, separator.Amounts{"b": 1}, 0.5)
		asserter.Equal(t, se.Pairs()[0].Verdict, separator.Disturbs)
	})
	t.Run("a throttled neighbour disturbs less, which is evidence too", func(t *testing.T) {
		se := separator.New()
		for worker := range 4 {
			var hi separator.History
			for second := range 40 {
				speed := float64(second/4%3) / 2
				se.Observe(&hi, separator.Sample{Now: clock.Millis(second) * clock.Second, Worker: workerName(worker), Image: "a", Slowdown: 0.4*speed + jitter(second), Beside: separator.Amounts{"b": speed}})
			}
		}
		asserter.Equal(t, se.Pairs()[0].Verdict, separator.Disturbs)
	})
	t.Run("evidence is forgotten", func(t *testing.T) {
		se := separator.New()
		alternate(se, 4, separator.Amounts{"b": 1}, 0.5)
		var hi separator.History
		for range 2 {
			se.Observe(&hi, separator.Sample{Now: 3600 * clock.Second, Worker: "w9", Image: "a"})
		}
		asserter.Equal(t, se.Pairs()[0].Verdict, separator.Unknown)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		se := separator.New()
		for image := range 200 {
			var hi separator.History
			for other := range 200 {
				beside := separator.Amounts{identifier.Image(fmt.Sprintf("n%d", other)): 1}
				se.Observe(&hi, separator.Sample{Now: clock.Millis(image*200 + other), Worker: "w", Image: identifier.Image(fmt.Sprintf("i%d", image)), Beside: beside})
			}
		}
		expectAtMost(t, "pairs", float64(len(se.Pairs())), 32*16)
	})
}

func TestJudgments(t *testing.T) {
	t.Run("a slow worker and a worker whose tasks disturb each other are told apart", func(t *testing.T) {
		var slow, slowFound, others, othersSlow, disturbed, disturbedFound int
		for seed := range fleets {
			ge := generate(uint64(seed), 24, 4, 0)
			ge.truth = disturbances{{A: "image0", B: "image1"}: 0.5, {A: "image1", B: "image0"}: 0.5}
			for i, ho := range ge.hosts {
				ho.speed = 1
				switch {
				case i < 4:
					ho.speed = 0.5
				case i < 10:
					ho.only = []identifier.Image{"image0", "image1"}
				}
			}
			ge.play(200 * clock.Second)
			for _, ju := range ge.se.Judgments() {
				switch {
				case ju.Worker < "w004":
					slow++
					slowFound += count(ju.Cause == separator.SlowWorker)
				case ju.Worker < "w010":
					disturbed++
					disturbedFound += count(ju.Cause == separator.Neighbors)
					fallthrough
				default:
					others++
					othersSlow += count(ju.Cause == separator.SlowWorker)
				}
			}
		}
		expectAtLeast(t, "slow workers called slow", float64(slowFound)/float64(slow), minSlowFound)
		expectAtMost(t, "other workers called slow", float64(othersSlow)/float64(others), maxSlowWrong)
		expectAtLeast(t, "disturbed workers called disturbed", float64(disturbedFound)/float64(disturbed), minSlowFound)
	})
}

// alternate lets an image run with and without neighbours by turns on several workers.
func alternate(se *separator.Separator, workers int, beside separator.Amounts, effect float64) {
	for worker := range workers {
		var hi separator.History
		for second := range 40 {
			sa := separator.Sample{Now: clock.Millis(second) * clock.Second, Worker: workerName(worker), Image: "a", Slowdown: jitter(second), Beside: separator.Amounts{}}
			if second/4%2 == 1 {
				sa.Slowdown, sa.Beside = effect+jitter(second), beside
			}
			se.Observe(&hi, sa)
		}
	}
}

// jitter is noise of 5% that repeats.
func jitter(at int) float64 { return 0.05 * float64(at*7%5-2) / 2 }

func workerName(number int) identifier.Worker {
	return identifier.Worker(fmt.Sprintf("w%d", number))
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
