package conductor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/learner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/pool"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

const (
	// orderWorkers carry starts and stops; each is one call of a few milliseconds.
	orderWorkers = 32
	orderQueue   = 4096
	// lookWorkers wait for ends, one for each busy worker.
	lookWorkers = 256
	lookQueue   = 4096
	// roundGap is the least time between two rounds; ends that come close together are
	// recorded in one transaction.
	roundGap = 15 * clock.Millis(1)
	// roundEvery is the longest time between two rounds.
	roundEvery = 250 * clock.Millis(1)
	// changesWait is how long the store may wait for a change of a table. A connection may
	// fall silent for good; with the slack of the tailer that is noticed within the 2 s in
	// which a leaving worker must get no more work.
	changesWait = 1000 * clock.Millis(1)
	// handOverEvery is the time between two offers of the duty to a stronger instance: long
	// enough for an instance that has just come back to follow the store.
	handOverEvery = 4000 * clock.Millis(1)
	// reportGap lets the reports of workers gather, within the time in which a leaving
	// worker must get no more work.
	reportGap = 150 * clock.Millis(1)
)

type (
	// term is the time for which this instance holds the duty. Nothing of it outlives it.
	term struct {
		*Conductor
		duty   *elector.Elector
		log    zerolog.Logger
		orders *pool.Pool
		looks  *pool.Pool
		cancel context.CancelFunc
		ctx    context.Context
		// wake asks for a round, due for the orders that are due.
		wake  chan struct{}
		due   chan struct{}
		began clock.Millis
		// lost is set once, before the term ends, when another instance may hold the duty.
		lost atomic.Bool

		// mu guards what follows. It is not held over a call to another process.
		mu locker.Mutex
		// recorded holds the job rows found at the start, until their submissions come.
		recorded map[identifier.Job]rowstore.Row
		// jobs holds every job that has not been moved to the ended ones.
		jobs map[identifier.Job]*entry
		// workers holds every worker that reports, or that has runs.
		workers map[identifier.Worker]*worker
		// advices keeps what the advice service has said.
		advices *adviser.Adviser
		// learner knows how long tasks lately ran.
		learner *learner.Learner
		// early holds the cancellations of jobs that are not known, with when they came.
		early map[identifier.Job]clock.Millis
		// failures holds the workers that each job has failed on.
		failures map[identifier.Job]map[identifier.Worker]bool
		// loaded means that all submissions are known.
		loaded bool
		// confirmed is when the last successful commit under the fence was sent.
		confirmed clock.Millis
		// renewed is when the last renewal was sent.
		renewed clock.Millis
		// sought is when other instances were last asked to take the duty.
		sought clock.Millis
		// tally is what the tally row holds; tallied is when it was written.
		tally   map[string]int
		tallied clock.Millis
		// took is how long the last round took.
		took roundTime
		// observed is when the load was last logged.
		observed clock.Millis
	}

	// roundTime is how long the parts of a round took.
	roundTime struct {
		plan, record clock.Millis
		// jobs is the number of rows that were recorded.
		jobs int
	}

	// entry is a job and its row.
	entry struct {
		job *workload.Job
		// version is that of the job's row.
		version meter.RowVersion
		// dirty means that the job differs from its row.
		dirty bool
		// cancelled means that a row of the cancellation exists.
		cancelled bool
		// arrived is when this holder learned of the job.
		arrived clock.Millis
	}
)

func newTerm(co *Conductor, du *elector.Elector) *term {
	now := co.Clock.Now()
	return &term{
		Conductor: co,
		duty:      du,
		log:       co.Log.With().Int64("fence", int64(du.Holder().Fence)).Logger(),
		orders:    pool.New(orderWorkers, orderQueue),
		looks:     pool.New(lookWorkers, lookQueue),
		wake:      make(chan struct{}, 1),
		due:       make(chan struct{}, 1),
		began:     now,
		mu:        locker.New(locker.RankZone),
		jobs:      map[identifier.Job]*entry{},
		workers:   map[identifier.Worker]*worker{},
		advices:   adviser.New(),
		learner:   learner.New(),
		early:     map[identifier.Job]clock.Millis{},
		failures:  map[identifier.Job]map[identifier.Worker]bool{},
		confirmed: now,
		renewed:   now,
		tally:     map[string]int{},
	}
}

