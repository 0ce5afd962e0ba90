package conductor

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/pacer"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

const (
	// clockSlack is how slow the clock of a worker may be, in thousandths: 2% by the
	// platform's word, and 1% for this instance's own clock.
	clockSlack = 30
	// silentHold is how long a holder without a confirmed duty goes on extending leases:
	// longer than the outages of the store that are known, 9 s.
	silentHold = 12 * clock.Second
)

type (
	// worker is what this holder knows of a worker.
	worker struct {
		id     identifier.Worker
		report fleet.Report
		// reported means that the platform lists the worker now.
		reported bool
		// leavesAt is the earliest time at which a draining worker leaves.
		leavesAt clock.Millis

		// met means that this life has answered this holder.
		met bool
		// clock is the worker's clock at the moment clockAt.
		clock   clock.Millis
		clockAt clock.Millis
		// leaseEnd is the latest end of a lease that was ever sent, on the worker's clock.
		leaseEnd clock.Millis
		// heldAt is when the last answered hold was sent.
		heldAt clock.Millis

		// lifeAt is when the life last answered with its name.
		lifeAt clock.Millis

		// applied is the number of the last end that the jobs show, recorded is that of the
		// last one that the store holds, and told is that of the last one passed to the worker.
		applied  meter.EndNumber
		recorded meter.EndNumber
		told     meter.EndNumber

		// looking means that a hold is under way.
		looking bool
		// lookAfter holds the next hold back after a failure.
		lookAfter clock.Millis
		// failures counts failed calls since the last good one.
		failures int
		// blocked holds back new work until a moment, after the worker has refused some.
		blocked clock.Millis
		// streak holds the jobs whose runs failed here since the last success.
		streak map[identifier.Job]bool
		// streakRuns counts those runs.
		streakRuns int
		// serving means that tasks that serve run beside fillers; pacedAt is when these
		// were last paced.
		serving bool
		pacedAt clock.Millis
		// emptied means that the worker is being emptied for the upkeep of its machine.
		emptied bool
		// suspect is until when other workers are preferred, after a run failed here.
		suspect clock.Millis
		// banned doubles with each time that the worker is held back for its streak.
		banned clock.Millis

		// runs holds the runs that the jobs place here, by task.
		runs map[workload.TaskKey]*placement
		// strays holds the runs that must end although no job places them here.
		strays map[workload.TaskKey]*placement
	}

	// placement is a run on a worker, and the orders for it.
	placement struct {
		run  meter.RunNumber
		life workload.Life
		// recorded means that the store holds the run.
		recorded bool
		// busy means that an order is under way.
		busy bool
		// after holds the next order back.
		after clock.Millis
		// tries counts the start orders that were sent.
		tries int
		// resumed means that the run goes on from a checkpoint.
		resumed bool
		// ordered means that a start was ordered, by this holder or perhaps a former one.
		ordered bool
		// unanswered means that a start order without an answer may still be carried out.
		unanswered bool
		// started is when the worker confirmed the run; 0 means not yet.
		started clock.Millis
		// placed is when the run was planned or learned.
		placed clock.Millis
		// pace is the share of its speed at which the run may work; pacing means that an
		// order to change it is under way.
		pace   meter.Percent
		pacing bool
		// tail is the tail of the response times that the run last reported.
		tail clock.Millis
		// stopped is when the worker accepted a stop; 0 means not yet.
		stopped clock.Millis
	}
)

// worker returns the worker of an id, new if it was not known.
func (te *term) worker(id identifier.Worker) *worker {
	wo := te.workers[id]
	if wo == nil {
		wo = &worker{
			id: id, runs: map[workload.TaskKey]*placement{}, strays: map[workload.TaskKey]*placement{},
			streak: map[identifier.Job]bool{},
		}
		te.workers[id] = wo
	}
	return wo
}

// expect notes a run that the rows place on the worker.
func (wo *worker) expect(key workload.TaskKey, ta *workload.Task) {
	wo.runs[key] = &placement{run: ta.Run, life: ta.Life, recorded: true, ordered: true, unanswered: true, placed: ta.Since, pace: pacer.Full}
}

// now estimates the worker's clock.
func (wo *worker) now(at clock.Millis) clock.Millis { return wo.clock + at - wo.clockAt }

