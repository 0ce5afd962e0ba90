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

const mostAvoided = 16 // workers that a job remembers to have failed on

// change is a row that is to replace the one of a job.
type change struct {
	job *job
	row rows.JobRow
	// ledger is set when work that may not be preempted is placed or freed.
	ledger bool
	// placing means that the change depends on the table in force.
	placing bool
	// ends means that the job has ended and its row moves to the table of ended jobs.
	ends bool
	// result is stored as an object before the row is written.
	result string
}

// toPlaced gives the job the workers that the scheduler has chosen.
func (ex *Executor) toPlaced(jo *job) change {
	ga := ex.zone.Gang(jo.row.JobID)
	row := jo.row
	row.State = rows.JobRowStatePlaced
	row.Attempt++
	row.Epoch = ex.grant.Epoch
	row.Workers = ex.zone.WorkerIDs(ga.Block)
	row.Fixed = ga.Fixed
	row.Guaranteed = ga.Reservation != nil
	row.StartedAt = ex.Clock.Now()
	row.Reason = ""
	return change{job: jo, row: row, placing: true, ledger: ga.Fixed}
}

// toRunning is made once every member is leased, and before any is started: from here on
// the job counts as started.
func (ex *Executor) toRunning(jo *job) change {
	row := jo.row
	row.State = rows.JobRowStateRunning
	row.Started = true
	return change{job: jo, row: row}
}

func (ex *Executor) toDone(jo *job) change {
	row := ended(jo.row, rows.JobRowStateDone, types.OutcomeDone)
	return change{job: jo, row: row, ends: true, ledger: jo.row.Fixed, result: jo.result()}
}

func (ex *Executor) toStopping(jo *job) change {
	row := jo.row
	if jo.order == nil {
		return change{}
	}
	row.State = rows.JobRowStateStopping
	row.Next = jo.order.next
	row.Reason = jo.order.reason
	if jo.order.preempted {
		row.Preemptions++
	}
	if len(jo.order.failedOn) > 0 {
		row.Failures++
		row.FailedOn = lastOf(slices.Concat(row.FailedOn, jo.order.failedOn), mostAvoided)
	}
	return change{job: jo, row: row}
}

// lastOf keeps the newest entries of a list.
func lastOf(list []identifier.Worker, most int) []identifier.Worker {
	return list[max(len(list)-most, 0):]
}

// afterStopping is made once every member is known to be stopped.
func (ex *Executor) afterStopping(jo *job) change {
	switch jo.row.Next {
	case rows.JobRowNextCancelled:
		return ex.toCancelled(jo)
	case rows.JobRowNextFailed:
		row := ended(jo.row, rows.JobRowStateFailed, types.OutcomeFailed)
		return change{job: jo, row: row, ends: true, ledger: jo.row.Fixed}
	default:
		row := jo.row
		row.State = rows.JobRowStateQueued
		row.Next = ""
		row.Workers = nil
		row.Fixed, row.Guaranteed = false, false
		return change{job: jo, row: row, ledger: jo.row.Fixed}
	}
}

// toCancelled ends a job. It was not run if no attempt was ever started.
func (ex *Executor) toCancelled(jo *job) change {
	outcome := types.OutcomeNotRun
	if jo.row.Started {
		outcome = types.OutcomeFailed
	}
	row := ended(jo.row, rows.JobRowStateCancelled, outcome)
	row.Reason = "cancelled"
	return change{job: jo, row: row, ends: true, ledger: jo.row.Fixed}
}

func ended(row rows.JobRow, state rows.JobRowState, outcome types.Outcome) rows.JobRow {
	row.State = state
	row.Outcome = outcome
	row.Next = ""
	row.Fixed = false
	return row
}

// ledgerRow is the ledger as it will be once the change has taken effect.
func (ex *Executor) ledgerRow(ch change) rows.LedgerRow {
	ledger := rows.LedgerRow{Epoch: ex.grant.Epoch, Reservations: converter.Ledger(ex.zone)}
	for i := range ledger.Reservations {
		if ledger.Reservations[i].User == ch.row.JobID && !converter.Active(ch.row) {
			ledger.Reservations[i].User = ""
		}
	}
	return ledger
}

// commit carries out one change and reports whether it took effect. A conflict is no
// error: the next step sees what came first.
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
		ex.took(ch, storer.Row[rows.JobRow]{Version: version, Value: ch.row})
		return true, nil
	}
	ex.conflicted(ch.job, ch.ledger, err)
	if ch.placing {
		ex.line.Wait(ex.lineJob(ch.job.row))
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
	if ch.ends {
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

// took brings the state up to a change that was committed.
func (ex *Executor) took(ch change, row storer.Row[rows.JobRow]) {
	before := ch.job.row
	if ch.ledger {
		ex.ledger = row.Version
	}
	ex.logChange(before, ch.row)
	ex.count(ch.row)
	if ch.ends {
		ex.learn(ch)
		ex.forget(ch.row.JobID)
		return
	}
	jo := ch.job
	jo.row, jo.version, jo.commanded = row.Value, row.Version, false
	switch jo.row.State {
	case rows.JobRowStatePlaced:
		clear(jo.states)
		clear(jo.outputs)
	case rows.JobRowStateStopping:
		jo.order = nil
	case rows.JobRowStateQueued:
		jo.order = nil
		ex.line.Wait(ex.lineJob(jo.row))
	}
}

// learn takes the run time and the health of the workers from a job that is done.
func (ex *Executor) learn(ch change) {
	if ch.row.State != rows.JobRowStateDone {
		return
	}
	if ch.row.Preemptions == 0 {
		ex.estimates.Learn(kindOf(ch.row), ch.row.ExpectedMillis, ex.Clock.Now()-ch.row.StartedAt)
	}
	for _, wo := range ch.row.Workers {
		ex.quarantine.Succeeded(wo)
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

// result is the object that holds the outputs of all members in order.
func (jo *job) result() string {
	parts := make([]string, len(jo.outputs))
	for member, output := range jo.outputs {
		parts[member] = output
	}
	text, err := json.Marshal(caller.JobResult{JobID: jo.row.JobID, Outcome: types.OutcomeDone, Parts: parts})
	if err != nil {
		panic(eris.Wrap(err, "encode a result")) // strings always encode
	}
	return string(text)
}

// commands addresses an action to every member of the current attempt.
func (jo *job) commands(action platform.TaskCommandAction, grant leaser.Grant) []platform.TaskCommand {
	list := make([]platform.TaskCommand, 0, len(jo.row.Workers))
	for member, wo := range jo.row.Workers {
		list = append(list, platform.TaskCommand{
			Task:         identifier.TaskFor(jo.row.JobID, jo.row.Attempt, member),
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
