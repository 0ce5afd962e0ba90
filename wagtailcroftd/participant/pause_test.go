package participant_test

import (
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

const (
	startPath       = "/v1/run-start"
	stopPath        = "/v1/run-stop"
	maintenancePath = "/v1/machine-upkeep"
	pauseTime       = 5 * time.Second
)

// pauseBefore pauses the leader's process for pauseTime when it is about to send its next command to
// a path, and returns the index of this leader.
func (ha *harness) pauseBefore(path string, point fleet.PausePoint) int {
	former := ha.leader()
	ha.cluster.BeforeNext(ha.instances[former].name, path, func() { ha.pause(former, pauseTime, point) })
	return former
}

// TestPausedLeader pauses the leader's process when it is about to send a command, on workers and
// machines that check no fencing tokens. The cluster reports a command that arrives with a lower token
// than an earlier one.
func TestPausedLeader(t *testing.T) {
	for name, point := range map[string]fleet.PausePoint{"before the check": fleet.BeforeCheck, "between check and write": fleet.AfterCheck} {
		t.Run("a start that a pause delayed: "+name, func(t *testing.T) {
			runUnfencedScenario(t, 3, 4, func(ha *harness) {
				former := ha.pauseBefore(startPath, point)
				jo := ha.mustSubmit(ha.nonLeader(), ha.job(normalPrefix, seconds(8), tasks(8, 1)))
				ha.sleep(pauseTime + time.Second)
				asserter.Equal(t, ha.leader() != former, true)
				ha.awaitState(ha.leader(), jo, "completed", 20*time.Second)
				asserter.Equal(t, ha.cluster.StartCount(), 8)
			})
		})
		t.Run("a stop that a pause delayed: "+name, func(t *testing.T) {
			runUnfencedScenario(t, 3, 4, func(ha *harness) {
				batch := ha.job(batchPrefix, seconds(8), tasks(32, 1))
				batch.Key = bobKey
				ha.mustSubmit(0, batch)
				ha.sleep(time.Second)
				ha.pauseBefore(stopPath, point)
				urgent := ha.mustSubmit(ha.nonLeader(), ha.job(urgentPrefix, seconds(1), asGang(tasks(2, 8))))
				ha.sleep(pauseTime + time.Second)
				ha.awaitState(ha.leader(), urgent, "completed", 8*time.Second)
				ha.awaitState(ha.leader(), batch, "completed", 40*time.Second)
			})
		})
		t.Run("a maintenance command that a pause delayed: "+name, func(t *testing.T) {
			runUnfencedScenario(t, 3, 6, func(ha *harness) {
				ha.pauseBefore(maintenancePath, point)
				ha.cluster.RequestWave(1, 6, 1)
				ha.sleep(60 * time.Second)
				total, maxAtOnce := ha.cluster.Maintenances()
				asserter.Equal(t, total, 6)
				asserter.Equal(t, maxAtOnce, 1)
				asserter.Equal(t, string(ha.cluster.Store.Get("status", "wave/1")), `{"state":"completed"}`)
			})
		})
	}
	t.Run("a leader that was paused while it became the leader", func(t *testing.T) {
		runUnfencedScenario(t, 3, 4, func(ha *harness) {
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(20), tasks(8, 1)))
			ha.sleep(time.Second)
			former := ha.leader()
			for i, in := range ha.instances {
				if i != former {
					ha.cluster.BeforeNext(in.name, "/v1/rows-tx", func() { ha.pause(i, pauseTime, fleet.AfterCheck) })
				}
			}
			ha.kill(former)
			ha.restart(former)
			ha.sleep(pauseTime + 2*time.Second)
			ha.awaitState(ha.leader(), jo, "completed", 40*time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 8)
		})
	})
}
