package workload_test

import (
	"math"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// newJob returns a job whose only occurrence is due.
func newJob(steps ...workload.Step) *workload.Job {
	jo := &workload.Job{ID: "0123456789abcdef", Steps: steps, Occurrences: 1}
	jo.AddDueStages(0)
	return jo
}

// start marks all tasks of a step as running and increments their run numbers.
func start(jo *workload.Job, step int) {
	st := jo.Stage(0, step)
	for i := range st.Tasks {
		st.Tasks[i].Phase = workload.Running
		st.Tasks[i].Run++
	}
}

// complete applies the completion of the current run of a task, with a checkpoint.
func complete(jo *workload.Job, step, index int, outcome workload.RunOutcome, attempts int) bool {
	st := jo.Stage(0, step)
	return jo.CompleteRun(jo.Key(st, index), workload.Completion{Run: st.Tasks[index].Run, Outcome: outcome, Checkpoint: "s"}, attempts)
}

func TestCompleteRun(t *testing.T) {
	t.Run("a job completes with its last task", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 2}, workload.Step{Count: 1, After: []int{0}})
		asserter.Equal(t, jo.Ready(jo.Stage(0, 1)), false)
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeDone, 3)
		complete(jo, 0, 1, workload.OutcomeDone, 3)
		asserter.Equal(t, jo.Ready(jo.Stage(0, 1)), true)
		asserter.Equal(t, jo.State, workload.Queued)
		start(jo, 1)
		complete(jo, 1, 0, workload.OutcomeDone, 3)
		asserter.Equal(t, jo.State, workload.Completed)
	})
	t.Run("the completion of another run is ignored", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		start(jo, 0)
		asserter.Equal(t, jo.CompleteRun(jo.Key(jo.Stage(0, 0), 0), workload.Completion{Run: 7, Outcome: workload.OutcomeDone}, 3), false)
	})
	t.Run("a gang is done when one member finishes", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 3, Gang: true})
		start(jo, 0)
		complete(jo, 0, 1, workload.OutcomeDone, 3)
		asserter.Equal(t, jo.State, workload.Completed)
	})
	t.Run("a failed member stops the other members, and several failures of a run count once", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 3, Gang: true})
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeFailed, 3)
		complete(jo, 0, 1, workload.OutcomeFailed, 3)
		asserter.Equal(t, jo.Stage(0, 0).Tasks[2].Phase, workload.Stopping)
		asserter.Equal(t, jo.Stage(0, 0).Failures, 1)
	})
	t.Run("a job fails when its attempts are used up, and its other runs are stopped", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 2})
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeFailed, 1)
		asserter.Equal(t, jo.State, workload.Failed)
		asserter.Equal(t, jo.Stage(0, 0).Tasks[1].Phase, workload.Stopping)
	})
	t.Run("a limit of attempts that is set after the failures applies to them", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		for range 2 {
			start(jo, 0)
			complete(jo, 0, 0, workload.OutcomeFailed, 0)
		}
		asserter.Equal(t, jo.FailIfExhausted(3), false)
		asserter.Equal(t, jo.FailIfExhausted(2), true)
		asserter.Equal(t, jo.State, workload.Failed)
	})
	t.Run("only failed runs use up attempts", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		for _, outcome := range []workload.RunOutcome{workload.OutcomeStopped, workload.OutcomeLeaseExpired, workload.OutcomeGangBroken, workload.OutcomeGangIncomplete, workload.OutcomeWorkerLost} {
			start(jo, 0)
			complete(jo, 0, 0, outcome, 1)
		}
		asserter.Equal(t, jo.State, workload.Queued)
	})
	t.Run("a late successful completion is accepted after the run was given up", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeLeaseExpired, 3)
		asserter.Equal(t, complete(jo, 0, 0, workload.OutcomeFailed, 3), false)
		asserter.Equal(t, complete(jo, 0, 0, workload.OutcomeDone, 3), true)
		asserter.Equal(t, jo.State, workload.Completed)
	})
	t.Run("a long-running task is never done", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1, LongRunning: true})
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeDone, 1)
		asserter.Equal(t, jo.State, workload.Queued)
		asserter.Equal(t, jo.Stage(0, 0).HasWaiting(), true)
	})
	t.Run("the checkpoint of one member applies to the whole gang", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 2, Gang: true, Checkpointing: true})
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeStopped, 3)
		asserter.Equal(t, jo.Stage(0, 0).Tasks[1].Checkpoint, "s")
	})
	t.Run("a final state never changes", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		start(jo, 0)
		asserter.Equal(t, jo.Cancel(), true)
		complete(jo, 0, 0, workload.OutcomeDone, 3)
		asserter.Equal(t, jo.State, workload.Cancelled)
		asserter.Equal(t, jo.Cancel(), false)
	})
}

