// Package registrar serves the job API: it stores each submitted gang job exactly once, reports
// its state, records cancellation requests and returns results.
package registrar

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/converter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

const (
	maxSubmitAttempts = 4
	maxCancelAttempts = 4
	waitPollInterval  = 500 * clock.Millis(1)
	maxWaiters        = 64 // callers that may wait for jobs at this instance concurrently
	retryAfter        = 10 * clock.Second
)

type (
	// Options configures a Registrar.
	Options struct {
		Zone      identifier.Zone
		Store     *storer.Store
		Clock     clock.Clock
		Log       zerolog.Logger
		Table     Table
		Validator Validator
		// NotifyScheduler notifies the scheduler of this instance that a job was added or changed.
		NotifyScheduler func()
	}

	// Table provides this instance's copy of the shared table.
	Table interface {
		Snapshot() configurer.Snapshot
		Refresh(ctx context.Context) error
	}

	// Validator checks gangs against the workers of a zone.
	Validator interface {
		// CanRun reports whether a gang of the shape could ever run in the zone.
		CanRun(ctx context.Context, zone identifier.Zone, sn configurer.Snapshot, ws identifier.Workspace, sh placer.Shape) (bool, error)
	}

	// Registrar serves the jobs of callers and operators.
	Registrar struct {
		Options
		// waiters is a semaphore that limits the number of waiting callers.
		waiters chan struct{}
	}
)

// New returns a registrar with the given options.
func New(op Options) *Registrar {
	return &Registrar{Options: op, waiters: make(chan struct{}, maxWaiters)}
}

// Submit stores a job once per key. A repeated submission returns the current state of the job. An
// error without an outcome means that the job was not stored.
func (re *Registrar) Submit(ctx context.Context, ws identifier.Workspace, body caller.JobBody) (rows.JobRow, error) {
	if body.Zone == "" {
		body.Zone = re.Zone
	}
	digest := digestOf(body)
	for range maxSubmitAttempts {
		row, err := re.submit(ctx, ws, body, digest)
		if problem.KindOf(err) != problem.Conflict {
			return row, err
		}
		if err := re.Table.Refresh(ctx); err != nil {
			return rows.JobRow{}, problem.From(err).WithOutcome(problem.Unknown)
		}
	}
	return rows.JobRow{}, problem.New(problem.Conflict, "job not stored: the shared table or the job key changed during each of %d attempts", maxSubmitAttempts).WithRetryAfter(retryAfter)
}

func digestOf(body caller.JobBody) string {
	text, err := json.Marshal(body)
	if err != nil {
		panic(eris.Wrap(err, "encode job body")) // the body was decoded from JSON
	}
	return identifier.Digest(string(text))
}

func (re *Registrar) submit(ctx context.Context, ws identifier.Workspace, body caller.JobBody, digest string) (rows.JobRow, error) {
	id := identifier.DeriveJob(ws, body.Key)
	key, err := storer.Read[rows.JobKeyRow](ctx, re.Store, storer.JobIndexKey(id))
	if err != nil {
		return rows.JobRow{}, problem.From(err).WithOutcome(problem.Unknown)
	}
	if key.Version != 0 {
		return re.existing(ctx, ws, id, key.Value, digest)
	}
	sn := re.Table.Snapshot()
	if err := re.check(ctx, ws, body, sn); err != nil {
		return rows.JobRow{}, err
	}
	row := re.rowFor(ws, id, body, digest)
	return row, re.store(ctx, row, sn)
}

// existing returns the job of a key that has been used, or an error if it was used with another body.
func (re *Registrar) existing(ctx context.Context, ws identifier.Workspace, id identifier.Job, key rows.JobKeyRow, digest string) (rows.JobRow, error) {
	if key.BodyDigest != digest {
		return rows.JobRow{}, problem.New(problem.KeyReused, "job %s", id)
	}
	return re.Get(ctx, ws, id)
}

