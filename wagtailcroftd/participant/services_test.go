package participant_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

func TestAdvice(t *testing.T) {
	t.Run("tasks start only on approved workers, with a ticket", func(t *testing.T) {
		runScenario(t, 3, 6, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(advisedPrefix, seconds(2), tasks(6, 2)))
			ha.sleep(time.Second)
			for _, at := range ha.cluster.RunnersOf(jo.ID) {
				asserter.Equal(t, fleet.Approves(jo.ID+".0.0", at), true)
			}
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 6)
		})
	})
	t.Run("expired tickets are requested again", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			first := ha.mustSubmit(0, ha.job(advisedPrefix, seconds(8), tasks(4, 2)))
			second := ha.mustSubmit(0, ha.job(advisedPrefix, seconds(2), tasks(8, 2)))
			ha.awaitState(0, first, "completed", 30*time.Second)
			ha.awaitState(0, second, "completed", 30*time.Second)
		})
	})
	t.Run("a new leader requests tickets again", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(advisedPrefix, seconds(3), tasks(12, 2)))
			ha.sleep(time.Second)
			ha.kill(ha.leader())
			ha.sleep(4 * time.Second)
			ha.awaitState(ha.leader(), jo, "completed", 20*time.Second)
		})
	})
}

func TestLongRunningTasks(t *testing.T) {
	service := func(count int) wire.StepBody {
		st := tasks(count, 1)
		st.LongRunning, st.MaxUnavailable = true, 1
		return st
	}
	t.Run("long-running tasks are restarted however they end, until they are cancelled", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: 2 * time.Second, FailedRuns: 5}, service(2)))
			ha.sleep(20 * time.Second)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 2)
			status, _, _ := ha.call(0, http.MethodDelete, jo.Queue+jo.ID, jo.Key, struct{}{})
			asserter.Equal(t, status, http.StatusOK)
			ha.awaitState(0, jo, "cancelled", 2*time.Second)
		})
	})
	t.Run("urgent work does not preempt long-running tasks", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(batchPrefix, seconds(600), service(2)))
			ha.sleep(time.Second)
			urgent := ha.job(urgentPrefix, seconds(1), tasks(1, 8))
			ha.mustSubmit(0, urgent)
			ha.sleep(5 * time.Second)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 2)
			asserter.Equal(t, ha.cluster.StartCount(), 2) // the long-running tasks were not restarted and the urgent one has not started
		})
	})
	t.Run("best-effort tasks are throttled until the services they disturb meet their target", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			serving, bestEffort := service(1), tasks(2, 1)
			serving.TargetMs, bestEffort.Fills = 100, true
			ha.mustSubmit(0, ha.job(normalPrefix, seconds(600), serving))
			ha.mustSubmit(0, ha.job(batchPrefix, seconds(60), bestEffort))
			ha.sleep(time.Second)
			if ha.cluster.MaxTailLatency() <= 100 {
				t.Fatalf("the service task is not disturbed: its tail latency is within the target")
			}
			ha.sleep(3500 * time.Millisecond)
			if tail := ha.cluster.MaxTailLatency(); tail > 100 {
				t.Fatalf("the tail latency is %d ms after 4.5 s, above the target of 100 ms", tail)
			}
		})
	})
}

func TestMaintenance(t *testing.T) {
	t.Run("each machine of a maintenance wave is drained and maintained once, a limited number at a time", func(t *testing.T) {
		runScenario(t, 3, 6, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(4), tasks(12, 2)))
			ha.sleep(time.Second)
			ha.cluster.RequestWave(1, 4, 2)
			ha.sleep(40 * time.Second)
			total, maxAtOnce := ha.cluster.Maintenances()
			asserter.Equal(t, total, 4)
			asserter.Equal(t, maxAtOnce <= 2, true)
			asserter.Equal(t, string(ha.cluster.Store.Get("status", "wave/1")), `{"state":"completed"}`)
			ha.awaitState(0, jo, "completed", time.Second)
		})
	})
	// Guards against a wave that is said to be completed although another one had the machine maintained
	// (MIXED).
	t.Run("two waves that share machines maintain each of them twice", func(t *testing.T) {
		runScenario(t, 3, 6, func(ha *harness) {
			ha.cluster.RequestWave(1, 3, 3)
			ha.cluster.RequestWave(2, 3, 3)
			ha.sleep(40 * time.Second)
			for _, wave := range []string{"wave/1", "wave/2"} {
				asserter.Equal(t, string(ha.cluster.Store.Get("status", wave)), `{"state":"completed"}`)
			}
			asserter.Equal(t, ha.cluster.WaveMaintenances(1), 3)
			asserter.Equal(t, ha.cluster.WaveMaintenances(2), 3)
		})
	})
	t.Run("a new leader continues a maintenance wave", func(t *testing.T) {
		runScenario(t, 3, 6, func(ha *harness) {
			ha.cluster.RequestWave(1, 6, 1)
			ha.sleep(5 * time.Second)
			ha.kill(ha.leader())
			ha.sleep(60 * time.Second)
			total, maxAtOnce := ha.cluster.Maintenances()
			asserter.Equal(t, total, 6)
			asserter.Equal(t, maxAtOnce, 1)
			asserter.Equal(t, string(ha.cluster.Store.Get("status", "wave/1")), `{"state":"completed"}`)
		})
	})
}
