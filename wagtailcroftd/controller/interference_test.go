package controller

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// poll is the time between two polls of a worker.
const poll = clock.Second

// onePolicy is a configuration with one queue.
type onePolicy struct {
	noPolicies
	po *policy.Policy
}

func (op onePolicy) Current() *policy.Policy { return op.po }

// runPaired runs fn on a term whose first worker runs a long task of each of two images, where the second
// image is known to disturb the first.
func runPaired(t *testing.T, workers int, fn func(te *term, po *policy.Policy)) {
	t.Helper()
	runTerm(t, workers, func(te *term) {
		po := (&policy.Policy{Queues: []policy.Queue{{Name: "queue", Priority: 1, MaxAttempts: 3}}}).Index()
		te.Policies = onePolicy{po: po}
		for _, wo := range te.workers {
			wo.contacted = true
		}
		for _, image := range []string{"web", "index"} {
			te.place(image, workload.Running)
		}
		for worker := range 5 {
			var hi separator.History
			for second := range clock.Millis(40) {
				amount := float64(second / 4 % 2)
				te.interference.separator.Observe(&hi, separator.Sample{
					Now: te.Clock.Now() + second*clock.Second, Worker: identifier.Worker(rune('a' + worker)), Image: "web", Slowdown: 0.5 * amount, Beside: separator.Amounts{"index": amount},
				})
			}
		}
		fn(te, po)
	})
}

// place adds a job of one task of a minute, which runs on the first worker or waits.
func (te *term) place(image string, phase workload.Phase) *placement {
	jo := &workload.Job{ID: identifier.Job(image), Queue: "queue", Occurrences: 1, Due: 1}
	jo.Steps = []workload.Step{{Count: 1, Request: workload.Resources{Accelerators: accelerators}, Image: image, Estimate: 60 * clock.Second, Checkpointing: true}}
	jo.Stages = []*workload.Stage{{Tasks: []workload.Task{{Phase: phase}}}}
	te.jobs[jo.ID] = &entry{job: jo}
	if phase == workload.Waiting {
		return nil
	}
	now := te.Clock.Now()
	jo.Stages[0].Tasks[0] = workload.Task{Phase: phase, Run: 1, Worker: "w-0", PlacedAt: now}
	pl := &placement{run: 1, startedAt: now, speed: throttler.FullSpeed}
	te.workers["w-0"].runs[jo.Key(jo.Stages[0], 0)] = pl
	return pl
}

// stopping counts the tasks that are being stopped.
func (te *term) stopping() int {
	count := 0
	for _, en := range te.jobs {
		if en.job.Stages[0].Tasks[0].Phase == workload.Stopping {
			count++
		}
	}
	return count
}

// expectParted checks how many runs are stopped to part the pair.
func expectParted(t *testing.T, te *term, po *policy.Policy, want int) {
	t.Helper()
	now := te.Clock.Now() + 60*clock.Second
	te.refreshPairs(now)
	te.partPair(te.plannerInput(po, now), planner.Plan{}, now)
	asserter.Equal(t, te.stopping(), want)
}

func TestPartPair(t *testing.T) {
	t.Run("one of two tasks of which one disturbs the other is moved to a free worker", func(t *testing.T) {
		runPaired(t, 2, func(te *term, po *policy.Policy) {
			expectParted(t, te, po, 1)
			expectParted(t, te, po, 1) // the next move waits for the effect of this one
		})
	})
	t.Run("nothing is moved where there is no room", func(t *testing.T) {
		runPaired(t, 1, func(te *term, po *policy.Policy) { expectParted(t, te, po, 0) })
		runPaired(t, 2, func(te *term, po *policy.Policy) {
			te.workers["w-1"].report.Draining = true
			expectParted(t, te, po, 0)
		})
	})
	t.Run("nothing is moved while a task waits", func(t *testing.T) {
		runPaired(t, 2, func(te *term, po *policy.Policy) {
			te.place("other", workload.Waiting)
			expectParted(t, te, po, 0)
		})
	})
	t.Run("a task without checkpoints that has run for long stays", func(t *testing.T) {
		runPaired(t, 2, func(te *term, po *policy.Policy) {
			for _, en := range te.jobs {
				en.job.Steps[0].Checkpointing = false
			}
			expectParted(t, te, po, 0)
		})
	})
	t.Run("a task is moved once", func(t *testing.T) {
		runPaired(t, 2, func(te *term, po *policy.Policy) {
			for _, en := range te.jobs {
				en.job.Stages[0].Tasks[0].Run = 2
			}
			expectParted(t, te, po, 0)
		})
	})
	t.Run("a pair that operators ignore stays", func(t *testing.T) {
		runPaired(t, 2, func(te *term, po *policy.Policy) {
			te.op.NamedPairs.Ignored = []separator.ImagePair{{A: "index", B: "web"}}
			expectParted(t, te, po, 0)
		})
	})
}

