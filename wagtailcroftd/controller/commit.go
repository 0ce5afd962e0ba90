package controller

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

const (
	// maxEntries bounds a transaction; the store accepts 100 entries, and a job needs up to 5.
	maxEntries = 94
	// maxBytes bounds the size of a transaction; the store accepts 1 MB, and base64 adds a
	// third.
	maxBytes = 600_000
	// refusedRowPause is the time after which a row that the store has refused is written again.
	refusedRowPause = 5 * clock.Second
)

type (
	// change is the new row of one job.
	change struct {
		entry *entry
		tr    rowstore.Transaction
		// value is the new content of the job's row, or of its row in the table of ended jobs.
		value []byte
		// ended means that the job moves to the table of ended jobs.
		ended bool
		// runs are the runs that the row contains and that were not recorded before.
		runs []newRun
		// ends holds the first completion of each worker that the row contains and that was not recorded
		// before.
		ends map[*worker]completionID
		// recorded means that the store holds the row.
		recorded bool
	}

	// newRun is a run and the worker on which it is placed.
	newRun struct {
		*placement
		worker *worker
	}

	// extras is what a transaction writes beside the rows of jobs.
	extras struct {
		// renew means that the leadership is renewed, release that it is released; never both.
		renew, release bool
		// counts are the pending-job counts to write; nil means none.
		counts map[string]int
	}

	// write is a transaction that is being written, possibly in several tries.
	write struct {
		extras
		changes []change
		// next is the new content of the row of the leadership, if it is renewed or released.
		next ledger.Leader
		// first is when the first try was sent, sent when the last one was.
		first, sent clock.Millis
	}

	// completionID is the number of a completion of one incarnation of a worker.
	completionID struct {
		incarnation workload.Incarnation
		number      meter.CompletionNumber
	}

	// batch is what one round records.
	batch struct {
		changes []change
		// completions holds, for each worker, the number of the last completion that the batch
		// includes.
		completions map[*worker]completionID
		// counts is nil if the pending-job counts need not be written.
		counts map[string]int
	}
)

// batch collects the changes that are not recorded yet. It is called with mu held.
func (te *term) batch() batch {
	ba := batch{completions: map[*worker]completionID{}}
	now := te.Clock.Now()
	for _, en := range te.sortedJobs() {
		if now < en.refusedUntil {
			continue
		}
		if en.dirty || (en.job.State.Final() && en.job.NoRunsLeft()) {
			te.markStops(en.job)
			ba.changes = append(ba.changes, te.change(en))
			en.dirty, en.unrecorded = false, nil
		}
	}
	for _, wo := range te.workers {
		if wo.applied > wo.recorded {
			ba.completions[wo] = completionID{incarnation: wo.answeredAs, number: wo.applied}
		}
	}
	ba.counts = te.duePendingCounts(now)
	return ba
}

// change builds the new row of a job.
func (te *term) change(en *entry) change {
	jo := en.job
	key := recorder.JobKey(recorder.Jobs, jo.ID)
	ch := change{entry: en, ends: en.unrecorded, tr: rowstore.Transaction{Preconditions: []rowstore.Precondition{{Key: key, Version: en.version}}}}
	if jo.State.Final() && jo.NoRunsLeft() {
		ch.ended = true
		pr := ledger.Progress{State: ledger.ProgressState(jo.State.String()), Workspace: jo.Workspace, Reason: jo.Reason, EndedAt: te.Clock.TimeOfDay()}
		ch.value = recorder.Encode(pr)
		ch.tr.Puts = []rowstore.Put{{Key: recorder.JobKey(recorder.EndedJobs, jo.ID), Value: ch.value}}
		ch.tr.Removals = []rowstore.Key{key, recorder.JobKey(recorder.Submissions, jo.ID)}
		if en.cancelled {
			ch.tr.Removals = append(ch.tr.Removals, recorder.JobKey(recorder.Cancels, jo.ID))
		}
		return ch
	}
	ch.value = te.encodeJob(jo)
	ch.tr.Puts = []rowstore.Put{{Key: key, Value: ch.value}}
	jo.EachHeld(func(st *workload.Stage, index int, ta *workload.Task) {
		wo := te.workers[ta.Worker]
		if wo == nil {
			return
		}
		if pl := wo.runs[jo.Key(st, index)]; pl != nil && !pl.recorded {
			ch.runs = append(ch.runs, newRun{placement: pl, worker: wo})
		}
	})
	return ch
}

