package controller

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	maxEvacuationAge = 4000 * clock.Millis(1)
	// kochi is the zone of the workers in these tests.
	kochi identifier.Zone = "kochi"
)

// fakeEvacuations is a configuration with evacuations only. It is safe for concurrent use.
type fakeEvacuations struct {
	noPolicies
	mu        sync.Mutex
	confirmed clock.Millis
	zones     fleet.Evacuations
}

// Current returns a configuration without queues.
func (*fakeEvacuations) Current() *policy.Policy { return &policy.Policy{} }

// ConfirmedAt returns when the evacuations were last confirmed.
func (fe *fakeEvacuations) ConfirmedAt() clock.Millis {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.confirmed
}

// Evacuations returns the evacuated zones.
func (fe *fakeEvacuations) Evacuations() fleet.Evacuations {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.zones
}

// set confirms at a time that some zones are evacuated.
func (fe *fakeEvacuations) set(at clock.Millis, zones ...identifier.Zone) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.confirmed, fe.zones = at, fleet.Evacuations{}
	for _, zone := range zones {
		fe.zones[zone] = 7
	}
}

// runEvacuation runs fn on the term of a leader of two workers that have answered, of which the first is in
// kochi.
func runEvacuation(t *testing.T, fn func(te *term, fe *fakeEvacuations)) {
	t.Helper()
	runTerm(t, 2, func(te *term) {
		fe := &fakeEvacuations{}
		fe.set(te.Clock.Now())
		te.Policies, te.op.MaxEvacuationAge = fe, maxEvacuationAge
		te.workers["w-0"].report.Zone = kochi
		for _, wo := range te.workers {
			wo.contacted = true
		}
		fn(te, fe)
	})
}

// lead keeps the leadership renewed for a time.
func lead(te *term, d clock.Millis) {
	for end := te.Clock.Now() + d; te.Clock.Now() < end; {
		te.mu.Lock()
		te.renewedAt = te.Clock.Now()
		te.mu.Unlock()
		time.Sleep(passInterval.Duration())
	}
}

func starts(te *term) int {
	wk, _ := te.Workers.(*answeringWorkers)
	return int(wk.starts.Load())
}

// TestEvacuatedWorkers guards against work that is planned in an evacuated zone (EVAC).
func TestEvacuatedWorkers(t *testing.T) {
	usable := func(te *term, id identifier.Worker) bool {
		return te.plannerWorker(te.workers[id], te.Clock.Now()).Usable
	}
	t.Run("the workers of an evacuated zone get no new runs until it is taken back", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			asserter.Equal(t, usable(te, "w-0"), true)
			fe.set(te.Clock.Now(), kochi)
			asserter.Equal(t, usable(te, "w-0"), false)
			asserter.Equal(t, usable(te, "w-1"), true)
			fe.set(te.Clock.Now())
			asserter.Equal(t, usable(te, "w-0"), true)
		})
	})
	t.Run("nothing changes where the settings do not ask for it", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			fe.set(0, kochi)
			te.op.MaxEvacuationAge = 0
			te.workers["w-0"].coldUntil = te.Clock.Now() + 1000
			asserter.Equal(t, usable(te, "w-0"), true)
			asserter.Equal(t, te.plannerWorker(te.workers["w-0"], te.Clock.Now()).Suspect, false)
			asserter.Equal(t, te.startBy(), te.changeBy())
		})
	})
	t.Run("a worker that is cold is taken last", func(t *testing.T) {
		runEvacuation(t, func(te *term, _ *fakeEvacuations) {
			now := te.Clock.Now()
			te.workers["w-0"].coldUntil = now + 1000
			asserter.Equal(t, te.plannerWorker(te.workers["w-0"], now).Suspect, true)
			asserter.Equal(t, te.plannerWorker(te.workers["w-0"], now+1000).Suspect, false)
		})
	})
}

