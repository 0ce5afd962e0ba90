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
		play(t, 3, 6, func(sc *scene) {
			jo := sc.accepted(0, sc.job(advisedPrefix, seconds(2), tasks(6, 2)))
			sc.sleep(time.Second)
			for _, at := range sc.cluster.At(jo.ID) {
				asserter.Equal(t, fleet.Approved(jo.ID+".0.0", at), true)
			}
			sc.becomes(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 6)
		})
	})
	t.Run("tickets that run out are asked for again", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			first := sc.accepted(0, sc.job(advisedPrefix, seconds(8), tasks(4, 2)))
			second := sc.accepted(0, sc.job(advisedPrefix, seconds(2), tasks(8, 2)))
			sc.becomes(0, first, "completed", 30*time.Second)
			sc.becomes(0, second, "completed", 30*time.Second)
		})
	})
	t.Run("a new holder asks anew", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(advisedPrefix, seconds(3), tasks(12, 2)))
			sc.sleep(time.Second)
			sc.kill(sc.holder())
			sc.sleep(4 * time.Second)
			sc.becomes(sc.holder(), jo, "completed", 20*time.Second)
		})
	})
}

func TestLasting(t *testing.T) {
	lasting := func(count int) wire.StepBody {
		st := tasks(count, 1)
		st.LongRunning, st.MaxUnavailable = true, 1
		return st
	}
	t.Run("tasks that last are restarted however they end, until they are cancelled", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, fleet.Work{Time: 2 * time.Second, Failing: 5}, lasting(2)))
			sc.sleep(20 * time.Second)
			asserter.Equal(t, len(sc.cluster.At(jo.ID)), 2)
			status, _, _ := sc.call(0, http.MethodDelete, jo.Queue+jo.ID, jo.Key, struct{}{})
			asserter.Equal(t, status, http.StatusOK)
			sc.becomes(0, jo, "cancelled", 2*time.Second)
		})
	})
	t.Run("urgent work does not stop tasks that last", func(t *testing.T) {
		play(t, 3, 1, func(sc *scene) {
			jo := sc.accepted(0, sc.job(batchPrefix, seconds(600), lasting(2)))
			sc.sleep(time.Second)
			urgent := sc.job(urgentPrefix, seconds(1), tasks(1, 8))
			sc.accepted(0, urgent)
			sc.sleep(5 * time.Second)
			asserter.Equal(t, len(sc.cluster.At(jo.ID)), 2)
			asserter.Equal(t, sc.cluster.Runs(), 2) // neither stopped and started again, nor the urgent one
		})
	})
	t.Run("fillers are slowed until those they disturb meet their target", func(t *testing.T) {
		play(t, 3, 1, func(sc *scene) {
			serving, filling := lasting(1), tasks(2, 1)
			serving.TargetMs, filling.Fills = 100, true
			sc.accepted(0, sc.job(normalPrefix, seconds(600), serving))
			sc.accepted(0, sc.job(batchPrefix, seconds(60), filling))
			sc.sleep(time.Second)
			if sc.cluster.Tail() <= 100 {
				t.Fatalf("the serving task is not disturbed")
			}
			sc.sleep(3500 * time.Millisecond)
			if tail := sc.cluster.Tail(); tail > 100 {
				t.Fatalf("the tail is %d ms after 4.5 s, over its target of 100 ms", tail)
			}
		})
	})
}

func TestUpkeep(t *testing.T) {
	t.Run("each machine of a wave is emptied and has its upkeep once, a few at a time", func(t *testing.T) {
		play(t, 3, 6, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(4), tasks(12, 2)))
			sc.sleep(time.Second)
			sc.cluster.Ask(1, 4, 2)
			sc.sleep(40 * time.Second)
			total, most := sc.cluster.Upkeeps()
			asserter.Equal(t, total, 4)
			asserter.Equal(t, most <= 2, true)
			asserter.Equal(t, string(sc.cluster.Store.Value("status", "wave/1")), `{"state":"completed"}`)
			sc.becomes(0, jo, "completed", time.Second)
		})
	})
	t.Run("a new holder goes on with a wave", func(t *testing.T) {
		play(t, 3, 6, func(sc *scene) {
			sc.cluster.Ask(1, 6, 1)
			sc.sleep(5 * time.Second)
			sc.kill(sc.holder())
			sc.sleep(60 * time.Second)
			total, most := sc.cluster.Upkeeps()
			asserter.Equal(t, total, 6)
			asserter.Equal(t, most, 1)
			asserter.Equal(t, string(sc.cluster.Store.Value("status", "wave/1")), `{"state":"completed"}`)
		})
	})
}
