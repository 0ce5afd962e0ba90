package participant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// settledTime is longer than a lease, so that leases of former leaders play no part any more.
const settledTime = leaseTime + time.Second

// expectOneRun submits a job of one task that fills a worker, disturbs it, and expects that the task is
// started only once and completes.
func expectOneRun(t *testing.T, disturb func(ha *harness, at int)) {
	t.Helper()
	runScenario(t, 3, 2, func(ha *harness) {
		ha.sleep(settledTime)
		jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8)))
		ha.sleep(2 * time.Second)
		disturb(ha, ha.cluster.RunnersOf(jo.ID)[0])
		ha.awaitState(0, jo, "completed", 10*time.Second)
		asserter.Equal(t, ha.cluster.StartCount(), 1)
	})
}

// TestEntriesProveNothing guards against work that is started elsewhere while it runs, because an entry of
// the registry that is older than the worker's own answers, or that another program wrote, was taken for
// the end of the worker's incarnation (TWICE).
func TestEntriesProveNothing(t *testing.T) {
	for name, change := range map[string]func(en *wire.Entry){
		"without an incarnation":      func(en *wire.Entry) { en.Born = 0 },
		"with an older incarnation":   func(en *wire.Entry) { en.Born -= 60_000 },
		"with an incarnation to come": func(en *wire.Entry) { en.Born += 1_000_000_000 },
	} {
		t.Run("an entry "+name, func(t *testing.T) {
			expectOneRun(t, func(ha *harness, at int) {
				ha.cluster.OverwriteEntry(at, change)
				ha.sleep(1500 * time.Millisecond)
				ha.cluster.OverwriteEntry(at, func(*wire.Entry) {})
			})
		})
		t.Run("an entry "+name+" of a worker that is silent for a moment", func(t *testing.T) {
			expectOneRun(t, func(ha *harness, at int) {
				ha.cluster.RunnerOutage("", at, fleet.Unresponsive)
				ha.sleep(time.Second)
				ha.cluster.OverwriteEntry(at, change)
				ha.sleep(3 * time.Second)
				ha.cluster.RunnerOutage("", at, fleet.NoOutage)
				ha.cluster.OverwriteEntry(at, func(*wire.Entry) {})
			})
		})
	}
	t.Run("the entry of a former incarnation that is read again after the worker has restarted", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.sleep(settledTime)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8)))
			ha.sleep(time.Second)
			ha.cluster.SetListingDelay(1500 * time.Millisecond)
			ha.cluster.Crash(ha.cluster.RunnersOf(jo.ID)[0], 100*time.Millisecond)
			for ha.cluster.StartCount() == 1 {
				ha.sleep(10 * time.Millisecond)
			}
			ha.cluster.Store.Compact()
			ha.awaitState(0, jo, "completed", 12*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 2)
		})
	})
}

// loseLeader powers off the leader, waits until another instance leads, and returns the former one.
func (ha *harness) loseLeader() int {
	former := ha.leader()
	ha.powerOff(former)
	for ha.leader() == former {
		ha.sleep(10 * time.Millisecond)
	}
	return former
}

// TestLostLeaders guards against work on an unreachable worker that waits 12 s longer than any lease can
// last, because a leader that was lost soon after its takeover knew of one before it (LOST).
func TestLostLeaders(t *testing.T) {
	t.Run("once the processes of all former leaders have ended, runs wait for one lease", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.sleep(settledTime)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(20), tasks(1, 8)))
			ha.sleep(2 * time.Second)
			ha.cluster.Crash(ha.cluster.RunnersOf(jo.ID)[0], 0)
			lost := []int{ha.loseLeader(), ha.loseLeader()}
			ha.sleep(2 * time.Second)
			for _, at := range lost {
				ha.restart(at)
			}
			ha.sleep(leaseTime + 2*time.Second) // the lease, the clock's drift, and the questions to the former leaders
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 1)
		})
	})
	// Guards against a process that acquired leadership without an answer, gave up, and so never tells the end
	// of a term that it never began.
	t.Run("a process that does not know that it leads ends that term", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.sleep(settledTime)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(20), tasks(1, 8)))
			ha.sleep(2 * time.Second)
			ha.cluster.Crash(ha.cluster.RunnersOf(jo.ID)[0], 0)
			former := ha.leader()
			ha.powerOff(former)
			ha.cluster.LoseNextResponses(1)
			unwitting := ha.awaitLeaderOtherThan(ha.instances[former].name)
			ha.cluster.StoreOutage(unwitting, fleet.Busy) // refuses to answer the repeated transaction
			ha.restart(former)
			ha.awaitLeaderOtherThan(unwitting)
			ha.sleep(leaseTime + 2*time.Second)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 1)
		})
	})
}

