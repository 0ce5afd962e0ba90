package recorder_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

func TestJob(t *testing.T) {
	jo := &workload.Job{
		ID: "5c0e7a21d94b36f8", Queue: "qu", Workspace: "ws", Payload: "p", AcceptedAt: 5, Occurrences: 2, FirstDue: 10, Interval: 10,
		Terms: workload.Terms{Pool: "po", Priority: 1, MaxAttempts: 2, SlowdownFactor: 1.5, Objective: 250, NeedsAdvice: true},
		Steps: []workload.Step{
			{Count: 20, Request: workload.Resources{CPU: 1, Memory: 2, Accelerators: 3}, Gang: true, SameRack: true, Checkpointing: true},
			{Count: 1, After: []int{0}, Requires: "l", DataRack: "r", MaxPerWorker: 2, LongRunning: true, Image: "i", TailLatencyTarget: 4, MaxUnavailable: 1},
		},
	}
	jo.AddDueStages(20)
	sg := jo.Stage(1, 0)
	sg.Failures, sg.FailedRun = 1, 2
	for i := range sg.Tasks {
		sg.Tasks[i] = workload.Task{Phase: workload.Done}
	}
	sg.Tasks[7] = workload.Task{Phase: workload.Stopping, Run: 3, Worker: "w", Incarnation: 9, Failures: 1, CrashWeight: 1, CrashedRun: 2, Checkpoint: "s"}
	t.Run("a decoded job equals the encoded one", func(t *testing.T) {
		got, err := recorder.DecodeJob(jo.ID, recorder.EncodeSubmission(jo), recorder.EncodeProgress(jo, 0))
		asserter.NoError(t, err)
		if !reflect.DeepEqual(got, jo) {
			t.Fatalf("got %+v, want %+v", got, jo)
		}
	})
	t.Run("rows that name no terms are read", func(t *testing.T) {
		su := recorder.EncodeSubmission(jo)
		su.Terms = ledger.Terms{}
		got, err := recorder.DecodeJob(jo.ID, su, recorder.EncodeProgress(jo, 0))
		asserter.NoError(t, err)
		_, known := got.TermsIn(workload.Terms{}, false)
		asserter.Equal(t, known, false)
	})
	t.Run("stages without started tasks are omitted", func(t *testing.T) {
		asserter.Equal(t, len(recorder.EncodeProgress(jo, 0).Stages), 1)
	})
	t.Run("invalid rows are rejected", func(t *testing.T) {
		su, pr := recorder.EncodeSubmission(jo), recorder.EncodeProgress(jo, 0)
		pr.Stages = []ledger.Stage{{At: 99}}
		if _, err := recorder.DecodeJob(jo.ID, su, pr); err == nil {
			t.Fatalf("a stage out of range was accepted")
		}
		if _, err := recorder.DecodeJob(jo.ID, ledger.Submission{}, pr); err == nil {
			t.Fatalf("a job without steps was accepted")
		}
		if _, err := recorder.Decode[ledger.Progress](rowstore.Row{Value: []byte("{")}); err == nil {
			t.Fatalf("a row with invalid JSON was accepted")
		}
		if _, err := recorder.ParseState("no such state"); err == nil {
			t.Fatalf("an unknown state was accepted")
		}
	})
}

// TestRowSize guards against a row that outgrows what the store accepts, so that nothing of any job is
// recorded any more (LOST).
func TestRowSize(t *testing.T) {
	repeated := func() *workload.Job {
		return &workload.Job{
			ID: "5c0e7a21d94b36f8", Occurrences: 5000, Interval: 1000,
			Steps: []workload.Step{{Count: 3}, {Count: 1, After: []int{0}}},
		}
	}
	t.Run("the row of a repeated job does not grow with its finished occurrences", func(t *testing.T) {
		jo := repeated()
		for occurrence := range 4000 {
			jo.AddDueStages(jo.DueAt(occurrence))
			for step := range jo.Steps {
				st := jo.Stage(occurrence, step)
				for i := range st.Tasks {
					st.Tasks[i] = workload.Task{Phase: workload.Running, Run: 1, Worker: "w"}
					jo.CompleteRun(jo.Key(st, i), workload.Completion{Run: 1, Outcome: workload.OutcomeDone}, 3)
				}
			}
		}
		if size := len(recorder.Encode(recorder.EncodeProgress(jo, 0))); size > 200 {
			t.Fatalf("the row has %d bytes", size)
		}
		got, err := recorder.DecodeJob(jo.ID, recorder.EncodeSubmission(jo), recorder.EncodeProgress(jo, 0))
		asserter.NoError(t, err)
		asserter.Equal(t, got.Due, 4000)
		asserter.Equal(t, got.Open(), 0)
	})
	t.Run("a row of an earlier version holds all occurrences that were due", func(t *testing.T) {
		jo := repeated()
		pr := ledger.Progress{State: "running", Occurrences: 3, Stages: []ledger.Stage{{At: 0, Done: []byte{7}}, {At: 1, Done: []byte{1}}, {At: 2, Done: []byte{7}}}}
		got, err := recorder.DecodeJob(jo.ID, recorder.EncodeSubmission(jo), pr)
		asserter.NoError(t, err)
		asserter.Equal(t, got.Open(), 2)
		asserter.Equal(t, got.Stage(1, 0).Finished(), true)
		asserter.Equal(t, got.Stage(2, 0).Finished(), false)
	})
	t.Run("open occurrences that are not due or out of order are rejected", func(t *testing.T) {
		jo := repeated()
		for _, open := range [][]int{{3}, {1, 0}, {-1}} {
			if _, err := recorder.DecodeJob(jo.ID, recorder.EncodeSubmission(jo), ledger.Progress{State: "running", Occurrences: 3, Open: open}); err == nil {
				t.Errorf("open occurrences %v were accepted", open)
			}
		}
	})
}

