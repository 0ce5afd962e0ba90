package participant_test

import (
	"strings"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
)

const (
	// unevenRunners is the number of workers, every second of which takes slow times as long.
	unevenRunners = 16
	slow          = 3.0
)

// setObjectives gives urgent work an objective that slow workers miss.
func (ha *harness) setObjectives() {
	ha.config.Version++
	ha.config.Routes[0].Stretch, ha.config.Routes[0].ObjectiveMs = 1.5, 100
	ha.cluster.Configure(ha.config)
	ha.sleep(time.Second)
}

// makeUneven makes every second worker slow, and has batch jobs run on all of them.
func (ha *harness) makeUneven() {
	for at := range unevenRunners {
		ha.cluster.SetSlowness(at, 1+float64(at%2)*(slow-1))
	}
	for range 6 {
		ha.runBatch()
	}
}

// runBatch submits a job that takes a part of every worker for one to three seconds.
func (ha *harness) runBatch() {
	ha.mustSubmit(ha.nonLeader(), ha.job(batchPrefix, seconds(1), tasks(4*unevenRunners, 2)))
	ha.sleep(4 * time.Second)
}

// knownSlow counts the workers that are known to be slow and are so, and those that are not.
func (ha *harness) knownSlow() (right, wrong int) {
	targets, _ := query[operator.TargetList](ha, ha.nonLeader(), "/v1/targets")
	for i, ta := range targets.Targets {
		switch {
		case ta.RunTimePercent < 130:
		case i%2 == 1:
			right++
		default:
			wrong++
		}
	}
	return right, wrong
}

// urgentOnSlow runs an urgent gang of four whole workers, and counts those of its workers that are slow.
func (ha *harness) urgentOnSlow() int {
	jo := ha.mustSubmit(ha.nonLeader(), ha.job(urgentPrefix, seconds(1), asGang(tasks(2, 8))))
	ha.sleep(500 * time.Millisecond)
	count := 0
	for _, at := range ha.cluster.RunnersOf(jo.ID) {
		count += at % 2
	}
	ha.awaitState(ha.nonLeader(), jo, "completed", 5*time.Second)
	return count
}

// TestUnevenWorkers runs work on workers of two speeds.
func TestUnevenWorkers(t *testing.T) {
	runScenario(t, 3, unevenRunners, func(ha *harness) {
		ha.setObjectives()
		ha.makeUneven()
		right, wrong := ha.knownSlow()
		asserter.Equal(ha.t, wrong, 0)
		asserter.Equal(ha.t, right, unevenRunners/2)
		asserter.Equal(ha.t, ha.urgentOnSlow(), 0)
	})
}

// TestLateOnSlowWorker has an urgent job on a worker that is known to be slow.
func TestLateOnSlowWorker(t *testing.T) {
	runScenario(t, 2, unevenRunners, func(ha *harness) {
		ha.setObjectives()
		ha.makeUneven()
		wide := asGang(tasks(unevenRunners, 8))
		wide.EstimateMs = 1000
		jo := ha.mustSubmit(0, ha.job(urgentPrefix, seconds(1), wide))
		ha.sleep(500 * time.Millisecond)
		why, _ := query[operator.Why](ha, 0, "/v1/jobs/"+jo.ID+"/why")
		if text := strings.Join(why.Lines, "\n"); !strings.Contains(text, "late because of slow workers") {
			ha.t.Fatalf("got %s", text)
		}
	})
}

// TestTakeoverRelearnsSpeeds kills the leader while batch work goes on: the next one has learned most
// speeds from the work that it finds five seconds after it has begun to lead.
func TestTakeoverRelearnsSpeeds(t *testing.T) {
	runScenario(t, 3, unevenRunners, func(ha *harness) {
		ha.setObjectives()
		ha.makeUneven()
		ha.mustSubmit(ha.nonLeader(), ha.job(batchPrefix, seconds(4), tasks(4*unevenRunners, 2)))
		ha.sleep(500 * time.Millisecond)
		former := ha.leader()
		name := ha.leaderName()
		ha.kill(former)
		ha.awaitLeaderOtherThan(name)
		ha.restart(former)
		ha.sleep(time.Second)
		ha.runBatch()
		right, wrong := ha.knownSlow()
		asserter.Equal(ha.t, wrong, 0)
		t.Logf("%d of %d slow workers are known", right, unevenRunners/2)
		if right < unevenRunners/4 {
			ha.t.Fatalf("%d of %d slow workers are known", right, unevenRunners/2)
		}
	})
}
