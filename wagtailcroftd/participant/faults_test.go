package participant_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

func TestStoreOutages(t *testing.T) {
	for name, outage := range map[string]fleet.Outage{"silent": fleet.Unresponsive, "busy": fleet.Busy, "reset": fleet.Reset} {
		t.Run("runs survive a store outage: "+name, func(t *testing.T) {
			runScenario(t, 3, 4, func(ha *harness) {
				jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(14), tasks(4, 2)))
				ha.sleep(3 * time.Second)
				ha.cluster.StoreOutage("", outage)
				ha.sleep(11 * time.Second)
				ha.cluster.StoreOutage("", fleet.NoOutage)
				ha.sleep(2 * time.Second)
				ha.awaitState(0, jo, "completed", 4*time.Second)
				asserter.Equal(t, ha.cluster.StartCount(), 4)
			})
		})
	}
	t.Run("during an outage, a submission is refused at once with Retry-After and never stored", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.StoreOutage("", fleet.Busy)
			jo := ha.job(normalPrefix, seconds(1), tasks(1, 1))
			began := time.Now()
			status, _, header := ha.call(0, http.MethodPost, jo.Queue+jo.ID, jo.Key, jo.Body)
			asserter.Equal(t, status, http.StatusServiceUnavailable)
			asserter.Equal(t, header.Get("Retry-After"), "1")
			if took := time.Since(began); took > 60*time.Millisecond {
				t.Fatalf("the refusal took %v", took)
			}
			ha.cluster.RecordRefused(jo.ID)
			ha.cluster.StoreOutage("", fleet.NoOutage)
			ha.sleep(5 * time.Second)
			status, _ = ha.state(0, jo)
			asserter.Equal(t, status, http.StatusGone)
		})
	})
	t.Run("a submission whose answer is lost is still accepted", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.LoseNextResponses(2)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 1)
		})
	})
	t.Run("while the outcome of one submission is unknown, others are definitely refused", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.StoreOutage("i-0", fleet.Unresponsive)
			statuses := make(chan int, 5)
			for i := range 5 {
				jo := ha.job(normalPrefix, seconds(1), tasks(1, 1))
				time.AfterFunc(time.Duration(300*i)*time.Millisecond, func() { statuses <- ha.submit(0, jo) })
			}
			count := map[int]int{}
			for range 5 {
				count[<-statuses]++
			}
			asserter.Equal(t, count[http.StatusGatewayTimeout], 1)
			asserter.Equal(t, count[http.StatusServiceUnavailable], 4)
		})
	})
	t.Run("a submission that the store never answers is not reported as refused", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.StoreOutage("i-0", fleet.Unresponsive)
			asserter.Equal(t, ha.submit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1))), http.StatusGatewayTimeout)
		})
	})
	t.Run("lost answers to the leader start nothing twice", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(8, 2)))
			ha.cluster.LoseResponses(0.35)
			ha.sleep(4500 * time.Millisecond)
			ha.cluster.LoseResponses(0)
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 8)
		})
	})
	t.Run("a store that compacts its history is read again in full", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.Store.Compact()
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
			ha.cluster.Store.Compact()
			ha.awaitState(0, jo, "completed", 8*time.Second)
		})
	})
	t.Run("a slow store is not treated as unavailable", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.SlowStore(60)
			statuses := make(chan int, 4)
			for i := range 4 {
				jo := ha.job(normalPrefix, seconds(1), tasks(1, 1))
				time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() { statuses <- ha.submit(0, jo) })
			}
			for range 4 {
				asserter.Equal(t, <-statuses, http.StatusOK)
			}
		})
	})
	t.Run("a store that is 60 times slower only delays jobs", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.SlowStore(60)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(2, 1)))
			ha.awaitState(0, jo, "completed", 8*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 2)
		})
	})
}

