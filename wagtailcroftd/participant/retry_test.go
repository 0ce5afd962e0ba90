package participant_test

import (
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// TestRetryWorker guards against a task that is never started again because the only room is on the worker where
// it failed (LOST, review/13).
func TestRetryWorker(t *testing.T) {
	// fill takes all accelerators of one worker.
	fill := func(ha *harness) {
		lasting := tasks(1, 8)
		lasting.LongRunning = true
		ha.mustSubmit(0, ha.job(normalPrefix, seconds(60), lasting))
		ha.sleep(time.Second)
	}
	t.Run("a task returns to the worker where it failed when the others are full", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			fill(ha)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: time.Second, FailedRuns: 1}, tasks(1, 1)))
			ha.awaitState(0, jo, "completed", 4*time.Second)
		})
	})
	t.Run("it does so under a new leader too", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			fill(ha)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: 4 * time.Second, FailedRuns: 1}, tasks(1, 1)))
			ha.sleep(1500 * time.Millisecond)
			ha.kill(ha.leader())
			ha.awaitState(ha.nonLeader(), jo, "completed", 12*time.Second)
		})
	})
	t.Run("so does a task that lasts, and it fails there no more often than once a second", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			fill(ha)
			lasting := tasks(1, 1)
			lasting.LongRunning = true
			before := ha.cluster.StartCount()
			ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: 400 * time.Millisecond, FailedRuns: 99}, lasting))
			ha.sleep(2 * time.Second)
			asserter.Equal(ha.t, ha.cluster.StartCount()-before, 2)
		})
	})
}
