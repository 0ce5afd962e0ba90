package participant_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// pendingAge is how old a count of pending jobs may be.
const pendingAge = 2 * time.Second

// pending returns the number of pending jobs that an instance gives for a queue.
func (ha *harness) pending(at int, prefix string) int {
	_, answer, _ := ha.call(at, http.MethodGet, prefix, aliceKey, struct{}{})
	var body wire.PendingBody
	asserter.NoError(ha.t, json.Unmarshal(answer, &body))
	return body.Pending
}

// refuseStarts makes all workers refuse starts, or accept them again.
func (ha *harness) refuseStarts(refuse bool, runners int) {
	for i := range runners {
		ha.cluster.SetRunnerFaults(i, false, refuse)
	}
}

// TestPendingJobs guards against counts of pending jobs that leave out jobs whose starts were refused (MIXED,
// review/10), and against counts that a change of leader leaves behind.
func TestPendingJobs(t *testing.T) {
	t.Run("a job whose starts are refused is pending, also after a change of leader", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			ha.refuseStarts(true, 1)
			for range 3 {
				ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
			}
			ha.sleep(3 * time.Second)
			asserter.Equal(ha.t, ha.pending(1, normalPrefix), 3)
			ha.kill(ha.leader())
			ha.sleep(5 * time.Second)
			asserter.Equal(ha.t, ha.pending(ha.leader(), normalPrefix), 3)
			ha.refuseStarts(false, 1)
			ha.sleep(4 * time.Second)
			asserter.Equal(ha.t, ha.pending(ha.leader(), normalPrefix), 0)
		})
	})
	t.Run("a new leader corrects a count that the former one left", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			ha.refuseStarts(true, 1)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 1)))
			ha.sleep(2 * time.Second)
			ha.kill(ha.leader())
			for at := range ha.instances {
				if status, _, _ := ha.call(at, http.MethodDelete, normalPrefix+jo.ID, aliceKey, struct{}{}); status == http.StatusOK {
					break
				}
			}
			ha.sleep(5 * time.Second)
			asserter.Equal(ha.t, ha.pending(ha.leader(), normalPrefix), 0)
		})
	})
	t.Run("a job of which a run has ended behind lost answers has started", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			never := tasks(1, 1)
			never.Requires = "no-such-label"
			ha.cluster.DelayCommands(1)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(0.01), tasks(1, 1), never))
			ha.sleep(8 * time.Second)
			_, state := ha.state(1, jo)
			asserter.Equal(ha.t, state, "running")
			asserter.Equal(ha.t, ha.pending(1, normalPrefix), 0)
		})
	})
}

// TestPendingJobsAlways compares the counts of pending jobs with the jobs of which no worker has started a task,
// under random series of refusals, lost answers and changes of leader (MIXED, review/10).
func TestPendingJobsAlways(t *testing.T) {
	const runners = 2
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"submit", "submit", "refuse", "accept", "lose", "answer", "cancel", "kill"}), 3, 10).Draw(rt, "steps")
		runDrawnScenario(t, rt, 3, runners, false, func(ha *harness) {
			var jobs, cancelled []fleet.Job
			cancel := func(jo fleet.Job) int {
				status, _, _ := ha.call(0, http.MethodDelete, normalPrefix+jo.ID, aliceKey, struct{}{})
				return status
			}
			for _, step := range steps {
				switch step {
				case "submit":
					jo := ha.job(normalPrefix, seconds(1), tasks(2, 4))
					jobs = append(jobs, jo)
					ha.submit(0, jo)
				case "refuse", "accept":
					ha.refuseStarts(step == "refuse", runners)
				case "lose", "answer":
					share := map[string]float64{"lose": 0.5}[step]
					ha.cluster.LoseResponses(share)
					ha.cluster.DelayCommands(share)
				case "cancel":
					if len(jobs) > 0 {
						cancelled, jobs = append(cancelled, jobs[0]), jobs[1:]
						cancel(cancelled[len(cancelled)-1])
					}
				case "kill":
					at := ha.leader()
					ha.kill(at)
					ha.restart(at)
				}
				ha.sleep(500 * time.Millisecond)
			}
			ha.cluster.LoseResponses(0)
			ha.cluster.DelayCommands(0)
			ha.sleep(6 * time.Second)
			for _, jo := range jobs {
				ha.mustSubmit(0, jo) // its first answer may have been lost
			}
			for _, jo := range cancelled {
				if status := cancel(jo); status != http.StatusOK && status != http.StatusGone {
					ha.t.Fatalf("the cancellation of job %s is answered with %d", jo.ID, status)
				}
			}
			ha.sleep(4*time.Second + pendingAge)
			waiting := 0
			for _, jo := range jobs {
				if !ha.cluster.HasStarted(jo.ID) {
					waiting++
				}
			}
			for at := range ha.instances {
				asserter.Equal(ha.t, ha.pending(at, normalPrefix), waiting)
			}
		})
	})
}