func TestTask(t *testing.T) {
	jo := newJob(workload.Step{Count: 2}, workload.Step{Count: 1})
	t.Run("a key that a worker made up names no task", func(t *testing.T) {
		for _, name := range []string{
			"0123456789abcdef.4611686018427387904.1.0", "0123456789abcdef.-1.1.0", "0123456789abcdef.0.2.0", "0123456789abcdef.0.-1.0",
			"0123456789abcdef.1.0.0", "0123456789abcdef.0.1.1", "0123456789abcdef.0.1.-1", "0123456789abcdef.9223372036854775807.1.0",
		} {
			key, ok := workload.ParseTaskKey(name)
			asserter.Equal(t, ok, true)
			_, ta := jo.Task(key)
			asserter.Equal(t, ta == nil, true)
		}
	})
	t.Run("a key of the job names its task", func(t *testing.T) {
		_, ta := jo.Task(workload.TaskKey{Job: jo.ID, Step: 1})
		asserter.Equal(t, ta == &jo.Stage(0, 1).Tasks[0], true)
	})
}

func TestAddDueStages(t *testing.T) {
	jo := &workload.Job{Steps: []workload.Step{{Count: 1}}, Occurrences: 3, FirstDue: 1000, Interval: 500}
	asserter.Equal(t, jo.AddDueStages(999), 1000)
	asserter.Equal(t, jo.AddDueStages(1500), 2000)
	asserter.Equal(t, len(jo.Stages), 2)
	asserter.Equal(t, jo.AddDueStages(9000), 0)
	asserter.Equal(t, len(jo.Stages), 3)
}

func TestValidate(t *testing.T) {
	for name, steps := range map[string][]workload.Step{
		"no steps":               {},
		"no tasks":               {{Count: 0}},
		"a negative amount":      {{Count: 1, Request: workload.Resources{CPU: -1}}},
		"a dependency on itself": {{Count: 1, After: []int{0}}},
		"too many tasks":         {{Count: 1001}},
		"counts that overflow":   {{Count: math.MaxInt}, {Count: math.MaxInt}, {Count: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			asserter.Kind(t, (&workload.Job{Steps: steps, Occurrences: 1}).Validate(), problem.BadBody)
		})
	}
	t.Run("too many tasks in all occurrences", func(t *testing.T) {
		jo := &workload.Job{Steps: []workload.Step{{Count: 10}}, Occurrences: math.MaxInt / 4, Interval: 1}
		asserter.Kind(t, jo.Validate(), problem.BadBody)
	})
	t.Run("a due time that overflows", func(t *testing.T) {
		jo := &workload.Job{Steps: []workload.Step{{Count: 1}}, Occurrences: 100, FirstDue: 1, Interval: math.MaxInt64 / 50}
		asserter.Kind(t, jo.Validate(), problem.BadBody)
	})
	t.Run("a valid repeated job", func(t *testing.T) {
		jo := &workload.Job{Steps: []workload.Step{{Count: 100}}, Occurrences: 100, FirstDue: 1_800_000_000_000, Interval: 60_000}
		asserter.NoError(t, jo.Validate())
	})
	t.Run("a valid job", func(t *testing.T) {
		asserter.NoError(t, (&workload.Job{Steps: []workload.Step{{Count: 1}}, Occurrences: 1}).Validate())
	})
}

func TestTaskKey(t *testing.T) {
	key := workload.TaskKey{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 17}
	parsed, ok := workload.ParseTaskKey(key.String())
	asserter.Equal(t, ok, true)
	asserter.Equal(t, parsed, key)
	for _, name := range []string{"", "a.1.2", "a.b.c.d", "a.1.2.3.4"} {
		_, ok := workload.ParseTaskKey(name)
		asserter.Equal(t, ok, false)
	}
}

