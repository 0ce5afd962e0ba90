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

// machine plays arrivals, ends, cancels, edits and drains against the scheduler.
type machine struct {
	*bench
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
	ma.Wait(jo)
}

// end ends any job, whether it runs, waits or has been told to go.
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

// stopped lets every job that was told to go be gone.
func (ma *machine) stopped(*rapid.T) {
	for _, id := range ma.ids() {
		if _, stops := ma.stopping[id]; stops {
			jo := ma.known[id]
			jo.Preemptions++
			ma.known[id] = jo
			ma.Wait(jo)
		}
	}
}

func (ma *machine) play(*rapid.T) { ma.round() }

func (ma *machine) drain(t *rapid.T) {
	id := identifier.Worker(fmt.Sprintf("r%d-w%d", rapid.IntRange(0, 1).Draw(t, "rack"), rapid.IntRange(0, 1).Draw(t, "worker")))
	ma.zone.SetUsable(id, rapid.Bool().Draw(t, "usable"))
}

func (ma *machine) edit(t *rapid.T) {
	count := rapid.IntRange(0, 2).Draw(t, "count")
	var gus []placer.Guarantee
	if count > 0 {
		gus = append(gus, placer.Guarantee{Workspace: "owner", Count: count, Shape: rack(meter.Members(rapid.IntRange(1, 2).Draw(t, "members")))})
	}
	ma.zone.SetGuarantees(gus)
}

// reclaim is the promise: once those told to go have gone, no waiting job is left that an
// unused guarantee of its workspace covers.
func (ma *machine) reclaim(t *rapid.T) {
	for range 3 {
		ma.round()
		ma.stopped(t)
	}
	ma.round()
	for id, jo := range ma.waiting {
		if re := ma.zone.Unused(jo.Workspace, jo.Shape); re != nil && !ma.makingWayFor(id) {
			t.Fatalf("job %s was denied the guarantee %v", id, re.Shape)
		}
	}
}

func (ma *machine) makingWayFor(id identifier.Job) bool {
	ro := &round{Scheduler: ma.Scheduler}
	return ro.makingWay(id)
}

// check: a job waits or runs, and a running gang is whole.
func (ma *machine) check(t *rapid.T) {
	for _, id := range ma.ids() {
		_, waits := ma.waiting[id]
		_, runs := ma.running[id]
		ga := ma.zone.Gang(id)
		if waits == runs || runs != (ga != nil) {
			t.Fatalf("job %s: waits %v, runs %v, placed %v", id, waits, runs, ga != nil)
		}
		if ga != nil && len(ma.zone.WorkerIDs(ga.Block)) != int(ma.known[id].Shape.Members) {
			t.Fatalf("job %s has %d of %d members", id, len(ma.zone.WorkerIDs(ga.Block)), ma.known[id].Shape.Members)
		}
	}
	if free := ma.zone.Free(); free < 0 {
		t.Fatalf("%d accelerators are free", free)
	}
}

func TestReclaimIsAlwaysGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pr := Preset(rapid.IntRange(0, 1).Draw(t, "preset"))
		ma := &machine{bench: newBench(2, 2, pr), known: map[identifier.Job]Job{}}
		t.Repeat(map[string]func(*rapid.T){
			"":        ma.check,
			"submit":  ma.submit,
			"end":     ma.end,
			"stopped": ma.stopped,
			"round":   ma.play,
			"drain":   ma.drain,
			"edit":    ma.edit,
			"reclaim": ma.reclaim,
		})
	})
}
