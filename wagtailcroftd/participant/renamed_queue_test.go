package participant_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// configure puts a new version of the configuration in force, with the routes that change returns.
func (ha *harness) configure(change func(routes []wire.Route) []wire.Route) {
	ha.config.Version++
	ha.config.Routes = change(slices.Clone(ha.config.Routes))
	ha.cluster.Configure(ha.config)
	ha.sleep(time.Second)
}

// withoutRoute returns a change that removes the route with a path.
func withoutRoute(prefix string) func([]wire.Route) []wire.Route {
	return func(routes []wire.Route) []wire.Route {
		return slices.DeleteFunc(routes, func(ro wire.Route) bool { return ro.PathPrefix == prefix })
	}
}

// renamed returns a change that gives the route with a path another name.
func renamed(prefix, name string) func([]wire.Route) []wire.Route {
	return func(routes []wire.Route) []wire.Route {
		for i := range routes {
			if routes[i].PathPrefix == prefix {
				routes[i].Name = name
			}
		}
		return routes
	}
}

// awaitDone waits until the leader has recorded a job as completed, whatever routes there are to ask by.
func (ha *harness) awaitDone(jo fleet.Job, within time.Duration) {
	for began := time.Now(); ha.cluster.Store.Get("ended", jo.ID) == nil; ha.sleep(50 * time.Millisecond) {
		if time.Since(began) > within {
			ha.t.Fatalf("job %s has not ended within %v", jo.ID, within)
		}
	}
}

// submitAndChange submits a job and, after some time, puts another configuration in force.
func (ha *harness) submitAndChange(jo fleet.Job, after time.Duration, change func([]wire.Route) []wire.Route) fleet.Job {
	ha.mustSubmit(0, jo)
	ha.sleep(after)
	ha.configure(change)
	return jo
}

// TestRenamedQueue guards against accepted jobs of which nothing is started any more after a configuration has
// renamed or removed their queue (LOST, review/12).
func TestRenamedQueue(t *testing.T) {
	second := tasks(2, 1)
	second.DependsOn = []int{0}
	t.Run("a job of a renamed queue is completed", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.submitAndChange(ha.job(normalPrefix, seconds(2), tasks(2, 8), second), time.Second, renamed(normalPrefix, "other"))
			ha.awaitState(1, jo, "completed", 8*time.Second)
		})
	})
	t.Run("so is one of a removed queue after a change of leader", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.submitAndChange(ha.job(normalPrefix, seconds(2), tasks(2, 8), second), time.Second, withoutRoute(normalPrefix))
			ha.kill(ha.leader())
			ha.awaitDone(jo, 12*time.Second)
		})
	})
	t.Run("its limit of attempts goes on", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			failing := ha.job(normalPrefix, fleet.Behavior{RunTime: 4 * time.Second, FailedRuns: 99}, tasks(1, 1))
			jo := ha.submitAndChange(failing, 500*time.Millisecond, renamed(normalPrefix, "other"))
			ha.awaitState(1, jo, "failed", 12*time.Second)
		})
	})
	t.Run("so does its advice", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			jo := ha.submitAndChange(ha.job(advisedPrefix, seconds(2), tasks(2, 1), second), time.Second, withoutRoute(advisedPrefix))
			ha.awaitDone(jo, 8*time.Second)
		})
	})
	t.Run("its running work is not taken for urgent", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			ha.submitAndChange(ha.job(batchPrefix, seconds(20), tasks(2, 8)), time.Second, withoutRoute(batchPrefix))
			jo := ha.job(urgentPrefix, seconds(1), tasks(1, 8))
			jo.Key = bobKey // has no guarantee
			ha.mustSubmit(0, jo)
			ha.awaitState(0, jo, "completed", 5*time.Second)
		})
	})
	t.Run("a queue that is still there follows its newest version", func(t *testing.T) {
		runScenario(t, 3, 2, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, fleet.Behavior{RunTime: 4 * time.Second, FailedRuns: 99}, tasks(1, 1)))
			ha.configure(func(routes []wire.Route) []wire.Route {
				for i := range routes {
					routes[i].MaxAttempts = 1
				}
				return routes
			})
			ha.awaitState(1, jo, "failed", 3*time.Second)
			asserter.Equal(ha.t, ha.cluster.StartCount(), 1)
		})
	})
}

// TestRenamedQueueAlways plays random series of configurations that rename and remove queues, with changes of
// leader between them: each accepted job ends (LOST, review/12).
func TestRenamedQueueAlways(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"rename", "remove", "restore", "submit", "kill"}), 2, 6).Draw(rt, "steps")
		runDrawnScenario(t, rt, 3, 2, false, func(ha *harness) {
			first := ha.config.Routes[1]
			jobs := []fleet.Job{ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(3, 8), tasks(1, 8)))}
			for i, step := range steps {
				switch step {
				case "rename":
					ha.configure(renamed(normalPrefix, fmt.Sprintf("name-%d", i)))
				case "remove":
					ha.configure(withoutRoute(normalPrefix))
				case "restore":
					ha.configure(func(routes []wire.Route) []wire.Route {
						return append(withoutRoute(normalPrefix)(routes), first)
					})
				case "submit":
					if jo := ha.job(normalPrefix, seconds(1), tasks(3, 8)); ha.submit(0, jo) == 200 {
						jobs = append(jobs, jo)
					}
				case "kill":
					at := ha.leader()
					ha.kill(at)
					ha.restart(at)
					ha.sleep(2 * time.Second)
				}
			}
			for _, jo := range jobs {
				ha.awaitDone(jo, 25*time.Second)
			}
		})
	})
}