// lapsed reports whether every lease that was ever given to the worker has certainly
// expired. A worker that this holder has not met may have leases of the former holder.
func (te *term) lapsed(wo *worker, now clock.Millis) bool {
	if !wo.met {
		return now-te.began > silentHold+slow(te.op.Lease)
	}
	return now-wo.clockAt > slow(wo.leaseEnd-wo.clock)
}

// slow is how long a span on the clock of a worker lasts at most.
func slow(span clock.Millis) clock.Millis { return max(span, 0) * (1000 + clockSlack) / 1000 }

// Whole takes all reports.
func (re reportReader) Whole(rows []rowstore.Row) {
	te := re.te
	te.mu.Lock()
	for _, wo := range te.workers {
		wo.reported = false
	}
	te.mu.Unlock()
	re.Changed(rows)
}

// Changed takes changed reports.
func (re reportReader) Changed(rows []rowstore.Row) {
	te := re.te
	te.mu.Lock()
	for _, ro := range rows {
		te.applyReport(ro)
	}
	te.mu.Unlock()
	te.poke()
}

// Confirmed needs nothing.
func (re reportReader) Confirmed(clock.Millis) {}

func (te *term) applyReport(row rowstore.Row) {
	id := identifier.Worker(row.Name)
	if row.Version == 0 {
		if wo, known := te.workers[id]; known && wo.reported {
			wo.reported = false
			te.log.Info().Str("worker", row.Name).Int("runs", len(wo.runs)).Msg("workerUnlisted")
		}
		return
	}
	re, err := te.Reports.Decode(row.Name, row.Value)
	if err != nil {
		te.log.Warn().Err(err).Str("worker", row.Name).Msg("reportUnread")
		return
	}
	wo := te.worker(id)
	before := wo.report
	wo.report, wo.reported = re, true
	if re.Draining {
		wo.leavesAt = te.Clock.Now() + re.Remaining
	}
	if before.Address != "" && before.Address != re.Address {
		te.Workers.Forget(before.Address)
	}
	if re.Life != before.Life {
		te.newLife(wo, re.Life)
	}
	if before.Life != re.Life || before.Draining != re.Draining {
		te.log.Info().Str("worker", row.Name).Str("address", re.Address).Bool("draining", re.Draining).
			Int64("life", int64(re.Life)).Str("rack", string(re.Rack)).Int64("remainingMillis", int64(re.Remaining)).Msg("workerReported")
	}
}

// newLife forgets what was known of a worker's former life. Its runs are kept until the new
// life has answered: an order to the former life may have reached the new one.
func (te *term) newLife(wo *worker, life workload.Life) {
	if wo.met {
		te.log.Info().Str("worker", string(wo.id)).Int64("life", int64(life)).Int("runs", len(wo.runs)).Msg("workerReborn")
	}
	wo.report.Life = life
	wo.met, wo.heldAt, wo.leaseEnd = false, 0, 0
	wo.applied, wo.recorded, wo.told = 0, 0, 0
	wo.failures, wo.lookAfter = 0, 0
	wo.strays = map[workload.TaskKey]*placement{}
}

// settleFormer decides about the runs that were ordered from a former life, once the
// present one has answered a hold that was sent at the moment: those that it lists were
// carried out by it, those that the former life had confirmed are lost, and any other may
// still come to it, unless it accepts a stop.
func (te *term) settleFormer(wo *worker, listed map[workload.TaskKey]bool, sent clock.Millis) {
	for key, pl := range wo.runs {
		if pl.life == wo.report.Life {
			continue
		}
		_, ta := te.jobs[key.Job].job.Task(key)
		confirmed := pl.started > 0 && pl.started <= sent && !pl.unanswered
		switch {
		case !pl.ordered || confirmed && !listed[key]:
			te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndLost})
			continue
		case !listed[key]:
			te.stopTask(key)
		}
		pl.life, ta.Life = wo.report.Life, wo.report.Life
		pl.stopped = 0
	}
}

// stopTask turns the run of a task into one that must end.
func (te *term) stopTask(key workload.TaskKey) {
	en := te.jobs[key.Job]
	if en == nil {
		return
	}
	if st, ta := en.job.Task(key); ta != nil {
		en.job.StopTask(st, ta)
		en.dirty = true
	}
}