// encodeJob encodes the row of a job that has runs left. A job whose row does not fit is failed, so that
// it holds up no other; the row of its outcome names no runs, so that another leader would stop these as
// orphans.
func (te *term) encodeJob(jo *workload.Job) []byte {
	value, ok := recorder.EncodeJob(jo, te.op.RowLimit)
	if ok {
		return value
	}
	if jo.Fail(fmt.Sprintf("its progress takes %d bytes, a row of the store at most %d", len(value), te.op.RowLimit)) {
		te.Metrics.Count("jobs", jo.State.String())
		te.log.Error().Str("job", string(jo.ID)).Str("state", jo.State.String()).Str("why", jo.Reason).Msg("jobEnded")
		te.markStops(jo)
	}
	return recorder.EncodeOutcome(jo)
}

// commit records a batch. It returns false when the term is over. Changes that were rejected
// because of a conflict are retried in the next round. With release, the last transaction of the batch also
// releases the leadership, unless an earlier one has left something to retry.
func (te *term) commit(ba batch, release bool) bool {
	rest, ex, renewed := ba.changes, extras{counts: ba.counts, renew: te.renewalDue()}, false
	for len(rest) > 0 || ex.counts != nil || ex.renew {
		part, left := split(rest)
		if release && len(left) == 0 && !te.leftToRetry(ba.changes[:len(ba.changes)-len(part)]) {
			ex.renew, ex.release = false, true
		}
		ok := te.writeChanges(part, ex)
		rest, renewed = left, renewed || ex.renew
		// A write that an outage has held up is followed by a renewal at once, before a standby takes
		// over. A round with nothing left ends after one renewal, even if a commit takes as long as
		// the interval.
		ex = extras{renew: !ex.release && (len(rest) > 0 || !renewed) && te.renewalDue()}
		if !ok {
			te.keepUnrecorded(ba)
			return false
		}
	}
	te.mu.Lock()
	defer te.mu.Unlock()
	te.markCompletionsRecorded(ba)
	te.pruneEnds()
	return true
}

// split returns the changes that fit into one transaction, and those left over.
func split(changes []change) (part, left []change) {
	entries, size := 0, 0
	for i := range changes {
		entries += changes[i].tr.Size()
		size += len(changes[i].value)
		if i > 0 && (entries > maxEntries || size > maxBytes) {
			return changes[:i], changes[i:]
		}
	}
	return changes, nil
}

// writeChanges records changes under the fencing token, except those that a conflict or a refusal keeps
// out. It returns false if the term is over.
func (te *term) writeChanges(changes []change, ex extras) bool {
	wr := &write{extras: ex, changes: changes, next: te.nextLeader(ex), first: te.Clock.Now()}
	tr := rowstore.Transaction{Preconditions: []rowstore.Precondition{{Key: recorder.LeadershipKey, Version: te.leadership.Version()}}}
	if ex.renew || ex.release {
		tr.Puts = append(tr.Puts, rowstore.Put{Key: recorder.LeadershipKey, Value: recorder.Encode(wr.next)})
	}
	if ex.counts != nil {
		tr.Puts = append(tr.Puts, rowstore.Put{Key: recorder.PendingCountsKey, Value: recorder.Encode(ledger.PendingCounts{Queues: ex.counts})})
	}
	speeds := te.duePut(ex)
	tr.Puts = append(tr.Puts, speeds...)
	for i := range changes {
		tr.Add(changes[i].tr)
	}
	for tries := 1; te.ctx.Err() == nil; tries++ {
		wr.sent = te.Clock.Now()
		ctx, cancel := te.Clock.WithTimeout(te.ctx, elector.WriteTimeout)
		version, err := te.Store.Write(ctx, tr)
		cancel()
		te.Metrics.Observe("record", te.Clock.Now()-wr.sent)
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			te.Metrics.Count("records", "done")
			te.markRecorded(wr, version, wr.sent)
			return true
		case eris.As(err, &conflict):
			return te.resolveConflict(wr, conflict)
		case eris.Is(err, rowstore.ErrNotExecuted) || eris.Is(err, rowstore.ErrOutcomeUnknown):
			te.Metrics.Count("records", "delayed")
			te.log.Warn().Err(err).Int("try", tries).Int("jobs", len(changes)).Msg("commitDelayed")
			te.requestTransfer(wr.first)
			te.Store.CloseIdleConnections()
			clock.Sleep(te.ctx, te.Clock, elector.RetryPause)
		case len(speeds) > 0:
			te.giveUpSpeeds(err)
			return te.writeChanges(changes, ex)
		default:
			te.log.Error().Err(err).Int("jobs", len(changes)).Msg("commitRejected")
			return te.isolate(changes, ex)
		}
	}
	return false
}

