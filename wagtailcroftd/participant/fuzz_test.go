package participant_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/seeder"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

const (
	fuzzInstances = 3
	fuzzRunners   = 6
	// healTime is long enough to recover from any fault: for the lease of a former leader to
	// expire, for the longest ban of a worker to end, and for the work to be run again.
	healTime = 90 * time.Second
)

var eventKinds = []string{
	"submit", "submit", "submit", "submit", "cancel", "kill", "leaderKill", "leaderCut", "stop", "storeDown", "storeBusy", "storeSlow",
	"storeLosesAnswers", "storeCompact", "lateCommands", "runnerCrash", "runnerCrash", "runnerCut", "runnerReset", "runnerFailing", "runnerRefusing", "runnerDrain", "killAll", "asymmetricCut",
	"leaderPause", "leaderPauseInGap", "evacuate", "evacuate", "evacuateAll",
}

type (
	// event is one event of a script, which happens after a pause.
	event struct {
		After time.Duration
		Kind  string
		// Index selects an instance, a runner or a job.
		Index int
		// HealAfter is how long a fault lasts.
		HealAfter time.Duration
		Job       jobSpec
	}

	// jobSpec describes a job of a script.
	jobSpec struct {
		Prefix      string
		Count       int
		GPU         int32
		Gang        bool
		Checkpoints bool
		Steps       int
		RunTime     time.Duration
		// FailedRuns is the number of runs of each task that fail before one succeeds.
		FailedRuns int
	}

	// failure carries a failed assertion out of the bubble.
	failure struct{ text string }

	// panickingTest is an asserter.Test whose Fatalf panics with a failure. TestRandomFaults
	// recovers it inside the bubble and reports it to rapid outside.
	panickingTest struct{}
)

func TestMain(m *testing.M) { seeder.MainWith(m, "60") }

func (panickingTest) Helper() {}

// Fatalf ends the scenario.
func (panickingTest) Fatalf(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

func drawScript(rt *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			After:     time.Duration(rapid.IntRange(0, 1500).Draw(rt, "after")) * time.Millisecond,
			Kind:      rapid.SampledFrom(eventKinds).Draw(rt, "kind"),
			Index:     rapid.IntRange(0, 11).Draw(rt, "index"),
			HealAfter: time.Duration(rapid.IntRange(300, 9000).Draw(rt, "healAfter")) * time.Millisecond,
			Job: jobSpec{
				Prefix: rapid.SampledFrom([]string{urgentPrefix, normalPrefix, batchPrefix}).Draw(rt, "prefix"),
				Count:  rapid.IntRange(1, 12).Draw(rt, "count"),
				GPU:    rapid.SampledFrom([]int32{1, 2, 4, 8}).Draw(rt, "gpu"),
				Gang:   rapid.Bool().Draw(rt, "gang"), Checkpoints: rapid.Bool().Draw(rt, "checkpoints"),
				Steps:      rapid.IntRange(1, 2).Draw(rt, "steps"),
				RunTime:    time.Duration(rapid.IntRange(200, 6000).Draw(rt, "work")) * time.Millisecond,
				FailedRuns: rapid.SampledFrom([]int{0, 0, 0, 1, 99}).Draw(rt, "failing"),
			},
		}
	}), 8, 40).Draw(rt, "script")
}

// TestRandomFaults runs random scripts of jobs and faults. The simulated cluster checks its
// invariants throughout, and the outcome of each job is checked at the end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		ignoresFences := rapid.Bool().Draw(rt, "ignoresFences")
		runDrawnScenario(t, rt, fuzzInstances, fuzzRunners, ignoresFences, func(ha *harness) { ha.runScript(script) })
	})
}

// runDrawnScenario is like runScenario for a scenario that rapid has drawn: a failure makes it draw a smaller one.
func runDrawnScenario(t *testing.T, rt *rapid.T, instances, runners int, ignoresFences bool, fn func(ha *harness)) {
	t.Helper()
	var failed *failure
	synctest.Test(t, func(*testing.T) {
		defer func() {
			if cause := recover(); cause != nil {
				fa, ok := cause.(failure)
				if !ok {
					panic(cause)
				}
				failed = &fa
			}
		}()
		runScenarioInBubble(panickingTest{}, instances, runners, ignoresFences, fn)
	})
	if failed != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%sFAILED: %s\n", scenarioLog.String(), failed.text) // for debugging
		rt.Fatalf("%s", failed.text)
	}
}

