// Package intake serves callers' requests about step jobs on any instance. It writes accepted
// jobs to the store and answers queries from the store, so it works without a leader.
package intake

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

const (
	// policyRetryAfter is the retry delay given to callers that are refused because the
	// configuration is unconfirmed or out of date. The configuration is read again within
	// this time.
	policyRetryAfter = clock.Second
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers that are refused
	// because of the store. Callers retry up to 4 times, within 12 s.
	minRetryAfter = clock.Second
	maxRetryAfter = 3 * clock.Second
	// callTimeout bounds all attempts of one store call together. It is well below half of the
	// 3 s that callers wait, so that they have time to try another instance.
	callTimeout = 1200 * clock.Millis(1)
	// outageBackoff is how long after a store failure this instance is not ready and refuses
	// submissions without calling the store.
	outageBackoff = 250 * clock.Millis(1)
	// maxPendingAge is how old the pending-job counts may be; the platform allows 2 s in all.
	maxPendingAge = 400 * clock.Millis(1)
	// overdueTimeout is how long a new submission waits while another write is overdue. A write
	// that was not sent can be refused as not run; one that was sent and not answered cannot.
	overdueTimeout = 800 * clock.Millis(1)
	// minAttemptTimeout is the shortest timeout of one attempt of a store call; the store
	// usually answers within 10 ms. The first attempt may take timeoutFactor times the recent
	// latency of the store, and each further attempt timeoutFactor times as long as the one
	// before.
	minAttemptTimeout = 250 * clock.Millis(1)
	timeoutFactor     = 3
	// maxIDBytes is above the length of every job ID. The store refuses keys of more than 200 bytes, which
	// would look like a failure of the store.
	maxIDBytes = 64
	// retryPause is the pause between two attempts.
	retryPause = 30 * clock.Millis(1)
)

type (
	// Store is the part of the table service that the intake uses.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		CloseIdleConnections()
	}

	// Policies provides the configuration in force.
	Policies interface {
		Current() *policy.Policy
		ConfirmedAt() clock.Millis
		Apply(row rowstore.Row)
	}

	// Metrics records metrics: counts of events and durations.
	Metrics interface {
		Count(name, label string)
		Observe(name string, d clock.Millis)
	}

	// Clock adds the time of day, which is recorded with accepted jobs and cancellations.
	Clock interface {
		clock.Clock
		TimeOfDay() clock.Millis
	}

	// Intake serves requests about step jobs.
	Intake struct {
		store    Store
		policies Policies
		// configKey is the key of the configuration row. Every write is conditional on its
		// version.
		configKey rowstore.Key
		cl        Clock
		metrics   Metrics
		log       zerolog.Logger
		// maxPolicyAge is the time since the configuration was last confirmed beyond which
		// callers are refused.
		maxPolicyAge clock.Millis
		// rowLimit is the largest value of a row that the store accepts.
		rowLimit meter.Bytes

		mu locker.Mutex
		// overdue counts the writes in progress whose first attempt was not answered;
		// noneOverdue is closed when it returns to 0.
		overdue     int
		noneOverdue chan struct{}
		// latency is the recent latency of the store. It rises at once and falls slowly.
		latency clock.Millis
		// failedAt is when the store last failed; 0 means that the last call succeeded.
		failedAt clock.Millis
		// outageStart is when the current or the last outage began.
		outageStart clock.Millis
		// pending holds the pending-job counts that were read last, and pendingVersion the version of their row.
		pending        ledger.PendingCounts
		pendingVersion meter.RowVersion
		// pendingReadAt is when the read of pending began; 0 means never.
		pendingReadAt clock.Millis
	}

	// Options are the settings of an intake.
	Options struct {
		ConfigKey    rowstore.Key
		MaxPolicyAge clock.Millis
		RowLimit     meter.Bytes
		Metrics      Metrics
	}
)

// New returns an intake.
func New(st Store, po Policies, cl Clock, log zerolog.Logger, op Options) *Intake {
	return &Intake{
		store: st, policies: po, configKey: op.ConfigKey, cl: cl, log: log, metrics: op.Metrics, maxPolicyAge: op.MaxPolicyAge, rowLimit: op.RowLimit,
		mu: locker.New(locker.RankAdmission),
	}
}

