package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

// machine is the state machine of the property test: it applies random submissions,
// completions, edits of guarantees and drains to the scheduler.
type machine struct {
	*testScheduler
	next  int
	known map[identifier.Job]Job
}

func (ma *machine) submit(t *rapid.T) {
	ma.next++
	jo := Job{
		ID:        identifier.Job(fmt.Sprintf("j%d", ma.next)),
		Workspace: rapid.SampledFrom([]identifier.Workspace{"a", "b", "owner"}).Draw(t, "workspace"),
		Shape: placer.Shape{
			Members:      meter.Members(rapid.IntRange(1, 3).Draw(t, "members")),
			Accelerators: meter.Accelerators(rapid.SampledFrom([]int{1, 4, 8}).Draw(t, "accelerators")),
			Adjacency:    placer.Adjacency(rapid.IntRange(0, 2).Draw(t, "adjacency")),
		},
		Urgent:    rapid.Bool().Draw(t, "urgent"),
		Submitted: ma.now,
		Expected:  clock.Millis(rapid.IntRange(1, 100000).Draw(t, "expected")),
	}
	ma.known[jo.ID] = jo
	ma.Enqueue(jo)
}

// end removes any job, whether it is running, waiting or stopping.
func (ma *machine) end(t *rapid.T) {
	if len(ma.known) == 0 {
		return
	}
	id := rapid.SampledFrom(ma.ids()).Draw(t, "job")
	ma.Remove(id)
	delete(ma.known, id)
}

func (ma *machine) ids() []identifier.Job {
	var ids []identifier.Job
	for i := 1; i <= ma.next; i++ {
		if id := identifier.Job(fmt.Sprintf("j%d", i)); ma.known[id].ID != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// stopped completes the stop of every stopping job and puts it back into the queue.
func (ma *machine) stopped(*rapid.T) {
	for _, id := range ma.ids() {
		if _, stops := ma.stopping[id]; stops {
			jo := ma.known[id]
			jo.Preemptions++
			ma.known[id] = jo
			ma.Enqueue(jo)
		}
	}
}

func (ma *machine) runRound(*rapid.T) { ma.round() }

func (ma *machine) drain(t *rapid.T) {
	id := identifier.Worker(fmt.Sprintf("r%d-w%d", rapid.IntRange(0, 1).Draw(t, "rack"), rapid.IntRange(0, 1).Draw(t, "worker")))
	ma.zone.SetUsable(id, rapid.Bool().Draw(t, "usable"))
}

func (ma *machine) edit(t *rapid.T) {
	count := rapid.IntRange(0, 2).Draw(t, "count")
	var gus []placer.Guarantee
	if count > 0 {
		gus = append(gus, placer.Guarantee{Workspace: "owner", Count: count, Shape: rackShape(meter.Members(rapid.IntRange(1, 2).Draw(t, "members")))})
	}
	ma.zone.SetGuarantees(gus)
}

// reclaim checks the guarantee property: after the preempted jobs have stopped, no job waits
// for which its workspace has an unused guarantee, unless victims are still stopping for it.
func (ma *machine) reclaim(t *rapid.T) {
	for range 3 {
		ma.round()
		ma.stopped(t)
	}
	ma.round()
	for id, jo := range ma.waiting {
		if re := ma.zone.UnusedReservation(jo.Workspace, jo.Shape); re != nil && !ma.isWaitingForVictims(id) {
			t.Fatalf("job %s still waits although guarantee %v of its workspace is unused", id, re.Shape)
		}
	}
}

func (ma *machine) isWaitingForVictims(id identifier.Job) bool {
	ro := &round{Scheduler: ma.Scheduler}
	return ro.waitsForVictims(id)
}

// check verifies that each job either waits or runs, and that a running gang has all of its
// members.
func (ma *machine) check(t *rapid.T) {
	for _, id := range ma.ids() {
		_, waits := ma.waiting[id]
		_, runs := ma.running[id]
		ga := ma.zone.Gang(id)
		if waits == runs || runs != (ga != nil) {
			t.Fatalf("job %s: waiting %v, running %v, placed %v", id, waits, runs, ga != nil)
		}
		if ga != nil && len(ma.zone.WorkerIDs(ga.Block)) != int(ma.known[id].Shape.Members) {
			t.Fatalf("job %s has %d of %d members", id, len(ma.zone.WorkerIDs(ga.Block)), ma.known[id].Shape.Members)
		}
	}
	if free := ma.zone.Free(); free < 0 {
		t.Fatalf("%d accelerators are free, want at least 0", free)
	}
}

func TestReclaimIsAlwaysGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pr := Preset(rapid.IntRange(0, 1).Draw(t, "preset"))
		ma := &machine{testScheduler: newTestScheduler(2, 2, pr), known: map[identifier.Job]Job{}}
		t.Repeat(map[string]func(*rapid.T){
			"":        ma.check,
			"submit":  ma.submit,
			"end":     ma.end,
			"stopped": ma.stopped,
			"round":   ma.runRound,
			"drain":   ma.drain,
			"edit":    ma.edit,
			"reclaim": ma.reclaim,
		})
	})
}
