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

const hour = clock.Hour

// testScheduler is a scheduler for a small zone with a simulated clock.
type testScheduler struct {
	*Scheduler
	now clock.Millis
}

func TestMain(m *testing.M) { seeder.Main(m) }

func newTestScheduler(racks, perRack int, pr Preset, gus ...placer.Guarantee) *testScheduler {
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
	ts := &testScheduler{Scheduler: New(PolicyFor(pr), zo)}
	for _, id := range []identifier.Workspace{"a", "b", "owner"} {
		ts.SetWorkspace(Workspace{ID: id, Weight: 1, Limit: 1000})
	}
	return ts
}

func (ts *testScheduler) submitJob(id identifier.Job, ws identifier.Workspace, sh placer.Shape) Job {
	jo := Job{ID: id, Workspace: ws, Shape: sh, Submitted: ts.now, Expected: hour}
	ts.Enqueue(jo)
	return jo
}

// round advances the clock by 3 s, runs a scheduling round and returns the started and the
// preempted jobs.
func (ts *testScheduler) round() (starts, preempted []identifier.Job) {
	ts.now += 3 * clock.Second
	for _, de := range ts.Round(ts.now) {
		if len(de.Preempt) > 0 {
			preempted = append(preempted, de.Preempt...)
			continue
		}
		starts = append(starts, de.Job.ID)
	}
	return starts, preempted
}

// assertJobs checks that got contains exactly the wanted jobs in order.
func assertJobs(t *testing.T, got []identifier.Job, want ...identifier.Job) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("got jobs %v, want %v", got, want)
	}
}

func workerShape(accelerators meter.Accelerators) placer.Shape {
	return placer.Shape{Members: 1, Accelerators: accelerators, Adjacency: placer.OneWorker}
}

func rackShape(members meter.Members) placer.Shape {
	return placer.Shape{Members: members, Accelerators: 8, Adjacency: placer.OneRack}
}

func TestGuaranteeReclaimsOnce(t *testing.T) {
	ts := newTestScheduler(1, 2, Completion, placer.Guarantee{Workspace: "owner", Count: 1, Shape: rackShape(2)})
	ts.submitJob("b1", "a", workerShape(8))
	ts.submitJob("b2", "a", workerShape(8))
	ts.round()
	own := ts.submitJob("own", "owner", rackShape(2))
	t.Run("borrowed gangs are preempted", func(t *testing.T) {
		starts, preempted := ts.round()
		assertJobs(t, starts)
		slices.Sort(preempted)
		assertJobs(t, preempted, "b1", "b2")
	})
	t.Run("no gang is preempted twice", func(t *testing.T) {
		_, preempted := ts.round()
		assertJobs(t, preempted)
	})
	t.Run("the gang starts only after the last victim has stopped", func(t *testing.T) {
		ts.Enqueue(Job{ID: "b1", Workspace: "a", Shape: workerShape(8), Expected: hour, Preemptions: 1})
		starts, _ := ts.round()
		assertJobs(t, starts)
		ts.Enqueue(Job{ID: "b2", Workspace: "a", Shape: workerShape(8), Expected: hour, Preemptions: 1})
		starts, _ = ts.round()
		assertJobs(t, starts, own.ID)
	})
}

func TestUrgent(t *testing.T) {
	ts := newTestScheduler(1, 1, Completion)
	ts.submitJob("b1", "a", workerShape(8))
	ts.round()
	ts.Enqueue(Job{ID: "urgent", Workspace: "b", Shape: workerShape(1), Urgent: true, Submitted: ts.now, Expected: hour})
	t.Run("preempts normal jobs", func(t *testing.T) {
		_, preempted := ts.round()
		assertJobs(t, preempted, "b1")
	})
	t.Run("does not preempt other urgent jobs", func(t *testing.T) {
		ts.Remove("b1")
		starts, _ := ts.round()
		assertJobs(t, starts, "urgent")
		ts.Enqueue(Job{ID: "urgent2", Workspace: "a", Shape: workerShape(8), Urgent: true, Submitted: ts.now, Expected: hour})
		_, preempted := ts.round()
		assertJobs(t, preempted)
	})
}

func TestLimit(t *testing.T) {
	ts := newTestScheduler(1, 2, Completion)
	ts.SetWorkspace(Workspace{ID: "a", Weight: 1, Limit: 8})
	ts.submitJob("a1", "a", workerShape(8))
	ts.submitJob("a2", "a", workerShape(8))
	starts, _ := ts.round()
	asserter.Equal(t, len(starts), 1)
	lines := ts.Explain("a2", ts.now)
	asserter.Equal(t, lines[len(lines)-1], "its workspace uses 8 accelerators of its limit of 8; raise limits.accelerators or wait")
}

