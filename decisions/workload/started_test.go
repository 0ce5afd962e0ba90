package workload_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// TestNeverStarted guards against jobs that count as started although no worker has accepted a run of them
// (MIXED, review/10).
func TestNeverStarted(t *testing.T) {
	starting := func() *workload.Job {
		jo := newJob(workload.Step{Count: 2})
		jo.Stages[0].Tasks[0].Phase, jo.Stages[0].Tasks[0].Run = workload.Starting, 1
		return jo
	}
	t.Run("a recorded run has not started", func(t *testing.T) {
		asserter.Equal(t, starting().NeverStarted(), true)
	})
	t.Run("nor has one that was refused or given up", func(t *testing.T) {
		for _, outcome := range []workload.RunOutcome{workload.OutcomeStopped, workload.OutcomeLeaseExpired, workload.OutcomeWorkerLost} {
			jo := starting()
			complete(jo, 0, 0, outcome, 3)
			asserter.Equal(t, jo.NeverStarted(), true)
		}
	})
	t.Run("one that a worker has confirmed stays started after its end", func(t *testing.T) {
		jo := starting()
		asserter.Equal(t, jo.RecordStart(), true)
		complete(jo, 0, 0, workload.OutcomeStopped, 3)
		asserter.Equal(t, jo.NeverStarted(), false)
		asserter.Equal(t, jo.RecordStart(), false)
	})
	t.Run("so does one that is done", func(t *testing.T) {
		jo := starting()
		complete(jo, 0, 0, workload.OutcomeDone, 3)
		asserter.Equal(t, jo.NeverStarted(), false)
	})
	t.Run("a final state does not change", func(t *testing.T) {
		jo := starting()
		jo.Cancel()
		asserter.Equal(t, jo.RecordStart(), false)
		asserter.Equal(t, jo.State, workload.Cancelled)
	})
}