// check returns an error if the workspace may not submit the job, or if the job can never run.
func (re *Registrar) check(ctx context.Context, ws identifier.Workspace, body caller.JobBody, sn configurer.Snapshot) error {
	row := rowOf(sn, ws)
	shape := converter.PlacerShape(body.Shape)
	if body.Class == types.ClassUrgent && !row.Cells.UrgentAllowed {
		return problem.New(problem.UrgentNotAllowed, "workspace %s may not send urgent jobs", ws)
	}
	if shape.Total() > row.Cells.Limits.Accelerators {
		return problem.New(problem.ImpossibleJob, "%s requires %d accelerators, but the limit of workspace %s is %d", shape, shape.Total(), ws, row.Cells.Limits.Accelerators)
	}
	possible, err := re.Validator.CanRun(ctx, body.Zone, sn, ws, shape)
	if err != nil {
		return problem.From(err).WithOutcome(problem.NotRun)
	}
	if !possible {
		return problem.New(problem.ImpossibleJob, "%s does not fit into any %s of zone %s, even without other load", shape, shape.Adjacency, body.Zone)
	}
	return re.checkQueue(ctx, ws, body.Zone, row.Cells.Limits.QueuedJobs)
}

func rowOf(sn configurer.Snapshot, ws identifier.Workspace) configurer.Row {
	for _, row := range sn.Rows {
		if row.Workspace == ws {
			return row
		}
	}
	return configurer.Row{Workspace: ws}
}

func (re *Registrar) checkQueue(ctx context.Context, ws identifier.Workspace, zone identifier.Zone, limit int32) error {
	list, _, err := storer.Scan[rows.JobRow](ctx, re.Store, storer.TableJobs, storer.JobPrefix(zone), 0)
	if err != nil {
		return problem.From(err).WithOutcome(problem.NotRun)
	}
	var queued int32
	for _, row := range list {
		if !row.Removed && row.Value.Workspace == ws && row.Value.State == rows.JobRowStateQueued {
			queued++
		}
	}
	if queued >= limit {
		return problem.New(problem.TooManyJobs, "%d of at most %d jobs of workspace %s are queued in zone %s", queued, limit, ws, zone).WithRetryAfter(retryAfter)
	}
	return nil
}

func (re *Registrar) rowFor(ws identifier.Workspace, id identifier.Job, body caller.JobBody, digest string) rows.JobRow {
	return rows.JobRow{
		JobID:          id,
		Workspace:      ws,
		Key:            body.Key,
		BodyDigest:     digest,
		Zone:           body.Zone,
		Kind:           string(body.Kind),
		Class:          body.Class,
		Shape:          body.Shape,
		ExpectedMillis: body.ExpectedMillis,
		Payload:        body.Payload,
		AtMostOnce:     body.Once,
		State:          rows.JobRowStateQueued,
		SubmittedAt:    re.Clock.Now(),
	}
}

// store writes the job on condition that the shared table has not changed since it was checked, and
// that the key has not been used in the meantime.
func (re *Registrar) store(ctx context.Context, row rows.JobRow, sn configurer.Snapshot) error {
	ba := &storer.Batch{}
	ba.Replace(storer.JobIndexKey(row.JobID), 0, rows.JobKeyRow{JobID: row.JobID, Zone: row.Zone, BodyDigest: row.BodyDigest})
	ba.Put(storer.JobKey(row.Zone, row.JobID), row)
	ba.Require(storer.HeadKey(), sn.HeadVersion)
	_, err := re.Store.Commit(ctx, ba)
	if problem.KindOf(err) == problem.StoreUnavailable {
		return problem.New(problem.OutcomeUnknown, "no confirmation from the table service that job %s was stored", row.JobID).WithRetryAfter(problem.From(err).RetryAfter)
	}
	if err == nil {
		re.NotifyScheduler()
		re.Log.Info().Str("job", string(row.JobID)).Str("workspace", string(row.Workspace)).Str("zone", string(row.Zone)).Msg("jobStored")
	}
	return err
}

// Get returns a job of a workspace. With an empty workspace, as operators pass it, it returns a job of
// any workspace.
func (re *Registrar) Get(ctx context.Context, ws identifier.Workspace, id identifier.Job) (rows.JobRow, error) {
	row, err := re.find(ctx, id)
	if err != nil {
		return rows.JobRow{}, err
	}
	if row.Version == 0 || ws != "" && row.Value.Workspace != ws {
		return rows.JobRow{}, problem.New(problem.NotFound, "job %s", id)
	}
	return row.Value, nil
}

