package predictor_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/predictor"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	queue = "queue"
	pool  = "pool"
)

// recordRuns records runs with the given estimates and run times.
func recordRuns(pr *predictor.Predictor, estimates, ran []clock.Millis) {
	for i := range ran {
		pr.RecordRun(queue, estimates[i], ran[i])
	}
}

func TestExpectedRunTime(t *testing.T) {
	t.Run("the estimate is used until there are enough runs", func(t *testing.T) {
		pr := predictor.New()
		recordRuns(pr, []clock.Millis{100, 100}, []clock.Millis{2000, 2000})
		asserter.Equal(t, pr.ExpectedRunTime(queue, 300), 300)
	})
	t.Run("the median is used if the estimates are inaccurate", func(t *testing.T) {
		pr := predictor.New()
		recordRuns(pr, []clock.Millis{100, 9000, 500, 50, 7000}, []clock.Millis{2000, 2100, 1900, 2000, 2200})
		asserter.Equal(t, pr.ExpectedRunTime(queue, 300), 2000)
	})
	t.Run("accurate estimates are used if the run times vary", func(t *testing.T) {
		pr := predictor.New()
		recordRuns(pr, []clock.Millis{100, 9000, 500, 50, 7000}, []clock.Millis{110, 8800, 480, 55, 7100})
		asserter.Equal(t, pr.ExpectedRunTime(queue, 300), 300)
	})
	t.Run("old runs are discarded", func(t *testing.T) {
		pr := predictor.New()
		for range 32 {
			pr.RecordRun(queue, 1, 5000)
		}
		for range 32 {
			pr.RecordRun(queue, 1, 1000)
		}
		asserter.Equal(t, pr.ExpectedRunTime(queue, 1), 1000)
	})
}

func TestUpdateDemand(t *testing.T) {
	t.Run("the mean converges to the accelerators in use", func(t *testing.T) {
		pr := predictor.New()
		pr.RecordArrival(pool, 4)
		var mean, deviation float64
		for at := clock.Millis(0); at <= clock.Minute; at += 100 {
			mean, deviation = pr.UpdateDemand(pool, at, 64)
		}
		asserter.Equal(t, int(mean+0.5), 64)
		asserter.Equal(t, int(deviation+0.5), 16) // 16 jobs of 4 accelerators: the square root of 16, times 4
	})
	t.Run("the mean falls when urgent work has ended", func(t *testing.T) {
		pr := predictor.New()
		pr.UpdateDemand(pool, clock.Minute, 64)
		mean, _ := pr.UpdateDemand(pool, 2*clock.Minute, 0)
		asserter.Equal(t, mean < 1, true)
	})
}