// runScript runs a script, waits until all faults have healed, and checks the outcome of each
// job.
func (ha *harness) runScript(script []event) {
	outcomes := map[string]string{}
	var jobs []fleet.Job
	for _, ev := range script {
		ha.sleep(ev.After)
		switch ev.Kind {
		case "submit":
			jo := ha.jobFromSpec(ev.Job)
			jobs = append(jobs, jo)
			outcomes[jo.ID] = ha.submitWithRetries(ev.Index, jo)
		case "cancel":
			if len(jobs) > 0 {
				ha.cancelJob(jobs[ev.Index%len(jobs)], ev.Index, outcomes)
			}
		default:
			ha.injectFault(ev)
		}
	}
	ha.sleep(healTime)
	for _, jo := range jobs {
		ha.checkOutcome(jo, outcomes[jo.ID])
	}
}

func (ha *harness) jobFromSpec(js jobSpec) fleet.Job {
	st := tasks(js.Count, js.GPU)
	st.Checkpointing = js.Checkpoints
	if js.Gang {
		st.Count = min(st.Count, 4)
		st = asGang(st)
	}
	steps := []wire.StepBody{st}
	if js.Steps > 1 {
		second := tasks(1, 1)
		second.DependsOn = []int{0}
		steps = append(steps, second)
	}
	return ha.job(js.Prefix, fleet.Behavior{RunTime: js.RunTime, FailedRuns: js.FailedRuns}, steps...)
}

// submitWithRetries submits a job as a client does, which retries with the same id at another
// instance. It returns the outcome as the client knows it.
func (ha *harness) submitWithRetries(at int, jo fleet.Job) string {
	known := "refused"
	for range 3 {
		switch ha.submit(at%len(ha.instances), jo) {
		case http.StatusOK:
			return "accepted"
		case http.StatusGatewayTimeout:
			known = "unknown"
		}
		at++
	}
	if known == "refused" {
		ha.cluster.RecordRefused(jo.ID)
	}
	return known
}

func (ha *harness) cancelJob(jo fleet.Job, at int, outcomes map[string]string) {
	if outcomes[jo.ID] != "accepted" {
		return
	}
	status, _, _ := ha.call(at%len(ha.instances), http.MethodDelete, jo.Queue+jo.ID, jo.Key, struct{}{})
	outcomes[jo.ID] = "cancellation unknown"
	if status == http.StatusOK {
		outcomes[jo.ID] = "cancelled by the client"
	}
}

// checkOutcome compares the outcome that the client knows with the state that the scheduler
// returns.
func (ha *harness) checkOutcome(jo fleet.Job, outcome string) {
	status, state := ha.state(0, jo)
	final := state == "completed" || state == "cancelled" || state == "failed"
	switch {
	case outcome == "refused" && status == http.StatusGone:
	case outcome == "unknown" && (status == http.StatusGone || final):
	case outcome == "accepted" && jo.Behavior.FailedRuns > 3 && state == "failed":
	case outcome == "accepted" && state == "completed":
	case outcome == "accepted" && state == "failed": // a failing worker may use up the attempts
	case (outcome == "cancelled by the client" || outcome == "cancellation unknown") && final:
	default:
		ha.t.Fatalf("job %s: the client knows the outcome %q, but the scheduler answers %d %q", jo.ID, outcome, status, state)
	}
}

