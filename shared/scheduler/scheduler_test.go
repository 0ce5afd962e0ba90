package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const hour = clock.Hour

// bench is a scheduler for a small zone with a simulated clock.
type bench struct {
	*Scheduler
	now clock.Millis
}

func newBench(racks, perRack int, pr Preset, gus ...placer.Guarantee) *bench {
	zo := placer.New(nil)
	for ra := range racks {
		for wo := range perRack {
			zo.Add(placer.Worker{
				ID:           identifier.Worker(fmt.Sprintf("r%d-w%d", ra, wo)),
				Rack:         identifier.Rack(fmt.Sprintf("r%d", ra)),
				Accelerators: 8,
			})
		}
	}
	zo.SetGuarantees(gus)
	be := &bench{Scheduler: New(PolicyFor(pr), zo)}
	for _, id := range []identifier.Workspace{"a", "b", "owner"} {
		be.SetWorkspace(Workspace{ID: id, Weight: 1, Limit: 1000})
	}
	return be
}

func (be *bench) submitJob(id identifier.Job, ws identifier.Workspace, sh placer.Shape) Job {
	jo := Job{ID: id, Workspace: ws, Shape: sh, Submitted: be.now, Expected: hour}
	be.Enqueue(jo)
	return jo
}

// round advances the clock by 3 s, runs a scheduling round and returns the started and the
// preempted jobs.
func (be *bench) round() (starts, preempted []identifier.Job) {
	be.now += 3 * clock.Second
	for _, de := range be.Round(be.now) {
		if len(de.Preempt) > 0 {
			preempted = append(preempted, de.Preempt...)
			continue
		}
		starts = append(starts, de.Job.ID)
	}
	return starts, preempted
}

// sameJobs checks that got contains exactly the wanted jobs in order.
func sameJobs(t *testing.T, got []identifier.Job, want ...identifier.Job) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("got jobs %v, want %v", got, want)
	}
}

func one(accelerators meter.Accelerators) placer.Shape {
	return placer.Shape{Members: 1, Accelerators: accelerators, Adjacency: placer.OneWorker}
}

func rack(members meter.Members) placer.Shape {
	return placer.Shape{Members: members, Accelerators: 8, Adjacency: placer.OneRack}
}

func TestGuaranteeReclaimsOnce(t *testing.T) {
	be := newBench(1, 2, Completion, placer.Guarantee{Workspace: "owner", Count: 1, Shape: rack(2)})
	be.submitJob("b1", "a", one(8))
	be.submitJob("b2", "a", one(8))
	be.round()
	own := be.submitJob("own", "owner", rack(2))
	t.Run("borrowed gangs are preempted", func(t *testing.T) {
		starts, preempted := be.round()
		sameJobs(t, starts)
		slices.Sort(preempted)
		sameJobs(t, preempted, "b1", "b2")
	})
	t.Run("no gang is preempted twice", func(t *testing.T) {
		_, preempted := be.round()
		sameJobs(t, preempted)
	})
	t.Run("the gang starts only after the last victim has stopped", func(t *testing.T) {
		be.Enqueue(Job{ID: "b1", Workspace: "a", Shape: one(8), Expected: hour, Preemptions: 1})
		starts, _ := be.round()
		sameJobs(t, starts)
		be.Enqueue(Job{ID: "b2", Workspace: "a", Shape: one(8), Expected: hour, Preemptions: 1})
		starts, _ = be.round()
		sameJobs(t, starts, own.ID)
	})
}

func TestUrgent(t *testing.T) {
	be := newBench(1, 1, Completion)
	be.submitJob("b1", "a", one(8))
	be.round()
	be.Enqueue(Job{ID: "urgent", Workspace: "b", Shape: one(1), Urgent: true, Submitted: be.now, Expected: hour})
	t.Run("preempts normal jobs", func(t *testing.T) {
		_, preempted := be.round()
		sameJobs(t, preempted, "b1")
	})
	t.Run("does not preempt other urgent jobs", func(t *testing.T) {
		be.Remove("b1")
		starts, _ := be.round()
		sameJobs(t, starts, "urgent")
		be.Enqueue(Job{ID: "urgent2", Workspace: "a", Shape: one(8), Urgent: true, Submitted: be.now, Expected: hour})
		_, preempted := be.round()
		sameJobs(t, preempted)
	})
}

