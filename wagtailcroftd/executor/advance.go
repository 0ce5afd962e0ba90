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

// failuresFactor times MaxFailures is how often a job may fail at all.
const failuresFactor = 2

// decide plays one scheduling round. Placements are committed by advance.
func (ex *Executor) decide() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.active {
		return
	}
	for _, de := range ex.line.Round(ex.Clock.Now()) {
		for _, victim := range de.Preempt {
			ex.orderStop(victim, stopOrder{
				next:       rows.JobRowNextQueued,
				reason:     fmt.Sprintf("preempted; makes way for %s", de.Job.ID),
				preempted:  true,
				checkpoint: true,
			})
		}
	}
}

// orderStop asks for a job to be stopped; the first order counts.
func (ex *Executor) orderStop(id identifier.Job, order stopOrder) {
	jo, known := ex.jobs[id]
	if !known || jo.order != nil || jo.row.State == rows.JobRowStateStopping {
		return
	}
	if jo.row.Once && jo.row.Started && !order.checkpoint && order.next == rows.JobRowNextQueued {
		order.next = rows.JobRowNextFailed
	}
	jo.order = &order
	ex.line.Stop(id)
}

// advance takes every job one step on and reports whether any moved.
func (ex *Executor) advance(ctx context.Context) (bool, error) {
	moved := false
	for _, change := range ex.due() {
		done, err := ex.commit(ctx, change)
		if err != nil {
			return moved, err
		}
		moved = moved || done
	}
	commanded, err := ex.command(ctx)
	return moved || commanded, err
}

// due lists the changes of rows that are due, in the order of the jobs.
func (ex *Executor) due() []change {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.active {
		return nil
	}
	var changes []change
	for _, id := range ex.ids() {
		if ch, due := ex.dueFor(ex.jobs[id]); due {
			changes = append(changes, ch)
		}
	}
	return changes
}

