package gauger_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// tight is the logarithm of an objective of one and a half times the run time: errors of up to half of it
// leave a worker that meets it apart from one that does not.
const tight = 0.405

// plant is a fleet of workers with given factors, and the work that it runs.
type plant struct {
	random  *rand.Rand
	factors []float64
	// jobSpread, estimateError and taskSpread are standard deviations of the logarithms of the run times of
	// jobs, of the callers' estimates, and of the tasks of a job.
	jobSpread, estimateError, taskSpread float64
	gauger                               *gauger.Gauger
	now                                  clock.Millis
	jobs                                 int
}

func newPlant(seed uint64, factors ...float64) *plant {
	return &plant{random: rand.New(rand.NewPCG(seed, 3)), factors: factors, jobSpread: 0.5, estimateError: 0.2, taskSpread: 0.15, gauger: gauger.New()}
}

// evenly returns count factors that repeat the given ones.
func evenly(count int, of ...float64) []float64 {
	factors := make([]float64, count)
	for i := range factors {
		factors[i] = of[i%len(of)]
	}
	return factors
}

func workerID(i int) identifier.Worker { return identifier.Worker(fmt.Sprintf("w%d", i)) }

// job runs a job on so many workers, drawn at random, each task on one.
func (pl *plant) job(width int) {
	pl.jobs++
	work := 2000 * math.Exp(pl.jobSpread*pl.random.NormFloat64())
	estimate := work * math.Exp(pl.estimateError*pl.random.NormFloat64())
	for index, worker := range pl.random.Perm(len(pl.factors))[:width] {
		took := work * pl.factors[worker] * math.Exp(pl.taskSpread*pl.random.NormFloat64())
		pl.now += 10
		pl.gauger.Record(pl.run(index, worker, estimate, took, 0.3+0.6*pl.random.Float64()), pl.now)
		pl.gauger.Record(pl.run(index, worker, estimate, took, 1), pl.now)
	}
}

// run returns a run of which a part is done.
func (pl *plant) run(index, worker int, estimate, took, part float64) gauger.Run {
	return gauger.Run{
		Task: workload.TaskKey{Job: identifier.Job(fmt.Sprint("j", pl.jobs)), Index: index}, Number: 1, Queue: "queue",
		Estimate: clock.Millis(estimate), Worker: workerID(worker), Incarnation: 1,
		Percent: meter.Percent(100 * part), Elapsed: clock.Millis(took*part) + clock.Millis(pl.random.IntN(30)), Done: part == 1,
	}
}

func (pl *plant) factor(worker int) float64 {
	return pl.gauger.Gauge(workerID(worker), 1, pl.now).Factor
}

// deviation returns the root of the mean square of the errors of the logarithms of the factors, which are
// compared after what is common to all is taken away.
func (pl *plant) deviation() float64 {
	var sum, square float64
	for i, factor := range pl.factors {
		di := math.Log(pl.factor(i) / factor)
		sum += di
		square += di * di
	}
	count := float64(len(pl.factors))
	return math.Sqrt(square/count - sum*sum/count/count)
}

func assertBelow(t interface {
	Helper()
	Fatalf(string, ...any)
}, got, most float64) {
	t.Helper()
	if !(got <= most) {
		t.Fatalf("got %.3f, want at most %.3f", got, most)
	}
}

func TestGenerated(t *testing.T) {
	t.Run("the error is small after five runs of each worker", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			low, high := rapid.Float64Range(0.5, 0.7).Draw(rt, "low"), rapid.Float64Range(1.4, 1.8).Draw(rt, "high")
			pl := newPlant(rapid.Uint64().Draw(rt, "seed"), evenly(60, low, 1, high)...)
			pl.estimateError = rapid.Float64Range(0.1, 0.9).Draw(rt, "estimateError")
			for range 30 {
				pl.job(10)
			}
			assertBelow(rt, pl.deviation(), tight/2)
		})
	})
	t.Run("even workers have a factor of exactly 1", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			pl := newPlant(rapid.Uint64().Draw(rt, "seed"), evenly(60, 1)...)
			pl.jobSpread = rapid.Float64Range(0.1, 0.9).Draw(rt, "jobSpread")
			pl.estimateError = rapid.Float64Range(0.1, 0.9).Draw(rt, "estimateError")
			pl.taskSpread = rapid.Float64Range(0.05, 0.5).Draw(rt, "taskSpread")
			for range 40 {
				pl.job(rapid.IntRange(1, 20).Draw(rt, "width"))
				for i := range pl.factors {
					if pl.factor(i) != 1 {
						rt.Fatalf("worker %d has factor %v", i, pl.factor(i))
					}
				}
			}
		})
	})
	t.Run("the level does not drift", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			pl := newPlant(rapid.Uint64().Draw(rt, "seed"), evenly(30, 0.6, 1, 1.6)...)
			for range 300 {
				pl.job(rapid.IntRange(1, 12).Draw(rt, "width"))
			}
			sum := 0.0
			for i := range pl.factors {
				sum += math.Log(pl.factor(i))
			}
			assertBelow(rt, math.Abs(sum/30), 0.15)
			assertBelow(rt, pl.deviation(), 0.1)
		})
	})
}