// endRun applies the end of a run to its job, and to what is known of the worker.
func (te *term) endRun(wo *worker, key workload.TaskKey, end workload.RunEnd) {
	delete(wo.strays, key)
	pl := wo.runs[key]
	if pl != nil && pl.run <= end.Run {
		delete(wo.runs, key)
	}
	en := te.jobs[key.Job]
	if en == nil {
		return
	}
	attempts := 0
	if po := te.Policies.Current(); po != nil {
		if qu := po.Queue(en.job.Queue); qu != nil {
			attempts = qu.Attempts
		}
	}
	state := en.job.State
	st, ta := en.job.Task(key)
	if ta == nil || ta.Worker != wo.id || !en.job.End(key, end, attempts) {
		return
	}
	en.dirty = true
	te.Meters.Count("ends", end.How.String())
	te.judge(wo, key.Job, end.How)
	if step := en.job.StepOf(st); end.How == workload.EndDone && pl != nil && pl.started > 0 && !pl.resumed && !step.Lasting {
		te.learner.Ran(en.job.Queue, step.Estimate, te.Clock.Now()-pl.started)
	}
	te.log.Info().Str("task", key.String()).Int64("run", int64(end.Run)).Str("worker", string(wo.id)).Str("how", end.How.String()).
		Int64("ranMillis", int64(te.Clock.Now()-ta.Since)).Int("failures", max(ta.Failures, st.Failures)).Msg("runEnded")
	if state != en.job.State {
		te.Meters.Count("jobs", en.job.State.String())
		te.Meters.Took("completion", te.Clock.TimeOfDay()-en.job.Accepted)
		te.log.Info().Str("job", string(key.Job)).Str("state", en.job.State.String()).Str("why", en.job.Reason).
			Int64("ageMillis", int64(te.Clock.TimeOfDay()-en.job.Accepted)).Msg("jobEnded")
	}
	if en.job.StepOf(st).Gang && end.How == workload.EndDone {
		te.dropGang(en.job, st)
	}
}

// dropGang forgets the placements of a gang that is done: its members end together.
func (te *term) dropGang(jo *workload.Job, st *workload.Stage) {
	for i := range st.Tasks {
		if wo := te.workers[st.Tasks[i].Worker]; wo != nil {
			delete(wo.runs, jo.Key(st, i))
		}
	}
}

const (
	// failedJobs is how many different jobs must fail on a worker in a row before the
	// worker rather than the jobs is to blame.
	failedJobs = 2
	// failedRuns is how many runs must fail on it in a row if they are of one job that
	// has failed nowhere else.
	failedRuns = 3
	// firstBan is how long such a worker first gets no work; it doubles each time.
	firstBan = 6 * clock.Second
	// suspicion is how long a worker comes last after a run failed there, so that the next
	// try of the task goes elsewhere: about two runs of the shortest tasks.
	suspicion = 5 * clock.Second
	// longestBan bounds the time for which it gets no work.
	longestBan = 60 * clock.Second
)

// judge weighs how a run ended as evidence on its worker.
func (te *term) judge(wo *worker, job identifier.Job, how workload.Ending) {
	switch how {
	case workload.EndDone:
		clear(wo.streak)
		wo.streakRuns, wo.banned, wo.suspect = 0, 0, 0
	case workload.EndFailed:
		wo.streak[job] = true
		wo.streakRuns++
		wo.suspect = te.Clock.Now() + suspicion
		te.failedOn(job, wo.id)
		if len(wo.streak) < failedJobs && (wo.streakRuns < failedRuns || len(te.failures[job]) > 1) {
			return
		}
		clear(wo.streak)
		wo.streakRuns = 0
		wo.banned = min(max(2*wo.banned, firstBan), longestBan)
		wo.blocked = te.Clock.Now() + wo.banned
		te.log.Warn().Str("worker", string(wo.id)).Int64("banMillis", int64(wo.banned)).Msg("workerBanned")
	}
}

// failedOn notes that a job failed on a worker.
func (te *term) failedOn(job identifier.Job, wo identifier.Worker) {
	if te.failures[job] == nil {
		te.failures[job] = map[identifier.Worker]bool{}
	}
	te.failures[job][wo] = true
}

// block holds back new work after a refusal.
func (te *term) block(wo *worker, why error) {
	wo.blocked = max(wo.blocked, te.Clock.Now()+refusedBan)
	te.log.Warn().Str("worker", string(wo.id)).Err(why).Msg("workerRefused")
}

// refusedBan is how long a worker that refuses a start gets no other.
const refusedBan = 2 * clock.Second