// find reads a job from the table of jobs or, if it is not there, from the table of ended jobs. In this
// order a job that ends between the two reads is still found.
func (re *Registrar) find(ctx context.Context, id identifier.Job) (storer.Row[rows.JobRow], error) {
	var zero storer.Row[rows.JobRow]
	key, err := storer.Read[rows.JobKeyRow](ctx, re.Store, storer.JobIndexKey(id))
	if err != nil || key.Version == 0 {
		return zero, err
	}
	row, err := storer.Read[rows.JobRow](ctx, re.Store, storer.JobKey(key.Value.Zone, id))
	if err != nil || row.Version != 0 {
		return row, err
	}
	return storer.Read[rows.JobRow](ctx, re.Store, storer.EndedKey(key.Value.Zone, id))
}

// Wait returns the job once it has ended, or its current state after the timeout. If too many callers
// are already waiting, it returns the current state at once.
func (re *Registrar) Wait(ctx context.Context, ws identifier.Workspace, id identifier.Job, timeout clock.Millis) (rows.JobRow, error) {
	until := re.Clock.Now() + timeout
	row, err := re.Get(ctx, ws, id)
	select {
	case re.waiters <- struct{}{}:
		defer func() { <-re.waiters }()
	default:
		return row, err
	}
	for err == nil && !HasEnded(row) && re.Clock.Now()+waitPollInterval <= until {
		if !clock.Sleep(ctx, re.Clock, waitPollInterval) {
			break
		}
		row, err = re.Get(ctx, ws, id)
	}
	return row, err
}

// HasEnded reports whether a job is done, failed or cancelled.
func HasEnded(row rows.JobRow) bool {
	switch row.State {
	case rows.JobRowStateDone, rows.JobRowStateFailed, rows.JobRowStateCancelled:
		return true
	default:
		return false
	}
}

// Cancel records a request to cancel a job. It does not change a job that has ended.
func (re *Registrar) Cancel(ctx context.Context, ws identifier.Workspace, id identifier.Job) (rows.JobRow, error) {
	for range maxCancelAttempts {
		if _, err := re.Get(ctx, ws, id); err != nil {
			return rows.JobRow{}, err
		}
		row, err := re.find(ctx, id)
		if err != nil || HasEnded(row.Value) || row.Value.CancelAsked {
			return row.Value, err
		}
		row.Value.CancelAsked = true
		ba := &storer.Batch{}
		ba.Replace(storer.JobKey(row.Value.Zone, id), row.Version, row.Value)
		if _, err = re.Store.Commit(ctx, ba); problem.KindOf(err) != problem.Conflict {
			re.NotifyScheduler()
			return row.Value, err
		}
	}
	return rows.JobRow{}, problem.New(problem.Conflict, "job %s not cancelled: its row changed concurrently on every attempt", id).WithRetryAfter(waitPollInterval)
}

// Result returns the complete result of a job that is done. For any other job it returns an error that
// states why there is no result.
func (re *Registrar) Result(ctx context.Context, ws identifier.Workspace, id identifier.Job) (caller.JobResult, error) {
	var result caller.JobResult
	row, err := re.Get(ctx, ws, id)
	if err != nil {
		return result, err
	}
	switch row.State {
	case rows.JobRowStateDone:
	case rows.JobRowStateFailed:
		return result, problem.New(problem.JobFailed, "%s", row.Reason)
	case rows.JobRowStateCancelled:
		return result, problem.New(problem.JobCancelled, "job %s", id).WithOutcome(cancelOutcome(row))
	default:
		return result, problem.New(problem.JobNotEnded, "job %s is %s", id, row.State).WithRetryAfter(waitPollInterval)
	}
	body, err := re.Store.GetObject(ctx, storer.ResultName(id))
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal([]byte(body), &result); err != nil {
		return result, eris.Wrap(err, "decode job result")
	}
	return result, nil
}

func cancelOutcome(row rows.JobRow) problem.Outcome {
	if row.Outcome == types.OutcomeNotRun {
		return problem.NotRun
	}
	return problem.Failed
}

// List returns the jobs of all zones that have not ended.
func (re *Registrar) List(ctx context.Context) ([]rows.JobRow, error) {
	list, _, err := storer.Scan[rows.JobRow](ctx, re.Store, storer.TableJobs, "", 0)
	if err != nil {
		return nil, err
	}
	var jobs []rows.JobRow
	for _, row := range list {
		if !row.Removed {
			jobs = append(jobs, row.Value)
		}
	}
	return jobs, nil
}

// Describe returns a one-line description of the state of a job.
func Describe(row rows.JobRow) string {
	if row.CancelAsked && !HasEnded(row) {
		return fmt.Sprintf("%s; cancellation requested", row.State)
	}
	return row.Reason
}
