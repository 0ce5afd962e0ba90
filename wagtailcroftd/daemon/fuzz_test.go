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
	mostInstances = 5
	heal          = 90 * clock.Second
	patience      = 10 * time.Millisecond
)

// machine mixes all faults over several instances. Its oracle is what the runners and
// workers really ran beside what callers were really told.
type machine struct {
	*scene
	t *rapid.T
	// sent counts the calls with each key; refused holds those that were certified.
	sent    map[identifier.Key]int
	refused map[identifier.Key]bool
	jobs    []identifier.Job
	// versions is the newest table version seen on each instance.
	versions map[int]meter.TableVersion
	edits    int
	history  *history
	dead     map[int]bool
}

func newMachine(t *rapid.T) *machine {
	ma := &machine{
		scene:    newScene(t, 3),
		t:        t,
		sent:     map[identifier.Key]int{},
		refused:  map[identifier.Key]bool{},
		versions: map[int]meter.TableVersion{},
		history:  &history{},
		dead:     map[int]bool{},
	}
	ma.setRow("studio")
	return ma
}

// alive draws an instance that is neither dead nor paused; -1 if there is none.
func (ma *machine) alive() int {
	var list []int
	for number := range ma.daemons {
		if !ma.dead[number] && !ma.paused[number] {
			list = append(list, number)
		}
	}
	if len(list) == 0 {
		return -1
	}
	return rapid.SampledFrom(list).Draw(ma.t, "instance")
}

