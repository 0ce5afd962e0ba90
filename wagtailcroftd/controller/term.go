package controller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/accountant"
	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/pacer"
	"github.com/wagtailcroft/wagtailcroft/decisions/predictor"
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
	// commandWorkers is the number of goroutines that send commands to workers and requests to
	// the advice service; a command is one call of a few milliseconds. It does not follow the fleet:
	// on a link of 2 Mbit/s a start takes up to 0.4 s, and then 32 are too few (CAPACITY).
	commandWorkers = 32
	commandQueue   = 4096
	// pollQueue bounds the polls that wait for a goroutine. A worker has one poll at a time, so that
	// it holds for 4,096 workers beyond MaxPolls; schedulePoll retries what does not fit.
	pollQueue = 4096
	// minRoundPause is the shortest pause between two rounds, so that completions that arrive
	// close together are recorded in one transaction.
	minRoundPause = 15 * clock.Millis(1)
	// maxRoundInterval is the longest wait for a trigger before a round starts anyway.
	maxRoundInterval = 250 * clock.Millis(1)
	// formerEndPause is the pause between two questions whether the former leader's term has ended.
	formerEndPause = 300 * clock.Millis(1)
	// followWait is how long the store may wait for a change of a table before it answers. A
	// connection can stop answering without an error; with the tailer's slack this is detected
	// within the 2 s in which a draining worker must stop getting new work.
	followWait = 1000 * clock.Millis(1)
	// reportBatchDelay batches the reports of workers. It is short enough that a draining
	// worker stops getting new work within the required 2 s.
	reportBatchDelay = 150 * clock.Millis(1)
)