func TestFairShare(t *testing.T) {
	ts := newTestScheduler(1, 4, Completion)
	ts.SetWorkspace(Workspace{ID: "b", Weight: 3, Limit: 1000})
	for i := range 8 {
		ts.submitJob(identifier.Job(fmt.Sprintf("a%d", i)), "a", workerShape(4))
		ts.submitJob(identifier.Job(fmt.Sprintf("b%d", i)), "b", workerShape(4))
	}
	for range 12 {
		ts.round()
		for _, id := range []identifier.Job{"a", "b"} {
			for i := range 8 {
				if ru, runs := ts.Running(identifier.Job(fmt.Sprintf("%s%d", id, i))); runs {
					ts.Remove(ru.Job.ID)
					ts.submitJob(ru.Job.ID+"x", ru.Job.Workspace, workerShape(4))
					break
				}
			}
		}
	}
	a, b := ts.zone.InUse("a"), ts.zone.InUse("b")
	if b <= a {
		t.Fatalf("the workspace with three times the weight uses %d accelerators, the other one %d", b, a)
	}
}

func TestHeadOfQueueIsNotStarved(t *testing.T) {
	ts := newTestScheduler(1, 4, Completion)
	ts.policy.MinCompactionGain = 0
	for i := range 4 {
		ts.submitJob(identifier.Job(fmt.Sprintf("s%d", i)), "a", workerShape(8))
	}
	ts.round()
	large := Job{ID: "large", Workspace: "b", Shape: rackShape(4), Submitted: ts.now, Expected: clock.Second}
	ts.Enqueue(large)
	for range 5 {
		ts.round()
	}
	t.Run("accelerators that become free are held for it", func(t *testing.T) {
		ts.Remove("s0")
		ts.submitJob("late", "a", workerShape(8))
		starts, _ := ts.round()
		assertJobs(t, starts)
	})
	t.Run("it starts when its whole block is free", func(t *testing.T) {
		ts.Remove("s1")
		ts.Remove("s2")
		ts.Remove("s3")
		starts, _ := ts.round()
		assertJobs(t, starts, "large")
	})
}

func TestCompaction(t *testing.T) {
	ts := newTestScheduler(2, 2, Fragmentation)
	ts.submitJob("s0", "a", workerShape(1))
	ts.round()
	ts.Restore(Run{Job: Job{ID: "s1", Workspace: "a", Shape: workerShape(1), Expected: hour}}, placer.Placement{
		Job: "s1", Workspace: "a", Block: placer.Block{Shape: workerShape(1), Shares: []placer.Share{{Worker: 2, Members: 1}}},
	})
	ts.submitJob("large", "b", rackShape(2))
	_, preempted := ts.round()
	asserter.Equal(t, len(preempted), 1)
}

func TestPreemptionLimit(t *testing.T) {
	ts := newTestScheduler(1, 2, Completion, placer.Guarantee{Workspace: "owner", Count: 1, Shape: rackShape(1)})
	ts.Enqueue(Job{ID: "often", Workspace: "a", Shape: workerShape(8), Expected: hour, Preemptions: ts.policy.MaxPreemptions})
	ts.round()
	ts.submitJob("own", "owner", rackShape(1))
	starts, preempted := ts.round()
	assertJobs(t, starts, "own")
	assertJobs(t, preempted)
}

func TestExplain(t *testing.T) {
	ts := newTestScheduler(1, 1, Completion)
	ts.submitJob("first", "a", workerShape(8))
	ts.round()
	ts.submitJob("second", "b", workerShape(8))
	ts.round()
	for id, count := range map[identifier.Job]int{"first": 2, "second": 3, "unknown": 0} {
		t.Run(string(id), func(t *testing.T) {
			asserter.Equal(t, len(ts.Explain(id, ts.now)), count)
		})
	}
}

// TestAvoidedWorkers guards against a job that failed on a worker and keeps other jobs of its shape from that
// worker: its search says nothing about theirs.
func TestAvoidedWorkers(t *testing.T) {
	ts := newTestScheduler(1, 2, Completion)
	ts.submitJob("running", "a", workerShape(8))
	ts.round()
	idle := identifier.Worker("r0-w0")
	if len(ts.zone.JobsOn(idle)) > 0 {
		idle = "r0-w1"
	}
	failed := Job{ID: "failed", Workspace: "a", Shape: workerShape(8), Submitted: ts.now, Expected: hour, Avoid: []identifier.Worker{idle}}
	ts.Enqueue(failed)
	ts.now += clock.Minute
	ts.submitJob("other", "a", workerShape(8))
	starts, _ := ts.round()
	assertJobs(t, starts, "other")
}
