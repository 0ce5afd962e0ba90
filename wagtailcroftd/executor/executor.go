// Package executor carries out the decisions of the scheduler in one availability zone
// while its instance holds the scheduler lease. Each state change of a job is one transaction
// that requires the fencing token of the lease, and commands to workers carry the lease epoch.
// All steps are idempotent, so another instance can continue from the stored rows at any point.
package executor

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/estimator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/quarantiner"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/leaser"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

const passesPerStep = 6 // enough for a gang to go from placed to started in one step

type (
	// Options configures an executor.
	Options struct {
		Zone    identifier.Zone
		Store   *storer.Store
		Clock   clock.Clock
		Log     zerolog.Logger
		Leases  Leases
		Table   Table
		Targets Targets
		Policy  scheduler.Policy
		// MaxFailures is the number of healthy workers on which a job may fail before the job
		// itself is considered faulty.
		MaxFailures int32
	}

	// Leases returns the scheduler lease, if this instance holds it.
	Leases interface {
		SchedulerGrant() (leaser.Grant, bool)
	}

	// Table provides this instance's copy of the shared table.
	Table interface {
		Snapshot() configurer.Snapshot
	}

	// Targets lists the workers of the zone.
	Targets interface {
		Workers() []platform.InventoryWorker
	}

	// Executor holds the jobs of one zone that have not ended.
	Executor struct {
		Options

		mu locker.Mutex
		// active means that the state below was built under grant and is still valid, guarded
		// by mu. Only Step changes the rest of the state, with mu held.
		active    bool
		grant     leaser.Grant
		zone      *placer.Zone
		scheduler *scheduler.Scheduler
		jobs      map[identifier.Job]*job
		// estimates and quarantine are kept when the lease is lost and acquired again, but only
		// in memory: another instance does not receive them.
		estimates  *estimator.Estimator
		quarantine *quarantiner.Quarantiner
		// ledger is the version of the ledger row that this instance last read or wrote.
		ledger meter.RowVersion
		// scanned is the store version up to which jobs is complete; it never decreases.
		scanned meter.RowVersion
		// reportRevision is the revision up to which task reports have been read.
		reportRevision int64
		// table and head are the versions of the shared table and of its head row from which
		// the zone's guarantees were set.
		table meter.TableVersion
		head  meter.RowVersion
		// counts is exported as metrics.
		counts Counts
	}

	// inputs is read from other components before mu is locked, which keeps to the lock order.
	inputs struct {
		workers []platform.InventoryWorker
		table   configurer.Snapshot
	}

	// Counts are totals since the start of the process.
	Counts struct {
		Placed    int64 `json:"placed"`
		Stopped   int64 `json:"stopped"`
		Done      int64 `json:"done"`
		Failed    int64 `json:"failed"`
		Cancelled int64 `json:"cancelled"`
		Conflicts int64 `json:"conflicts"`
	}

	// job is a job that has not ended.
	job struct {
		row     rows.JobRow
		version meter.RowVersion
		// states holds the last reported state of each task of the current attempt.
		states map[identifier.Task]platform.TaskState
		// outputs holds the outputs of finished members, keyed by member number.
		outputs map[int]string
		// commanded means that all commands for the current state were accepted.
		commanded bool
		// stop, if not nil, is a requested stop that has not been committed yet.
		stop *stopRequest
	}

	// stopRequest says why a job must stop and which state follows.
	stopRequest struct {
		stateAfter rows.JobRowStateAfterStop
		reason     string
		preempted  bool
		// checkpoint means that the members are healthy and save a checkpoint of their work.
		checkpoint bool
		// failedOn lists the workers on which members failed.
		failedOn []identifier.Worker
	}
)

// New returns an executor that does nothing until its instance holds the scheduler lease.
func New(op Options) *Executor {
	return &Executor{
		Options:    op,
		mu:         locker.New(locker.RankZone),
		estimates:  estimator.New(),
		quarantine: quarantiner.New(),
	}
}

// Step runs all work that is due. After an error, the next step continues with the rest.
func (ex *Executor) Step(ctx context.Context) error {
	grant, held := ex.Leases.SchedulerGrant()
	if !held {
		ex.deactivate()
		return nil
	}
	if !ex.isBuiltFor(grant) {
		if err := ex.rebuild(ctx, grant); err != nil {
			return err
		}
	}
	if err := ex.observe(ctx); err != nil {
		return err
	}
	ex.scheduleRound()
	for range passesPerStep {
		changed, err := ex.advance(ctx)
		if err != nil || !changed {
			return err
		}
	}
	return nil
}

func (ex *Executor) deactivate() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.active = false
}

func (ex *Executor) isBuiltFor(grant leaser.Grant) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.active && ex.grant == grant
}

// rebuild discards the in-memory state and reads it again from the stored rows, as each new
// leaseholder does.
func (ex *Executor) rebuild(ctx context.Context, grant leaser.Grant) error {
	ledger, err := storer.Read[rows.LedgerRow](ctx, ex.Store, storer.LedgerKey(ex.Zone))
	if err != nil {
		return err
	}
	list, upTo, err := storer.Scan[rows.JobRow](ctx, ex.Store, storer.TableJobs, storer.JobPrefix(ex.Zone), 0)
	if err != nil {
		return err
	}
	in := ex.readInputs()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.reset(grant)
	ex.ledger, ex.scanned = ledger.Version, upTo
	ex.setWorkers(in.workers)
	ex.restore(ledger.Value, list, in.table)
	ex.active = true
	ex.Log.Info().Int64("epoch", int64(grant.Epoch)).Int("jobs", len(ex.jobs)).Msg("zoneRebuilt")
	return nil
}

func (ex *Executor) readInputs() inputs {
	return inputs{workers: ex.Targets.Workers(), table: ex.Table.Snapshot()}
}

func (ex *Executor) reset(grant leaser.Grant) {
	ex.active, ex.grant = false, grant
	ex.zone = placer.New(nil)
	ex.scheduler = scheduler.New(ex.Policy, ex.zone)
	ex.jobs = map[identifier.Job]*job{}
	ex.reportRevision = 0
	ex.table, ex.head = -1, 0
}

// Explain explains the scheduling state of a job of the zone. It reports false if this instance
// does not schedule the job.
func (ex *Executor) Explain(id identifier.Job) ([]string, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.active {
		return nil, false
	}
	lines := ex.scheduler.Explain(id, ex.Clock.Now())
	return lines, lines != nil
}

// Counts returns the totals since the start of the process.
func (ex *Executor) Counts() Counts {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.counts
}

// Quarantined lists the workers that receive no work because of repeated failures.
func (ex *Executor) Quarantined() []identifier.Worker {
	workers := ex.Targets.Workers()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	var list []identifier.Worker
	for _, wo := range workers {
		if ex.quarantine.Quarantined(wo.Worker, ex.Clock.Now()) {
			list = append(list, wo.Worker)
		}
	}
	return list
}

// handleConflict records that a transaction was rejected because a row had changed. If the ledger
// or the table was part of the transaction, the next step rebuilds the whole state.
func (ex *Executor) handleConflict(jo *job, ledger bool, err error) {
	if problem.KindOf(err) != problem.Conflict {
		return
	}
	ex.counts.Conflicts++
	ex.Log.Debug().Str("job", string(jo.row.JobID)).Msg("commitConflict")
	if ledger {
		ex.active = false
	}
}