// TestRecordCrash guards against a task that is started without limit although workers crash under it
// (BUDGET), and against one that is given up for the crashes of others (LOST).
func TestRecordCrash(t *testing.T) {
	crash := func(jo *workload.Job, index int, weight workload.CrashWeight) bool {
		st := jo.Stage(0, 0)
		changed := jo.RecordCrash(jo.Key(st, index), st.Tasks[index].Run, weight)
		complete(jo, 0, index, workload.OutcomeWorkerLost, 3)
		start(jo, 0)
		return changed
	}
	t.Run("the sole suspect fails at the third crash, and not before", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 2})
		start(jo, 0)
		for range 2 {
			asserter.Equal(t, crash(jo, 0, workload.SoleSuspect), true)
			asserter.Equal(t, jo.State, workload.Queued)
		}
		crash(jo, 0, workload.SoleSuspect)
		asserter.Equal(t, jo.State, workload.Failed)
	})
	t.Run("a shared suspect fails at the fifth crash, and not before", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 2})
		start(jo, 0)
		for range 4 {
			crash(jo, 0, workload.SharedSuspect)
			asserter.Equal(t, jo.State, workload.Queued)
		}
		crash(jo, 0, workload.SharedSuspect)
		asserter.Equal(t, jo.State, workload.Failed)
	})
	t.Run("a run that lasts clears the task, and a gang", func(t *testing.T) {
		for _, step := range []workload.Step{{Count: 2}, {Count: 2, Gang: true}} {
			jo := newJob(step)
			start(jo, 0)
			for range 2 {
				crash(jo, 1, workload.SoleSuspect)
			}
			jo.Clear(jo.Key(jo.Stage(0, 0), 1))
			crash(jo, 1, workload.SoleSuspect)
			asserter.Equal(t, jo.State, workload.Queued)
		}
	})
	t.Run("the next start waits while a crash is judged that may fail the job", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		start(jo, 0)
		for range 2 {
			crash(jo, 0, workload.SoleSuspect)
		}
		ta := &jo.Stage(0, 0).Tasks[0]
		jo.Postpone(jo.Key(jo.Stage(0, 0), 0), 0, 9000)
		asserter.Equal(t, ta.NotBefore, 0)
		jo.Postpone(jo.Key(jo.Stage(0, 0), 0), workload.SharedSuspect, 9000)
		asserter.Equal(t, ta.NotBefore, 9000)
	})
	t.Run("crashes of different tasks do not add up", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 2})
		start(jo, 0)
		crash(jo, 0, workload.SoleSuspect)
		crash(jo, 1, workload.SoleSuspect)
		asserter.Equal(t, jo.State, workload.Queued)
	})
	t.Run("the crashes under one run of a gang count once", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 3, Gang: true})
		start(jo, 0)
		st := jo.Stage(0, 0)
		asserter.Equal(t, jo.RecordCrash(jo.Key(st, 1), 1, workload.GangSuspect), true)
		asserter.Equal(t, jo.RecordCrash(jo.Key(st, 2), 1, workload.GangSuspect), false)
		asserter.Equal(t, jo.State, workload.Queued)
		start(jo, 0)
		jo.RecordCrash(jo.Key(st, 2), 2, workload.GangSuspect)
		asserter.Equal(t, jo.State, workload.Failed)
	})
	t.Run("a crash that is proven after the next start still counts, once", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		start(jo, 0)
		start(jo, 0)
		st := jo.Stage(0, 0)
		asserter.Equal(t, jo.RecordCrash(jo.Key(st, 0), 1, workload.SoleSuspect), true)
		asserter.Equal(t, jo.RecordCrash(jo.Key(st, 0), 1, workload.SoleSuspect), false)
		asserter.Equal(t, jo.RecordCrash(jo.Key(st, 0), 3, workload.SoleSuspect), false)
	})
}

