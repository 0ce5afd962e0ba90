package participant_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

func TestJobs(t *testing.T) {
	t.Run("a job of single tasks completes", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), tasks(5, 2)))
			ha.awaitState(1, jo, "completed", 4*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 5)
		})
	})
	t.Run("a gang starts all its tasks together and completes", func(t *testing.T) {
		runScenario(t, 3, 8, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), asGang(tasks(4, 8))))
			ha.awaitState(1, jo, "completed", 4*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 4)
		})
	})
	t.Run("a step waits for those it depends on", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			second := tasks(2, 1)
			second.DependsOn = []int{0}
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(3, 1), second))
			ha.awaitState(0, jo, "completed", 5*time.Second)
		})
	})
	t.Run("a failed run is retried", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: time.Second, FailedRuns: 2}, tasks(1, 1)))
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 3)
		})
	})
	t.Run("a job fails when its attempts are used up", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: time.Second, FailedRuns: 99}, asGang(tasks(2, 1))))
			ha.awaitState(0, jo, "failed", 6*time.Second)
		})
	})
	t.Run("the anti-affinity limit of a step is respected", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			spread := tasks(4, 1)
			spread.AntiAffinity = 1
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), spread))
			ha.sleep(time.Second)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 4)
			ha.awaitState(0, jo, "completed", 4*time.Second)
		})
	})
	t.Run("repeated jobs start when they are due", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.job(normalPrefix, seconds(0.5), tasks(1, 1))
			jo.Body.StartAtMs, jo.Body.IntervalMs, jo.Body.RepeatCount = time.Now().Add(2*time.Second).UnixMilli(), 3000, 3
			ha.mustSubmit(0, jo)
			ha.sleep(1900 * time.Millisecond)
			asserter.Equal(t, ha.cluster.StartCount(), 0)
			ha.awaitState(0, jo, "completed", 10*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 3)
		})
	})
	t.Run("a cancelled job stops within the time limit", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(60), tasks(2, 1)))
			ha.sleep(time.Second)
			status, _, _ := ha.call(ha.nonLeader(), http.MethodDelete, jo.Queue+jo.ID, jo.Key, struct{}{})
			asserter.Equal(t, status, http.StatusOK)
			ha.cluster.RecordCancelled(jo.ID)
			ha.awaitState(0, jo, "cancelled", 2*time.Second)
			ha.sleep(time.Second)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 0)
		})
	})
	t.Run("a job of priority 0 preempts others", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			batch := ha.job(batchPrefix, seconds(30), tasks(32, 1))
			batch.Key = bobKey
			ha.mustSubmit(0, batch)
			ha.sleep(time.Second)
			urgent := ha.mustSubmit(0, ha.job(urgentPrefix, seconds(1), asGang(tasks(2, 8))))
			ha.awaitState(0, urgent, "running", 2*time.Second)
			ha.awaitState(0, urgent, "completed", 3*time.Second)
		})
	})
	t.Run("the pending jobs of a queue are counted", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			for range 4 {
				ha.mustSubmit(0, ha.job(batchPrefix, seconds(30), tasks(1, 8)))
			}
			ha.sleep(2 * time.Second)
			_, answer, _ := ha.call(1, http.MethodGet, batchPrefix, aliceKey, struct{}{})
			var body wire.PendingBody
			asserter.NoError(t, json.Unmarshal(answer, &body))
			asserter.Equal(t, body.Pending, 3)
		})
	})
}

func TestCalls(t *testing.T) {
	t.Run("submissions with the same id create one job", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
			ha.mustSubmit(1, jo)
			ha.awaitState(0, jo, "completed", 3*time.Second)
			ha.mustSubmit(2, jo)
			ha.sleep(3 * time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 1)
		})
	})
	t.Run("unknown jobs, keys and queues are refused", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.job(normalPrefix, seconds(1), tasks(1, 1))
			status, _ := ha.state(0, jo)
			asserter.Equal(t, status, http.StatusGone)
			jo.Key = "unknown-key"
			asserter.Equal(t, ha.submit(0, jo), http.StatusUnauthorized)
			jo.Queue = "/unknown/"
			asserter.Equal(t, ha.submit(0, jo), http.StatusNotFound)
		})
	})
	t.Run("a job can be read and cancelled only with keys of its workspace", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(5), tasks(1, 1)))
			other := jo
			other.Key = bobKey
			status, _ := ha.state(1, other)
			asserter.Equal(t, status, http.StatusGone)
			status, _, _ = ha.call(1, http.MethodDelete, other.Queue+other.ID, bobKey, struct{}{})
			asserter.Equal(t, status, http.StatusGone)
			asserter.Equal(t, ha.submit(2, other), http.StatusConflict)
			ha.awaitState(0, jo, "completed", 7*time.Second)
			ha.sleep(time.Second)
			status, _ = ha.state(1, other)
			asserter.Equal(t, status, http.StatusGone)
		})
	})
	// Guards against keys of other workspaces, and keys that were taken away, which act on a job at a queue that
	// needs no key (CONFIG).
	for name, ex := range map[string]struct {
		key  string
		want int
	}{"a key of another workspace": {bobKey, http.StatusGone}, "a key that was taken away": {"former-key", http.StatusUnauthorized}} {
		t.Run("a queue that needs no key does not open the jobs of others to "+name, func(t *testing.T) {
			runScenario(t, 3, 4, func(ha *harness) {
				open := route("open", "/open/", 2)
				open.AllowAnonymous = true
				ha.config.Version++
				ha.config.Routes = append(ha.config.Routes, open)
				ha.cluster.Configure(ha.config)
				ha.sleep(time.Second)
				jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(5), tasks(1, 1)))
				for _, method := range []string{http.MethodGet, http.MethodDelete} {
					status, _, _ := ha.call(1, method, open.PathPrefix+jo.ID, ex.key, struct{}{})
					asserter.Equal(t, status, ex.want)
				}
				ha.awaitState(0, jo, "completed", 7*time.Second)
			})
		})
	}
	t.Run("an invalid job is refused and not stored", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			later := tasks(1, 1)
			later.DependsOn = []int{1}
			for _, steps := range [][]wire.StepBody{{}, {tasks(0, 1)}, {later}, {tasks(1, -1)}} {
				asserter.Equal(t, ha.submit(0, ha.job(normalPrefix, seconds(1), steps...)), http.StatusBadRequest)
			}
			asserter.Equal(t, len(ha.cluster.Store.Keys("submissions")), 0)
		})
	})
	t.Run("a revoked key is refused at once by an instance that reaches the store", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.config.Tenants = ha.config.Tenants[1:]
			ha.cluster.Configure(ha.config)
			asserter.Equal(t, ha.submit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1))), http.StatusUnauthorized)
		})
	})
	t.Run("an instance cut off from the store stops accepting keys in time", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(30), tasks(1, 1)))
			ha.cluster.StoreOutage("i-0", fleet.Unresponsive)
			ha.sleep(5 * time.Second)
			status, _ := ha.state(0, jo)
			asserter.Equal(t, status, http.StatusServiceUnavailable)
		})
	})
}
