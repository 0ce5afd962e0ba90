package executor

import (
	"context"
	"strconv"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/converter"
	"github.com/wagtailcroft/wagtailcroft/shared/estimator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/validator"
)

// observe updates the state from changed job rows, task reports, the shared table and the worker
// list.
func (ex *Executor) observe(ctx context.Context) error {
	list, upTo, err := storer.Scan[rows.JobRow](ctx, ex.Store, storer.TableJobs, storer.JobPrefix(ex.Zone), ex.scanned)
	if err != nil {
		return err
	}
	in := ex.readInputs()
	ex.mu.Lock()
	if upTo >= ex.scanned {
		ex.scanned = upTo
		for _, row := range list {
			ex.applyRow(row)
		}
	}
	ex.setWorkers(in.workers)
	ex.setTable(in.table)
	busy := ex.busy()
	ex.mu.Unlock()
	if !busy {
		return nil
	}
	return ex.readReports(ctx)
}

// busy reports whether any gang occupies workers.
func (ex *Executor) busy() bool {
	for _, jo := range ex.jobs {
		if converter.IsActive(jo.row) {
			return true
		}
	}
	return false
}

func (ex *Executor) readReports(ctx context.Context) error {
	reports, err := ex.Store.Reports(ctx, ex.Zone, ex.reportRevision)
	if err != nil {
		return err
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.reportRevision = max(ex.reportRevision, reports.Revision)
	for _, re := range reports.Reports {
		ex.applyReport(re)
	}
	return nil
}

// applyReport records the state of a task. Tasks of earlier attempts are ignored.
func (ex *Executor) applyReport(re platform.TaskReport) {
	jo, known := ex.jobs[re.JobID]
	if !known {
		return
	}
	member, current := jo.member(re.Task)
	if !current {
		return
	}
	jo.states[re.Task] = re.State
	if re.State == platform.TaskStateFinished {
		jo.outputs[member] = re.Output
	}
}

// member returns the member number of a task of the current attempt.
func (jo *job) member(ta identifier.Task) (int, bool) {
	prefix := string(identifier.MemberTask(jo.row.JobID, jo.row.Attempt, 0))
	prefix = strings.TrimSuffix(prefix, "0")
	number, found := strings.CutPrefix(string(ta), prefix)
	if !found {
		return 0, false
	}
	member, err := strconv.Atoi(number)
	return member, err == nil
}

// restore rebuilds the zone from the stored rows: first the reservations, then the gangs that
// occupy workers, which may use a reservation, and last the jobs that do not occupy workers.
func (ex *Executor) restore(ledger rows.LedgerRow, list []storer.Row[rows.JobRow], table configurer.Snapshot) {
	used := converter.RestoreReservations(ex.zone, ledger.Reservations)
	for _, row := range list {
		if !row.Removed && converter.IsActive(row.Value) {
			ex.resume(row, used[row.Value.JobID])
		}
	}
	ex.setTable(table)
	for _, row := range list {
		if !row.Removed && !converter.IsActive(row.Value) {
			ex.applyRow(row)
		}
	}
}

// restoreFailures records the worker failures that an earlier leaseholder stored in a row.
func (ex *Executor) restoreFailures(row rows.JobRow) {
	for _, wo := range row.FailedOn {
		ex.quarantine.RecordFailure(row.JobID, wo, ex.Clock.Now())
	}
}

// resume restores a gang that an earlier leaseholder placed.
func (ex *Executor) resume(row storer.Row[rows.JobRow], re *placer.Reservation) {
	value := row.Value
	ex.jobs[value.JobID] = newJob(row)
	bl, _ := ex.zone.BlockOf(converter.PlacerShape(value.Shape), value.Workers)
	pl := placer.Placement{Job: value.JobID, Workspace: value.Workspace, Block: bl, Fixed: value.NonPreemptible}
	if re != nil {
		pl.Reservation, pl.ReservedBlock = re, re.Block
	}
	ex.scheduler.Restore(scheduler.Run{Job: ex.schedulerJob(value), Started: value.StartedAt}, pl)
}

func newJob(row storer.Row[rows.JobRow]) *job {
	return &job{
		row:     row.Value,
		version: row.Version,
		states:  map[identifier.Task]platform.TaskState{},
		outputs: map[int]string{},
	}
}

// applyRow applies a row that was read from the store: a new job, a cancellation, or a write of
// this executor whose response was lost.
func (ex *Executor) applyRow(row storer.Row[rows.JobRow]) {
	id := identifier.Job(strings.TrimPrefix(row.Name, storer.JobPrefix(ex.Zone)))
	jo, known := ex.jobs[id]
	switch {
	case known && row.Version <= jo.version:
	case row.Removed:
		ex.removeJob(id)
	case !known && converter.IsActive(row.Value):
		ex.resume(row, nil)
	case !known:
		ex.restoreFailures(row.Value)
		ex.jobs[id] = newJob(row)
		ex.scheduler.Enqueue(ex.schedulerJob(row.Value))
	case jo.row.State == row.Value.State && jo.row.Attempt == row.Value.Attempt:
		jo.row, jo.version = row.Value, row.Version
	default:
		// A write of this executor was applied although it was reported as failed.
		ex.active = false
	}
}

func (ex *Executor) removeJob(id identifier.Job) {
	ex.scheduler.Remove(id)
	ex.quarantine.ForgetJob(id)
	delete(ex.jobs, id)
}

// schedulerJob converts a job row for the scheduler.
func (ex *Executor) schedulerJob(row rows.JobRow) scheduler.Job {
	return scheduler.Job{
		ID:          row.JobID,
		Workspace:   row.Workspace,
		Shape:       converter.PlacerShape(row.Shape),
		Urgent:      row.Class == types.ClassUrgent,
		Submitted:   row.SubmittedAt,
		Expected:    ex.estimates.Estimate(kindOf(row), row.ExpectedMillis),
		Preemptions: row.Preemptions,
		Avoid:       row.FailedOn,
	}
}

func kindOf(row rows.JobRow) estimator.Kind {
	return estimator.Kind{Workspace: row.Workspace, Name: row.Kind}
}

// setWorkers adds new workers to the zone and updates which workers are usable: those that are
// neither draining nor gone nor quarantined.
func (ex *Executor) setWorkers(workers []platform.InventoryWorker) {
	now := ex.Clock.Now()
	for _, wo := range ex.quarantine.ReleaseExpired(now) {
		ex.Log.Info().Str("worker", string(wo)).Msg("workerOnProbation")
	}
	for _, wo := range workers {
		ex.zone.Add(converter.PlacerWorker(wo))
		usable := !wo.Leaving && !wo.Gone && !ex.quarantine.Quarantined(wo.Worker, now)
		for _, re := range ex.zone.SetUsable(wo.Worker, usable) {
			ex.Log.Warn().Str("workspace", string(re.Workspace)).Str("shape", re.Shape.String()).Msg("guaranteeUnsatisfied")
		}
	}
}

// setTable updates the workspaces and guarantees if the table version has changed.
func (ex *Executor) setTable(sn configurer.Snapshot) {
	if sn.Version == ex.table {
		return
	}
	for _, row := range sn.Rows {
		ex.scheduler.SetWorkspace(scheduler.Workspace{ID: row.Workspace, Weight: row.Cells.Weight, Limit: row.Cells.Limits.Accelerators})
	}
	for _, re := range ex.zone.SetGuarantees(validator.Guarantees(sn, ex.Zone)) {
		ex.Log.Warn().Str("workspace", string(re.Workspace)).Str("shape", re.Shape.String()).Msg("guaranteeUnsatisfied")
	}
	ex.table, ex.head = sn.Version, sn.HeadVersion
}
