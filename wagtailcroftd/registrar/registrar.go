// Package registrar takes in gang jobs: it stores each once, tells its state, passes on
// cancellations and gives out results.
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
	submitTries = 4
	cancelTries = 4
	waitPoll    = 500 * clock.Millis(1)
	mostWaiters = 64 // callers that wait for a job at this instance at one time
	retryAfter  = 10 * clock.Second
)

type (
	// Options are what a registrar is made from.
	Options struct {
		Zone     identifier.Zone
		Store    *storer.Store
		Clock    clock.Clock
		Log      zerolog.Logger
		Table    Table
		Surveyor Surveyor
		// Wake tells the scheduler of this instance that a job has come or changed.
		Wake func()
	}

	// Table is the shared table as it is in force here.
	Table interface {
		Snapshot() configurer.Snapshot
		Refresh(ctx context.Context) error
	}

	// Surveyor knows the workers of every zone.
	Surveyor interface {
		// Possible reports whether a gang could ever run.
		Possible(ctx context.Context, zone identifier.Zone, sn configurer.Snapshot, ws identifier.Workspace, sh placer.Shape) (bool, error)
	}

	// Registrar serves callers and operators.
	Registrar struct {
		Options
		// waiters bounds the callers that wait.
		waiters chan struct{}
	}
)

// New returns a registrar.
func New(op Options) *Registrar {
	return &Registrar{Options: op, waiters: make(chan struct{}, mostWaiters)}
}

// Submit stores a job, once for each key. A repeated submission returns the job as it is
// now. An error without an outcome means that the job is not stored.
func (re *Registrar) Submit(ctx context.Context, ws identifier.Workspace, body caller.JobBody) (rows.JobRow, error) {
	if body.Zone == "" {
		body.Zone = re.Zone
	}
	digest := digestOf(body)
	for range submitTries {
		row, err := re.submit(ctx, ws, body, digest)
		if problem.KindOf(err) != problem.Conflict {
			return row, err
		}
		if err := re.Table.Refresh(ctx); err != nil {
			return rows.JobRow{}, problem.From(err).Say(problem.Unknown)
		}
	}
	return rows.JobRow{}, problem.New(problem.Conflict, "the table changed %d times while the job was submitted", submitTries).Retry(retryAfter)
}

func digestOf(body caller.JobBody) string {
	text, err := json.Marshal(body)
	if err != nil {
		panic(eris.Wrap(err, "encode a job body")) // it was decoded from JSON
	}
	return identifier.Digest(string(text))
}

func (re *Registrar) submit(ctx context.Context, ws identifier.Workspace, body caller.JobBody, digest string) (rows.JobRow, error) {
	id := identifier.JobFor(ws, body.Key)
	key, err := storer.Read[rows.JobKeyRow](ctx, re.Store, storer.JobKeyKey(id))
	if err != nil {
		return rows.JobRow{}, problem.From(err).Say(problem.Unknown)
	}
	if key.Version != 0 {
		return re.known(ctx, ws, id, key.Value, digest)
	}
	sn := re.Table.Snapshot()
	if err := re.check(ctx, ws, body, sn); err != nil {
		return rows.JobRow{}, err
	}
	row := re.rowFor(ws, id, body, digest)
	return row, re.store(ctx, row, sn)
}

// known answers a submission whose key has been used.
func (re *Registrar) known(ctx context.Context, ws identifier.Workspace, id identifier.Job, key rows.JobKeyRow, digest string) (rows.JobRow, error) {
	if key.BodyDigest != digest {
		return rows.JobRow{}, problem.New(problem.KeyReused, "job %s", id)
	}
	return re.Get(ctx, ws, id)
}

