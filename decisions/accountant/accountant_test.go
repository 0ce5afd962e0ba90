package accountant_test

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/accountant"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

func TestLosses(t *testing.T) {
	single := &workload.Step{Count: 1, Request: workload.Resources{CPU: 4000, Accelerators: 2}}
	gang := &workload.Step{Count: 4, Gang: true, Request: single.Request}
	saving := &workload.Step{Count: 1, Checkpointing: true, Request: single.Request}
	for _, ex := range []struct {
		name  string
		run   accountant.Run
		cause accountant.Cause
		lost  meter.CoreSeconds
	}{
		{"a run that is done loses nothing", accountant.Run{Step: single, Outcome: workload.OutcomeDone}, accountant.None, 0},
		{"a task that was done before is done twice", accountant.Run{Step: single, Outcome: workload.OutcomeDone, Duplicate: true}, accountant.DoneTwice, 200},
		{"a stopped run loses what it ran", accountant.Run{Step: single, Outcome: workload.OutcomeStopped, Cause: accountant.Preempted}, accountant.Preempted, 200},
		{"a run that saves loses what it has not saved", accountant.Run{Step: saving, Outcome: workload.OutcomeStopped, Cause: accountant.WorkerLeft}, accountant.WorkerLeft, 20},
		{"a gang that stops with a member", accountant.Run{Step: gang, Outcome: workload.OutcomeGangBroken}, accountant.MemberEnded, 200},
		{"a lease that expired", accountant.Run{Step: single, Outcome: workload.OutcomeLeaseExpired}, accountant.Lapsed, 200},
		{"a worker that is gone", accountant.Run{Step: single, Outcome: workload.OutcomeWorkerLost}, accountant.WorkerLeft, 200},
		{"a cancelled job", accountant.Run{Step: single, Outcome: workload.OutcomeStopped, Cancelled: true}, accountant.Cancelled, 200},
		{"a run that failed", accountant.Run{Step: single, Outcome: workload.OutcomeFailed}, accountant.Failed, 200},
	} {
		t.Run(ex.name, func(t *testing.T) {
			ex.run.Ran, ex.run.Unsaved = 10_000, 1_000
			ac := &accountant.Accountant{}
			cause, lost := ac.Record(ex.run)
			asserter.Equal(t, cause, ex.cause)
			asserter.Equal(t, lost, ex.lost)
			asserter.Equal(t, ac.TotalLost(), ex.lost)
			asserter.Equal(t, ac.Lost(ex.cause), ex.lost)
		})
	}
	t.Run("small losses add up", func(t *testing.T) {
		ac := &accountant.Accountant{}
		var sum meter.CoreSeconds
		for range 20 {
			_, lost := ac.Record(accountant.Run{Step: single, Outcome: workload.OutcomeFailed, Ran: 20})
			sum += lost
		}
		asserter.Equal(t, sum, meter.CoreSeconds(8))
	})
}

func TestHeldRoom(t *testing.T) {
	ac := &accountant.Accountant{}
	ac.Hold(1_000, 8)
	ac.Hold(3_000, 0)
	ac.Hold(9_000, 4)
	ac.Hold(10_000, 4)
	now, sum := ac.Held()
	asserter.Equal(t, now, meter.Accelerators(4))
	asserter.Equal(t, sum, meter.AcceleratorSeconds(20))
}