func TestSamples(t *testing.T) {
	// after lets the tasks make progress, and returns the number of samples that the next poll gives.
	after := func(te *term, at clock.Millis, progress meter.Percent) int {
		for _, en := range te.jobs {
			en.job.Stages[0].Tasks[0].Progress += progress
		}
		before := te.interference.samples
		te.observeInterference(te.workers["w-0"], at, at)
		return te.interference.samples - before
	}
	t.Run("a run gives a sample at each poll before which its neighbours did not change", func(t *testing.T) {
		runPaired(t, 1, func(te *term, _ *policy.Policy) {
			now := te.Clock.Now() + poll
			asserter.Equal(t, after(te, now, 5), 0) // the first poll begins the measurement
			asserter.Equal(t, after(te, now+poll, 5), 2)
			te.place("other", workload.Running).startedAt = now + poll + poll/2
			asserter.Equal(t, after(te, now+2*poll, 5), 0)
			asserter.Equal(t, after(te, now+3*poll, 5), 3)
			delete(te.workers["w-0"].runs, workload.TaskKey{Job: "other"})
			asserter.Equal(t, after(te, now+4*poll, 5), 2) // it worked until this answer
		})
	})
	t.Run("a measurement lasts until there is enough progress", func(t *testing.T) {
		runPaired(t, 1, func(te *term, _ *policy.Policy) {
			now := te.Clock.Now() + poll
			asserter.Equal(t, after(te, now, 2), 0)
			asserter.Equal(t, after(te, now+poll, 2), 0)
			asserter.Equal(t, after(te, now+2*poll, 2), 2)
		})
	})
	t.Run("a change of the throttle ends a measurement", func(t *testing.T) {
		runPaired(t, 1, func(te *term, _ *policy.Policy) {
			now := te.Clock.Now() + poll
			asserter.Equal(t, after(te, now, 5), 0)
			pl := te.workers["w-0"].runs[workload.TaskKey{Job: "index"}]
			pl.speed, pl.speedAt = 50, now+poll/2
			asserter.Equal(t, after(te, now+poll, 5), 0)
			asserter.Equal(t, after(te, now+2*poll, 5), 2)
		})
	})
	t.Run("the samples of a second are bounded", func(t *testing.T) {
		runPaired(t, 1, func(te *term, _ *policy.Policy) {
			now := te.Clock.Now() + poll
			after(te, now, 5)
			te.interference.recent = maxSamples
			asserter.Equal(t, after(te, now+poll, 50), 0)
			for _, pl := range te.workers["w-0"].runs {
				asserter.Equal(t, pl.watch.paced, false) // a run without samples tells nothing of its worker
			}
			te.interference.recent = maxSamples - 1
			asserter.Equal(t, after(te, now+poll+poll/2, 5), 1)
			te.refreshPairs(now + poll)
			asserter.Equal(t, after(te, now+2*poll, 5), 2)
		})
	})
	t.Run("gangs give none, because their pace is that of the slowest member", func(t *testing.T) {
		runPaired(t, 1, func(te *term, _ *policy.Policy) {
			te.jobs["web"].job.Steps[0].Gang = true
			now := te.Clock.Now() + poll
			asserter.Equal(t, after(te, now, 5), 0)
			asserter.Equal(t, after(te, now+poll, 5), 1)
		})
	})
}

func TestUndisturbed(t *testing.T) {
	t.Run("a worker whose tasks disturb each other does not pass for a slow one", func(t *testing.T) {
		runPaired(t, 1, func(te *term, _ *policy.Policy) {
			pl := te.workers["w-0"].runs[workload.TaskKey{Job: "web"}]
			var idle placement
			now := te.Clock.Now() + 40*clock.Second
			te.observeInterference(te.workers["w-0"], now, now)
			te.jobs["web"].job.Stages[0].Tasks[0].Progress = 10
			te.observeInterference(te.workers["w-0"], now+poll, now+poll)
			asserter.Equal(t, te.undisturbed(pl, "web", poll), poll) // before the pairs were evaluated
			te.refreshPairs(now + poll)
			if took := te.undisturbed(pl, "web", poll); took < 550 || took > 750 {
				t.Fatalf("%d ms of 1000 ms, which is not what a factor of 1.5 to 1.8 leaves", took)
			}
			asserter.Equal(t, te.undisturbed(&idle, "web", poll), poll)
			asserter.Equal(t, te.undisturbed(pl, "other", poll), poll)
		})
	})
}
