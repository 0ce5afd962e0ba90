package participant_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

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
// review/10).
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
	t.Run("a job whose only run ended behind lost answers has started", func(t *testing.T) {
		runScenario(t, 3, 1, func(ha *harness) {
			second := tasks(1, 8)
			second.DependsOn = []int{0}
			first := ha.mustSubmit(0, ha.job(batchPrefix, seconds(30), tasks(1, 8)))
			ha.sleep(500 * time.Millisecond)
			ha.cluster.LoseResponses(1)
			ha.sleep(time.Second)
			ha.cluster.LoseResponses(0)
			ha.sleep(time.Second)
			_, state := ha.state(1, first)
			asserter.Equal(ha.t, state, "running")
			asserter.Equal(ha.t, ha.pending(1, batchPrefix), 0)
		})
	})
}