// Access resolves a request to its queue and workspace by the configuration in force. Errors
// are of the kinds Unconfirmed, NotFound and BadToken.
func (in *Intake) Access(host, path, key string) (policy.Access, error) {
	po := in.policies.Current()
	if po == nil {
		return policy.Access{}, problem.New(problem.Unconfirmed, "no configuration has been read yet").WithRetryAfter(policyRetryAfter)
	}
	if age := in.cl.Now() - in.policies.ConfirmedAt(); age > in.maxPolicyAge {
		return policy.Access{}, problem.New(problem.Unconfirmed, "the configuration was last confirmed %d ms ago", age).WithRetryAfter(policyRetryAfter)
	}
	return po.Access(host, path, key)
}

// Ready reports whether this instance can serve requests now.
func (in *Intake) Ready() bool {
	return in.policies.Current() != nil && in.cl.Now()-in.policies.ConfirmedAt() <= in.maxPolicyAge && !in.inOutage()
}

// Submit stores a job. A job that is already stored counts as accepted. An error with the
// outcome NotRun is definite: the job is not stored and will not be.
func (in *Intake) Submit(ctx context.Context, ac policy.Access, jo *workload.Job) error {
	jo.Queue, jo.Terms, jo.Workspace = ac.Queue.Name, ac.Queue.Terms(), ac.Workspace
	if err := recorder.CheckSize(jo, in.rowLimit); err != nil {
		in.metrics.Count("submits", outcome(err))
		in.log.Info().Str("job", string(jo.ID)).Str("queue", string(ac.Queue.Name)).Str("workspace", string(ac.Workspace)).
			Int64("policy", int64(ac.Version)).AnErr("refusal", err).Msg("jobSubmitted")
		return err
	}
	if in.inOutage() || !in.awaitOverdue(ctx) {
		return in.unavailable("the store failed recently or has not answered a previous write")
	}
	jo.AcceptedAt = in.cl.TimeOfDay()
	jobs, ended := recorder.JobKey(recorder.Jobs, jo.ID), recorder.JobKey(recorder.EndedJobs, jo.ID)
	tr := rowstore.Transaction{
		Preconditions: []rowstore.Precondition{{Key: in.configKey, Version: ac.Version}, {Key: jobs}, {Key: ended}},
		Puts: []rowstore.Put{
			{Key: recorder.JobKey(recorder.Submissions, jo.ID), Value: recorder.Encode(recorder.EncodeSubmission(jo))},
			{Key: jobs, Value: recorder.Encode(ledger.Progress{State: ledger.ProgressState(workload.Queued.String()), Workspace: jo.Workspace})},
		},
	}
	began := in.cl.Now()
	err := in.write(ctx, tr)
	in.metrics.Observe("submit", in.cl.Now()-began)
	in.metrics.Count("submits", outcome(err))
	var conflict *rowstore.ConflictError
	if eris.As(err, &conflict) {
		for _, row := range []rowstore.Row{conflict.Row(jobs), conflict.Row(ended)} {
			if row.Version > 0 {
				return in.resubmitted(ac, row)
			}
		}
		return in.policyChanged(conflict)
	}
	in.log.Info().Str("job", string(jo.ID)).Str("queue", string(jo.Queue)).Str("workspace", string(jo.Workspace)).
		Int64("policy", int64(ac.Version)).AnErr("refusal", err).Msg("jobSubmitted")
	return err
}

// resubmitted returns the result of submitting a job that is already stored: success, or an
// error of the kind KeyReused if the job belongs to another workspace.
func (in *Intake) resubmitted(ac policy.Access, row rowstore.Row) error {
	pr, err := recorder.Decode[ledger.Progress](row)
	if err == nil && !visible(ac, pr) {
		err = problem.New(problem.KeyReused, "the job id is already used by another workspace")
	}
	in.log.Info().Str("job", row.Name).Str("outcome", "known").AnErr("refusal", err).Msg("jobSubmitted")
	return err
}

// visible reports whether a request may see a job. The jobs of a workspace can be seen only
// with its API keys, or without any key through a queue that needs none.
func visible(ac policy.Access, pr ledger.Progress) bool {
	return pr.Workspace == "" || ac.Workspace == pr.Workspace || ac.Workspace == "" && ac.Queue.AllowAnonymous
}

// outcome returns the metric label for the result of a submission.
func outcome(err error) string {
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return "accepted"
	case eris.As(err, &conflict):
		return "conflict"
	}
	return string(problem.KindOf(err))
}

// policyChanged applies the newer configuration that a conflict returned, and returns an error
// of the kind Conflict: the request must be resolved again.
func (in *Intake) policyChanged(co *rowstore.ConflictError) error {
	row := co.Row(in.configKey)
	if row.Version > 0 {
		in.policies.Apply(row)
	}
	return problem.New(problem.Conflict, "the configuration changed to version %d during the request", row.Version).WithOutcome(problem.NotRun).WithRetryAfter(policyRetryAfter)
}