func TestNothingKnown(t *testing.T) {
	ga := gauger.New()
	t.Run("a worker without runs has factor 1", func(t *testing.T) {
		asserter.Equal(t, ga.Gauge("w", 1, 0).Factor, 1.0)
		asserter.Equal(t, ga.Gauge("w", 1, 0).Runs, 0)
	})
	t.Run("a run that has hardly begun tells nothing", func(t *testing.T) {
		ga.Record(gauger.Run{Worker: "w", Incarnation: 1, Percent: 2, Elapsed: 5000}, 1)
		ga.Record(gauger.Run{Worker: "w", Incarnation: 1, Percent: 50, Elapsed: 100}, 1)
		asserter.Equal(t, ga.Gauge("w", 1, 1).Runs, 0)
	})
	t.Run("a member of a gang that waits for the others tells nothing", func(t *testing.T) {
		ga.Record(gauger.Run{Worker: "w", Incarnation: 1, Percent: 100, Elapsed: 9000}, 1)
		asserter.Equal(t, ga.Gauge("w", 1, 1).Runs, 0)
	})
}

// learned returns a plant of 30 workers of three kinds whose speeds are known.
func learned() *plant {
	pl := newPlant(7, evenly(30, 0.6, 1, 1.6)...)
	for range 30 {
		pl.job(10)
	}
	return pl
}

func TestOtherIncarnation(t *testing.T) {
	pl := learned()
	t.Run("is not known", func(t *testing.T) {
		asserter.Equal(t, pl.gauger.Gauge(workerID(2), 2, pl.now).Factor, 1.0)
	})
	t.Run("discards what was known with its first run", func(t *testing.T) {
		ru := pl.run(0, 2, 2000, 2000, 1)
		ru.Incarnation = 2
		pl.gauger.Record(ru, pl.now)
		asserter.Equal(t, pl.gauger.Gauge(workerID(2), 2, pl.now).Runs, 1)
		asserter.Equal(t, pl.gauger.Gauge(workerID(2), 1, pl.now).Runs, 0)
	})
}

func TestWorkerTurnsSlowMidRun(t *testing.T) {
	pl := learned()
	const worker, took = 1, 4000.0
	pl.jobs++
	ru := pl.run(0, worker, took, took, 0.3)
	pl.gauger.Record(ru, pl.now)
	assertBelow(t, pl.factor(worker), 1.3)
	t.Run("it is doubted with the next report", func(t *testing.T) {
		ru.Elapsed, ru.Percent = ru.Elapsed+600, 33
		pl.now += 600
		pl.gauger.Record(ru, pl.now)
		assertBelow(t, 3, pl.factor(worker))
	})
	t.Run("it is regained when the run goes on as before", func(t *testing.T) {
		ru.Elapsed, ru.Percent = ru.Elapsed+800, 53
		pl.now += 800
		pl.gauger.Record(ru, pl.now)
		assertBelow(t, pl.factor(worker), 1.4)
	})
	t.Run("it is regained when nothing runs there for a while", func(t *testing.T) {
		ru.Elapsed, ru.Percent = ru.Elapsed+800, 56
		pl.gauger.Record(ru, pl.now)
		assertBelow(t, 3, pl.factor(worker))
		pl.now += 10 * clock.Second
		assertBelow(t, pl.factor(worker), 1.4)
	})
}

func TestWorkerTurnsSlowBetweenRuns(t *testing.T) {
	pl := learned()
	pl.factors[0] = 3
	for range 2 {
		pl.jobs++
		for index, worker := range []int{0, 1, 2, 3, 4} {
			pl.gauger.Record(pl.run(index, worker, 2000, 2000*pl.factors[worker], 1), pl.now)
		}
	}
	assertBelow(t, 2, pl.factor(0))
}

// TestStepOfLongTasks has one job whose tasks all take seven times what its caller says.
func TestStepOfLongTasks(t *testing.T) {
	pl := learned()
	before := pl.factor(1)
	pl.jobs++
	for index := range 12 {
		pl.gauger.Record(pl.run(index, index, 2000, 14000*pl.factors[index], 1), pl.now)
	}
	assertBelow(t, math.Abs(math.Log(pl.factor(1)/before)), 0.15)
}

// BenchmarkRecord measures one report of a run on a fleet of 3,000 workers of which all is known, and the
// memory that the fleet takes.
func BenchmarkRecord(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	pl := newPlant(1, evenly(3000, 0.6, 1, 1.6)...)
	for range 3000 {
		pl.job(16)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runs := make([]gauger.Run, 0, 3000)
	for i := range pl.factors {
		pl.jobs += i % 16 / 15
		runs = append(runs, pl.run(i%16, i, 2000, 2000*pl.factors[i], 1))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		ru := runs[i%len(runs)]
		ru.Number = meter.RunNumber(i + 1)
		pl.gauger.Record(ru, pl.now)
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/3000, "bytes/worker")
}
