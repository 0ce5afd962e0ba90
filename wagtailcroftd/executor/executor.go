// Package executor carries out the decisions of the scheduler in one availability zone,
// while its instance holds the scheduler lease. Every change of a job is one transaction
// under the fence of the lease; commands to workers carry its epoch. All steps can be
// repeated, so that another instance can go on from the rows at any point.
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

const passesPerStep = 6 // enough to take a gang from placed to started in one step

type (
	// Options are what an executor is made from.
	Options struct {
		Zone    identifier.Zone
		Store   *storer.Store
		Clock   clock.Clock
		Log     zerolog.Logger
		Leases  Leases
		Table   Table
		Targets Targets
		Policy  scheduler.Policy
		// MaxFailures is the number of healthy workers a job may fail on.
		MaxFailures int32
	}

	// Leases tells whether this instance may act.
	Leases interface {
		Scheduler() (leaser.Grant, bool)
	}

	// Table is the shared table as it is in force here.
	Table interface {
		Snapshot() configurer.Snapshot
	}

	// Targets lists the workers of the zone.
	Targets interface {
		Workers() []platform.InventoryWorker
	}

	// Executor is the table of the jobs of one zone.
	Executor struct {
		Options

		mu locker.Mutex
		// active means that the state below was built under grant, guarded by mu. The rest
		// of the state is changed by Step alone, under mu.
		active bool
		grant  leaser.Grant
		zone   *placer.Zone
		line   *scheduler.Scheduler
		jobs   map[identifier.Job]*job
		// estimates and quarantine outlive a change of the holder only in this process.
		estimates  *estimator.Estimator
		quarantine *quarantiner.Quarantiner
		// ledger is the version of the ledger row.
		ledger meter.RowVersion
		// scanned is the store version up to which jobs is whole; it only rises.
		scanned meter.RowVersion
		// reported is the revision up to which task reports have been read.
		reported int64
		// table and head are the version that the zone's guarantees were set from.
		table meter.TableVersion
		head  meter.RowVersion
		// counts is read by the metrics.
		counts Counts
	}

	// view is what the other tables said before this one was locked, which keeps the lock
	// order.
	view struct {
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
		// states holds the last report of each task of the current attempt.
		states map[identifier.Task]platform.TaskState
		// outputs holds the outputs of finished members by member number.
		outputs map[int]string
		// commanded means that the commands of the current state were all accepted.
		commanded bool
		// order, when not nil, is a stop that has not been committed yet.
		order *stopOrder
	}

	// stopOrder says why a job is to stop and what comes after.
	stopOrder struct {
		next      rows.JobRowNext
		reason    string
		preempted bool
		// checkpoint means that the members are healthy and keep what they have done.
		checkpoint bool
		// failedOn lists the workers on which members failed.
		failedOn []identifier.Worker
	}
)

// New returns an executor that does nothing until its instance holds the lease.
func New(op Options) *Executor {
	return &Executor{
		Options:    op,
		mu:         locker.New(locker.RankZone),
		estimates:  estimator.New(),
		quarantine: quarantiner.New(),
	}
}

// Step does all that can be done now. An error leaves the rest for the next step.
func (ex *Executor) Step(ctx context.Context) error {
	grant, held := ex.Leases.Scheduler()
	if !held {
		ex.retire()
		return nil
	}
	if !ex.builtUnder(grant) {
		if err := ex.rebuild(ctx, grant); err != nil {
			return err
		}
	}
	if err := ex.observe(ctx); err != nil {
		return err
	}
	ex.decide()
	for range passesPerStep {
		moved, err := ex.advance(ctx)
		if err != nil || !moved {
			return err
		}
	}
	return nil
}

func (ex *Executor) retire() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.active = false
}

func (ex *Executor) builtUnder(grant leaser.Grant) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.active && ex.grant == grant
}

// rebuild makes the state anew from the rows, as any new holder of the lease does.
func (ex *Executor) rebuild(ctx context.Context, grant leaser.Grant) error {
	ledger, err := storer.Read[rows.LedgerRow](ctx, ex.Store, storer.LedgerKey(ex.Zone))
	if err != nil {
		return err
	}
	list, upTo, err := storer.Scan[rows.JobRow](ctx, ex.Store, storer.TableJobs, storer.JobPrefix(ex.Zone), 0)
	if err != nil {
		return err
	}
	vi := ex.look()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.reset(grant)
	ex.ledger, ex.scanned = ledger.Version, upTo
	ex.setWorkers(vi.workers)
	ex.restore(ledger.Value, list, vi.table)
	ex.active = true
	ex.Log.Info().Int64("epoch", int64(grant.Epoch)).Int("jobs", len(ex.jobs)).Msg("zoneRebuilt")
	return nil
}

func (ex *Executor) look() view {
	return view{workers: ex.Targets.Workers(), table: ex.Table.Snapshot()}
}

func (ex *Executor) reset(grant leaser.Grant) {
	ex.active, ex.grant = false, grant
	ex.zone = placer.New(nil)
	ex.line = scheduler.New(ex.Policy, ex.zone)
	ex.jobs = map[identifier.Job]*job{}
	ex.reported = 0
	ex.table, ex.head = -1, 0
}

// Why explains a job of the zone; it reports false if this instance does not schedule it.
func (ex *Executor) Why(id identifier.Job) ([]string, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if !ex.active {
		return nil, false
	}
	lines := ex.line.Why(id, ex.Clock.Now())
	return lines, lines != nil
}

// Counts returns the totals since the start of the process.
func (ex *Executor) Counts() Counts {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.counts
}

// Quarantined lists the workers that get no work because they fail everything.
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

// conflicted notes that a transaction found a row changed. If the ledger or the table was
// part of it, the whole state is built anew.
func (ex *Executor) conflicted(jo *job, ledger bool, err error) {
	if problem.KindOf(err) != problem.Conflict {
		return
	}
	ex.counts.Conflicts++
	ex.Log.Debug().Str("job", string(jo.row.JobID)).Msg("commitConflict")
	if ledger {
		ex.active = false
	}
}
