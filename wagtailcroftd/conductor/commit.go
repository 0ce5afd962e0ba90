package conductor

import (
	"bytes"
	"maps"

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
	// mostEntries bounds a transaction; the store takes 100, and a job needs up to 5.
	mostEntries = 94
	// mostBytes bounds it too; the store takes 1 MB, which base64 fills by a third.
	mostBytes = 600_000
	// renewEvery is the time between two renewals, a fraction of the least takeover time.
	renewEvery = 800 * clock.Millis(1)
	// reliefAfter is how long the store may take no record before the holder asks others to
	// take the duty: far longer than a slow answer, far shorter than the time after which they
	// take it unasked.
	reliefAfter = 500 * clock.Millis(1)
	// reliefEvery is the time between two such questions.
	reliefEvery = 1000 * clock.Millis(1)
	// tallyEvery is the least time between two writes of the tally, which may be 2 s old.
	tallyEvery = 500 * clock.Millis(1)
)

type (
	// change is the new row of one job.
	change struct {
		entry *entry
		tr    rowstore.Transaction
		// value is what the job's row, or that of the ended job, will hold.
		value []byte
		// ended means that the job moves to the ended ones.
		ended bool
		// runs are the placements that the row shows.
		runs []*placement
	}

	// lastEnd is the number of an end of one life of a worker.
	lastEnd struct {
		life   workload.Life
		number meter.EndNumber
	}

	// batch is what one round records.
	batch struct {
		changes []change
		// ends holds, for each worker, the number of the last end that the batch shows.
		ends map[*worker]lastEnd
		// tally is nil if the tally need not be written.
		tally map[string]int
	}
)

// batch collects what has changed. It is called with mu held.
func (te *term) batch() batch {
	ba := batch{ends: map[*worker]lastEnd{}}
	now := te.Clock.Now()
	for _, en := range te.sorted() {
		if en.dirty || (en.job.State.Final() && en.job.Quiet()) {
			ba.changes = append(ba.changes, te.change(en))
			en.dirty = false
		}
	}
	for _, wo := range te.workers {
		if wo.applied > wo.recorded {
			ba.ends[wo] = lastEnd{life: wo.report.Life, number: wo.applied}
		}
	}
	if tally := te.count(); te.loaded && now-te.tallied >= tallyEvery && !maps.Equal(tally, te.tally) {
		ba.tally = tally
		te.tallied = now
	}
	return ba
}

// count counts the jobs of each queue of which no task has started.
func (te *term) count() map[string]int {
	tally := map[string]int{}
	for _, en := range te.jobs {
		if !en.job.State.Final() && en.job.Unstarted() {
			tally[string(en.job.Queue)]++
		}
	}
	return tally
}

// change describes a job's new row.
func (te *term) change(en *entry) change {
	jo := en.job
	key := recorder.JobKey(recorder.Jobs, jo.ID)
	ch := change{entry: en, tr: rowstore.Transaction{Expect: []rowstore.Expectation{{Key: key, Version: en.version}}}}
	if jo.State.Final() && jo.Quiet() {
		ch.ended = true
		pr := ledger.Progress{State: ledger.ProgressState(jo.State.String()), Workspace: jo.Workspace, Reason: jo.Reason, EndedAt: te.Clock.TimeOfDay()}
		ch.value = recorder.Encode(pr)
		ch.tr.Puts = []rowstore.Put{{Key: recorder.JobKey(recorder.Ended, jo.ID), Value: ch.value}}
		ch.tr.Remove = []rowstore.Key{key, recorder.JobKey(recorder.Submissions, jo.ID)}
		if en.cancelled {
			ch.tr.Remove = append(ch.tr.Remove, recorder.JobKey(recorder.Cancels, jo.ID))
		}
		return ch
	}
	ch.value = recorder.Encode(recorder.Progress(jo, 0))
	ch.tr.Puts = []rowstore.Put{{Key: key, Value: ch.value}}
	jo.Held(func(st *workload.Stage, index int, ta *workload.Task) {
		if wo := te.workers[ta.Worker]; wo != nil && wo.runs[jo.Key(st, index)] != nil {
			ch.runs = append(ch.runs, wo.runs[jo.Key(st, index)])
		}
	})
	return ch
}

// commit records a batch. It returns false when the term is over. The changes that a
// conflict kept out are tried again in the next round.
func (te *term) commit(ba batch) bool {
	whole := true
	rest, tally := ba.changes, ba.tally
	for len(rest) > 0 || tally != nil || te.renewalDue() {
		part, left := split(rest)
		done, ok := te.write(part, te.renewalDue(), tally)
		rest, tally = left, nil
		if !ok {
			return false
		}
		whole = whole && done
	}
	if whole {
		te.mu.Lock()
		for wo, last := range ba.ends {
			if wo.report.Life == last.life {
				wo.recorded = max(wo.recorded, last.number)
			}
		}
		te.mu.Unlock()
	}
	return true
}

// renewalDue reports whether the duty must be renewed; only the rounds renew it.
func (te *term) renewalDue() bool { return te.Clock.Now()-te.renewed >= renewEvery }

// split cuts off what fits into one transaction.
func split(changes []change) (part, left []change) {
	entries, size := 0, 0
	for i := range changes {
		entries += changes[i].tr.Size()
		size += len(changes[i].value)
		if i > 0 && (entries > mostEntries || size > mostBytes) {
			return changes[:i], changes[i:]
		}
	}
	return changes, nil
}

