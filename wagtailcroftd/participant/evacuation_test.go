package participant_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

// learnTime is how long an instance takes at most to learn of a row while nothing is disturbed.
const learnTime = 100 * time.Millisecond

// assertOnlyIn checks that the running tasks of a job are all in a zone of the stand-in.
func (ha *harness) assertOnlyIn(zone int, jo fleet.Job) {
	ha.t.Helper()
	for _, at := range ha.cluster.RunnersOf(jo.ID) {
		asserter.Equal(ha.t, at%len(zones), zone)
	}
}

// TestEvacuation guards against starts in a zone from which operators have asked to take the work (EVAC).
// The cluster reports each start there that is later than the bound.
func TestEvacuation(t *testing.T) {
	t.Run("nothing starts in the zone, what runs there goes on, and it is used again at once", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			first := ha.mustSubmit(0, ha.job(normalPrefix, seconds(8), tasks(4, 8)))
			ha.awaitState(0, first, "running", time.Second)
			ha.sleep(time.Second)
			ha.cluster.Evacuate(zones[0])
			ha.sleep(learnTime)
			second := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(24, 2)))
			ha.sleep(9 * time.Second)
			ha.awaitState(0, first, "completed", time.Second)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), 2)
			ha.awaitState(0, second, "completed", 10*time.Second)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), 2)
			ha.mustSubmit(0, ha.job(normalPrefix, seconds(5), tasks(16, 2)))
			ha.sleep(learnTime)
			ha.cluster.TakeBack(zones[0])
			ha.sleep(500 * time.Millisecond)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), 10)
			asserter.Equal(t, ha.cluster.StartCount(), 4+24+16)
		})
	})
	t.Run("all zones: nothing starts until one is taken back", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			for _, zone := range zones {
				ha.cluster.Evacuate(zone)
			}
			ha.sleep(learnTime)
			jo := ha.mustSubmit(0, ha.job(urgentPrefix, seconds(1), asGang(tasks(2, 8))))
			ha.sleep(10 * time.Second)
			asserter.Equal(t, ha.cluster.StartCount(), 0)
			ha.cluster.TakeBack(zones[1])
			ha.awaitState(0, jo, "completed", 2*time.Second)
		})
	})
	t.Run("a zone that is evacuated, taken back and evacuated within a second", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			for range 3 {
				ha.cluster.Evacuate(zones[0])
				ha.sleep(150 * time.Millisecond)
				ha.cluster.TakeBack(zones[0])
				ha.sleep(150 * time.Millisecond)
			}
			ha.cluster.Evacuate(zones[0])
			ha.sleep(learnTime)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(12, 4)))
			ha.awaitState(0, jo, "completed", 6*time.Second)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), 0)
		})
	})
	t.Run("a store that has forgotten the end of an evacuation, and its beginning", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.Evacuate(zones[0])
			ha.sleep(learnTime)
			ha.cluster.StoreOutage("", fleet.Busy)
			ha.cluster.TakeBack(zones[0])
			ha.cluster.Evacuate(zones[1])
			ha.cluster.Store.Compact()
			ha.cluster.StoreOutage("", fleet.NoOutage)
			ha.sleep(3 * time.Second)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(2), tasks(4, 4)))
			ha.sleep(time.Second)
			ha.assertOnlyIn(0, jo)
			ha.awaitState(0, jo, "completed", 4*time.Second)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[1]), 0)
		})
	})
	t.Run("rows that are malformed or name an unknown zone harm nothing", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.Store.Put("op", "evacuate/"+zones[0], "no object")
			ha.cluster.Store.Put("op", "evacuate/"+zones[1], nil)
			ha.cluster.Store.Put("op", "evacuate/", struct{}{})
			ha.cluster.Store.Put("op", "evacuate/nowhere", struct{}{})
			ha.sleep(time.Second)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(4, 8)))
			ha.awaitState(0, jo, "completed", 1500*time.Millisecond)
		})
	})
	t.Run("cold workers are taken last", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.SetCold(0, 4*time.Second)
			ha.cluster.SetCold(2, 4*time.Second)
			ha.sleep(500 * time.Millisecond)
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(6), tasks(8, 2)))
			ha.awaitState(0, jo, "running", time.Second)
			ha.sleep(500 * time.Millisecond)
			ha.assertOnlyIn(1, jo)
			ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(1, 2)))
			ha.sleep(500 * time.Millisecond)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), 1)
		})
	})
}

