package executor

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/converter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/leaser"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

const maxAvoidedWorkers = 16 // a job's row keeps the last workers that the job failed on

// change is a new row for a job, to be committed.
type change struct {
	job *job
	row rows.JobRow
	// ledger means that the change places or releases a non-preemptible job, and therefore
	// rewrites the reservation ledger.
	ledger bool
	// placing means that the change places the job. If it cannot be committed, the job returns to
	// the scheduler's queue. If ledger is set too, the change is conditional on the shared table.
	placing bool
	// final means that the job has ended and its row moves to the table of ended jobs.
	final bool
	// result, if not empty, is stored as an object before the row is written.
	result string
}

// toPlaced assigns to the job the workers that the scheduler has chosen.
func (ex *Executor) toPlaced(jo *job) change {
	ga := ex.zone.Gang(jo.row.JobID)
	row := jo.row
	row.State = rows.JobRowStatePlaced
	row.Attempt++
	row.Epoch = ex.grant.Epoch
	row.Workers = ex.zone.WorkerIDs(ga.Block)
	row.NonPreemptible = ga.Fixed
	row.Guaranteed = ga.Reservation != nil
	row.StartedAt = ex.Clock.Now()
	row.Reason = ""
	return change{job: jo, row: row, placing: true, ledger: ga.Fixed}
}

// toRunning is committed after every member has been leased and before any is started, because the
// job counts as started from this point on.
func (ex *Executor) toRunning(jo *job) change {
	row := jo.row
	row.State = rows.JobRowStateRunning
	row.Started = true
	return change{job: jo, row: row}
}

func (ex *Executor) toDone(jo *job) change {
	row := ended(jo.row, rows.JobRowStateDone, types.OutcomeDone)
	return change{job: jo, row: row, final: true, ledger: jo.row.NonPreemptible, result: jo.result()}
}

func (ex *Executor) toStopping(jo *job) change {
	row := jo.row
	if jo.stop == nil {
		return change{}
	}
	row.State = rows.JobRowStateStopping
	row.StateAfterStop = jo.stop.stateAfter
	row.Reason = jo.stop.reason
	if jo.stop.preempted {
		row.Preemptions++
	}
	if len(jo.stop.failedOn) > 0 {
		row.Failures++
		row.FailedOn = lastOf(slices.Concat(row.FailedOn, jo.stop.failedOn), maxAvoidedWorkers)
	}
	return change{job: jo, row: row}
}

// lastOf returns the last entries of a list, at most limit.
func lastOf(list []identifier.Worker, limit int) []identifier.Worker {
	return list[max(len(list)-limit, 0):]
}

// afterStopping returns the change that follows once every member is known to have stopped.
func (ex *Executor) afterStopping(jo *job) change {
	switch jo.row.StateAfterStop {
	case rows.JobRowStateAfterStopCancelled:
		return ex.toCancelled(jo)
	case rows.JobRowStateAfterStopFailed:
		row := ended(jo.row, rows.JobRowStateFailed, types.OutcomeFailed)
		return change{job: jo, row: row, final: true, ledger: jo.row.NonPreemptible}
	default:
		row := jo.row
		row.State = rows.JobRowStateQueued
		row.StateAfterStop = ""
		row.Workers = nil
		row.NonPreemptible, row.Guaranteed = false, false
		return change{job: jo, row: row, ledger: jo.row.NonPreemptible}
	}
}

// toCancelled ends a job as cancelled. The outcome is not run if no attempt was ever started.
func (ex *Executor) toCancelled(jo *job) change {
	outcome := types.OutcomeNotRun
	if jo.row.Started {
		outcome = types.OutcomeFailed
	}
	row := ended(jo.row, rows.JobRowStateCancelled, outcome)
	row.Reason = "cancelled"
	return change{job: jo, row: row, final: true, ledger: jo.row.NonPreemptible}
}

func ended(row rows.JobRow, state rows.JobRowState, outcome types.Outcome) rows.JobRow {
	row.State = state
	row.Outcome = outcome
	row.StateAfterStop = ""
	row.NonPreemptible = false
	return row
}

// ledgerRow returns the reservation ledger as it will be once the change is committed.
func (ex *Executor) ledgerRow(ch change) rows.LedgerRow {
	ledger := rows.LedgerRow{Epoch: ex.grant.Epoch, Reservations: converter.ReservationCells(ex.zone)}
	for i := range ledger.Reservations {
		if ledger.Reservations[i].User == ch.row.JobID && !converter.IsActive(ch.row) {
			ledger.Reservations[i].User = ""
		}
	}
	return ledger
}

