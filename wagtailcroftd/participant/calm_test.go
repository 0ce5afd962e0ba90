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
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), tasks(5, 2)))
			sc.becomes(1, jo, "completed", 4*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 5)
		})
	})
	t.Run("a gang starts whole and completes", func(t *testing.T) {
		play(t, 3, 8, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), ganged(tasks(4, 8))))
			sc.becomes(1, jo, "completed", 4*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 4)
		})
	})
	t.Run("a step waits for those it depends on", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			second := tasks(2, 1)
			second.DependsOn = []int{0}
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(3, 1), second))
			sc.becomes(0, jo, "completed", 5*time.Second)
		})
	})
	t.Run("a failed run is tried again", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, fleet.Work{Time: time.Second, Failing: 2}, tasks(1, 1)))
			sc.becomes(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 3)
		})
	})
	t.Run("a job fails when its attempts are used up", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, fleet.Work{Time: time.Second, Failing: 99}, ganged(tasks(2, 1))))
			sc.becomes(0, jo, "failed", 6*time.Second)
		})
	})
	t.Run("a spread limit holds", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			spread := tasks(4, 1)
			spread.AntiAffinity = 1
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), spread))
			sc.sleep(time.Second)
			asserter.Equal(t, len(sc.cluster.At(jo.ID)), 4)
			sc.becomes(0, jo, "completed", 4*time.Second)
		})
	})
	t.Run("repeated jobs start when they are due", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.job(normalPrefix, seconds(0.5), tasks(1, 1))
			jo.Body.StartAtMs, jo.Body.IntervalMs, jo.Body.RepeatCount = time.Now().Add(2*time.Second).UnixMilli(), 3000, 3
			sc.accepted(0, jo)
			sc.sleep(1900 * time.Millisecond)
			asserter.Equal(t, sc.cluster.Runs(), 0)
			sc.becomes(0, jo, "completed", 10*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 3)
		})
	})
	t.Run("a cancelled job stops within its bound", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(60), tasks(2, 1)))
			sc.sleep(time.Second)
			status, _, _ := sc.call(sc.other(), http.MethodDelete, jo.Queue+jo.ID, jo.Key, struct{}{})
			asserter.Equal(t, status, http.StatusOK)
			sc.cluster.Cancelled(jo.ID)
			sc.becomes(0, jo, "cancelled", 2*time.Second)
			sc.sleep(time.Second)
			asserter.Equal(t, len(sc.cluster.At(jo.ID)), 0)
		})
	})
	t.Run("a job of priority 0 takes the room of others", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			batch := sc.job(batchPrefix, seconds(30), tasks(32, 1))
			batch.Key = bobKey
			sc.accepted(0, batch)
			sc.sleep(time.Second)
			urgent := sc.accepted(0, sc.job(urgentPrefix, seconds(1), ganged(tasks(2, 8))))
			sc.becomes(0, urgent, "running", 2*time.Second)
			sc.becomes(0, urgent, "completed", 3*time.Second)
		})
	})
	t.Run("the waiting jobs of a queue are counted", func(t *testing.T) {
		play(t, 3, 1, func(sc *scene) {
			for range 4 {
				sc.accepted(0, sc.job(batchPrefix, seconds(30), tasks(1, 8)))
			}
			sc.sleep(2 * time.Second)
			_, answer, _ := sc.call(1, http.MethodGet, batchPrefix, aliceKey, struct{}{})
			var body wire.PendingBody
			asserter.OK(t, json.Unmarshal(answer, &body))
			asserter.Equal(t, body.Pending, 3)
		})
	})
}

func TestCalls(t *testing.T) {
	t.Run("the same id is one job", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.accepted(1, jo)
			sc.becomes(0, jo, "completed", 3*time.Second)
			sc.accepted(2, jo)
			sc.sleep(3 * time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 1)
		})
	})
	t.Run("unknown things are refused", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.job(normalPrefix, seconds(1), tasks(1, 1))
			status, _ := sc.state(0, jo)
			asserter.Equal(t, status, http.StatusGone)
			jo.Key = "nobody's"
			asserter.Equal(t, sc.submit(0, jo), http.StatusUnauthorized)
			jo.Queue = "/nowhere/"
			asserter.Equal(t, sc.submit(0, jo), http.StatusNotFound)
		})
	})
	t.Run("a job is seen and cancelled with keys of its workspace alone", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(5), tasks(1, 1)))
			other := jo
			other.Key = bobKey
			status, _ := sc.state(1, other)
			asserter.Equal(t, status, http.StatusGone)
			status, _, _ = sc.call(1, http.MethodDelete, other.Queue+other.ID, bobKey, struct{}{})
			asserter.Equal(t, status, http.StatusGone)
			asserter.Equal(t, sc.submit(2, other), http.StatusConflict)
			sc.becomes(0, jo, "completed", 7*time.Second)
			sc.sleep(time.Second)
			status, _ = sc.state(1, other)
			asserter.Equal(t, status, http.StatusGone)
		})
	})
	t.Run("a bad job is refused and not stored", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			later := tasks(1, 1)
			later.DependsOn = []int{1}
			for _, steps := range [][]wire.StepBody{{}, {tasks(0, 1)}, {later}, {tasks(1, -1)}} {
				asserter.Equal(t, sc.submit(0, sc.job(normalPrefix, seconds(1), steps...)), http.StatusBadRequest)
			}
			asserter.Equal(t, len(sc.cluster.Store.Keys("submissions")), 0)
		})
	})
	t.Run("a revoked key is refused at once where the store is reached", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.config.Tenants = sc.config.Tenants[1:]
			sc.cluster.Configure(sc.config)
			asserter.Equal(t, sc.submit(0, sc.job(normalPrefix, seconds(1), tasks(1, 1))), http.StatusUnauthorized)
		})
	})
	t.Run("an instance without the store stops serving keys in time", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(30), tasks(1, 1)))
			sc.cluster.StoreOutage("i-0", fleet.Silent)
			sc.sleep(5 * time.Second)
			status, _ := sc.state(0, jo)
			asserter.Equal(t, status, http.StatusServiceUnavailable)
		})
	})
}
