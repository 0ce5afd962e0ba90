package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dispatcher"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/registrar"
)

const (
	maxInstances = 5
	// healTime is the fake-clock time in which the instances must converge after all faults
	// have ended.
	healTime = 90 * clock.Second
	// pollInterval is the real time between two advances of the fake clock.
	pollInterval = 10 * time.Millisecond
)

// stateMachine is a rapid state machine that injects all faults into several instances. Its
// oracle compares what the runners and workers ran with the results that callers got.
type stateMachine struct {
	*harness
	t *rapid.T
	// sent counts the calls with each key; refused holds the keys with a recorded refusal.
	sent    map[identifier.Key]int
	refused map[identifier.Key]bool
	jobs    []identifier.Job
	// versions holds the newest table version seen on each instance.
	versions map[int]meter.TableVersion
	edits    int
	history  *history
	dead     map[int]bool
}

func newStateMachine(t *rapid.T) *stateMachine {
	sm := &stateMachine{
		harness:  newHarness(t, 3),
		t:        t,
		sent:     map[identifier.Key]int{},
		refused:  map[identifier.Key]bool{},
		versions: map[int]meter.TableVersion{},
		history:  &history{},
		dead:     map[int]bool{},
	}
	sm.setRow("studio")
	return sm
}

// drawRunning draws an instance that is neither dead nor paused; -1 if there is none.
func (sm *stateMachine) drawRunning() int {
	var list []int
	for number := range sm.daemons {
		if !sm.dead[number] && !sm.paused[number] {
			list = append(list, number)
		}
	}
	if len(list) == 0 {
		return -1
	}
	return rapid.SampledFrom(list).Draw(sm.t, "instance")
}