type (
	// term is one leader term: the time for which this instance is the leader. None of its
	// state is kept for the next term.
	term struct {
		*Controller
		leadership *elector.Elector
		// fence is the fencing token of the term.
		fence    meter.LeaseEpoch
		log      zerolog.Logger
		commands *pool.Pool
		polls    *pool.Pool
		cancel   context.CancelFunc
		ctx      context.Context
		// roundTrigger starts a round early, dispatchTrigger a dispatch of the commands that
		// are due.
		roundTrigger    chan struct{}
		dispatchTrigger chan struct{}
		startedAt       clock.Millis
		// formerEndsBy is when no former leader can grant a lease any more, and formers are those that may
		// still do so. Both are guarded by mu.
		formerEndsBy clock.Millis
		formers      []ledger.FormerLeader
		// lost is set once, before the term ends, when another instance may be the leader.
		lost atomic.Bool
		// released means that leadership was released together with the last changes. Only flush and what
		// follows it use it.
		released bool

		// mu guards the fields below. It is not held during a call to another process.
		mu locker.Mutex
		// recoveredRows holds the job rows read at the start of the term until the submissions
		// of these jobs are read.
		recoveredRows map[identifier.Job]rowstore.Row
		// jobs holds every job that has not been moved to the table of ended jobs.
		jobs map[identifier.Job]*entry
		// workers holds every worker that is listed by the platform or has runs.
		workers map[identifier.Worker]*worker
		// advice caches the answers of the advice service.
		advice *adviser.Adviser
		// predictor keeps statistics of recent run times and of the demand of urgent work.
		predictor *predictor.Predictor
		// gauger knows the speeds of the workers.
		gauger *gauger.Gauger
		// speedsDue is when the speeds may be recorded again.
		speedsDue clock.Millis
		// speedsRefused means that the store may not accept their row, so that it is written no more.
		speedsRefused bool
		interference  interference
		// pacer limits the starts that are planned and not answered; outstanding is their number in the
		// last round.
		pacer       *pacer.Pacer
		outstanding int
		// earlyCancels holds the cancellations of jobs that are not known yet, with their times
		// of arrival.
		earlyCancels map[identifier.Job]clock.Millis
		// failedWorkers holds the workers on which each job has failed.
		failedWorkers map[identifier.Job]map[identifier.Worker]bool
		// silences holds the workers that have stopped answering, by address.
		silences map[string]*silence
		// outages holds all silences of late, also those that have ended, in order of their beginnings.
		outages []*silence
		// crashes holds the silences that were proven to be crashes and are not judged yet.
		crashes []*silence
		// ends holds the ended runs that may not be recorded yet, and handedOver those that former leaders
		// knew until they are applied.
		ends, handedOver []fleet.EndedRun
		// loaded means that all submissions have been read.
		loaded bool
		// confirmedAt is when the last successful commit under the fencing token was sent.
		confirmedAt clock.Millis
		permission
		// pendingCounts is the content of the row of pending-job counts. It is nil until this leader has written
		// the row, in which a former leader may have left other counts. countedAt is when counts were last added
		// to a batch.
		pendingCounts map[string]int
		countedAt     clock.Millis
		// busyWorkers is the number of workers that had runs at the last pass.
		busyWorkers int
		// marked holds the workers on which commands may have become due since the last dispatch, and
		// passedAt is when the last pass over all workers began.
		marked   map[*worker]struct{}
		passedAt clock.Millis
		// lastRound is the timing of the last round.
		lastRound roundTiming
		// losses counts the work that was lost and the room that was kept free since the term began.
		losses accountant.Accountant
		// loadLoggedAt is when the load was last logged.
		loadLoggedAt clock.Millis
		// passes counts the passes since loadLoggedAt.
		passes passTiming
		// processorTime is the processor time that the process had used at loadLoggedAt.
		processorTime clock.Millis
	}

	// passTiming counts the passes over all workers, and how long they took together.
	passTiming struct {
		count int
		took  clock.Millis
	}

	// roundTiming is how long the stages of a round took.
	roundTiming struct {
		plan, record clock.Millis
		// jobs is the number of job rows that were recorded.
		jobs int
	}

	// entry is a job and the state of its row.
	entry struct {
		job *workload.Job
		// version is the version of the job's row.
		version meter.RowVersion
		// dirty means that the job differs from its row.
		dirty bool
		// refusedUntil is when the row may be written again, after the store has refused it.
		refusedUntil clock.Millis
		// unrecorded holds, for each worker, the first completion that neither the row nor a batch contains.
		unrecorded map[*worker]completionID
		// cancelled means that the store holds a cancellation row for the job.
		cancelled bool
		// learnedAt is when this leader learned of the job.
		learnedAt clock.Millis
	}

	submissionHandler struct{ te *term }
	cancelHandler     struct{ te *term }
	reportHandler     struct{ te *term }
)

func newTerm(co *Controller, el *elector.Elector) *term {
	now := co.Clock.Now()
	return &term{
		Controller:      co,
		leadership:      el,
		fence:           el.Leader().Fence,
		log:             co.Log.With().Int64("fence", int64(el.Leader().Fence)).Logger(),
		commands:        pool.New(commandWorkers, commandQueue),
		polls:           pool.New(co.op.MaxPolls, pollQueue),
		roundTrigger:    make(chan struct{}, 1),
		dispatchTrigger: make(chan struct{}, 1),
		startedAt:       now,
		formerEndsBy:    now + maxUnconfirmed,
		formers:         el.Leader().Formers,
		mu:              locker.New(locker.RankZone),
		jobs:            map[identifier.Job]*entry{},
		workers:         map[identifier.Worker]*worker{},
		advice:          adviser.New(),
		predictor:       predictor.New(),
		gauger:          gauger.New(),
		interference:    newInterference(),
		pacer:           pacer.New(co.op.GangTimeout / pacePerGangTimeout),
		earlyCancels:    map[identifier.Job]clock.Millis{},
		silences:        map[string]*silence{},
		failedWorkers:   map[identifier.Job]map[identifier.Worker]bool{},
		confirmedAt:     el.AcquiredAt(),
		permission:      permission{renewedAt: el.AcquiredAt()},
		marked:          map[*worker]struct{}{},
		processorTime:   clock.ProcessorTime(),
	}
}

