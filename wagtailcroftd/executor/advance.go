package executor

import (
	"context"
	"fmt"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/converter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// A job fails permanently after failuresFactor * MaxFailures failed attempts, whatever their
// cause.
const failuresFactor = 2

// scheduleRound runs one scheduling round and requests a stop for each preempted job. advance
// commits the placements.
func (ex *Executor) scheduleRound() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.active {
		return
	}
	for _, de := range ex.scheduler.Round(ex.Clock.Now()) {
		for _, victim := range de.Preempt {
			ex.requestStop(victim, stopRequest{
				stateAfter: rows.JobRowStateAfterStopQueued,
				reason:     fmt.Sprintf("preempted; makes way for %s", de.Job.ID),
				preempted:  true,
				checkpoint: true,
			})
		}
	}
}

// requestStop records that a job must be stopped. It does nothing if a stop has already been
// requested or committed. A job that may run at most once and has started fails instead of being
// queued again, unless its members save a checkpoint.
func (ex *Executor) requestStop(id identifier.Job, stop stopRequest) {
	jo, known := ex.jobs[id]
	if !known || jo.stop != nil || jo.row.State == rows.JobRowStateStopping {
		return
	}
	if jo.row.AtMostOnce && jo.row.Started && !stop.checkpoint && stop.stateAfter == rows.JobRowStateAfterStopQueued {
		stop.stateAfter = rows.JobRowStateAfterStopFailed
	}
	jo.stop = &stop
	ex.scheduler.MarkStopping(id)
}

// advance commits the pending state change of each job, sends the pending commands, and reports
// whether anything changed.
func (ex *Executor) advance(ctx context.Context) (bool, error) {
	changed := false
	for _, change := range ex.dueChanges() {
		done, err := ex.commit(ctx, change)
		if err != nil {
			return changed, err
		}
		changed = changed || done
	}
	commanded, err := ex.command(ctx)
	return changed || commanded, err
}

// dueChanges lists the row changes that can be committed now, sorted by job id.
func (ex *Executor) dueChanges() []change {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.active {
		return nil
	}
	var changes []change
	for _, id := range ex.sortedIDs() {
		if ch, due := ex.dueChange(ex.jobs[id]); due {
			changes = append(changes, ch)
		}
	}
	return changes
}

