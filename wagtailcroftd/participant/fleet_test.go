package participant_test

import (
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// TestLargeFleet has more busy workers than a leader polls at the same time in small deployments.
func TestLargeFleet(t *testing.T) {
	const workers, tasksOfJob = 1400, 100
	for name, limit := range map[string]int{
		"the leases of all busy workers are renewed in time":                              maxPolls,
		"the leases of all busy workers are renewed in time, also where polls take turns": 200,
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, workers, func(ha *harness) {
				ha.restartAllWith(limit)
				var jobs []fleet.Job
				for range workers / tasksOfJob {
					jobs = append(jobs, ha.mustSubmit(0, ha.job(normalPrefix, seconds(25), tasks(tasksOfJob, 8))))
				}
				ha.sleep(30 * time.Second)
				for _, jo := range jobs {
					ha.awaitState(0, jo, "completed", 5*time.Second)
				}
				asserter.Equal(t, ha.cluster.StartCount(), workers)
			})
		})
	}
}

// restartAllWith restarts all instances with a number of polls that may be in progress.
func (ha *harness) restartAllWith(polls int) {
	ha.maxPolls = polls
	for i := range ha.instances {
		ha.kill(i)
	}
	for i := range ha.instances {
		ha.restart(i)
	}
	ha.sleep(3 * time.Second)
}