// TestEarlierRun guards against work that is done again although an earlier run has completed (LOST).
func TestEarlierRun(t *testing.T) {
	earlier := func(jo *workload.Job) bool {
		return jo.CompleteRun(jo.Key(jo.Stage(0, 0), 0), workload.Completion{Run: 1, Outcome: workload.OutcomeDone}, 3)
	}
	restarted := func(step workload.Step) *workload.Job {
		jo := newJob(step)
		start(jo, 0)
		complete(jo, 0, 0, workload.OutcomeLeaseExpired, 3)
		start(jo, 0)
		return jo
	}
	for name, how := range map[string]workload.RunOutcome{
		"stopped": workload.OutcomeStopped, "failed": workload.OutcomeFailed, "lost with its worker": workload.OutcomeWorkerLost, "done too": workload.OutcomeDone,
	} {
		t.Run("the newer run is stopped, and the task is done when it has ended: "+name, func(t *testing.T) {
			jo := restarted(workload.Step{Count: 1})
			asserter.Equal(t, earlier(jo), true)
			asserter.Equal(t, earlier(jo), false)
			asserter.Equal(t, jo.Stage(0, 0).Tasks[0].Phase, workload.Stopping)
			asserter.Equal(t, jo.State, workload.Queued)
			complete(jo, 0, 0, how, 1)
			asserter.Equal(t, jo.State, workload.Completed)
		})
	}
	t.Run("a task that waits to be started again is done at once", func(t *testing.T) {
		jo := restarted(workload.Step{Count: 1})
		complete(jo, 0, 0, workload.OutcomeStopped, 3)
		asserter.Equal(t, earlier(jo), true)
		asserter.Equal(t, jo.State, workload.Completed)
	})
	t.Run("gangs and tasks that last run on", func(t *testing.T) {
		for _, step := range []workload.Step{{Count: 2, Gang: true}, {Count: 1, LongRunning: true}} {
			asserter.Equal(t, earlier(restarted(step)), false)
		}
	})
}

// TestOpenOccurrences guards against a repeated job whose row and whose share of each plan grow with all
// that it has finished (LOST).
func TestOpenOccurrences(t *testing.T) {
	repeated := func(count, occurrences int) *workload.Job {
		jo := &workload.Job{ID: "0123456789abcdef", Steps: []workload.Step{{Count: count}}, Occurrences: occurrences, FirstDue: 1000, Interval: 1000}
		jo.AddDueStages(1000 * clock.Millis(occurrences))
		return jo
	}
	finish := func(jo *workload.Job, occurrence int) bool {
		st := jo.Stage(occurrence, 0)
		changed := true
		for i := range st.Tasks {
			st.Tasks[i].Phase, st.Tasks[i].Run = workload.Running, 1
			changed = jo.CompleteRun(jo.Key(st, i), workload.Completion{Run: 1, Outcome: workload.OutcomeDone}, 3) && changed
		}
		return changed
	}
	t.Run("a finished occurrence is dropped, in any order", func(t *testing.T) {
		jo := repeated(2, 5)
		for _, occurrence := range []int{3, 0, 1} {
			asserter.Equal(t, finish(jo, occurrence), true)
			asserter.Equal(t, jo.Stage(occurrence, 0) == nil, true)
		}
		asserter.Equal(t, jo.Open(), 2)
		asserter.Equal(t, jo.Stage(2, 0).Occurrence, 2)
		asserter.Equal(t, jo.Stage(4, 0).Occurrence, 4)
		asserter.Equal(t, jo.State.Final(), false)
	})
	t.Run("the job is done when all occurrences are", func(t *testing.T) {
		jo := repeated(1, 3)
		for occurrence := range 3 {
			finish(jo, occurrence)
		}
		asserter.Equal(t, jo.State, workload.Completed)
	})
	t.Run("a late completion of a dropped occurrence changes nothing", func(t *testing.T) {
		jo := repeated(1, 3)
		key := jo.Key(jo.Stage(1, 0), 0)
		finish(jo, 1)
		asserter.Equal(t, jo.CompleteRun(key, workload.Completion{Run: 1, Outcome: workload.OutcomeDone}, 3), false)
	})
	t.Run("a job of which only dropped occurrences have started is not pending", func(t *testing.T) {
		jo := repeated(1, 3)
		asserter.Equal(t, jo.NeverStarted(), true)
		finish(jo, 0)
		asserter.Equal(t, jo.NeverStarted(), false)
	})
	t.Run("the open occurrences have a limited number of tasks", func(t *testing.T) {
		jo := repeated(100, 50)
		asserter.Equal(t, jo.Open(), 10)
		finish(jo, 4)
		asserter.Equal(t, jo.AddDueStages(60_000) > 0, true)
		asserter.Equal(t, jo.Open(), 10)
		asserter.Equal(t, jo.Stage(10, 0).Occurrence, 10)
	})
	t.Run("a job with one occurrence keeps it", func(t *testing.T) {
		jo := newJob(workload.Step{Count: 1})
		finish(jo, 0)
		asserter.Equal(t, jo.Open(), 1)
	})
}