// injectFault injects a fault that heals by itself.
func (ha *harness) injectFault(ev event) {
	at, runner := ev.Index%len(ha.instances), ev.Index%fuzzRunners
	switch ev.Kind {
	case "kill":
		ha.kill(at)
		ha.restart(at)
	case "leaderKill":
		at = ha.leaderOr(at)
		ha.kill(at)
		ha.sleep(ev.HealAfter)
		ha.restart(at)
	case "killAll":
		for i := range ha.instances {
			ha.kill(i)
		}
		for i := range ha.instances {
			ha.restart(i)
		}
	case "stop":
		close(ha.instances[at].stop)
		ha.sleep(2 * time.Second)
		ha.kill(at)
		ha.restart(at)
	case "leaderCut":
		name := ha.instances[ha.leaderOr(at)].name
		ha.cluster.StoreOutage(name, fleet.Unresponsive)
		time.AfterFunc(ev.HealAfter, func() { ha.cluster.StoreOutage(name, fleet.NoOutage) })
	case "leaderPause":
		ha.pause(ha.leaderOr(at), ev.HealAfter, fleet.BeforeCheck)
	case "leaderPauseInGap":
		ha.pause(ha.leaderOr(at), ev.HealAfter, fleet.AfterCheck)
	case "asymmetricCut":
		// the leader is cut off from the store, and the other instances from one runner
		former := ha.instances[ha.leaderOr(at)].name
		ha.cluster.StoreOutage(former, fleet.Unresponsive)
		for _, in := range ha.instances {
			if name := in.name; name != former {
				ha.cluster.RunnerOutage(name, runner, fleet.Unresponsive)
				time.AfterFunc(2*ev.HealAfter, func() { ha.cluster.RunnerOutage(name, runner, fleet.NoOutage) })
			}
		}
		time.AfterFunc(2*ev.HealAfter, func() { ha.cluster.StoreOutage(former, fleet.NoOutage) })
	case "runnerDrain":
		ha.cluster.Drain(runner)
		time.AfterFunc(ev.HealAfter+7*time.Second, func() { ha.cluster.Restart(runner) })
	default:
		ha.injectClusterFault(ev, runner)
	}
}

func (ha *harness) injectClusterFault(ev event, runner int) {
	heal := func(fn func()) { time.AfterFunc(ev.HealAfter, fn) }
	switch ev.Kind {
	case "storeDown":
		ha.cluster.StoreOutage("", fleet.Unresponsive)
		heal(func() { ha.cluster.StoreOutage("", fleet.NoOutage) })
	case "storeBusy":
		ha.cluster.StoreOutage("", fleet.Busy)
		heal(func() { ha.cluster.StoreOutage("", fleet.NoOutage) })
	case "storeSlow":
		ha.cluster.SlowStore(50)
		heal(func() { ha.cluster.SlowStore(1) })
	case "storeLosesAnswers":
		ha.cluster.LoseResponses(0.35)
		heal(func() { ha.cluster.LoseResponses(0) })
	case "storeCompact":
		ha.cluster.Store.Compact()
	case "evacuate", "evacuateAll":
		for i, zone := range zones {
			if ev.Kind == "evacuateAll" || i == ev.Index%len(zones) {
				ha.cluster.Evacuate(zone)
				heal(func() { ha.cluster.TakeBack(zone) })
			}
		}
	case "lateCommands":
		ha.cluster.DelayCommands(0.4)
		heal(func() { ha.cluster.DelayCommands(0) })
	case "runnerCrash":
		ha.cluster.Crash(runner, ev.HealAfter/4)
	case "runnerCut":
		ha.cluster.RunnerOutage("", runner, fleet.Unresponsive)
		heal(func() { ha.cluster.RunnerOutage("", runner, fleet.NoOutage) })
	case "runnerReset":
		ha.cluster.RunnerOutage("", runner, fleet.Reset)
		time.AfterFunc(2*ev.HealAfter, func() { ha.cluster.RunnerOutage("", runner, fleet.NoOutage) })
	case "runnerFailing":
		ha.cluster.SetRunnerFaults(runner, true, false)
		heal(func() { ha.cluster.SetRunnerFaults(runner, false, false) })
	case "runnerRefusing":
		ha.cluster.SetRunnerFaults(runner, false, true)
		heal(func() { ha.cluster.SetRunnerFaults(runner, false, false) })
	}
}

// leaderOr returns the index of the leader, or at if there is none.
func (ha *harness) leaderOr(at int) int {
	name := ha.leaderName()
	for i, in := range ha.instances {
		if in.name == name {
			return i
		}
	}
	return at
}