// State returns the state of a job. Errors are of the kinds UnknownJob, which is definite, and
// StoreUnavailable.
func (in *Intake) State(ctx context.Context, ac policy.Access, id identifier.Job) (workload.State, error) {
	pr, err := in.find(ctx, id)
	if err == nil && !visible(ac, pr) {
		err = problem.New(problem.UnknownJob, "the workspace has no job %s", id)
	}
	if problem.KindOf(err) == problem.UnknownJob {
		in.log.Info().Str("job", string(id[:min(len(id), maxIDBytes)])).Str("queue", string(ac.Queue.Name)).Str("workspace", string(ac.Workspace)).Msg("jobUnknown")
	}
	if err != nil {
		return 0, err
	}
	return recorder.ParseState(pr.State)
}

// Find returns the state of a job of any workspace, and the reason if the job failed. Its errors
// are those of State.
func (in *Intake) Find(ctx context.Context, id identifier.Job) (workload.State, string, error) {
	pr, err := in.find(ctx, id)
	if err != nil {
		return 0, "", err
	}
	state, err := recorder.ParseState(pr.State)
	return state, pr.Reason, err
}

// find reads the row of a job from the tables of current and of ended jobs.
func (in *Intake) find(ctx context.Context, id identifier.Job) (ledger.Progress, error) {
	if len(id) > maxIDBytes {
		return ledger.Progress{}, problem.New(problem.UnknownJob, "a job ID has at most %d bytes", maxIDBytes)
	}
	for _, table := range []rowstore.Table{recorder.Jobs, recorder.EndedJobs} {
		row, err := in.read(ctx, recorder.JobKey(table, id))
		if err != nil {
			return ledger.Progress{}, err
		}
		if row.Version > 0 {
			return recorder.Decode[ledger.Progress](row)
		}
	}
	return ledger.Progress{}, problem.New(problem.UnknownJob, "the store has no job %s", id)
}

// Cancel records a cancellation request for a job. It has no effect on a job that has ended.
func (in *Intake) Cancel(ctx context.Context, ac policy.Access, id identifier.Job) error {
	if len(id) > maxIDBytes {
		return problem.New(problem.UnknownJob, "a job ID has at most %d bytes", maxIDBytes)
	}
	row, err := in.read(ctx, recorder.JobKey(recorder.Jobs, id))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		_, err := in.State(ctx, ac, id)
		return err
	}
	pr, err := recorder.Decode[ledger.Progress](row)
	if err != nil {
		return err
	}
	if !visible(ac, pr) {
		return problem.New(problem.UnknownJob, "the workspace has no job %s", id)
	}
	err = in.write(ctx, rowstore.Transaction{
		Preconditions: []rowstore.Precondition{{Key: in.configKey, Version: ac.Version}},
		Puts:          []rowstore.Put{{Key: recorder.JobKey(recorder.Cancels, id), Value: recorder.Encode(ledger.Cancellation{At: in.cl.TimeOfDay()})}},
	})
	var conflict *rowstore.ConflictError
	if eris.As(err, &conflict) {
		return in.policyChanged(conflict)
	}
	in.log.Info().Str("job", string(id)).AnErr("refusal", err).Msg("cancelRequested")
	return err
}

// PendingJobs returns the number of jobs in the queue of which no task has started.
func (in *Intake) PendingJobs(ctx context.Context, ac policy.Access) (int, error) {
	now := in.cl.Now()
	in.mu.Lock()
	pending, version, readAt := in.pending, in.pendingVersion, in.pendingReadAt
	in.mu.Unlock()
	if now-readAt > maxPendingAge {
		row, err := in.read(ctx, recorder.PendingCountsKey)
		if err != nil {
			return 0, err
		}
		if row.Version > 0 {
			if pending, err = recorder.Decode[ledger.PendingCounts](row); err != nil {
				return 0, err
			}
		}
		version, readAt = row.Version, now
		in.mu.Lock()
		in.pending, in.pendingVersion, in.pendingReadAt = pending, version, readAt
		in.mu.Unlock()
	}
	count := pending.Queues[string(ac.Queue.Name)]
	in.log.Info().Str("queue", string(ac.Queue.Name)).Int("count", count).Int64("version", int64(version)).Int64("ageMillis", int64(in.cl.Now()-readAt)).Msg("pendingAnswered")
	return count, nil
}