// write records some changes under the fence. The second result is false when the term is
// over, the first when a conflict kept the changes out.
func (te *term) write(changes []change, renew bool, tally map[string]int) (done, ok bool) {
	next := te.duty.Holder()
	tr := rowstore.Transaction{Expect: []rowstore.Expectation{{Key: recorder.DutyKey, Version: te.duty.Version()}}}
	if renew {
		next.Renewals++
		tr.Puts = append(tr.Puts, rowstore.Put{Key: recorder.DutyKey, Value: recorder.Encode(next)})
	}
	if tally != nil {
		tr.Puts = append(tr.Puts, rowstore.Put{Key: recorder.TallyKey, Value: recorder.Encode(ledger.Tally{Queues: tally})})
	}
	for i := range changes {
		tr.Add(changes[i].tr)
	}
	first := te.Clock.Now()
	for tries := 1; te.ctx.Err() == nil; tries++ {
		sent := te.Clock.Now()
		ctx, cancel := te.Clock.Bound(te.ctx, elector.WriteTimeout)
		version, err := te.Store.Write(ctx, tr)
		cancel()
		te.Meters.Took("record", te.Clock.Now()-sent)
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			te.Meters.Count("records", "done")
			te.written(changes, version, renew, next, tally, sent)
			return true, true
		case eris.As(err, &conflict):
			return te.resolve(changes, conflict, renew, next, tally, sent)
		case eris.Is(err, rowstore.ErrNotDone) || eris.Is(err, rowstore.ErrUnknown):
			te.Meters.Count("records", "delayed")
			te.log.Warn().Err(err).Int("try", tries).Int("jobs", len(changes)).Msg("recordDelayed")
			te.seekRelief(first)
			te.Store.Reset()
			clock.Sleep(te.ctx, te.Clock, elector.RetryPause)
		default:
			te.log.Error().Err(err).Int("jobs", len(changes)).Msg("recordRefused")
			te.lose("the store refuses a transaction")
			return false, false
		}
	}
	return false, false
}

// seekRelief asks other instances to take the duty when the store has taken no record from
// this one for a while: it may serve them.
func (te *term) seekRelief(since clock.Millis) {
	now := te.Clock.Now()
	if now-since < reliefAfter || now-te.sought < reliefEvery {
		return
	}
	te.sought = now
	te.log.Info().Int64("failingMillis", int64(now-since)).Msg("reliefSought")
	te.Peers.Relieve(te.ctx, te.duty.Holder().Fence)
}

// written takes the changes as recorded.
func (te *term) written(changes []change, version meter.RowVersion, renew bool, next ledger.Holder, tally map[string]int, sent clock.Millis) {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.confirmed = max(te.confirmed, sent)
	if renew {
		te.duty.Renewed(next, version)
		te.renewed = sent
	}
	if tally != nil {
		te.tally = tally
	}
	for i := range changes {
		te.recordedChange(&changes[i], version)
	}
}

func (te *term) recordedChange(ch *change, version meter.RowVersion) {
	ch.entry.version = version
	for _, pl := range ch.runs {
		pl.recorded = true
	}
	if ch.ended {
		te.forget(ch.entry.job.ID)
	}
}

// resolve finds out what a conflict means: that a former try of the same transaction took
// effect, that the duty is lost, or that the row of a job is not what was expected.
func (te *term) resolve(changes []change, co *rowstore.ConflictError, renew bool, next ledger.Holder, tally map[string]int, sent clock.Millis) (done, ok bool) {
	duty := co.Row(recorder.DutyKey)
	if te.tookEffect(changes, co, renew, next) {
		version := duty.Version
		for i := range changes {
			version = max(version, co.Row(recorder.JobKey(recorder.Jobs, changes[i].entry.job.ID)).Version)
		}
		te.written(changes, version, renew, next, tally, sent)
		return true, true
	}
	if duty.Version != te.duty.Version() {
		te.lose("another instance has taken the duty")
		return false, false
	}
	te.mu.Lock()
	defer te.mu.Unlock()
	for i := range changes {
		te.refresh(changes[i].entry, co)
	}
	return false, true
}

// tookEffect reports whether the rows are as the transaction would have left them.
func (te *term) tookEffect(changes []change, co *rowstore.ConflictError, renew bool, next ledger.Holder) bool {
	if renew && !bytes.Equal(co.Row(recorder.DutyKey).Value, recorder.Encode(next)) {
		return false
	}
	if !renew && co.Row(recorder.DutyKey).Version != te.duty.Version() {
		return false
	}
	for i := range changes {
		ch := &changes[i]
		row := co.Row(recorder.JobKey(recorder.Jobs, ch.entry.job.ID))
		if ch.ended && row.Version != 0 || !ch.ended && !bytes.Equal(row.Value, ch.value) {
			return false
		}
	}
	return true
}

// refresh takes the version of a job's row from a conflict. Nothing but this holder
// changes such a row, so it holds a state that this holder wrote.
func (te *term) refresh(en *entry, co *rowstore.ConflictError) {
	row := co.Row(recorder.JobKey(recorder.Jobs, en.job.ID))
	if row.Version == 0 {
		te.log.Warn().Str("job", string(en.job.ID)).Msg("jobRowGone")
		te.dropJob(en.job.ID)
		return
	}
	if row.Version != en.version {
		te.log.Warn().Str("job", string(en.job.ID)).Int64("expected", int64(en.version)).Int64("found", int64(row.Version)).Msg("jobRowChanged")
	}
	en.version = row.Version
	en.dirty = true
}

// dropJob forgets a job; its runs, if there are any, are stopped as strays.
func (te *term) dropJob(id identifier.Job) {
	for _, wo := range te.workers {
		for key, pl := range wo.runs {
			if key.Job == id {
				delete(wo.runs, key)
				wo.strays[key] = pl
			}
		}
	}
	te.forget(id)
}

func (te *term) forget(id identifier.Job) {
	delete(te.jobs, id)
	delete(te.failures, id)
	te.advices.Forget(id)
}