func TestLimit(t *testing.T) {
	be := newBench(1, 2, Completion)
	be.SetWorkspace(Workspace{ID: "a", Weight: 1, Limit: 8})
	be.submitJob("a1", "a", one(8))
	be.submitJob("a2", "a", one(8))
	starts, _ := be.round()
	asserter.Equal(t, len(starts), 1)
	lines := be.Explain("a2", be.now)
	asserter.Equal(t, lines[len(lines)-1], "its workspace uses 8 accelerators of its limit of 8; raise limits.accelerators or wait")
}

func TestFairShare(t *testing.T) {
	be := newBench(1, 4, Completion)
	be.SetWorkspace(Workspace{ID: "b", Weight: 3, Limit: 1000})
	for i := range 8 {
		be.submitJob(identifier.Job(fmt.Sprintf("a%d", i)), "a", one(4))
		be.submitJob(identifier.Job(fmt.Sprintf("b%d", i)), "b", one(4))
	}
	for range 12 {
		be.round()
		for _, id := range []identifier.Job{"a", "b"} {
			for i := range 8 {
				if ru, runs := be.Running(identifier.Job(fmt.Sprintf("%s%d", id, i))); runs {
					be.Remove(ru.Job.ID)
					be.submitJob(ru.Job.ID+"x", ru.Job.Workspace, one(4))
					break
				}
			}
		}
	}
	a, b := be.zone.InUse("a"), be.zone.InUse("b")
	if b <= a {
		t.Fatalf("the workspace with three times the weight uses %d accelerators, the other one %d", b, a)
	}
}

func TestHeadOfLineIsNotStarved(t *testing.T) {
	be := newBench(1, 4, Completion)
	be.policy.MinCompactionGain = 0
	for i := range 4 {
		be.submitJob(identifier.Job(fmt.Sprintf("s%d", i)), "a", one(8))
	}
	be.round()
	large := Job{ID: "large", Workspace: "b", Shape: rack(4), Submitted: be.now, Expected: clock.Second}
	be.Enqueue(large)
	for range 5 {
		be.round()
	}
	t.Run("accelerators that become free are held for it", func(t *testing.T) {
		be.Remove("s0")
		be.submitJob("late", "a", one(8))
		starts, _ := be.round()
		sameJobs(t, starts)
	})
	t.Run("it starts when its whole block is free", func(t *testing.T) {
		be.Remove("s1")
		be.Remove("s2")
		be.Remove("s3")
		starts, _ := be.round()
		sameJobs(t, starts, "large")
	})
}

func TestCompaction(t *testing.T) {
	be := newBench(2, 2, Fragmentation)
	be.submitJob("s0", "a", one(1))
	be.round()
	be.Restore(Run{Job: Job{ID: "s1", Workspace: "a", Shape: one(1), Expected: hour}}, placer.Placement{
		Job: "s1", Workspace: "a", Block: placer.Block{Shape: one(1), Shares: []placer.Share{{Worker: 2, Members: 1}}},
	})
	be.submitJob("large", "b", rack(2))
	_, preempted := be.round()
	asserter.Equal(t, len(preempted), 1)
}

func TestSparedWork(t *testing.T) {
	be := newBench(1, 2, Completion, placer.Guarantee{Workspace: "owner", Count: 1, Shape: rack(1)})
	be.Enqueue(Job{ID: "often", Workspace: "a", Shape: one(8), Expected: hour, Preemptions: be.policy.MaxPreemptions})
	be.round()
	be.submitJob("own", "owner", rack(1))
	starts, preempted := be.round()
	sameJobs(t, starts, "own")
	sameJobs(t, preempted)
}

func TestWhy(t *testing.T) {
	be := newBench(1, 1, Completion)
	be.submitJob("first", "a", one(8))
	be.round()
	be.submitJob("second", "b", one(8))
	be.round()
	for id, count := range map[identifier.Job]int{"first": 2, "second": 3, "unknown": 0} {
		t.Run(string(id), func(t *testing.T) {
			asserter.Equal(t, len(be.Explain(id, be.now)), count)
		})
	}
}