// TestEvacuatedStarts guards against a start that was planned before the evacuation and leaves after it (EVAC).
func TestEvacuatedStarts(t *testing.T) {
	key := workload.TaskKey{Job: "j"}
	dispatch := func(te *term) {
		go te.runDispatcher()
		te.mu.Lock()
		addStartingJob(te, "j", "w-0")
		te.mark(te.workers["w-0"])
		te.mu.Unlock()
	}
	t.Run("a start that has not left is given up, and its task waits again", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			fe.set(te.Clock.Now(), kochi)
			dispatch(te)
			synctest.Wait()
			asserter.Equal(t, starts(te), 0)
			te.mu.Lock()
			defer te.mu.Unlock()
			_, ta := te.jobs["j"].job.Task(key)
			asserter.Equal(t, ta.Phase, workload.Waiting)
			asserter.Equal(t, len(te.workers["w-0"].runs), 0)
		})
	})
	t.Run("a start that waits in the queue is given up at its turn", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			for range commandWorkers {
				asserter.NoError(t, te.commands.Submit(true, func() { time.Sleep(time.Second) }))
			}
			dispatch(te)
			synctest.Wait()
			fe.set(te.Clock.Now(), kochi)
			lead(te, 2*clock.Second)
			asserter.Equal(t, starts(te), 0)
			te.mu.Lock()
			defer te.mu.Unlock()
			asserter.Equal(t, len(te.workers["w-0"].runs), 0)
		})
	})
	t.Run("a start that may have arrived is stopped", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			wk, _ := te.Workers.(*answeringWorkers)
			wk.silent = "w-0"
			dispatch(te)
			synctest.Wait()
			fe.set(te.Clock.Now(), kochi)
			lead(te, 2*clock.Second)
			asserter.Equal(t, wk.stoppedAt.Load() > 0, true)
		})
	})
	t.Run("the start of a former leader is left until its worker has told of it", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			wk, _ := te.Workers.(*answeringWorkers)
			te.mu.Lock()
			addStartingJob(te, "j", "w-0")
			wo := te.workers["w-0"]
			_, ta := te.jobs["j"].job.Task(key)
			wo.expectRun(key, ta)
			wo.contacted = false
			te.mu.Unlock()
			fe.set(te.Clock.Now(), kochi)
			go te.runDispatcher()
			lead(te, clock.Second)
			asserter.Equal(t, wk.stoppedAt.Load(), 0)
			te.mu.Lock()
			wo.contacted = true
			te.mark(wo)
			te.mu.Unlock()
			lead(te, clock.Second)
			asserter.Equal(t, wk.stoppedAt.Load() > 0, true)
		})
	})
	t.Run("a gang across the zone is given up whole", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			wk, _ := te.Workers.(*answeringWorkers)
			go te.runDispatcher()
			te.mu.Lock()
			addStartingJob(te, "j", "w-0", "w-1")
			te.workers["w-0"].runs[key].retryAt = te.Clock.Now() + 300 // the member there leaves last
			te.mark(te.workers["w-1"])
			te.mu.Unlock()
			synctest.Wait()
			fe.set(te.Clock.Now(), kochi)
			lead(te, clock.Second)
			asserter.Equal(t, starts(te), 1)
			asserter.Equal(t, wk.stoppedAt.Load() > 0, true)
			te.mu.Lock()
			defer te.mu.Unlock()
			_, ta := te.jobs["j"].job.Task(key)
			asserter.Equal(t, ta.Phase, workload.Waiting)
			_, other := te.jobs["j"].job.Task(workload.TaskKey{Job: "j", Index: 1})
			asserter.Equal(t, other.Phase, workload.Stopping) // until its worker lists the end
		})
	})
	t.Run("a run that has started goes on", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			wk, _ := te.Workers.(*answeringWorkers)
			dispatch(te)
			synctest.Wait()
			asserter.Equal(t, starts(te), 1)
			fe.set(te.Clock.Now(), kochi)
			lead(te, 3*clock.Second)
			asserter.Equal(t, wk.stoppedAt.Load(), 0)
		})
	})
	t.Run("starts wait while the evacuations are not confirmed, also in other zones", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			fe.set(te.Clock.Now() - maxEvacuationAge)
			dispatch(te)
			lead(te, 2*clock.Second)
			asserter.Equal(t, starts(te), 0)
			fe.set(te.Clock.Now())
			lead(te, clock.Second)
			asserter.Equal(t, starts(te), 1)
		})
	})
	t.Run("a start carries the moment up to which the evacuations are known, and whether its zone is", func(t *testing.T) {
		runEvacuation(t, func(te *term, fe *fakeEvacuations) {
			te.mu.Lock()
			addStartingJob(te, "j", "w-0")
			wo := te.workers["w-0"]
			pl := wo.runs[key]
			te.mu.Unlock()
			fe.set(te.Clock.Now() - maxEvacuationAge + 100)
			to, _, _, ok := te.prepareStart(wo, key, pl)
			asserter.Equal(t, ok, true)
			asserter.Equal(t, to.SendBy, te.Clock.Now()+100)
			asserter.Equal(t, to.Forbidden(), false)
			fe.set(te.Clock.Now(), kochi)
			asserter.Equal(t, to.Forbidden(), true)
		})
	})
}
