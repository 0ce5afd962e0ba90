package controller

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

// teachSpeeds has eight workers, every second of which is slow, run thirty jobs.
func teachSpeeds(te *term) {
	for jo := range 30 {
		for at := range 8 {
			te.gauger.Record(gauger.Run{
				Task: workload.TaskKey{Job: identifier.Job(fmt.Sprint(jo)), Index: at}, Number: 1, Queue: "queue", Estimate: 2000,
				Worker: identifier.Worker(fmt.Sprint("w-", at)), Percent: completeProgress, Done: true,
				Elapsed: clock.Millis(1500 + 1500*(at%2) + 7*((jo+3*at)%11)),
			}, te.Clock.Now())
		}
	}
}

// TestGaugedRuns guards against runs that are taken for the speed of a worker though something else slows them.
func TestGaugedRuns(t *testing.T) {
	key := workload.TaskKey{Job: "a"}
	cases := map[string]func(te *term, wo *worker, pl *placement){
		"throttled":            func(_ *term, _ *worker, pl *placement) { pl.speed = 50 },
		"resumed":              func(_ *term, _ *worker, pl *placement) { pl.resumed = true },
		"not confirmed":        func(_ *term, _ *worker, pl *placement) { pl.startedAt = 0 },
		"started twice":        func(_ *term, _ *worker, pl *placement) { pl.tries = 2 },
		"other incarnation":    func(_ *term, wo *worker, _ *placement) { wo.answeredAs = 9 },
		"beside mixed load":    func(_ *term, wo *worker, _ *placement) { wo.mixedLoad = true },
		"on a failing worker":  func(_ *term, wo *worker, _ *placement) { wo.failureStreakRuns = 1 },
		"begun on a cold one":  func(_ *term, wo *worker, pl *placement) { wo.coldUntil = pl.startedAt + 1 },
		"best-effort":          func(te *term, _ *worker, _ *placement) { te.jobs["a"].job.Steps[0].BestEffort = true },
		"long-running":         func(te *term, _ *worker, _ *placement) { te.jobs["a"].job.Steps[0].LongRunning = true },
		"far from its data":    func(te *term, _ *worker, _ *placement) { te.jobs["a"].job.Steps[0].DataRack = "far" },
		"of a job that is not": func(te *term, _ *worker, _ *placement) { delete(te.jobs, "a") },
	}
	play := func(t *testing.T, disturb func(te *term, wo *worker, pl *placement)) bool {
		t.Helper()
		told := false
		runTerm(t, 1, func(te *term) {
			addStartingJob(te, "a", "w-0")
			wo := te.workers["w-0"]
			pl := wo.runs[key]
			pl.tries, pl.startedAt = 1, te.Clock.Now()
			disturb(te, wo, pl)
			te.gaugeCompletion(wo, key, pl, te.Clock.Now()+2000)
			told = te.gauger.Gauge("w-0", wo.answeredAs, te.Clock.Now()).Runs > 0
		})
		return told
	}
	t.Run("a run that nothing slows counts", func(t *testing.T) {
		asserter.Equal(t, play(t, func(*term, *worker, *placement) {}), true)
	})
	for name, disturb := range cases {
		t.Run(name+" does not count", func(t *testing.T) { asserter.Equal(t, play(t, disturb), false) })
	}
	t.Run("the end of a gang does not count", func(t *testing.T) {
		runTerm(t, 2, func(te *term) {
			addStartingJob(te, "a", "w-0", "w-1")
			pl := te.workers["w-0"].runs[key]
			pl.tries, pl.startedAt = 1, te.Clock.Now()
			te.gaugeCompletion(te.workers["w-0"], key, pl, te.Clock.Now()+2000)
			asserter.Equal(t, te.gauger.Gauge("w-0", 0, te.Clock.Now()).Runs, 0)
		})
	})
}

// playRenewals renews the leadership twice on a store that refuses a row.
func playRenewals(t *testing.T, refused rowstore.Key, fn func(te *term, st *rowStore)) {
	t.Helper()
	runTerm(t, 1, func(te *term) {
		lossy, _ := te.Store.(*lossyStore)
		st := &rowStore{lossyStore: lossy, rows: map[rowstore.Key]rowstore.Row{recorder.LeadershipKey: lossy.row}, version: lossy.row.Version, refused: refused}
		te.Store, te.op.RowLimit = st, 65_536
		teachSpeeds(te)
		for range 2 {
			asserter.Equal(t, te.writeChanges(nil, extras{renew: true}), true)
		}
		fn(te, st)
	})
}

// TestRecordedSpeeds has a leader that knows of uneven workers: they go with a renewal, not with each, and the
// next leader knows them too.
func TestRecordedSpeeds(t *testing.T) {
	playRenewals(t, rowstore.Key{}, func(te *term, st *rowStore) {
		asserter.Equal(t, te.lost.Load(), false)
		asserter.Equal(t, len(st.applied), 2)
		asserter.Equal(t, len(st.applied[0].Puts), 2)
		asserter.Equal(t, len(st.applied[1].Puts), 1)
		memories, err := recorder.DecodeSpeeds(st.rows[recorder.SpeedsKey])
		asserter.NoError(t, err)
		next := gauger.New()
		next.Restore(memories)
		asserter.Equal(t, next.Gauge("w-1", 0, 0).Factor > 1.2, true)
		asserter.Equal(t, next.Gauge("w-0", 0, 0).Factor < 0.9, true)
	})
}

// TestRefusedSpeeds has a store that does not accept the row: leadership is renewed without it.
func TestRefusedSpeeds(t *testing.T) {
	playRenewals(t, recorder.SpeedsKey, func(te *term, st *rowStore) {
		asserter.Equal(t, te.lost.Load(), false)
		asserter.Equal(t, len(st.applied), 2)
		asserter.Equal(t, te.duePut(extras{renew: true}) == nil, true)
	})
}