func (sm *stateMachine) sendOne(t *rapid.T) {
	number := sm.drawRunning()
	if number < 0 {
		return
	}
	re := sm.request(identifier.Key(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")))
	if rapid.Bool().Draw(t, "late") {
		re.Deadline = sm.clock.Now()
	}
	re.FirstAttempt = sm.sent[re.Key] == 0
	sm.sent[re.Key]++
	before := sm.runners.count(re.Key)
	sm.history.begin()
	answer, err := sm.sendWaiting(number, re)
	sm.history.endSend(re.Key, re.FirstAttempt, err)
	if err == nil && answer.Payload != "answer to "+re.Payload {
		t.Fatalf("key %s got %q", re.Key, answer.Payload)
	}
	if err != nil && problem.From(err).Outcome == problem.NotRun {
		if before > 0 || sm.runners.count(re.Key) > 0 {
			t.Fatalf("key %s was run, but the caller was told that it was not: %v", re.Key, err)
		}
		sm.refused[re.Key] = sm.refused[re.Key] || !re.FirstAttempt
	}
}

// sendWaiting sends a request and advances the clock while the exchange waits for a slot.
// The waiting time changes the outcome that the caller gets, but the outcome must always be
// correct.
func (sm *stateMachine) sendWaiting(number int, re dispatcher.Request) (dispatcher.Answer, error) {
	type result struct {
		answer dispatcher.Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := sm.send(number, re)
		done <- result{answer, err}
	}()
	for {
		select {
		case got := <-done:
			return got.answer, got.err
		case <-time.After(pollInterval):
			sm.clock.Advance(tick)
		}
	}
}

func (sm *stateMachine) submitOne(t *rapid.T) {
	if number := sm.drawRunning(); number >= 0 {
		key := identifier.Key(fmt.Sprintf("job-%d", rapid.IntRange(0, 5).Draw(t, "job")))
		work := rapid.SampledFrom([]string{shortWork, `{"runMillis":8000}`}).Draw(t, "work")
		id, err := sm.submit(number, "studio", key, meter.Members(rapid.IntRange(1, 2).Draw(t, "members")), work)
		if err == nil && !slices.Contains(sm.jobs, id) {
			sm.jobs = append(sm.jobs, id)
		}
	}
}

func (sm *stateMachine) cancelOne(t *rapid.T) {
	if number := sm.drawRunning(); number >= 0 && len(sm.jobs) > 0 {
		_, _ = sm.daemons[number].Jobs.Cancel(context.Background(), "studio", rapid.SampledFrom(sm.jobs).Draw(t, "job"))
	}
}

// editOne sets the row to a weight that no other edit uses.
func (sm *stateMachine) editOne(t *rapid.T) {
	number := sm.drawRunning()
	if number < 0 {
		return
	}
	row, _ := sm.daemons[number].Table.Row("studio")
	sm.edits++
	ce := cells()
	ce.Weight = meter.Weight(sm.edits + 1)
	sm.history.begin()
	_, err := sm.daemons[number].Table.Apply(context.Background(), configurer.Edit{Workspace: "studio", Expected: row.Version, Cells: ce})
	sm.history.endEdit(row.Cells.Weight, ce.Weight, err)
	if kind := problem.KindOf(err); kind == problem.Internal || kind == problem.BadRow {
		t.Fatalf("an edit failed with %v", err)
	}
}

func (sm *stateMachine) setFaults(t *rapid.T) {
	sm.platform.EditFaults(func(fa *platform.Faults) {
		fa.StoreDown = rapid.Bool().Draw(t, "storeDown")
		fa.StaleReads = rapid.Bool().Draw(t, "staleReads")
		fa.LoseAnswers = int32(rapid.IntRange(0, 2).Draw(t, "loseAnswers"))
		fa.ReportLagMillis = rapid.SampledFrom([]clock.Millis{0, 2000}).Draw(t, "reportLag")
		fa.FailingWorkers = nil
		if rapid.Bool().Draw(t, "failing") {
			fa.FailingWorkers = []identifier.Worker{"kochi-r00-w00"}
		}
	})
	sm.runners.answersToLose = rapid.IntRange(0, 1).Draw(t, "lose")
	sm.runners.callsToRefuse = rapid.IntRange(0, 2).Draw(t, "refuse")
}

func (sm *stateMachine) clearFaults(*rapid.T) {
	sm.platform.EditFaults(func(fa *platform.Faults) { *fa = platform.Faults{} })
}

func (sm *stateMachine) cutOne(t *rapid.T) {
	if number := sm.drawRunning(); number >= 0 {
		sm.doers[number].callsLeft = rapid.IntRange(-1, 12).Draw(t, "calls")
	}
}

func (sm *stateMachine) cutPeers(t *rapid.T) { sm.peers.cut = rapid.Bool().Draw(t, "cut") }

// pauseOne pauses an instance, or resumes it if it is paused.
func (sm *stateMachine) pauseOne(t *rapid.T) {
	number := rapid.IntRange(0, len(sm.daemons)-1).Draw(t, "instance")
	if !sm.dead[number] {
		sm.paused[number] = !sm.paused[number]
	}
}

// replaceOne kills an instance permanently and starts another.
func (sm *stateMachine) replaceOne(*rapid.T) {
	if number := sm.drawRunning(); number >= 0 && len(sm.daemons) < maxInstances {
		sm.dead[number], sm.paused[number] = true, true
		sm.add(kochi)
	}
}

func (sm *stateMachine) drainOne(t *rapid.T) {
	if number := sm.drawRunning(); number >= 0 {
		_ = sm.daemons[number].Table.Drain(context.Background(), "kochi-r01-w01", rapid.Bool().Draw(t, "undo"))
	}
}

func (sm *stateMachine) runSome(t *rapid.T) { sm.runTicks(rapid.IntRange(1, 12).Draw(t, "ticks")) }

// check checks the invariants that must hold after every step.
func (sm *stateMachine) check(t *rapid.T) {
	for key := range sm.sent {
		if count := sm.runners.count(key); count > 1 || count > 0 && sm.refused[key] {
			t.Fatalf("key %s was run %d times (refused: %v)", key, count, sm.refused[key])
		}
	}
	seats := 0
	for number, da := range sm.daemons {
		if version := da.Table.Version(); version < sm.versions[number] {
			t.Fatalf("instance %d went back from table version %d to %d", number, sm.versions[number], version)
		}
		sm.versions[number] = da.Table.Version()
		if !sm.dead[number] {
			seats += da.Leases.Seats()
		}
	}
	if seats > 4 {
		t.Fatalf("%d of 4 seats are in use", seats)
	}
	if audit := sm.platform.Audit(); audit.Overlapping > 0 {
		t.Fatalf("a job ran twice at the same time")
	}
}

// healAll ends all faults and gives the instances time to complete their work.
func (sm *stateMachine) healAll(t *rapid.T) {
	sm.clearFaults(t)
	sm.peers.cut = false
	sm.runners.answersToLose, sm.runners.callsToRefuse = 0, 0
	for number := range sm.daemons {
		sm.paused[number] = sm.dead[number]
		sm.doers[number].callsLeft = -1
	}
	if sm.drawRunning() < 0 {
		sm.add(kochi)
	}
	sm.passTime(healTime)
}

// checkConverged checks the invariants that must hold once healTime has passed without faults.
func (sm *stateMachine) checkConverged(t *rapid.T) {
	sm.check(t)
	number := sm.drawRunning()
	newest := sm.daemons[number].Table.Version()
	for other, da := range sm.daemons {
		if !sm.dead[other] && (da.Table.Version() != newest || !da.Table.Confirmed()) {
			t.Fatalf("instance %d has table version %d in force, another one %d", other, da.Table.Version(), newest)
		}
	}
	if audit := sm.platform.Audit(); audit.HalfRunning > 0 {
		t.Fatalf("%d gangs run with only some of their members", audit.HalfRunning)
	}
	for _, id := range sm.jobs {
		row, err := sm.daemons[number].Jobs.Get(context.Background(), "studio", id)
		if err != nil || !registrar.HasEnded(row) {
			t.Fatalf("job %s has not ended: %s, %v", id, row.State, err)
		}
	}
	for key := range sm.sent {
		sm.checkOutcome(t, number, key)
	}
	sm.history.check(t)
}

// checkOutcome sends a key once more: the result must agree with what the runners ran.
func (sm *stateMachine) checkOutcome(t *rapid.T, number int, key identifier.Key) {
	before := sm.runners.count(key)
	_, err := sm.sendWaiting(number, sm.request(key))
	switch {
	case err == nil && sm.runners.count(key) == 1:
	case problem.KindOf(err) == problem.OutcomeUnknown:
	case err != nil && problem.From(err).Outcome == problem.NotRun && before == 0 && sm.runners.count(key) == 0:
	default:
		t.Fatalf("key %s was run %d times, but the caller got: %v", key, sm.runners.count(key), err)
	}
}

func TestManyInstancesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        sm.check,
			"send":    sm.sendOne,
			"submit":  sm.submitOne,
			"cancel":  sm.cancelOne,
			"edit":    sm.editOne,
			"faults":  sm.setFaults,
			"calm":    sm.clearFaults,
			"cut":     sm.cutOne,
			"peers":   sm.cutPeers,
			"pause":   sm.pauseOne,
			"replace": sm.replaceOne,
			"drain":   sm.drainOne,
			"work":    sm.runSome,
		})
		sm.healAll(t)
		sm.checkConverged(t)
	})
}
