package participant_test

import (
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// TestLargeRows guards against a job whose row outgrows what the store accepts, after which no job of any
// tenant is started (LOST).
func TestLargeRows(t *testing.T) {
	small := wire.StepBody{Count: 1, CPU: 30, MemMb: 10, EstimateMs: 100}
	expectUrgentWork := func(t *testing.T, ha *harness) {
		t.Helper()
		leader := ha.leaderName()
		for range 4 {
			ha.awaitState(0, ha.mustSubmit(0, ha.job(urgentPrefix, seconds(0.5), tasks(1, 1))), "completed", 2*time.Second)
		}
		asserter.Equal(t, ha.leaderName(), leader)
	}
	t.Run("a job with 1,000 tasks at work", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			wide := small
			wide.Count = 1000
			jo := ha.mustSubmit(0, ha.job(batchPrefix, seconds(60), wide))
			ha.sleep(10 * time.Second)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), wide.Count)
			expectUrgentWork(t, ha)
		})
	})
	t.Run("a job that is repeated 2,000 times", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.job(batchPrefix, seconds(0.05), small)
			jo.Body.RepeatCount, jo.Body.StartAtMs, jo.Body.IntervalMs = 2000, time.Now().UnixMilli(), 20
			ha.cluster.RegisterJob(jo)
			ha.mustSubmit(0, jo)
			ha.sleep(45 * time.Second)
			expectUrgentWork(t, ha)
			ha.awaitState(0, jo, "completed", 5*time.Second)
		})
	})
}
