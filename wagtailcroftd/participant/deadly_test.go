package participant_test

import (
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// deadly is the behavior of tasks that crash each worker that starts them.
var deadly = fleet.Behavior{RunTime: 5 * time.Second, Deadly: true}

// submitOrdinary submits jobs that together occupy a part of the workers for some time.
func (ha *harness) submitOrdinary(jobs int) []fleet.Job {
	var all []fleet.Job
	for range jobs {
		all = append(all, ha.mustSubmit(0, ha.job(batchPrefix, seconds(6), tasks(4, 1))))
	}
	return all
}

// TestDeadlyTasks guards against a task that crashes worker after worker because crashes are not
// counted (BUDGET), and against other tasks that pay for it (LOST).
func TestDeadlyTasks(t *testing.T) {
	for name, step := range map[string]wire.StepBody{
		"a single task": tasks(1, 4), "a step of tasks": tasks(8, 1), "a gang": asGang(tasks(3, 1)),
	} {
		t.Run("the job fails after few crashes, and all others complete: "+name, func(t *testing.T) {
			runScenario(t, 3, 16, func(ha *harness) {
				ordinary := ha.submitOrdinary(6)
				jo := ha.mustSubmit(0, ha.job(normalPrefix, deadly, step))
				ha.awaitState(0, jo, "failed", 30*time.Second)
				ordinary = append(ordinary, ha.submitOrdinary(4)...)
				for _, other := range ordinary {
					ha.awaitState(0, other, "completed", 90*time.Second)
				}
				if crashes, most := ha.cluster.CrashCount(), 2*step.Count+1; crashes > most {
					t.Errorf("%d workers have crashed, more than %d", crashes, most)
				}
			})
		})
	}
	t.Run("crashes are counted across a change of leader", func(t *testing.T) {
		runScenario(t, 3, 16, func(ha *harness) {
			ordinary := ha.submitOrdinary(6)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, deadly, tasks(1, 4)))
			for range 2 {
				ha.sleep(2 * time.Second)
				former := ha.leader()
				ha.kill(former)
				ha.sleep(2 * time.Second)
				ha.restart(former)
			}
			ha.awaitState(0, jo, "failed", 90*time.Second)
			for _, other := range ordinary {
				ha.awaitState(0, other, "completed", 90*time.Second)
			}
		})
	})
	t.Run("tasks whose worker is only cut off, again and again, are not given up", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(6), tasks(1, 8)))
			for range 4 {
				ha.sleep(500 * time.Millisecond)
				for at := range 2 {
					ha.cluster.RunnerOutage("", at, fleet.Reset)
				}
				ha.sleep(14 * time.Second)
				for at := range 2 {
					ha.cluster.RunnerOutage("", at, fleet.NoOutage)
				}
			}
			ha.awaitState(0, jo, "completed", 30*time.Second)
			asserter.Equal(t, ha.cluster.CrashCount(), 0)
		})
	})
	// Guards against jobs that are given up because of an outage that many workers shared (LOST).
	t.Run("tasks whose workers crash together with others are not given up", func(t *testing.T) {
		runScenario(t, 3, 8, func(ha *harness) {
			const affected = 5
			var jobs []fleet.Job
			for range 8 {
				jobs = append(jobs, ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8))))
			}
			for range 4 {
				ha.sleep(500 * time.Millisecond)
				for at := range affected {
					ha.cluster.RunnerOutage("", at, fleet.Unresponsive)
				}
				ha.sleep(time.Second)
				for at := range affected {
					ha.cluster.Crash(at, time.Second)
				}
				ha.sleep(3 * time.Second)
				for at := range affected {
					ha.cluster.RunnerOutage("", at, fleet.NoOutage)
				}
				ha.sleep(time.Second)
			}
			for _, jo := range jobs {
				ha.awaitState(0, jo, "completed", 60*time.Second)
			}
		})
	})
	// Guards against an outage that is not recognized because idle workers, which nobody polls, are found to
	// have gone silent later than busy ones (LOST).
	t.Run("tasks whose workers crash together with idle ones are not given up", func(t *testing.T) {
		runScenario(t, 3, 6, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8)))
			for range 4 {
				ha.sleep(500 * time.Millisecond)
				for at := range 6 {
					ha.cluster.Crash(at, 2*time.Second)
				}
				ha.sleep(3 * time.Second)
			}
			ha.awaitState(0, jo, "completed", 60*time.Second)
		})
	})
	// Guards against jobs that are shown as failed though no run has failed, because their workers crashed for
	// other causes (LOST).
	t.Run("a task whose workers crash twice soon after its start is not given up", func(t *testing.T) {
		runScenario(t, 3, 3, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(6), tasks(1, 8)))
			for range 2 {
				ha.sleep(1500 * time.Millisecond)
				ha.cluster.Crash(ha.cluster.RunnersOf(jo.ID)[0], time.Second)
				ha.sleep(2 * time.Second)
			}
			ha.awaitState(0, jo, "completed", 30*time.Second)
		})
	})
	t.Run("gangs and wide steps whose workers crash one at a time are not given up", func(t *testing.T) {
		runScenario(t, 3, 8, func(ha *harness) {
			jobs := []fleet.Job{
				ha.mustSubmit(0, ha.job(normalPrefix, seconds(6), asGang(tasks(4, 8)))),
				ha.mustSubmit(0, ha.job(normalPrefix, seconds(6), tasks(4, 8))),
			}
			for i := range 20 {
				ha.sleep(2 * time.Second)
				ha.cluster.Crash(i*3%8, time.Second)
			}
			for _, jo := range jobs {
				ha.awaitState(0, jo, "completed", 60*time.Second)
			}
		})
	})
	t.Run("a task that has run for long when its workers crash is not given up", func(t *testing.T) {
		runScenario(t, 3, 3, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(1, 8)))
			for range 4 {
				ha.sleep(8 * time.Second) // 3 s until the worker is back, and a run of over 4 s
				ha.cluster.Crash(ha.cluster.RunnersOf(jo.ID)[0], 3*time.Second)
			}
			ha.awaitState(0, jo, "completed", 30*time.Second)
		})
	})
}