// TestReplacedWorker guards against work that waits for the leases of a worker at whose address another one
// answers, so that it has certainly ended (LOST).
func TestReplacedWorker(t *testing.T) {
	// Work must run again within 3 s, while it could.
	const within, down = 3 * time.Second, time.Second
	for name, lose := range map[string]func(ha *harness){
		"under the leader that saw its end": func(*harness) {},
		"under a new leader":                func(ha *harness) { ha.powerOff(ha.leader()) },
		"under the second new leader": func(ha *harness) {
			ha.loseLeader()
			ha.loseLeader()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, 2, func(ha *harness) {
				ha.sleep(settledTime)
				jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(20), tasks(1, 8)))
				ha.sleep(2 * time.Second)
				ha.cluster.Replace(ha.cluster.RunnersOf(jo.ID)[0], down)
				lose(ha)
				ha.sleep(down + within)
				asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 1)
			})
		})
	}
	t.Run("a worker that has restarted at another address is not taken for ended where it was", func(t *testing.T) {
		expectOneRun(t, func(ha *harness, at int) {
			other := fmt.Sprintf("runner-%02d:1", 1-at)
			ha.cluster.OverwriteEntry(at, func(en *wire.Entry) { en.Address, en.Born = other, en.Born-60_000 })
			ha.cluster.RunnerOutage("", at, fleet.Unresponsive)
			ha.sleep(4 * time.Second)
			ha.cluster.RunnerOutage("", at, fleet.NoOutage)
			ha.cluster.OverwriteEntry(at, func(*wire.Entry) {})
		})
	})
}

// TestManyEndedRuns guards against work that is done again because the list of ended runs that a worker
// returns was taken for complete, though it holds 500 at most (TWICE).
func TestManyEndedRuns(t *testing.T) {
	const jobs, tasksPerJob = 7, 220
	for name, disturb := range map[string]func(ha *harness){
		"under one leader": func(*harness) {},
		"under a new leader, which sends their starts again": func(ha *harness) {
			for at := range ha.instances {
				ha.kill(at)
			}
			ha.cluster.StoreOutage("", fleet.NoOutage)
			for at := range ha.instances {
				ha.restart(at)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, 1, func(ha *harness) {
				step := wire.StepBody{Count: tasksPerJob, CPU: 30, MemMb: 60, EstimateMs: 6000}
				var all []fleet.Job
				for i := range jobs {
					all = append(all, ha.mustSubmit(0, ha.job(batchPrefix, seconds(7+0.1*float64(jobs-i)), step)))
				}
				ha.sleep(6 * time.Second)
				asserter.Equal(t, ha.cluster.StartCount(), jobs*tasksPerJob)
				ha.cluster.StoreOutage("", fleet.Busy)
				ha.sleep(4500 * time.Millisecond)
				disturb(ha)
				ha.cluster.StoreOutage("", fleet.NoOutage)
				for _, jo := range all {
					ha.awaitState(0, jo, "completed", 15*time.Second)
				}
				asserter.Equal(t, ha.cluster.StartCount(), jobs*tasksPerJob)
			})
		})
	}
}

// TestLateStart guards against a start without an answer that the next incarnation of the worker executes,
// after a repeated one was confirmed and the task was started again elsewhere (TWICE).
func TestLateStart(t *testing.T) {
	for name, disturb := range map[string]func(ha *harness){
		"under one leader":   func(*harness) {},
		"under a new leader": func(ha *harness) { ha.kill(ha.leader()) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, 2, func(ha *harness) {
				ha.sleep(settledTime)
				ha.cluster.LetDelayedCommandsSurvive()
				ha.cluster.DelayCommands(1)
				jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8)))
				ha.sleep(100 * time.Millisecond)
				ha.cluster.DelayCommands(0)
				ha.sleep(time.Second)
				at := ha.cluster.RunnersOf(jo.ID)[0]
				disturb(ha)
				ha.sleep(300 * time.Millisecond)
				ha.cluster.SetRunnerFaults(at, false, true) // the task is started elsewhere
				ha.cluster.Crash(at, 50*time.Millisecond)
				ha.sleep(500 * time.Millisecond)
				ha.cluster.SetRunnerFaults(at, false, false)
				ha.sleep(15 * time.Second) // the late start arrives
				ha.awaitState(ha.leader(), jo, "completed", 10*time.Second)
			})
		})
	}
}

// TestHandover guards against work that is done again, or waited for, because its worker has left and only a
// former leader, which could not record it, knew that it was done (LOST).
func TestHandover(t *testing.T) {
	t.Run("a new leader learns of the ended runs that the former one could not record", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.sleep(settledTime)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(3), tasks(1, 8)))
			ha.sleep(2850 * time.Millisecond)
			at, former := ha.cluster.RunnersOf(jo.ID)[0], ha.leader()
			ha.cluster.StoreOutage(ha.instances[former].name, fleet.Reset)
			ha.sleep(300 * time.Millisecond)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 0)
			ha.cluster.Crash(at, 0)
			ha.sleep(1500 * time.Millisecond)
			asserter.Equal(t, ha.leader() != former, true)
			ha.cluster.StoreOutage(ha.instances[former].name, fleet.NoOutage)
			ha.awaitState(ha.leader(), jo, "completed", 2*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 1)
		})
	})
	// Guards against ends that a leader knows when it is stopped, and that nobody asks it for.
	t.Run("a leader that is stopped records the ended runs before it releases leadership", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.sleep(settledTime)
			first := ha.mustSubmit(0, ha.job(normalPrefix, seconds(3), tasks(1, 8)))
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(3.1), tasks(1, 8)))
			ha.sleep(2800 * time.Millisecond)
			at, former := ha.cluster.RunnersOf(jo.ID)[0], ha.leader()
			ha.cluster.SlowStore(50) // the end of the second job waits while that of the first is written
			ha.sleep(400 * time.Millisecond)
			asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 0)
			close(ha.instances[former].stop)
			ha.cluster.Crash(at, 0)
			ha.cluster.SlowStore(1)
			ha.sleep(2 * time.Second)
			ha.kill(former)
			ha.awaitState(ha.leader(), first, "completed", 2*time.Second)
			ha.awaitState(ha.leader(), jo, "completed", 2*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 2)
		})
	})
}