// wideJob returns a job whose tasks are all at work, each on a worker of its own and with a checkpoint of
// random characters.
func wideJob(tasks, checkpointLength int) *workload.Job {
	random := rand.New(rand.NewPCG(1, 2))
	hex := func(length int) string {
		text := make([]byte, length)
		for i := range text {
			text[i] = "0123456789abcdef"[random.IntN(16)]
		}
		return string(text)
	}
	jo := &workload.Job{ID: "5c0e7a21d94b36f8", Workspace: "ws", Occurrences: 1, Steps: []workload.Step{{Count: tasks}}}
	jo.AddDueStages(0)
	for i := range tasks {
		jo.Stages[0].Tasks[i] = workload.Task{
			Phase: workload.Running, Run: 1 + meter.RunNumber(random.IntN(9)), Worker: identifier.Worker("i-" + hex(10)),
			Incarnation: workload.Incarnation(1_790_000_000_000 + random.Int64N(1_000_000_000)), Checkpoint: hex(checkpointLength),
		}
	}
	return jo
}

// TestWideJob guards against the row of a job with many tasks at work that the store refuses (LOST).
func TestWideJob(t *testing.T) {
	const limit = 65_536
	decode := func(t *testing.T, jo *workload.Job, value []byte) *workload.Job {
		t.Helper()
		pr, err := recorder.Decode[ledger.Progress](rowstore.Row{Value: value})
		asserter.NoError(t, err)
		got, err := recorder.DecodeJob(jo.ID, recorder.EncodeSubmission(jo), pr)
		asserter.NoError(t, err)
		return got
	}
	t.Run("the row of the widest job fits and is decoded", func(t *testing.T) {
		jo := wideJob(1000, 16)
		value, ok := recorder.EncodeJob(jo, limit)
		asserter.Equal(t, ok, true)
		asserter.Equal(t, reflect.DeepEqual(decode(t, jo, value), jo), true)
	})
	t.Run("the widest job that is accepted fits under a lower limit", func(t *testing.T) {
		for _, lower := range []meter.Bytes{8_192, 16_384, 32_768} {
			tasks := 0
			for recorder.CheckSize(wideJob(tasks+1, 0), lower) == nil {
				tasks++
			}
			value, _ := recorder.EncodeJob(wideJob(tasks, 16), 0)
			asserter.Equal(t, meter.Bytes(len(value)) <= lower, true)
		}
	})
	t.Run("checkpoints that do not fit are left out", func(t *testing.T) {
		jo := wideJob(1000, 200)
		value, ok := recorder.EncodeJob(jo, limit)
		asserter.Equal(t, ok, true)
		got := decode(t, jo, value)
		asserter.Equal(t, got.Stages[0].Tasks[7].Checkpoint, "")
		asserter.Equal(t, got.Stages[0].Tasks[7].Worker, jo.Stages[0].Tasks[7].Worker)
	})
	t.Run("a row that is too large even so is told", func(t *testing.T) {
		_, ok := recorder.EncodeJob(wideJob(1000, 16), 2000)
		asserter.Equal(t, ok, false)
	})
	t.Run("a job that cannot be kept is refused with the reason", func(t *testing.T) {
		asserter.Kind(t, recorder.CheckSize(wideJob(500, 0), 16_384), problem.BadBody)
		long := wideJob(1, 0)
		long.Payload = strings.Repeat("x1", 4000)
		for i := range long.Payload {
			if i%7 == 0 {
				long.Steps = append(long.Steps, workload.Step{Count: 1, Image: fmt.Sprint(i * 7919)})
			}
		}
		asserter.Kind(t, recorder.CheckSize(long, 4096), problem.BadBody)
		asserter.NoError(t, recorder.CheckSize(wideJob(1000, 0), limit))
	})
}