func (ex *Executor) sortedIDs() []identifier.Job {
	ids := make([]identifier.Job, 0, len(ex.jobs))
	for id := range ex.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (ex *Executor) dueChange(jo *job) (change, bool) {
	ex.requestDueStop(jo)
	switch jo.row.State {
	case rows.JobRowStateQueued:
		return ex.dueQueued(jo)
	case rows.JobRowStatePlaced:
		if jo.stop != nil {
			return ex.toStopping(jo), true
		}
		return ex.toRunning(jo), jo.commanded
	case rows.JobRowStateRunning:
		if jo.finished() {
			return ex.toDone(jo), true
		}
		return ex.toStopping(jo), jo.stop != nil
	case rows.JobRowStateStopping:
		return ex.dueStopping(jo)
	default:
		return change{}, false
	}
}

func (ex *Executor) dueQueued(jo *job) (change, bool) {
	if jo.row.CancelAsked {
		return ex.toCancelled(jo), true
	}
	if _, placed := ex.scheduler.Running(jo.row.JobID); placed {
		return ex.toPlaced(jo), true
	}
	return change{}, false
}

// dueStopping completes a stop once every member is known to have ended. If all members finished
// before the stop reached them, the job becomes done as soon as their outputs have been read.
func (ex *Executor) dueStopping(jo *job) (change, bool) {
	if jo.finished() {
		return ex.toDone(jo), true
	}
	return ex.afterStopping(jo), jo.commanded && !jo.allInState(platform.TaskStateFinished)
}

// allInState reports whether every member of the current attempt was in the state when last
// reported.
func (jo *job) allInState(state platform.TaskState) bool {
	for member := range jo.row.Workers {
		if jo.states[identifier.MemberTask(jo.row.JobID, jo.row.Attempt, member)] != state {
			return false
		}
	}
	return true
}

// requestDueStop requests a stop for a job that occupies workers if the job was cancelled, one of
// its members has failed or was stopped, or one of its workers is draining or gone. Jobs are not
// moved off a quarantined worker.
func (ex *Executor) requestDueStop(jo *job) {
	if !converter.IsActive(jo.row) || jo.stop != nil || jo.finished() {
		return
	}
	if jo.row.CancelAsked {
		ex.requestStop(jo.row.JobID, stopRequest{stateAfter: rows.JobRowStateAfterStopCancelled, reason: "cancelled"})
		return
	}
	if ex.requestFailureStop(jo) {
		return
	}
	for _, wo := range jo.row.Workers {
		if !ex.zone.Usable(wo) && !ex.quarantine.Quarantined(wo, ex.Clock.Now()) {
			ex.requestStop(jo.row.JobID, stopRequest{stateAfter: rows.JobRowStateAfterStopQueued, reason: fmt.Sprintf("moved off worker %s, which is leaving", wo), checkpoint: true})
			return
		}
	}
}

// requestFailureStop requests a stop for a gang if one of its members has failed or was stopped by
// the platform, and reports whether that was the case.
func (ex *Executor) requestFailureStop(jo *job) bool {
	if jo.row.State == rows.JobRowStateStopping {
		return false
	}
	if failed := jo.workersInState(platform.TaskStateFailed); len(failed) > 0 {
		ex.handleFailedMembers(jo, failed)
		return true
	}
	if stopped := jo.workersInState(platform.TaskStateStopped); len(stopped) > 0 {
		ex.requestStop(jo.row.JobID, stopRequest{stateAfter: rows.JobRowStateAfterStopQueued, reason: fmt.Sprintf("a member was stopped by the platform on worker %s", stopped[0])})
		return true
	}
	return false
}

// workersInState lists the workers whose member of the current attempt was in the state when last
// reported.
func (jo *job) workersInState(state platform.TaskState) []identifier.Worker {
	var list []identifier.Worker
	for member, wo := range jo.row.Workers {
		if jo.states[identifier.MemberTask(jo.row.JobID, jo.row.Attempt, member)] == state {
			list = append(list, wo)
		}
	}
	return list
}

// handleFailedMembers counts the failures against the workers, and requests a stop after which the
// job is queued again or, if the job itself caused the failures, ends as failed.
func (ex *Executor) handleFailedMembers(jo *job, failed []identifier.Worker) {
	now := ex.Clock.Now()
	for _, wo := range failed {
		ex.quarantine.RecordFailure(jo.row.JobID, wo, now)
		if ex.quarantine.Quarantined(wo, now) {
			ex.Log.Warn().Str("worker", string(wo)).Msg("workerQuarantined")
		}
	}
	stop := stopRequest{stateAfter: rows.JobRowStateAfterStopQueued, reason: fmt.Sprintf("a member failed on worker %s", failed[0]), failedOn: failed}
	if ex.quarantine.FailedWorkers(jo.row.JobID, now) >= ex.MaxFailures || jo.row.Failures+1 >= failuresFactor*ex.MaxFailures {
		stop.stateAfter = rows.JobRowStateAfterStopFailed
		stop.reason = fmt.Sprintf("failed %d times, the last time on worker %s", jo.row.Failures+1, failed[0])
	}
	ex.requestStop(jo.row.JobID, stop)
}

// finished reports whether every member has finished and its output has been read.
func (jo *job) finished() bool {
	return jo.row.State != rows.JobRowStateQueued && len(jo.outputs) == len(jo.row.Workers) && len(jo.outputs) > 0
}

// command sends the commands that the current states of the jobs require in one batch, and reports
// whether there were any.
func (ex *Executor) command(ctx context.Context) (bool, error) {
	batch := ex.batch()
	if len(batch.Commands) == 0 {
		return false, nil
	}
	results, err := ex.Store.Command(ctx, batch)
	if problem.KindOf(err) == problem.Fenced {
		ex.deactivate()
	}
	if err != nil {
		return false, err
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.applyResults(batch, results)
	return true, nil
}

func (ex *Executor) batch() platform.TaskBatch {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	batch := platform.TaskBatch{Zone: ex.Zone, Epoch: ex.grant.Epoch}
	if !ex.active {
		return batch
	}
	for _, id := range ex.sortedIDs() {
		jo := ex.jobs[id]
		if action, needed := jo.action(); needed {
			batch.Commands = append(batch.Commands, jo.commands(action, ex.grant)...)
		}
	}
	return batch
}

// action returns the command that the members require in the current state of the job, and whether
// one has to be sent.
func (jo *job) action() (platform.TaskCommandAction, bool) {
	if jo.commanded {
		return "", false
	}
	switch jo.row.State {
	case rows.JobRowStatePlaced:
		return platform.TaskCommandActionLease, jo.stop == nil
	case rows.JobRowStateRunning:
		return platform.TaskCommandActionStart, jo.stop == nil
	case rows.JobRowStateStopping:
		if jo.row.StateAfterStop == rows.JobRowStateAfterStopQueued {
			return platform.TaskCommandActionCheckpoint, true
		}
		return platform.TaskCommandActionStop, true
	default:
		return "", false
	}
}

// applyResults marks each job whose commands were all accepted, and requests a stop for each job
// with a refused command.
func (ex *Executor) applyResults(batch platform.TaskBatch, results []platform.TaskResult) {
	refused := map[identifier.Job]string{}
	for i, re := range results {
		if jo, known := ex.jobs[batch.Commands[i].JobID]; known && re.State != "" {
			jo.states[re.Task] = re.State
		}
		if !re.Accepted {
			refused[batch.Commands[i].JobID] = re.Reason
		}
	}
	for _, co := range batch.Commands {
		jo, known := ex.jobs[co.JobID]
		if !known {
			continue
		}
		reason, rejected := refused[co.JobID]
		if !rejected {
			jo.commanded = true
			continue
		}
		ex.requestStop(co.JobID, stopRequest{stateAfter: rows.JobRowStateAfterStopQueued, reason: "a worker refused a member: " + reason})
	}
}
