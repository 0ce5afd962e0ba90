// Package intake answers the calls about step jobs on any instance: it stores what is
// accepted, and says what the store says. It needs no holder of the duty.
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
	// retryAfter is told with a refusal for want of a fresh configuration, which is asked
	// for again within it.
	retryAfter = clock.Second
	// leastComeBack and mostComeBack bound what is told with a refusal because of the store;
	// callers come back up to 4 times, within 12 s.
	leastComeBack = clock.Second
	mostComeBack  = 3 * clock.Second
	// patience bounds all tries of one call to the store: well below half of the 3 s that
	// callers wait, so that they have time to try another instance.
	patience = 1200 * clock.Millis(1)
	// outagePause is how long callers are refused at once after the store has failed,
	// before one of them tries it again.
	outagePause = 250 * clock.Millis(1)
	// tallyAge is how old a count of waiting jobs may be, of the 2 s that the platform allows.
	tallyAge = 400 * clock.Millis(1)
	// overduePatience is how long a new write waits while another has got no answer. A write
	// that is not sent can be refused with certainty, one without an answer cannot.
	overduePatience = 800 * clock.Millis(1)
	// leastTry bounds a try of a call to the store from below; the store answers within
	// 10 ms as a rule. A try may take three times as long as the store took lately, and each
	// further try three times as long as the one before.
	leastTry = 250 * clock.Millis(1)
	tryRise  = 3
	// retryPause lies between two tries.
	retryPause = 30 * clock.Millis(1)
)

type (
	// Store is what the intake needs of the table service.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Reset()
	}

	// Policies gives the configuration in force.
	Policies interface {
		Current() *policy.Policy
		Confirmed() clock.Millis
		Apply(row rowstore.Row)
	}

	// Meters counts events and times.
	Meters interface {
		Count(name, label string)
		Took(name string, d clock.Millis)
	}

	// Clock also tells the time of day, which stamps what is accepted.
	Clock interface {
		clock.Clock
		TimeOfDay() clock.Millis
	}

	// Intake answers calls.
	Intake struct {
		store    Store
		policies Policies
		// policyKey is the row of the configuration, on which every write is conditioned.
		policyKey rowstore.Key
		cl        Clock
		meters    Meters
		log       zerolog.Logger
		// unconfirmed is the age of the configuration from which callers are refused.
		unconfirmed clock.Millis

		mu locker.Mutex
		// overdue counts the writes whose first try was not answered; settled is closed when
		// there is none any more.
		overdue int
		settled chan struct{}
		// latency is how long the store took lately; it falls slowly.
		latency clock.Millis
		// failedAt is when the store last failed; 0 means that the last call succeeded.
		failedAt clock.Millis
		// lostAt is when the present or the last outage began.
		lostAt clock.Millis
		tally  ledger.Tally
		// talliedAt is when the tally was asked for; 0 means never.
		talliedAt clock.Millis
	}

	// Options are the settings of an intake.
	Options struct {
		PolicyKey   rowstore.Key
		Unconfirmed clock.Millis
		Meters      Meters
	}
)

// New returns an intake.
func New(st Store, po Policies, cl Clock, log zerolog.Logger, op Options) *Intake {
	return &Intake{
		store: st, policies: po, policyKey: op.PolicyKey, cl: cl, log: log, meters: op.Meters, unconfirmed: op.Unconfirmed,
		mu: locker.New(locker.RankAdmission),
	}
}

// Access resolves a call by the configuration in force. Errors are of the kinds
// Unconfirmed, NotFound and BadToken.
func (in *Intake) Access(host, path, key string) (policy.Access, error) {
	po := in.policies.Current()
	if po == nil {
		return policy.Access{}, problem.New(problem.Unconfirmed, "no configuration has been read yet").Retry(retryAfter)
	}
	if age := in.cl.Now() - in.policies.Confirmed(); age > in.unconfirmed {
		return policy.Access{}, problem.New(problem.Unconfirmed, "the configuration was last confirmed %d ms ago", age).Retry(retryAfter)
	}
	return po.Access(host, path, key)
}

// Ready reports whether this instance can serve calls now.
func (in *Intake) Ready() bool {
	return in.policies.Current() != nil && in.cl.Now()-in.policies.Confirmed() <= in.unconfirmed && !in.failing()
}

// Submit stores a job. A job that is stored already counts as accepted. Errors of the
// outcome NotRun are certain: the job is not stored and will not be.
func (in *Intake) Submit(ctx context.Context, ac policy.Access, jo *workload.Job) error {
	if in.failing() || !in.answers(ctx) {
		return in.refusal("the store has just failed")
	}
	jo.Queue, jo.Workspace, jo.Accepted = ac.Queue.Name, ac.Workspace, in.cl.TimeOfDay()
	jobs, ended := recorder.JobKey(recorder.Jobs, jo.ID), recorder.JobKey(recorder.Ended, jo.ID)
	tr := rowstore.Transaction{
		Expect: []rowstore.Expectation{{Key: in.policyKey, Version: ac.Version}, {Key: jobs}, {Key: ended}},
		Puts: []rowstore.Put{
			{Key: recorder.JobKey(recorder.Submissions, jo.ID), Value: recorder.Encode(recorder.Submission(jo))},
			{Key: jobs, Value: recorder.Encode(ledger.Progress{State: ledger.ProgressState(workload.Queued.String()), Workspace: jo.Workspace})},
		},
	}
	began := in.cl.Now()
	err := in.write(ctx, tr)
	in.meters.Took("submit", in.cl.Now()-began)
	in.meters.Count("submits", outcome(err))
	var conflict *rowstore.ConflictError
	if eris.As(err, &conflict) {
		for _, row := range []rowstore.Row{conflict.Row(jobs), conflict.Row(ended)} {
			if row.Version > 0 {
				return in.known(ac, row)
			}
		}
		return in.changed(conflict)
	}
	in.log.Info().Str("job", string(jo.ID)).Str("queue", string(jo.Queue)).Str("workspace", string(jo.Workspace)).
		Int64("policy", int64(ac.Version)).AnErr("refusal", err).Msg("jobSubmitted")
	return err
}