// run decides until ctx ends or the duty is lost.
func (te *term) run(ctx context.Context) {
	te.ctx, te.cancel = context.WithCancel(ctx)
	defer te.end()
	if !te.load() {
		return
	}
	var tails sync.WaitGroup
	te.tail(&tails, recorder.Submissions, 0, submissionReader{te})
	te.tail(&tails, recorder.Cancels, 0, cancelReader{te})
	te.tail(&tails, te.Reports.Table, reportGap, reportReader{te})
	tails.Go(te.sweep)
	tails.Go(te.dispatches)
	tails.Go(te.handOver)
	if te.Machines != nil {
		tails.Go(te.upkeep)
	}
	te.rounds()
	te.cancel()
	tails.Wait()
}

func (te *term) tail(tails *sync.WaitGroup, table rowstore.Table, gap clock.Millis, re tailer.Reader) {
	ta := tailer.New(te.Store, table, tailer.Timing{Wait: changesWait, Gap: gap}, te.Clock, te.log)
	tails.Go(func() { ta.Run(te.ctx, re) })
}

// handOver offers the duty to an instance with more processor, while the store serves this
// one: a weak instance takes the duty when the others are cut off or have died.
func (te *term) handOver() {
	for clock.Sleep(te.ctx, te.Clock, handOverEvery) {
		te.mu.Lock()
		calm := te.Clock.Now()-te.confirmed < handOverEvery/2
		te.mu.Unlock()
		if calm {
			te.Peers.HandOver(te.ctx, te.duty.Holder().Fence)
		}
	}
}

// end waits for the calls under way; they end with the term's context.
func (te *term) end() {
	te.cancel()
	te.orders.Close()
	te.looks.Close()
	te.log.Info().Bool("lost", te.lost.Load()).Int64("heldMillis", int64(te.Clock.Now()-te.began)).Msg("dutyEnded")
}

// load reads the rows of the jobs. No other instance changes them any more, for every
// such change is conditioned on the duty.
func (te *term) load() bool {
	for te.ctx.Err() == nil {
		rows, _, err := tailer.Whole(te.ctx, te.Store, te.Clock, recorder.Jobs)
		if err == nil {
			te.recorded = make(map[identifier.Job]rowstore.Row, len(rows))
			for _, ro := range rows {
				te.recorded[identifier.Job(ro.Name)] = ro
			}
			te.log.Info().Int("jobs", len(rows)).Msg("jobsRead")
			return true
		}
		te.log.Warn().Err(err).Msg("jobsUnread")
		te.Store.Reset()
		clock.Sleep(te.ctx, te.Clock, elector.RetryPause)
	}
	return false
}

// poke asks for a round, and for the orders that are due, soon.
func (te *term) poke() {
	signal(te.wake)
	signal(te.due)
}

func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// lose ends the term because another instance may hold the duty.
func (te *term) lose(why string) {
	te.lost.Store(true)
	te.log.Warn().Str("why", why).Msg("dutyLost")
	te.cancel()
}

type (
	submissionReader struct{ te *term }
	cancelReader     struct{ te *term }
	reportReader     struct{ te *term }
)

// Whole takes all submissions.
func (re submissionReader) Whole(rows []rowstore.Row) {
	re.Changed(rows)
	te := re.te
	te.mu.Lock()
	te.loaded = true
	te.recorded = nil
	te.mu.Unlock()
	te.poke()
}

