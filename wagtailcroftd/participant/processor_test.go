package participant_test

import (
	"strings"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

const (
	// callTime is the processor time that a call costs the leader, so that it makes 500 a second.
	callTime = 2 * time.Millisecond
	// burst is the number of tasks that come at once; their starts alone take the leader 4 s.
	burst = 2000
	// reclaimTime is how long after its acknowledgement guaranteed work must have begun.
	reclaimTime = 2700 * time.Millisecond
)

// TestSlowLink guards against a takeover that never ends because a table does not fit through the link
// within the time of one call (RECOVER, LOST).
func TestSlowLink(t *testing.T) {
	t.Run("a new leader reads all jobs, however many there are", func(t *testing.T) {
		runScenario(t, 2, 4, func(ha *harness) {
			for range 150 {
				jo := ha.job(batchPrefix, seconds(60), tasks(4, 8))
				jo.Body.Spec = strings.Repeat("x", 3000)
				ha.cluster.RegisterJob(jo)
				ha.mustSubmit(0, jo)
			}
			next := ha.nonLeader()
			ha.cluster.SetLink(ha.instances[next].name, 250_000)
			ha.kill(ha.leader())
			urgent := ha.mustSubmit(next, ha.job(urgentPrefix, seconds(1), tasks(1, 8)))
			ha.awaitState(next, urgent, "completed", 15*time.Second)
		})
	})
}

// runFullProcessorScenario runs fn on a leader whose processor is full of the starts of a burst, with
// 300 workers of 8 accelerators.
func runFullProcessorScenario(t *testing.T, fn func(ha *harness)) {
	t.Helper()
	runScenario(t, 2, 300, func(ha *harness) {
		ha.cluster.SetProcessor(ha.leaderName(), callTime)
		const perJob = 500
		for range burst / perJob {
			batch := ha.job(batchPrefix, seconds(30), tasks(perJob, 1))
			batch.Key = bobKey
			ha.mustSubmit(ha.nonLeader(), batch)
		}
		ha.sleep(200 * time.Millisecond)
		fn(ha)
	})
}

// TestFullProcessor guards against a leader that plans far more starts than it can send, so that
// guaranteed work begins late (RECLAIM) and the members of a gang wait for each other in vain (GANG).
func TestFullProcessor(t *testing.T) {
	t.Run("guaranteed work begins in time", func(t *testing.T) {
		runFullProcessorScenario(t, func(ha *harness) {
			var jobs []fleet.Job
			for range 4 {
				jobs = append(jobs, ha.mustSubmit(ha.nonLeader(), ha.job(urgentPrefix, seconds(8), asGang(tasks(7, 2)))))
				ha.sleep(reclaimTime)
				for _, jo := range jobs[len(jobs)-1:] {
					asserter.Equal(t, len(ha.cluster.RunnersOf(jo.ID)), 7)
				}
			}
		})
	})
	t.Run("gangs start whole beside other work", func(t *testing.T) {
		runFullProcessorScenario(t, func(ha *harness) {
			var jobs []fleet.Job
			for range 8 {
				jobs = append(jobs, ha.mustSubmit(ha.nonLeader(), ha.job(normalPrefix, seconds(2), asGang(tasks(24, 1)))))
			}
			for _, jo := range jobs {
				ha.awaitState(ha.nonLeader(), jo, "completed", 20*time.Second)
			}
			asserter.Equal(t, ha.cluster.AloneCount(), 0)
		})
	})
}
