package participant_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

func TestStoreOutages(t *testing.T) {
	for name, how := range map[string]fleet.Outage{"silent": fleet.Silent, "busy": fleet.Busy, "reset": fleet.Reset} {
		t.Run("runs outlive a store that is "+name, func(t *testing.T) {
			play(t, 3, 4, func(sc *scene) {
				jo := sc.accepted(0, sc.job(normalPrefix, seconds(14), tasks(4, 2)))
				sc.sleep(3 * time.Second)
				sc.cluster.StoreOutage("", how)
				sc.sleep(11 * time.Second)
				sc.cluster.StoreOutage("", fleet.Reachable)
				sc.sleep(2 * time.Second)
				sc.becomes(0, jo, "completed", 4*time.Second)
				asserter.Equal(t, sc.cluster.Runs(), 4)
			})
		})
	}
	t.Run("a refusal comes at once, with a time to come back, and is true", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.StoreOutage("", fleet.Busy)
			jo := sc.job(normalPrefix, seconds(1), tasks(1, 1))
			began := time.Now()
			status, _, header := sc.call(0, http.MethodPost, jo.Queue+jo.ID, jo.Key, jo.Body)
			asserter.Equal(t, status, http.StatusServiceUnavailable)
			asserter.Equal(t, header.Get("Retry-After"), "1")
			if took := time.Since(began); took > 60*time.Millisecond {
				t.Fatalf("the refusal took %v", took)
			}
			sc.cluster.Refused(jo.ID)
			sc.cluster.StoreOutage("", fleet.Reachable)
			sc.sleep(5 * time.Second)
			status, _ = sc.state(0, jo)
			asserter.Equal(t, status, http.StatusGone)
		})
	})
	t.Run("a submission whose answer is lost is accepted all the same", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.LoseNext(2)
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.becomes(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 1)
		})
	})
	t.Run("while one submission has no answer, others are refused with certainty", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.StoreOutage("i-0", fleet.Silent)
			statuses := make(chan int, 5)
			for i := range 5 {
				jo := sc.job(normalPrefix, seconds(1), tasks(1, 1))
				time.AfterFunc(time.Duration(300*i)*time.Millisecond, func() { statuses <- sc.submit(0, jo) })
			}
			count := map[int]int{}
			for range 5 {
				count[<-statuses]++
			}
			asserter.Equal(t, count[http.StatusGatewayTimeout], 1)
			asserter.Equal(t, count[http.StatusServiceUnavailable], 4)
		})
	})
	t.Run("a submission that the store never answers is not said to be refused", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.StoreOutage("i-0", fleet.Silent)
			asserter.Equal(t, sc.submit(0, sc.job(normalPrefix, seconds(1), tasks(1, 1))), http.StatusGatewayTimeout)
		})
	})
	t.Run("lost answers of the holder do no harm", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(8, 2)))
			sc.cluster.LoseAnswers(0.35)
			sc.sleep(4500 * time.Millisecond)
			sc.cluster.LoseAnswers(0)
			sc.becomes(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 8)
		})
	})
	t.Run("a store that forgets its history is read anew", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.Store.Compact()
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(1, 1)))
			sc.cluster.Store.Compact()
			sc.becomes(0, jo, "completed", 8*time.Second)
		})
	})
	t.Run("a store that is slow is not taken as lost", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.SlowStore(60)
			statuses := make(chan int, 4)
			for i := range 4 {
				jo := sc.job(normalPrefix, seconds(1), tasks(1, 1))
				time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() { statuses <- sc.submit(0, jo) })
			}
			for range 4 {
				asserter.Equal(t, <-statuses, http.StatusOK)
			}
		})
	})
	t.Run("a store 60 times slower is only slower", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.SlowStore(60)
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(2, 1)))
			sc.becomes(0, jo, "completed", 8*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 2)
		})
	})
}