// Changed takes new submissions.
func (re submissionReader) Changed(rows []rowstore.Row) {
	te := re.te
	te.mu.Lock()
	for _, ro := range rows {
		if _, known := te.jobs[identifier.Job(ro.Name)]; known || ro.Version == 0 {
			continue
		}
		if err := te.addJob(ro); err != nil {
			te.log.Error().Err(err).Str("job", ro.Name).Msg("jobUnread")
		}
	}
	te.mu.Unlock()
	te.poke()
}

// Confirmed needs nothing: jobs are decided by whoever holds the duty.
func (re submissionReader) Confirmed(clock.Millis) {}

// addJob adds a submitted job. A job without a row of its own at the start was submitted
// since; that row has the version of the submission's.
func (te *term) addJob(row rowstore.Row) error {
	id := identifier.Job(row.Name)
	su, err := recorder.Decode[ledger.Submission](row)
	if err != nil {
		return err
	}
	pr := ledger.Progress{State: ledger.ProgressState(workload.Queued.String())}
	version := row.Version
	if recorded, known := te.recorded[id]; known {
		version = recorded.Version
		if pr, err = recorder.Decode[ledger.Progress](recorded); err != nil {
			return err
		}
	}
	jo, err := recorder.Job(id, su, pr)
	if err != nil {
		return err
	}
	now := te.Clock.Now()
	en := &entry{job: jo, version: version, arrived: now}
	te.jobs[id] = en
	jo.Due(te.Clock.TimeOfDay())
	jo.Held(func(st *workload.Stage, index int, ta *workload.Task) {
		ta.Since = now
		if ta.Phase == workload.Running {
			ta.Phase = workload.Starting // to be confirmed anew
		}
		te.worker(ta.Worker).expect(jo.Key(st, index), ta)
	})
	te.learnSize(jo)
	if _, cancelled := te.early[id]; cancelled {
		delete(te.early, id)
		te.cancelJob(id)
	}
	te.log.Info().Str("job", string(id)).Str("queue", string(jo.Queue)).Str("workspace", string(jo.Workspace)).
		Int("steps", len(jo.Steps)).Int("tasks", jo.Steps[0].Count).Int64("accelerators", int64(jo.Steps[0].Need.Accelerators)).
		Bool("gang", jo.Steps[0].Gang).Str("state", jo.State.String()).
		Int64("ageMillis", int64(te.Clock.TimeOfDay()-jo.Accepted)).Msg("jobLearned")
	return nil
}

// learnSize notes how much room an urgent job needs at once.
func (te *term) learnSize(jo *workload.Job) {
	po := te.Policies.Current()
	if po == nil {
		return
	}
	if qu := po.Queue(jo.Queue); qu != nil && qu.Priority == 0 {
		te.learner.Came(qu.Pool, jo.Widest())
	}
}

// Whole takes all cancellations.
func (re cancelReader) Whole(rows []rowstore.Row) { re.Changed(rows) }

// Changed takes new cancellations.
func (re cancelReader) Changed(rows []rowstore.Row) {
	te := re.te
	te.mu.Lock()
	for _, ro := range rows {
		if ro.Version > 0 {
			te.cancelJob(identifier.Job(ro.Name))
		}
	}
	te.mu.Unlock()
	te.poke()
}

// Confirmed needs nothing.
func (re cancelReader) Confirmed(clock.Millis) {}

func (te *term) cancelJob(id identifier.Job) {
	en, known := te.jobs[id]
	if !known {
		te.early[id] = te.Clock.Now()
		return
	}
	en.cancelled = true
	if en.job.Cancel() {
		en.dirty = true
		te.log.Info().Str("job", string(id)).Msg("jobCancelled")
	}
}

// sorted lists the jobs in order of acceptance.
func (te *term) sorted() []*entry {
	all := make([]*entry, 0, len(te.jobs))
	for _, en := range te.jobs {
		all = append(all, en)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		if a.job.Accepted != b.job.Accepted {
			return int(a.job.Accepted - b.job.Accepted)
		}
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	})
	return all
}