// TestEvacuationView checks what operators see of an evacuation, at every instance.
func TestEvacuationView(t *testing.T) {
	t.Run("the zone, what still runs there, and the jobs and guarantees that lack it", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			running := ha.mustSubmit(0, ha.job(normalPrefix, seconds(60), tasks(4, 2)))
			ha.awaitState(0, running, "running", time.Second)
			ha.sleep(500 * time.Millisecond)
			inZone := 0
			for _, at := range ha.cluster.RunnersOf(running.ID) {
				if at%len(zones) == 0 {
					inZone++
				}
			}
			version := ha.cluster.Evacuate(zones[0])
			ha.cluster.Evacuate("nowhere")
			waiting := ha.mustSubmit(0, ha.job(batchPrefix, seconds(1), asGang(tasks(3, 8))))
			ha.sleep(time.Second)
			for at := range ha.instances {
				list, _ := query[operator.ZoneList](ha, at, "/v1/zones")
				asserter.Equal(t, len(list.Zones), 3)
				asserter.Equal(t, list.Zones[0].Zone, "nowhere")
				asserter.Equal(t, list.Zones[0].Workers, 0)
				asserter.Equal(t, list.Zones[1].Evacuated, true)
				asserter.Equal(t, int64(list.Zones[1].RowVersion), version)
				asserter.Equal(t, list.Zones[1].Workers, 2)
				asserter.Equal(t, len(list.Zones[1].Tasks), inZone)
				asserter.Equal(t, list.Zones[2].Evacuated, false)
				why, _ := query[operator.Why](ha, at, "/v1/jobs/"+waiting.ID+"/why")
				assertContains(t, why.Lines, fmt.Sprintf("zone z0 is evacuated by row version %d: its 2 workers get no new runs", version))
				targets, _ := query[operator.TargetList](ha, at, "/v1/targets")
				asserter.Equal(t, targets.Targets[0].State, operator.TargetViewStateEvacuated)
				asserter.Equal(t, targets.Targets[1].State, operator.TargetViewStateLive)
				workspaces, _ := query[operator.WorkspaceList](ha, at, "/v1/workspaces")
				asserter.Equal(t, workspaces.Workspaces[0].Unreclaimable, 0) // 16 are guaranteed, 16 are left
			}
			ha.cluster.Evacuate(zones[1])
			ha.sleep(learnTime)
			workspaces, _ := query[operator.WorkspaceList](ha, 0, "/v1/workspaces")
			asserter.Equal(t, workspaces.Workspaces[0].Unreclaimable, 16)
			ha.cluster.TakeBack(zones[0])
			ha.cluster.TakeBack(zones[1])
			ha.cluster.TakeBack("nowhere")
			ha.sleep(learnTime)
			list, _ := query[operator.ZoneList](ha, 0, "/v1/zones")
			asserter.Equal(t, len(list.Zones), 2)
			asserter.Equal(t, list.Zones[0].Evacuated, false)
		})
	})
	t.Run("the metrics count it", func(t *testing.T) {
		runScenario(t, 1, 2, func(ha *harness) {
			ha.cluster.Evacuate(zones[0])
			ha.sleep(learnTime)
			ha.cluster.TakeBack(zones[0])
			ha.sleep(learnTime)
			re := httptest.NewRecorder()
			ha.instances[0].pa.MetricsHandler().ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
			for _, label := range []string{"begun", "ended"} {
				asserter.Equal(t, strings.Contains(re.Body.String(), `wagtailcroft_evacuations_total{label="`+label+`"} 1`), true)
			}
		})
	})
}

// TestEvacuationFaults plays faults in the midst of an evacuation.
func TestEvacuationFaults(t *testing.T) {
	t.Run("a new leader starts nothing in the zone", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			running := ha.mustSubmit(0, ha.job(normalPrefix, seconds(9), tasks(4, 4)))
			ha.awaitState(0, running, "running", time.Second)
			ha.sleep(time.Second)
			before := ha.cluster.StartCountIn(zones[0])
			ha.cluster.Evacuate(zones[0])
			ha.kill(ha.leader())
			jo := ha.mustSubmit(ha.runningInstance(), ha.job(normalPrefix, seconds(1), tasks(16, 2)))
			ha.awaitState(ha.runningInstance(), jo, "completed", 20*time.Second)
			ha.awaitState(ha.runningInstance(), running, "completed", 10*time.Second)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), before)
			asserter.Equal(t, ha.cluster.StartCount(), 4+16)
		})
	})
	for name, alone := range map[string]bool{"which is replaced": false, "which stays the leader": true} {
		t.Run("a leader that freezes between reading and sending, "+name, func(t *testing.T) {
			count := 3
			if alone {
				count = 1
			}
			runUnfencedScenario(t, count, 4, func(ha *harness) {
				ha.pauseBefore(startPath, fleet.BeforeCheck)
				jo := ha.mustSubmit((ha.leader()+1)%count, ha.job(normalPrefix, seconds(1), tasks(8, 2)))
				for _, zone := range zones {
					ha.cluster.Evacuate(zone)
				}
				ha.sleep(pauseTime + 4*time.Second)
				asserter.Equal(t, ha.cluster.StartCount(), 0)
				ha.cluster.TakeBack(zones[1])
				ha.awaitState(ha.leader(), jo, "completed", 12*time.Second)
				asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), 0)
			})
		})
	}
	t.Run("a store that is slow in the midst", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			ha.cluster.SlowStore(60)
			ha.cluster.Evacuate(zones[0])
			ha.sleep(2 * time.Second)
			before := ha.cluster.StartCountIn(zones[0])
			for range 6 {
				ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(4, 4)))
				ha.sleep(time.Second)
			}
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]), before)
			ha.cluster.TakeBack(zones[0])
			jo := ha.mustSubmit(0, ha.job(normalPrefix, seconds(1), tasks(24, 4)))
			ha.awaitState(0, jo, "completed", 12*time.Second)
			ha.cluster.SlowStore(1)
			asserter.Equal(t, ha.cluster.StartCountIn(zones[0]) > before, true)
		})
	})
	t.Run("a leader that the store does not answer sends nothing that it may not know of", func(t *testing.T) {
		runScenario(t, 3, 4, func(ha *harness) {
			former := ha.leader()
			ha.cluster.StoreOutage(ha.instances[former].name, fleet.Unresponsive)
			ha.cluster.Evacuate(zones[0])
			for range 8 {
				ha.mustSubmit((former+1)%3, ha.job(normalPrefix, seconds(1), tasks(4, 4)))
				ha.sleep(time.Second)
			}
			ha.cluster.StoreOutage(ha.instances[former].name, fleet.NoOutage)
			ha.sleep(2 * time.Second)
		})
	})
}