func TestWorkers(t *testing.T) {
	t.Run("a worker that crashes and restarts loses its runs at once", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), tasks(2, 1)))
			ha.sleep(time.Second)
			ha.cluster.Crash(0, 500*time.Millisecond)
			ha.awaitState(0, jo, "completed", 7*time.Second)
		})
	})
	t.Run("a worker that does not come back loses its runs when their lease expires", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), tasks(8, 2)))
			ha.sleep(time.Second)
			ha.cluster.Crash(0, 0)
			ha.awaitState(0, jo, "completed", leaseTime+6*time.Second)
		})
	})
	t.Run("a worker that is cut off for less than its lease keeps its runs", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(8, 2)))
			ha.sleep(time.Second)
			ha.cluster.RunnerOutage("", 0, fleet.Unresponsive)
			ha.sleep(6 * time.Second)
			ha.cluster.RunnerOutage("", 0, fleet.NoOutage)
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 8)
		})
	})
	t.Run("a worker that is cut off for longer than its lease runs nothing twice", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(30), tasks(4, 2)))
			ha.sleep(time.Second)
			at := ha.cluster.RunnersOf(jo.ID)[0]
			ha.cluster.RunnerOutage("", at, fleet.Reset)
			ha.sleep(20 * time.Second)
			ha.cluster.RunnerOutage("", at, fleet.NoOutage)
			ha.awaitState(0, jo, "completed", 40*time.Second)
		})
	})
	// Guards against work that is done again although it is known to be done (LOST).
	t.Run("a completion that is read after its task was started again counts", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8)))
			ha.sleep(time.Second)
			at := ha.cluster.RunnersOf(jo.ID)[0]
			ha.cluster.RunnerOutage("", at, fleet.Unresponsive)
			for ha.cluster.StartCount() == 1 {
				ha.sleep(50 * time.Millisecond)
			}
			ha.cluster.RunnerOutage("", at, fleet.NoOutage)
			ha.awaitState(0, jo, "completed", 4*time.Second)
			ha.sleep(10 * time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 2)
		})
	})
	t.Run("completions of a new incarnation are not dropped because of sequence numbers of the former one", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			ha.awaitState(0, ha.mustSubmit(0, ha.job(normalPrefix, seconds(0.5), tasks(6, 1))), "completed", 3*time.Second)
			ha.sleep(time.Second)
			ha.cluster.SetListingDelay(3 * time.Second)
			ha.cluster.Crash(0, 900*time.Millisecond)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(0.05), tasks(1, 1)))
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 7)
		})
	})
	t.Run("a worker that comes back idle is used again", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(3), tasks(2, 2)))
			ha.sleep(time.Second)
			ha.cluster.RunnerOutage("", 0, fleet.Reset)
			ha.sleep(20 * time.Second)
			ha.cluster.RunnerOutage("", 0, fleet.NoOutage)
			ha.awaitState(0, jo, "completed", time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 2) // completions while the worker was unreachable count
		})
	})
	t.Run("a draining worker gets no more work and its runs are checkpointed", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			checkpointing := tasks(4, 2)
			checkpointing.Checkpointing = true
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), checkpointing))
			ha.sleep(time.Second)
			ha.cluster.Drain(ha.cluster.RunnersOf(jo.ID)[0])
			ha.awaitState(0, jo, "completed", 14*time.Second)
		})
	})
	t.Run("commands that are carried out late start nothing twice", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.DelayCommands(0.5)
			var jobs []fleet.Job
			for range 4 {
				jobs = append(jobs, ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), tasks(4, 1))))
				jobs = append(jobs, ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), asGang(tasks(3, 2)))))
			}
			ha.sleep(10 * time.Second)
			ha.cluster.DelayCommands(0)
			for _, jo := range jobs {
				ha.awaitState(0, jo, "completed", 40*time.Second)
			}
		})
	})
	t.Run("a worker whose capacity shrinks and grows again gets as much work as it has room for", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), tasks(40, 1)))
			for _, count := range []meter.Accelerators{8, 3, 8} {
				ha.cluster.SetAccelerators(0, count)
				ha.sleep(3 * time.Second) // the runs of before have ended
				asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), int(count))
			}
			ha.awaitState(0, jo, "completed", 12*time.Second)
		})
	})
	t.Run("a worker that fails every run does not use up the attempts of jobs", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.SetRunnerFaults(0, true, false)
			var jobs []fleet.Job
			for range 6 {
				jobs = append(jobs, ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(4, 2))))
			}
			for _, jo := range jobs {
				ha.awaitState(0, jo, "completed", 20*time.Second)
			}
		})
	})
	t.Run("a worker that refuses commands is not used for some time", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.SetRunnerFaults(0, false, true)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(12, 2)))
			ha.awaitState(0, jo, "completed", 6*time.Second)
		})
	})
}

// runningInstance returns the index of a running instance.
func (ha *harness) runningInstance() int {
	for i, in := range ha.instances {
		select {
		case <-in.ended:
		default:
			return i
		}
	}
	ha.t.Fatalf("no instance is running")
	return -1
}