// commit writes one change to the store and reports whether it was applied. A conflict is not an
// error: the next step reads the change that caused it.
func (ex *Executor) commit(ctx context.Context, ch change) (bool, error) {
	if ch.result != "" {
		if err := ex.Store.PutObject(ctx, storer.ResultName(ch.row.JobID), ch.result); err != nil {
			return false, err
		}
	}
	version, err := ex.Store.Commit(ctx, ex.transaction(ch))
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if err == nil {
		ex.applyCommitted(ch, storer.Row[rows.JobRow]{Version: version, Value: ch.row})
		return true, nil
	}
	ex.handleConflict(ch.job, ch.ledger, err)
	if ch.placing {
		ex.scheduler.Enqueue(ex.schedulerJob(ch.job.row))
	}
	if problem.KindOf(err) == problem.Conflict {
		return false, nil
	}
	return false, err
}

func (ex *Executor) transaction(ch change) *storer.Batch {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ba := &storer.Batch{}
	key := storer.JobKey(ex.Zone, ch.row.JobID)
	if ch.final {
		ba.Replace(storer.EndedKey(ex.Zone, ch.row.JobID), 0, ch.row)
		ba.Require(key, ch.job.version)
		ba.Remove(key)
	} else {
		ba.Replace(key, ch.job.version, ch.row)
	}
	ba.Require(storer.FenceKey(ex.Zone), ex.grant.Fence)
	if ch.ledger {
		ba.Replace(storer.LedgerKey(ex.Zone), ex.ledger, ex.ledgerRow(ch))
	}
	if ch.placing && ch.ledger {
		ba.Require(storer.HeadKey(), ex.head)
	}
	return ba
}

// applyCommitted updates the in-memory state after a change has been committed.
func (ex *Executor) applyCommitted(ch change, row storer.Row[rows.JobRow]) {
	before := ch.job.row
	if ch.ledger {
		ex.ledger = row.Version
	}
	ex.logChange(before, ch.row)
	ex.count(ch.row)
	if ch.final {
		ex.recordSuccess(ch)
		ex.removeJob(ch.row.JobID)
		return
	}
	jo := ch.job
	jo.row, jo.version, jo.commanded = row.Value, row.Version, false
	switch jo.row.State {
	case rows.JobRowStatePlaced:
		clear(jo.states)
		clear(jo.outputs)
	case rows.JobRowStateStopping:
		jo.stop = nil
	case rows.JobRowStateQueued:
		jo.stop = nil
		ex.scheduler.Enqueue(ex.schedulerJob(jo.row))
	}
}

// recordSuccess updates the run time estimates and the health of the workers after a job is done.
// Preempted jobs are left out of the estimates.
func (ex *Executor) recordSuccess(ch change) {
	if ch.row.State != rows.JobRowStateDone {
		return
	}
	if ch.row.Preemptions == 0 {
		ex.estimates.Record(kindOf(ch.row), ch.row.ExpectedMillis, ex.Clock.Now()-ch.row.StartedAt)
	}
	for _, wo := range ch.row.Workers {
		ex.quarantine.RecordSuccess(wo)
	}
}

func (ex *Executor) logChange(before, after rows.JobRow) {
	ex.Log.Info().
		Str("job", string(after.JobID)).
		Str("from", string(before.State)).
		Str("to", string(after.State)).
		Int32("attempt", after.Attempt).
		Str("reason", after.Reason).
		Msg("jobChanged")
}

func (ex *Executor) count(row rows.JobRow) {
	switch row.State {
	case rows.JobRowStatePlaced:
		ex.counts.Placed++
	case rows.JobRowStateDone:
		ex.counts.Done++
	case rows.JobRowStateFailed:
		ex.counts.Failed++
	case rows.JobRowStateCancelled:
		ex.counts.Cancelled++
	case rows.JobRowStateStopping:
		ex.counts.Stopped++
	}
}

// result encodes the outputs of all members, in member order, as the result object.
func (jo *job) result() string {
	parts := make([]string, len(jo.outputs))
	for member, output := range jo.outputs {
		parts[member] = output
	}
	text, err := json.Marshal(caller.JobResult{JobID: jo.row.JobID, Outcome: types.OutcomeDone, Parts: parts})
	if err != nil {
		panic(eris.Wrap(err, "encode job result")) // strings can always be encoded
	}
	return string(text)
}

// commands returns the command with the given action for every member of the current attempt.
func (jo *job) commands(action platform.TaskCommandAction, grant leaser.Grant) []platform.TaskCommand {
	list := make([]platform.TaskCommand, 0, len(jo.row.Workers))
	for member, wo := range jo.row.Workers {
		list = append(list, platform.TaskCommand{
			Task:         identifier.MemberTask(jo.row.JobID, jo.row.Attempt, member),
			JobID:        jo.row.JobID,
			Worker:       wo,
			Action:       action,
			Epoch:        grant.Epoch,
			Accelerators: jo.row.Shape.Accelerators,
			Members:      jo.row.Shape.Members,
			Payload:      jo.row.Payload,
		})
	}
	return list
}