// check refuses what the workspace may not submit and what can never run.
func (re *Registrar) check(ctx context.Context, ws identifier.Workspace, body caller.JobBody, sn configurer.Snapshot) error {
	row := rowOf(sn, ws)
	shape := converter.Shape(body.Shape)
	if body.Class == types.ClassUrgent && !row.Cells.UrgentAllowed {
		return problem.New(problem.UrgentNotAllowed, "workspace %s", ws)
	}
	if shape.Total() > row.Cells.Limits.Accelerators {
		return problem.New(problem.ImpossibleJob, "%s takes %d accelerators; the limit of workspace %s is %d", shape, shape.Total(), ws, row.Cells.Limits.Accelerators)
	}
	possible, err := re.Surveyor.Possible(ctx, body.Zone, sn, ws, shape)
	if err != nil {
		return problem.From(err).Say(problem.NotRun)
	}
	if !possible {
		return problem.New(problem.ImpossibleJob, "%s does not fit into any %s of zone %s, even when it is empty", shape, shape.Adjacency, body.Zone)
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

func (re *Registrar) checkQueue(ctx context.Context, ws identifier.Workspace, zone identifier.Zone, most int32) error {
	list, _, err := storer.Scan[rows.JobRow](ctx, re.Store, storer.TableJobs, storer.JobPrefix(zone), 0)
	if err != nil {
		return problem.From(err).Say(problem.NotRun)
	}
	var queued int32
	for _, row := range list {
		if !row.Removed && row.Value.Workspace == ws && row.Value.State == rows.JobRowStateQueued {
			queued++
		}
	}
	if queued >= most {
		return problem.New(problem.TooManyJobs, "%d of %d jobs of workspace %s wait in zone %s", queued, most, ws, zone).Retry(retryAfter)
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
		Once:           body.Once,
		State:          rows.JobRowStateQueued,
		SubmittedAt:    re.Clock.Now(),
	}
}

// store writes the job on condition that the table is still the one that was checked.
func (re *Registrar) store(ctx context.Context, row rows.JobRow, sn configurer.Snapshot) error {
	ba := &storer.Batch{}
	ba.Replace(storer.JobKeyKey(row.JobID), 0, rows.JobKeyRow{JobID: row.JobID, Zone: row.Zone, BodyDigest: row.BodyDigest})
	ba.Put(storer.JobKey(row.Zone, row.JobID), row)
	ba.Require(storer.HeadKey(), sn.Head)
	_, err := re.Store.Commit(ctx, ba)
	if problem.KindOf(err) == problem.StoreUnavailable {
		return problem.New(problem.OutcomeUnknown, "the store did not say whether job %s was stored", row.JobID).Retry(problem.From(err).RetryAfter)
	}
	if err == nil {
		re.Wake()
		re.Log.Info().Str("job", string(row.JobID)).Str("workspace", string(row.Workspace)).Str("zone", string(row.Zone)).Msg("jobStored")
	}
	return err
}

// Get returns a job of a workspace; operators pass an empty workspace and see all.
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

// find reads a job from where it is now. A job that ends between two reads is looked for
// once more.
func (re *Registrar) find(ctx context.Context, id identifier.Job) (storer.Row[rows.JobRow], error) {
	var none storer.Row[rows.JobRow]
	key, err := storer.Read[rows.JobKeyRow](ctx, re.Store, storer.JobKeyKey(id))
	if err != nil || key.Version == 0 {
		return none, err
	}
	row, err := storer.Read[rows.JobRow](ctx, re.Store, storer.JobKey(key.Value.Zone, id))
	if err != nil || row.Version != 0 {
		return row, err
	}
	return storer.Read[rows.JobRow](ctx, re.Store, storer.EndedKey(key.Value.Zone, id))
}

// Wait returns the job once it has ended, or as it is after a time. When too many callers
// wait it returns at once.
func (re *Registrar) Wait(ctx context.Context, ws identifier.Workspace, id identifier.Job, most clock.Millis) (rows.JobRow, error) {
	until := re.Clock.Now() + most
	row, err := re.Get(ctx, ws, id)
	select {
	case re.waiters <- struct{}{}:
		defer func() { <-re.waiters }()
	default:
		return row, err
	}
	for err == nil && !Ended(row) && re.Clock.Now()+waitPoll <= until {
		if !clock.Sleep(ctx, re.Clock, waitPoll) {
			break
		}
		row, err = re.Get(ctx, ws, id)
	}
	return row, err
}

// Ended reports whether a job has come to its end.
func Ended(row rows.JobRow) bool {
	switch row.State {
	case rows.JobRowStateDone, rows.JobRowStateFailed, rows.JobRowStateCancelled:
		return true
	default:
		return false
	}
}

// Cancel asks for a job to be cancelled. A job that has ended stays as it is.
func (re *Registrar) Cancel(ctx context.Context, ws identifier.Workspace, id identifier.Job) (rows.JobRow, error) {
	for range cancelTries {
		if _, err := re.Get(ctx, ws, id); err != nil {
			return rows.JobRow{}, err
		}
		row, err := re.find(ctx, id)
		if err != nil || Ended(row.Value) || row.Value.CancelAsked {
			return row.Value, err
		}
		row.Value.CancelAsked = true
		ba := &storer.Batch{}
		ba.Replace(storer.JobKey(row.Value.Zone, id), row.Version, row.Value)
		if _, err = re.Store.Commit(ctx, ba); problem.KindOf(err) != problem.Conflict {
			re.Wake()
			return row.Value, err
		}
	}
	return rows.JobRow{}, problem.New(problem.Conflict, "job %s changes too fast", id).Retry(waitPoll)
}

// Result returns the whole result of a job that is done, and else an error that says
// what has become of it.
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
		return result, problem.New(problem.JobCancelled, "job %s", id).Say(cancelOutcome(row))
	default:
		return result, problem.New(problem.JobNotEnded, "job %s is %s", id, row.State).Retry(waitPoll)
	}
	body, err := re.Store.Object(ctx, storer.ResultName(id))
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal([]byte(body), &result); err != nil {
		return result, eris.Wrap(err, "decode a result")
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

// Describe says in one line where a job is.
func Describe(row rows.JobRow) string {
	if row.CancelAsked && !Ended(row) {
		return fmt.Sprintf("%s; it will be cancelled", row.State)
	}
	return row.Reason
}
