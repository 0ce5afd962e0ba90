package controller

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

// Snapshot adds all submissions that are not known yet, and marks the jobs as loaded.
func (ha submissionHandler) Snapshot(rows []rowstore.Row) {
	ha.Changed(rows)
	te := ha.te
	te.mu.Lock()
	te.loaded = true
	te.recoveredRows = nil
	te.applyHandover()
	te.passedAt = 0
	notify(te.dispatchTrigger)
	te.mu.Unlock()
	te.trigger()
}

// Changed adds new submissions.
func (ha submissionHandler) Changed(rows []rowstore.Row) {
	te := ha.te
	te.mu.Lock()
	for _, ro := range rows {
		if _, known := te.jobs[identifier.Job(ro.Name)]; known || ro.Version == 0 {
			continue
		}
		if err := te.addJob(ro); err != nil {
			te.log.Error().Err(err).Str("job", ro.Name).Msg("submissionInvalid")
		}
	}
	te.mu.Unlock()
	te.trigger()
}

// ConfirmedAt does nothing: only the leader decides about jobs, so their freshness is not
// tracked.
func (ha submissionHandler) ConfirmedAt(clock.Millis) {}

// addJob adds a submitted job. A job that had no row at the start of the term was submitted
// later; its row was written together with the submission and has the same version.
func (te *term) addJob(row rowstore.Row) error {
	id := identifier.Job(row.Name)
	su, err := recorder.Decode[ledger.Submission](row)
	if err != nil {
		return err
	}
	pr := ledger.Progress{State: ledger.ProgressState(workload.Queued.String())}
	version := row.Version
	if recorded, known := te.recoveredRows[id]; known {
		version = recorded.Version
		if pr, err = recorder.Decode[ledger.Progress](recorded); err != nil {
			return err
		}
	}
	jo, err := recorder.DecodeJob(id, su, pr)
	if err != nil {
		return err
	}
	now := te.Clock.Now()
	en := &entry{job: jo, version: version, learnedAt: now}
	te.jobs[id] = en
	jo.AddDueStages(te.Clock.TimeOfDay())
	jo.EachHeld(func(st *workload.Stage, index int, ta *workload.Task) {
		ta.PlacedAt = now
		if ta.Phase == workload.Running {
			ta.Phase = workload.Starting // until the worker confirms it again
		}
		wo := te.ensureWorker(ta.Worker)
		wo.expectRun(jo.Key(st, index), ta)
		te.mark(wo)
	})
	te.learnSize(jo)
	if _, cancelled := te.earlyCancels[id]; cancelled {
		delete(te.earlyCancels, id)
		te.cancelJob(id)
	}
	te.log.Info().Str("job", string(id)).Str("queue", string(jo.Queue)).Str("workspace", string(jo.Workspace)).
		Int("steps", len(jo.Steps)).Int("tasks", jo.Steps[0].Count).Int64("accelerators", int64(jo.Steps[0].Request.Accelerators)).
		Bool("gang", jo.Steps[0].Gang).Str("state", jo.State.String()).
		Int64("ageMillis", int64(te.Clock.TimeOfDay()-jo.AcceptedAt)).Msg("jobAdded")
	return nil
}

// learnSize records how many accelerators an urgent job needs at the same time.
func (te *term) learnSize(jo *workload.Job) {
	if terms, known := te.termsOf(jo); known && terms.Priority == 0 {
		te.predictor.RecordArrival(terms.Pool, jo.PeakAccelerators())
	}
}

// termsOf returns the terms that apply to a job. It returns false if none are known.
func (te *term) termsOf(jo *workload.Job) (workload.Terms, bool) {
	po := te.Policies.Current()
	if po == nil {
		return workload.Terms{}, false
	}
	return po.TermsOf(jo)
}

// Snapshot applies all cancellations.
func (ha cancelHandler) Snapshot(rows []rowstore.Row) { ha.Changed(rows) }

// Changed applies new cancellations.
func (ha cancelHandler) Changed(rows []rowstore.Row) {
	te := ha.te
	te.mu.Lock()
	for _, ro := range rows {
		if ro.Version > 0 {
			te.cancelJob(identifier.Job(ro.Name))
		}
	}
	te.mu.Unlock()
	te.trigger()
}

// ConfirmedAt implements tailer.Handler; it does nothing.
func (ha cancelHandler) ConfirmedAt(clock.Millis) {}

func (te *term) cancelJob(id identifier.Job) {
	en, known := te.jobs[id]
	if !known {
		te.earlyCancels[id] = te.Clock.Now()
		return
	}
	en.cancelled = true
	if en.job.Cancel() {
		en.dirty = true
		te.markStops(en.job)
		te.log.Info().Str("job", string(id)).Msg("jobCancelled")
	}
}

// sortedJobs returns the jobs in order of acceptance.
func (te *term) sortedJobs() []*entry {
	all := make([]*entry, 0, len(te.jobs))
	for _, en := range te.jobs {
		all = append(all, en)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		if a.job.AcceptedAt != b.job.AcceptedAt {
			return int(a.job.AcceptedAt - b.job.AcceptedAt)
		}
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	})
	return all
}