func TestWorkers(t *testing.T) {
	t.Run("a worker that crashes and is back loses its runs at once", func(t *testing.T) {
		play(t, 3, 1, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), tasks(2, 1)))
			sc.sleep(time.Second)
			sc.cluster.Crash(0, 500*time.Millisecond)
			sc.becomes(0, jo, "completed", 7*time.Second)
		})
	})
	t.Run("a worker that is gone loses its runs when their lease has lapsed", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(2), tasks(8, 2)))
			sc.sleep(time.Second)
			sc.cluster.Crash(0, 0)
			sc.becomes(0, jo, "completed", leaseTime+6*time.Second)
		})
	})
	t.Run("a worker that is cut off for less than its lease keeps its runs", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(9), tasks(8, 2)))
			sc.sleep(time.Second)
			sc.cluster.RunnerOutage("", 0, fleet.Silent)
			sc.sleep(6 * time.Second)
			sc.cluster.RunnerOutage("", 0, fleet.Reachable)
			sc.becomes(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 8)
		})
	})
	t.Run("a worker that is cut off for longer runs nothing twice", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(30), tasks(4, 2)))
			sc.sleep(time.Second)
			at := sc.cluster.At(jo.ID)[0]
			sc.cluster.RunnerOutage("", at, fleet.Reset)
			sc.sleep(20 * time.Second)
			sc.cluster.RunnerOutage("", at, fleet.Reachable)
			sc.becomes(0, jo, "completed", 40*time.Second)
		})
	})
	t.Run("the ends of a new life are not forgotten by the numbers of the former one", func(t *testing.T) {
		play(t, 3, 1, func(sc *scene) {
			sc.becomes(0, sc.accepted(0, sc.job(normalPrefix, seconds(0.5), tasks(6, 1))), "completed", 3*time.Second)
			sc.sleep(time.Second)
			sc.cluster.Lag(3 * time.Second)
			sc.cluster.Crash(0, 900*time.Millisecond)
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(0.05), tasks(1, 1)))
			sc.becomes(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 7)
		})
	})
	t.Run("a worker that comes back idle is used again", func(t *testing.T) {
		play(t, 3, 1, func(sc *scene) {
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(3), tasks(2, 2)))
			sc.sleep(time.Second)
			sc.cluster.RunnerOutage("", 0, fleet.Reset)
			sc.sleep(20 * time.Second)
			sc.cluster.RunnerOutage("", 0, fleet.Reachable)
			sc.becomes(0, jo, "completed", time.Second)
			asserter.Equal(t, sc.cluster.Runs(), 2) // what was done while out of reach counts
		})
	})
	t.Run("a leaving worker gets no more work and its runs are saved", func(t *testing.T) {
		play(t, 3, 2, func(sc *scene) {
			saving := tasks(4, 2)
			saving.Checkpointing = true
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(9), saving))
			sc.sleep(time.Second)
			sc.cluster.Drain(sc.cluster.At(jo.ID)[0])
			sc.becomes(0, jo, "completed", 14*time.Second)
		})
	})
	t.Run("orders that are carried out late start nothing twice", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.DelayOrders(0.5)
			var jobs []fleet.Job
			for range 4 {
				jobs = append(jobs, sc.accepted(0, sc.job(normalPrefix, seconds(2), tasks(4, 1))))
				jobs = append(jobs, sc.accepted(0, sc.job(normalPrefix, seconds(2), ganged(tasks(3, 2)))))
			}
			sc.sleep(10 * time.Second)
			sc.cluster.DelayOrders(0)
			for _, jo := range jobs {
				sc.becomes(0, jo, "completed", 40*time.Second)
			}
		})
	})
	t.Run("a worker that fails all does not use up the attempts of jobs", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.Sicken(0, true, false)
			var jobs []fleet.Job
			for range 6 {
				jobs = append(jobs, sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(4, 2))))
			}
			for _, jo := range jobs {
				sc.becomes(0, jo, "completed", 20*time.Second)
			}
		})
	})
	t.Run("a worker that refuses is left alone for a while", func(t *testing.T) {
		play(t, 3, 4, func(sc *scene) {
			sc.cluster.Sicken(0, false, true)
			jo := sc.accepted(0, sc.job(normalPrefix, seconds(1), tasks(12, 2)))
			sc.becomes(0, jo, "completed", 6*time.Second)
		})
	})
}

// alive is the place of an instance that runs.
func (sc *scene) alive() int {
	for i, in := range sc.instances {
		select {
		case <-in.ended:
		default:
			return i
		}
	}
	sc.t.Fatalf("no instance runs")
	return -1
}