func (ex *Executor) ids() []identifier.Job {
	ids := make([]identifier.Job, 0, len(ex.jobs))
	for id := range ex.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (ex *Executor) dueFor(jo *job) (change, bool) {
	ex.orderStops(jo)
	switch jo.row.State {
	case rows.JobRowStateQueued:
		return ex.dueQueued(jo)
	case rows.JobRowStatePlaced:
		if jo.order != nil {
			return ex.toStopping(jo), true
		}
		return ex.toRunning(jo), jo.commanded
	case rows.JobRowStateRunning:
		if jo.finished() {
			return ex.toDone(jo), true
		}
		return ex.toStopping(jo), jo.order != nil
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
	if _, placed := ex.line.Running(jo.row.JobID); placed {
		return ex.toPlaced(jo), true
	}
	return change{}, false
}

// dueStopping goes on once every member is known to have ended. A gang of which all
// members had finished before they could be stopped is done, once their outputs are read.
func (ex *Executor) dueStopping(jo *job) (change, bool) {
	if jo.finished() {
		return ex.toDone(jo), true
	}
	return ex.afterStopping(jo), jo.commanded && !jo.allIn(platform.TaskStateFinished)
}

// allIn reports whether every member of the current attempt was last in a state.
func (jo *job) allIn(state platform.TaskState) bool {
	for member := range jo.row.Workers {
		if jo.states[identifier.TaskFor(jo.row.JobID, jo.row.Attempt, member)] != state {
			return false
		}
	}
	return true
}

// orderStops looks for reasons to stop a job that occupies workers.
func (ex *Executor) orderStops(jo *job) {
	if !converter.Active(jo.row) || jo.order != nil || jo.finished() {
		return
	}
	if jo.row.CancelAsked {
		ex.orderStop(jo.row.JobID, stopOrder{next: rows.JobRowNextCancelled, reason: "cancelled"})
		return
	}
	if ex.orderFailure(jo) {
		return
	}
	for _, wo := range jo.row.Workers {
		if !ex.zone.Usable(wo) && !ex.quarantine.Quarantined(wo, ex.Clock.Now()) {
			ex.orderStop(jo.row.JobID, stopOrder{next: rows.JobRowNextQueued, reason: fmt.Sprintf("moved off worker %s, which is leaving", wo), checkpoint: true})
			return
		}
	}
}

// orderFailure stops a gang of which a member has failed or has been stopped.
func (ex *Executor) orderFailure(jo *job) bool {
	if jo.row.State == rows.JobRowStateStopping {
		return false
	}
	if failed := jo.workersIn(platform.TaskStateFailed); len(failed) > 0 {
		ex.membersFailed(jo, failed)
		return true
	}
	if stopped := jo.workersIn(platform.TaskStateStopped); len(stopped) > 0 {
		ex.orderStop(jo.row.JobID, stopOrder{next: rows.JobRowNextQueued, reason: fmt.Sprintf("a member was stopped by the platform on worker %s", stopped[0])})
		return true
	}
	return false
}

// workersIn lists the workers whose member of the current attempt was last in a state.
func (jo *job) workersIn(state platform.TaskState) []identifier.Worker {
	var list []identifier.Worker
	for member, wo := range jo.row.Workers {
		if jo.states[identifier.TaskFor(jo.row.JobID, jo.row.Attempt, member)] == state {
			list = append(list, wo)
		}
	}
	return list
}

// membersFailed weighs whether the workers or the job are to blame.
func (ex *Executor) membersFailed(jo *job, failed []identifier.Worker) {
	now := ex.Clock.Now()
	for _, wo := range failed {
		ex.quarantine.Failed(jo.row.JobID, wo, now)
		if ex.quarantine.Quarantined(wo, now) {
			ex.Log.Warn().Str("worker", string(wo)).Msg("workerQuarantined")
		}
	}
	order := stopOrder{next: rows.JobRowNextQueued, reason: fmt.Sprintf("a member failed on worker %s", failed[0]), failedOn: failed}
	if ex.quarantine.Blamed(jo.row.JobID, now) >= ex.MaxFailures || jo.row.Failures+1 >= failuresFactor*ex.MaxFailures {
		order.next = rows.JobRowNextFailed
		order.reason = fmt.Sprintf("failed %d times, the last time on worker %s", jo.row.Failures+1, failed[0])
	}
	ex.orderStop(jo.row.JobID, order)
}

// finished reports whether every member has finished.
func (jo *job) finished() bool {
	return jo.row.State != rows.JobRowStateQueued && len(jo.outputs) == len(jo.row.Workers) && len(jo.outputs) > 0
}

// command sends the commands that the states of the jobs ask for, in one batch.
func (ex *Executor) command(ctx context.Context) (bool, error) {
	batch := ex.batch()
	if len(batch.Commands) == 0 {
		return false, nil
	}
	results, err := ex.Store.Command(ctx, batch)
	if problem.KindOf(err) == problem.Fenced {
		ex.retire()
	}
	if err != nil {
		return false, err
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.takeResults(batch, results)
	return true, nil
}

func (ex *Executor) batch() platform.TaskBatch {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	batch := platform.TaskBatch{Zone: ex.Zone, Epoch: ex.grant.Epoch}
	if !ex.active {
		return batch
	}
	for _, id := range ex.ids() {
		jo := ex.jobs[id]
		if action, needed := jo.action(); needed {
			batch.Commands = append(batch.Commands, jo.commands(action, ex.grant)...)
		}
	}
	return batch
}

// action is the command that the members need in the present state.
func (jo *job) action() (platform.TaskCommandAction, bool) {
	if jo.commanded {
		return "", false
	}
	switch jo.row.State {
	case rows.JobRowStatePlaced:
		return platform.TaskCommandActionLease, jo.order == nil
	case rows.JobRowStateRunning:
		return platform.TaskCommandActionStart, jo.order == nil
	case rows.JobRowStateStopping:
		if jo.row.Next == rows.JobRowNextQueued {
			return platform.TaskCommandActionCheckpoint, true
		}
		return platform.TaskCommandActionStop, true
	default:
		return "", false
	}
}

// takeResults notes for each job whether all its commands were accepted.
func (ex *Executor) takeResults(batch platform.TaskBatch, results []platform.TaskResult) {
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
		reason, no := refused[co.JobID]
		if !no {
			jo.commanded = true
			continue
		}
		ex.orderStop(co.JobID, stopOrder{next: rows.JobRowNextQueued, reason: "a worker refused a member: " + reason})
	}
}