func (ma *machine) sendOne(t *rapid.T) {
	number := ma.alive()
	if number < 0 {
		return
	}
	re := ma.request(identifier.Key(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")))
	if rapid.Bool().Draw(t, "late") {
		re.Deadline = ma.clock.Now()
	}
	re.FirstAttempt = ma.sent[re.Key] == 0
	ma.sent[re.Key]++
	before := ma.runners.count(re.Key)
	ma.history.begin()
	answer, err := ma.sendWaiting(number, re)
	ma.history.endSend(re.Key, re.FirstAttempt, err)
	if err == nil && answer.Payload != "answer to "+re.Payload {
		t.Fatalf("key %s got %q", re.Key, answer.Payload)
	}
	if err != nil && problem.From(err).Outcome == problem.NotRun {
		if before > 0 || ma.runners.count(re.Key) > 0 {
			t.Fatalf("key %s was run and is told to be not run: %v", re.Key, err)
		}
		ma.refused[re.Key] = ma.refused[re.Key] || !re.FirstAttempt
	}
}

// sendWaiting lets the clock go on while an exchange waits for a slot. Whether it has to
// changes what the caller is told, never whether that is true.
func (ma *machine) sendWaiting(number int, re dispatcher.Request) (dispatcher.Answer, error) {
	type result struct {
		answer dispatcher.Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := ma.send(number, re)
		done <- result{answer, err}
	}()
	for {
		select {
		case got := <-done:
			return got.answer, got.err
		case <-time.After(patience):
			ma.clock.Advance(tick)
		}
	}
}

func (ma *machine) submitOne(t *rapid.T) {
	if number := ma.alive(); number >= 0 {
		key := identifier.Key(fmt.Sprintf("job-%d", rapid.IntRange(0, 5).Draw(t, "job")))
		work := rapid.SampledFrom([]string{shortWork, `{"runMillis":8000}`}).Draw(t, "work")
		id, err := ma.submit(number, "studio", key, meter.Members(rapid.IntRange(1, 2).Draw(t, "members")), work)
		if err == nil && !slices.Contains(ma.jobs, id) {
			ma.jobs = append(ma.jobs, id)
		}
	}
}

func (ma *machine) cancelOne(t *rapid.T) {
	if number := ma.alive(); number >= 0 && len(ma.jobs) > 0 {
		_, _ = ma.daemons[number].Jobs.Cancel(context.Background(), "studio", rapid.SampledFrom(ma.jobs).Draw(t, "job"))
	}
}

// editOne sets the row to a number that no other edit uses.
func (ma *machine) editOne(t *rapid.T) {
	number := ma.alive()
	if number < 0 {
		return
	}
	row, _ := ma.daemons[number].Table.Row("studio")
	ma.edits++
	ce := cells()
	ce.Weight = meter.Weight(ma.edits + 1)
	ma.history.begin()
	_, err := ma.daemons[number].Table.Apply(context.Background(), configurer.Edit{Workspace: "studio", Expected: row.Version, Cells: ce})
	ma.history.endEdit(row.Cells.Weight, ce.Weight, err)
	if kind := problem.KindOf(err); kind == problem.Internal || kind == problem.BadRow {
		t.Fatalf("an edit ended with %v", err)
	}
}

func (ma *machine) faults(t *rapid.T) {
	ma.platform.Change(func(fa *platform.Faults) {
		fa.StoreDown = rapid.Bool().Draw(t, "storeDown")
		fa.StaleReads = rapid.Bool().Draw(t, "staleReads")
		fa.LoseAnswers = int32(rapid.IntRange(0, 2).Draw(t, "loseAnswers"))
		fa.ReportLagMillis = rapid.SampledFrom([]clock.Millis{0, 2000}).Draw(t, "reportLag")
		fa.FailingWorkers = nil
		if rapid.Bool().Draw(t, "failing") {
			fa.FailingWorkers = []identifier.Worker{"kochi-r00-w00"}
		}
	})
	ma.runners.lose = rapid.IntRange(0, 1).Draw(t, "lose")
	ma.runners.refuse = rapid.IntRange(0, 2).Draw(t, "refuse")
}

func (ma *machine) calm(*rapid.T) {
	ma.platform.Change(func(fa *platform.Faults) { *fa = platform.Faults{} })
}

func (ma *machine) cutOne(t *rapid.T) {
	if number := ma.alive(); number >= 0 {
		ma.doers[number].left = rapid.IntRange(-1, 12).Draw(t, "calls")
	}
}

func (ma *machine) cutPeers(t *rapid.T) { ma.peers.cut = rapid.Bool().Draw(t, "cut") }

func (ma *machine) pauseOne(t *rapid.T) {
	number := rapid.IntRange(0, len(ma.daemons)-1).Draw(t, "instance")
	if !ma.dead[number] {
		ma.paused[number] = !ma.paused[number]
	}
}

// replaceOne kills an instance for good and starts another.
func (ma *machine) replaceOne(*rapid.T) {
	if number := ma.alive(); number >= 0 && len(ma.daemons) < mostInstances {
		ma.dead[number], ma.paused[number] = true, true
		ma.add(kochi)
	}
}

func (ma *machine) drainOne(t *rapid.T) {
	if number := ma.alive(); number >= 0 {
		_ = ma.daemons[number].Table.Drain(context.Background(), "kochi-r01-w01", rapid.Bool().Draw(t, "undo"))
	}
}

func (ma *machine) work(t *rapid.T) { ma.run(rapid.IntRange(1, 12).Draw(t, "ticks")) }

// check holds after every step.
func (ma *machine) check(t *rapid.T) {
	for key := range ma.sent {
		if count := ma.runners.count(key); count > 1 || count > 0 && ma.refused[key] {
			t.Fatalf("key %s was run %d times, refused %v", key, count, ma.refused[key])
		}
	}
	seats := 0
	for number, da := range ma.daemons {
		if version := da.Table.Version(); version < ma.versions[number] {
			t.Fatalf("instance %d went back from table version %d to %d", number, ma.versions[number], version)
		}
		ma.versions[number] = da.Table.Version()
		if !ma.dead[number] {
			seats += da.Leases.Seats()
		}
	}
	if seats > 4 {
		t.Fatalf("%d of 4 seats are in use", seats)
	}
	if audit := ma.platform.Audit(); audit.Overlapping > 0 {
		t.Fatalf("a job ran twice at one time")
	}
}

// settle ends all faults and lets the instances finish what they can.
func (ma *machine) settle(t *rapid.T) {
	ma.calm(t)
	ma.peers.cut = false
	ma.runners.lose, ma.runners.refuse = 0, 0
	for number := range ma.daemons {
		ma.paused[number] = ma.dead[number]
		ma.doers[number].left = -1
	}
	if ma.alive() < 0 {
		ma.add(kochi)
	}
	ma.pass(heal)
}

// finalCheck holds once everything is well again.
func (ma *machine) finalCheck(t *rapid.T) {
	ma.check(t)
	number := ma.alive()
	newest := ma.daemons[number].Table.Version()
	for other, da := range ma.daemons {
		if !ma.dead[other] && (da.Table.Version() != newest || !da.Table.Confirmed()) {
			t.Fatalf("instance %d has table version %d in force, another %d", other, da.Table.Version(), newest)
		}
	}
	if audit := ma.platform.Audit(); audit.HalfRunning > 0 {
		t.Fatalf("%d gangs run in part", audit.HalfRunning)
	}
	for _, id := range ma.jobs {
		row, err := ma.daemons[number].Jobs.Get(context.Background(), "studio", id)
		if err != nil || !registrar.Ended(row) {
			t.Fatalf("job %s has not ended: %s, %v", id, row.State, err)
		}
	}
	for key := range ma.sent {
		ma.tellTruth(t, number, key)
	}
	ma.history.check(t)
}

// tellTruth sends a key once more: the answer must agree with what really ran.
func (ma *machine) tellTruth(t *rapid.T, number int, key identifier.Key) {
	before := ma.runners.count(key)
	_, err := ma.sendWaiting(number, ma.request(key))
	switch {
	case err == nil && ma.runners.count(key) == 1:
	case problem.KindOf(err) == problem.OutcomeUnknown:
	case err != nil && problem.From(err).Outcome == problem.NotRun && before == 0 && ma.runners.count(key) == 0:
	default:
		t.Fatalf("key %s was run %d times and is told: %v", key, ma.runners.count(key), err)
	}
}

func TestManyNodesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ma := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        ma.check,
			"send":    ma.sendOne,
			"submit":  ma.submitOne,
			"cancel":  ma.cancelOne,
			"edit":    ma.editOne,
			"faults":  ma.faults,
			"calm":    ma.calm,
			"cut":     ma.cutOne,
			"peers":   ma.cutPeers,
			"pause":   ma.pauseOne,
			"replace": ma.replaceOne,
			"drain":   ma.drainOne,
			"work":    ma.work,
		})
		ma.settle(t)
		ma.finalCheck(t)
	})
}