// run acts as the leader until ctx ends or the leadership is lost.
func (te *term) run(ctx context.Context) {
	te.ctx, te.cancel = context.WithCancel(ctx)
	defer te.shutDown()
	if !te.loadJobRows() {
		return
	}
	var wg sync.WaitGroup
	te.follow(&wg, recorder.Submissions, 0, submissionHandler{te})
	te.follow(&wg, recorder.Cancels, 0, cancelHandler{te})
	te.follow(&wg, te.Reports.Table, reportBatchDelay, reportHandler{te})
	wg.Go(te.sweep)
	wg.Go(te.runDispatcher)
	wg.Go(te.offerTransfers)
	wg.Go(te.awaitFormerEnd)
	wg.Go(te.loadSpeeds)
	if te.Machines != nil {
		wg.Go(te.runMaintenance)
	}
	te.runRounds()
	te.cancel()
	wg.Wait()
}

// awaitFormerEnd waits until the terms of all former leaders have certainly ended, so that no leases are
// granted on workers that this leader cannot reach. The leader's row names those that are left, so that the
// next leader has to ask these only, and does not wait for maxUnconfirmed where each of them tells its end.
func (te *term) awaitFormerEnd() {
	for te.ctx.Err() == nil {
		te.mu.Lock()
		formers := te.formers
		te.mu.Unlock()
		left := slices.DeleteFunc(slices.Clone(formers), func(fo ledger.FormerLeader) bool {
			ends, ended := te.Peers.TermEnded(te.ctx, fo)
			te.takeOver(ends)
			return ended
		})
		now := te.Clock.Now()
		te.mu.Lock()
		if now >= te.formerEndsBy {
			left = nil
		}
		te.formers = left
		if len(left) == 0 {
			te.formerEndsBy = min(te.formerEndsBy, now)
		}
		te.mu.Unlock()
		if len(left) == 0 {
			te.log.Info().Int64("waitedMillis", int64(now-te.startedAt)).Msg("formerTermEnded")
			return
		}
		clock.Sleep(te.ctx, te.Clock, formerEndPause)
	}
}

func (te *term) follow(wg *sync.WaitGroup, table rowstore.Table, batchDelay clock.Millis, ha tailer.Handler) {
	ta := tailer.New(te.Store, table, tailer.Timing{Wait: followWait, BatchDelay: batchDelay}, te.Clock, te.log)
	wg.Go(func() { ta.Run(te.ctx, ha) })
}

// shutDown cancels the calls in progress and waits until they have returned.
func (te *term) shutDown() {
	te.cancel()
	te.release()
	te.log.Info().Bool("lost", te.lost.Load()).Int("unrecordedEnds", len(te.endsToHandOver())).Int64("heldMillis", int64(te.Clock.Now()-te.startedAt)).Msg("leaderTermEnded")
}

// release ends the goroutines that send commands.
func (te *term) release() {
	te.commands.Close()
	te.polls.Close()
}

// loadJobRows reads the rows of the jobs. No other instance changes them any more, because
// every such change is conditional on the version of the leader's row.
func (te *term) loadJobRows() bool {
	for te.ctx.Err() == nil {
		rows, _, err := tailer.ReadTable(te.ctx, te.Store, te.Clock, recorder.Jobs)
		if err == nil {
			te.recoveredRows = make(map[identifier.Job]rowstore.Row, len(rows))
			for _, ro := range rows {
				te.recoveredRows[identifier.Job(ro.Name)] = ro
			}
			te.log.Info().Int("jobs", len(rows)).Msg("jobsLoaded")
			return true
		}
		te.log.Warn().Err(err).Msg("jobLoadFailed")
		te.Store.CloseIdleConnections()
		clock.Sleep(te.ctx, te.Clock, elector.RetryPause)
	}
	return false
}

// trigger starts a round as soon as possible.
func (te *term) trigger() { notify(te.roundTrigger) }

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// loseLeadership ends the term because another instance may be the leader.
func (te *term) loseLeadership(why string) {
	te.lost.Store(true)
	te.log.Warn().Str("why", why).Msg("leadershipLost")
	te.cancel()
}