// known answers for a job that was handed in again. Errors are of the kind KeyReused, if it
// is that of another workspace.
func (in *Intake) known(ac policy.Access, row rowstore.Row) error {
	pr, err := recorder.Decode[ledger.Progress](row)
	if err == nil && !visible(ac, pr) {
		err = problem.New(problem.KeyReused, "another workspace has a job of this id")
	}
	in.log.Info().Str("job", row.Name).Str("outcome", "known").AnErr("refusal", err).Msg("jobSubmitted")
	return err
}

// visible reports whether a call may see a job: those of a workspace are seen with its
// keys, but for queues that need none.
func visible(ac policy.Access, pr ledger.Progress) bool {
	return pr.Workspace == "" || ac.Workspace == pr.Workspace || ac.Queue.Anonymous
}

// outcome names what became of a write for the metrics.
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

// changed takes a newer configuration from a conflict; the call is to be resolved again.
func (in *Intake) changed(co *rowstore.ConflictError) error {
	row := co.Row(in.policyKey)
	if row.Version > 0 {
		in.policies.Apply(row)
	}
	return problem.New(problem.Conflict, "the configuration has changed to version %d", row.Version).Say(problem.NotRun).Retry(retryAfter)
}

// State tells the state of a job. Errors are of the kinds UnknownJob, which is certain,
// and StoreUnavailable.
func (in *Intake) State(ctx context.Context, ac policy.Access, id identifier.Job) (workload.State, error) {
	pr, err := in.find(ctx, id)
	if err == nil && !visible(ac, pr) {
		err = problem.New(problem.UnknownJob, "the workspace has no job %s", id)
	}
	if problem.KindOf(err) == problem.UnknownJob {
		in.log.Info().Str("job", string(id)).Str("queue", string(ac.Queue.Name)).Str("workspace", string(ac.Workspace)).Msg("jobUnknown")
	}
	if err != nil {
		return 0, err
	}
	return recorder.State(pr.State)
}

// Find tells the state of a job of any workspace, and why it failed if it did. Errors are
// those of State.
func (in *Intake) Find(ctx context.Context, id identifier.Job) (workload.State, string, error) {
	pr, err := in.find(ctx, id)
	if err != nil {
		return 0, "", err
	}
	state, err := recorder.State(pr.State)
	return state, pr.Reason, err
}

// find reads the row of a job, be it running or ended.
func (in *Intake) find(ctx context.Context, id identifier.Job) (ledger.Progress, error) {
	for _, table := range []rowstore.Table{recorder.Jobs, recorder.Ended} {
		row, err := in.read(ctx, recorder.JobKey(table, id))
		if err != nil {
			return ledger.Progress{}, err
		}
		if row.Version > 0 {
			return recorder.Decode[ledger.Progress](row)
		}
	}
	return ledger.Progress{}, problem.New(problem.UnknownJob, "the store holds no job %s", id)
}

// Cancel records that a caller withdraws a job. A job that has ended stays as it is.
func (in *Intake) Cancel(ctx context.Context, ac policy.Access, id identifier.Job) error {
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
		Expect: []rowstore.Expectation{{Key: in.policyKey, Version: ac.Version}},
		Puts:   []rowstore.Put{{Key: recorder.JobKey(recorder.Cancels, id), Value: recorder.Encode(ledger.Cancellation{At: in.cl.TimeOfDay()})}},
	})
	var conflict *rowstore.ConflictError
	if eris.As(err, &conflict) {
		return in.changed(conflict)
	}
	in.log.Info().Str("job", string(id)).AnErr("refusal", err).Msg("cancelAsked")
	return err
}

// Pending counts the queue's jobs of which no task has started.
func (in *Intake) Pending(ctx context.Context, ac policy.Access) (int, error) {
	now := in.cl.Now()
	in.mu.Lock()
	tally, age := in.tally, now-in.talliedAt
	in.mu.Unlock()
	if age <= tallyAge {
		return tally.Queues[string(ac.Queue.Name)], nil
	}
	row, err := in.read(ctx, recorder.TallyKey)
	if err != nil {
		return 0, err
	}
	if row.Version > 0 {
		if tally, err = recorder.Decode[ledger.Tally](row); err != nil {
			return 0, err
		}
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.tally, in.talliedAt = tally, now
	return tally.Queues[string(ac.Queue.Name)], nil
}