// isolate records the changes of a transaction that the store has refused in smaller ones, so that a row
// that it does not accept keeps out no other. Such a row is written again after a pause.
func (te *term) isolate(changes []change, ex extras) bool {
	switch len(changes) {
	case 0:
		te.loseLeadership("the store rejected a transaction")
		return false
	case 1:
		en := changes[0].entry
		te.mu.Lock()
		en.refusedUntil, en.dirty = te.Clock.Now()+refusedRowPause, true
		te.mu.Unlock()
		te.Metrics.Count("records", "refused")
		te.log.Error().Str("job", string(en.job.ID)).Int("bytes", len(changes[0].value)).Msg("jobRowRefused")
		return !ex.renew && !ex.release && ex.counts == nil || te.writeChanges(nil, ex)
	}
	half := len(changes) / 2
	if !te.writeChanges(changes[:half], extras{renew: ex.renew, counts: ex.counts}) {
		return false
	}
	return te.writeChanges(changes[half:], extras{release: ex.release && !te.leftToRetry(changes[:half])})
}

// markRecorded updates the state of the term after a write that took effect at a time or later.
func (te *term) markRecorded(wr *write, version meter.RowVersion, effective clock.Millis) {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.confirmedAt = max(te.confirmedAt, wr.sent)
	te.commitTime = te.Clock.Now() - wr.sent
	if wr.renew {
		te.leadership.RecordRenewal(wr.next, version)
		te.renewedAt, te.renewals = effective, wr.next.Renewals
		if te.heldBack {
			te.passedAt = 0 // commands that were held back may be due on any worker
			notify(te.dispatchTrigger)
		}
	}
	if wr.release {
		te.released = true
		te.log.Info().Int("jobs", len(wr.changes)).Msg("leadershipReleased")
	}
	if wr.counts != nil {
		te.markCountsRecorded(wr.counts, version)
	}
	for i := range wr.changes {
		te.markChangeRecorded(&wr.changes[i], version)
	}
}

func (te *term) markChangeRecorded(ch *change, version meter.RowVersion) {
	ch.entry.version, ch.recorded = version, true
	for _, ru := range ch.runs {
		ru.recorded, ru.dueSince = true, te.Clock.Now()
		te.mark(ru.worker)
	}
	if ch.ended {
		te.forget(ch.entry.job.ID)
	}
}

// resolveConflict finds the cause of a conflict: an earlier attempt of the same transaction
// took effect, the leadership was lost, or the row of a job differs from the expected one. It returns
// false if the term is over.
func (te *term) resolveConflict(wr *write, co *rowstore.ConflictError) bool {
	leaderRow := co.Row(recorder.LeadershipKey)
	if te.tookEffect(wr, co) {
		version := leaderRow.Version
		for i := range wr.changes {
			version = max(version, co.Row(recorder.JobKey(recorder.Jobs, wr.changes[i].entry.job.ID)).Version)
		}
		te.markRecorded(wr, version, wr.first)
		return true
	}
	if leaderRow.Version != te.leadership.Version() {
		te.loseLeadership("another instance has acquired the leadership")
		return false
	}
	te.mu.Lock()
	defer te.mu.Unlock()
	for i := range wr.changes {
		te.refreshVersion(wr.changes[i].entry, co)
	}
	return true
}

// tookEffect reports whether the rows are as the transaction would have left them.
func (te *term) tookEffect(wr *write, co *rowstore.ConflictError) bool {
	written := wr.renew || wr.release
	if written && !bytes.Equal(co.Row(recorder.LeadershipKey).Value, recorder.Encode(wr.next)) {
		return false
	}
	if !written && co.Row(recorder.LeadershipKey).Version != te.leadership.Version() {
		return false
	}
	for i := range wr.changes {
		ch := &wr.changes[i]
		row := co.Row(recorder.JobKey(recorder.Jobs, ch.entry.job.ID))
		if ch.ended && row.Version != 0 || !ch.ended && !bytes.Equal(row.Value, ch.value) {
			return false
		}
	}
	return true
}

// refreshVersion takes the version of a job's row from a conflict. Only this leader changes
// such a row, so the row holds a state that this leader wrote.
func (te *term) refreshVersion(en *entry, co *rowstore.ConflictError) {
	row := co.Row(recorder.JobKey(recorder.Jobs, en.job.ID))
	if row.Version == 0 {
		te.log.Warn().Str("job", string(en.job.ID)).Msg("jobRowMissing")
		te.dropJob(en.job.ID)
		return
	}
	if row.Version != en.version {
		te.log.Warn().Str("job", string(en.job.ID)).Int64("expected", int64(en.version)).Int64("found", int64(row.Version)).Msg("jobRowConflict")
	}
	en.version = row.Version
	en.dirty = true
}

// dropJob forgets a job; its runs, if any, are stopped as orphans.
func (te *term) dropJob(id identifier.Job) {
	for _, wo := range te.workers {
		for key, pl := range wo.runs {
			if key.Job == id {
				delete(wo.runs, key)
				wo.orphans[key] = pl
			}
		}
	}
	te.forget(id)
}

func (te *term) forget(id identifier.Job) {
	delete(te.jobs, id)
	delete(te.failedWorkers, id)
	te.advice.DropJob(id)
}
