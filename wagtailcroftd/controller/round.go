package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/accountant"
	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// loadLogInterval is the time between two log lines about the load.
	loadLogInterval = 1000 * clock.Millis(1)
	// pacePerGangTimeout is the fraction of the time for which members of a gang wait for each other
	// within which a start should be answered.
	pacePerGangTimeout = 8
	// urgentWindows is how many windows of starts may be outstanding for urgent work.
	urgentWindows = 2
	// idleFraction is the fraction of the window below which few starts are outstanding.
	idleFraction = 4
	// unusableAfterFailures is the number of consecutive failed polls after which a worker gets
	// no new work.
	unusableAfterFailures = 1
)

// runRounds plans, records and triggers the dispatch of commands until the term ends.
func (te *term) runRounds() {
	for te.ctx.Err() == nil {
		select {
		case <-te.ctx.Done():
			return
		case <-te.roundTrigger:
		case <-te.Clock.After(te.untilRenewal()):
		}
		started := te.Clock.Now()
		te.mu.Lock()
		te.plan()
		ba := te.batch()
		te.mu.Unlock()
		planned := te.Clock.Now() - started
		if !te.commit(ba, false) {
			return
		}
		te.lastRound = roundTiming{plan: planned, record: te.Clock.Now() - started - planned, jobs: len(ba.changes)}
		// On a slow instance the API and the commands need CPU time too, so the pause is at
		// least as long as the planning took.
		clock.Sleep(te.ctx, te.Clock, max(minRoundPause, planned))
	}
}

// runDispatcher sends the commands that are due and renews the leases. It runs separately from
// the rounds, so that it continues while the store accepts no writes.
func (te *term) runDispatcher() {
	for te.ctx.Err() == nil {
		select {
		case <-te.ctx.Done():
			return
		case <-te.dispatchTrigger:
		case <-te.Clock.After(passInterval):
		}
		te.mu.Lock()
		te.dispatch()
		te.mu.Unlock()
	}
}

// plan updates the jobs and decides which runs to start and to stop.
func (te *term) plan() {
	now := te.Clock.Now()
	po := te.Policies.Current()
	if !te.loaded || po == nil {
		return
	}
	te.expireLeases(now)
	te.evacuate(now)
	te.refreshPairs(now)
	in := te.plannerInput(po, now)
	te.advise(in, now)
	pl := te.planner.Plan(in)
	te.accountHeld(pl, now)
	te.logLoad(in, pl, now)
	for _, sp := range pl.Stops {
		te.applyStop(sp)
	}
	for _, st := range pl.Starts {
		te.applyStart(st, now)
	}
	te.partPair(in, pl, now)
}

// expireLeases completes the runs whose leases have certainly expired, and forgets workers that
// are no longer listed and have no runs left, and silences that prove nothing any more.
func (te *term) expireLeases(now clock.Millis) {
	te.judgeCrashes(now)
	te.pruneSilences(now)
	for _, wo := range te.workers {
		if len(wo.runs) > 0 && now > te.lease(wo).ExpiresAt() {
			te.log.Warn().Str("worker", string(wo.id)).Int("runs", len(wo.runs)).Bool("met", wo.answered).
				Int64("silentMillis", int64(now-wo.clockAt)).Msg("leasesExpired")
			for key, pl := range wo.runs {
				te.completeRun(wo, key, workload.Completion{Run: pl.run, Outcome: workload.OutcomeLeaseExpired}, assessor.LeasesExpired)
			}
		}
		if !wo.listed && len(wo.runs)+len(wo.orphans) == 0 && wo.applied == wo.acknowledged && !wo.polling {
			te.Workers.Forget(wo.report.Address)
			te.gauger.Forget(wo.id)
			delete(te.workers, wo.id)
		}
	}
}

// evacuate stops the runs on draining workers that the planner does not let run on.
func (te *term) evacuate(now clock.Millis) {
	for _, wo := range te.workers {
		if !wo.report.Draining {
			continue
		}
		for key := range wo.runs {
			if _, ta := te.jobs[key.Job].job.Task(key); ta.Phase != workload.Stopping && te.stopsBeforeDeparture(wo, key, now) {
				te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).
					Int64("leavesInMillis", int64(wo.leavesAt-now)).Msg("runEvacuated")
				te.interrupt(key, accountant.WorkerLeft)
			}
		}
	}
}

// plannerInput builds the input of the planner.
func (te *term) plannerInput(po *policy.Policy, now clock.Millis) planner.Input {
	in := planner.Input{
		Now:        now,
		Queues:     make(map[identifier.Queue]workload.Terms, len(po.Queues)),
		Guarantees: make(map[identifier.Workspace]meter.Accelerators, len(po.Workspaces)),
		ExpectedRunTime: func(jo *workload.Job, step int) clock.Millis {
			return te.predictor.ExpectedRunTime(jo.Queue, jo.Steps[step].Estimate)
		},
		WaitTime:  func(id identifier.Job) clock.Millis { return now - te.jobs[id].learnedAt },
		Remaining: te.remainingTimes(now),
	}
	for i := range po.Queues {
		qu := &po.Queues[i]
		in.Queues[qu.Name] = qu.Terms()
	}
	for _, ws := range po.Workspaces {
		in.Guarantees[ws.Name] = ws.Guaranteed
	}
	timeOfDay := te.Clock.TimeOfDay()
	for _, en := range te.sortedJobs() {
		if !en.job.State.Final() && en.job.AddDueStages(timeOfDay) > 0 && len(en.job.Stages) == 0 {
			continue
		}
		if terms, known := in.TermsOf(en.job); known && en.job.FailIfExhausted(terms.MaxAttempts) {
			en.dirty = true
			te.log.Info().Str("job", string(en.job.ID)).Str("state", en.job.State.String()).Str("why", en.job.Reason).Msg("jobEnded")
		}
		in.Jobs = append(in.Jobs, en.job)
	}
	in.Allowed = te.workerFilter(in, now)
	in.Costs = append(in.Costs, te.separationCosts()...)
	in.Demand = te.urgentDemand(in)
	in.Starts = te.startLimit()
	for _, wo := range te.workers {
		if wo.listed || len(wo.runs) > 0 {
			in.Workers = append(in.Workers, te.plannerWorker(wo, now))
		}
	}
	return in
}

// startLimit returns how many tasks may be started now. Only first attempts that this leader has to make
// are outstanding: what a former leader started, or what was sent without an answer, may wait for its
// worker for as long as a lease, and says nothing about the queue.
func (te *term) startLimit() *planner.StartLimit {
	te.outstanding = 0
	for _, wo := range te.workers {
		for _, pl := range wo.runs {
			if !pl.startSent || pl.tries == 1 && pl.inFlight && pl.startedAt == 0 {
				te.outstanding++
			}
		}
	}
	window := te.pacer.Budget(0)
	return &planner.StartLimit{
		Normal: te.pacer.Budget(te.outstanding), Urgent: max(urgentWindows*window-te.outstanding, 0), Idle: te.outstanding <= window/idleFraction,
	}
}

// urgentDemand returns the recent resource demand of urgent work in each pool.
func (te *term) urgentDemand(in planner.Input) map[identifier.Pool]planner.Demand {
	used := map[identifier.Pool]meter.Accelerators{}
	for _, terms := range in.Queues {
		if terms.Priority == 0 {
			used[terms.Pool] = 0
		}
	}
	for _, jo := range in.Jobs {
		if terms, known := in.TermsOf(jo); known && terms.Priority == 0 {
			jo.EachHeld(func(st *workload.Stage, _ int, _ *workload.Task) {
				used[terms.Pool] += jo.StepOf(st).Request.Accelerators
			})
		}
	}
	demand := make(map[identifier.Pool]planner.Demand, len(used))
	for pool, count := range used {
		mean, deviation := te.predictor.UpdateDemand(pool, in.Now, count)
		demand[pool] = planner.Demand{Mean: mean, Deviation: deviation}
	}
	return demand
}

// plannerWorker returns the planner's view of a worker.
func (te *term) plannerWorker(wo *worker, now clock.Millis) planner.Worker {
	pw := planner.Worker{
		ID: wo.id, Incarnation: wo.report.Incarnation, Pool: wo.report.Pool, Zone: wo.report.Zone, Rack: wo.report.Rack,
		Labels: wo.report.Labels, Capacity: wo.report.Capacity,
		Usable:  wo.listed && wo.contacted && !wo.report.Draining && wo.failures < unusableAfterFailures && now >= wo.blockedUntil && !wo.inMaintenance && !te.evacuated(wo.report.Zone),
		Suspect: now < wo.suspectUntil || te.cold(wo, now),
	}
	te.addSpeed(&pw, now)
	for key := range wo.orphans {
		if en := te.jobs[key.Job]; en != nil {
			if st, _ := en.job.Task(key); st != nil {
				pw.Capacity = pw.Capacity.Sub(en.job.StepOf(st).Reserved())
				continue
			}
		}
		pw.Usable = false // the resources that an unknown run uses are not known
	}
	return pw
}

// logLoad logs, at most once per interval, the waiting tasks and the free capacity. Tasks that wait
// for an earlier step of their job are counted apart, because no capacity would start them.
func (te *term) logLoad(in planner.Input, pl planner.Plan, now clock.Millis) {
	if now-te.loadLoggedAt < loadLogInterval {
		return
	}
	te.loadLoggedAt = now
	passes, used := te.passes, clock.ProcessorTime()-te.processorTime
	te.passes, te.processorTime = passTiming{}, te.processorTime+used
	var free workload.Resources
	usable, uneven := 0, 0
	for _, wo := range in.Workers {
		if wo.Factor != 1 {
			uneven++
		}
		if wo.Usable {
			usable++
			free = free.Add(wo.Capacity)
		}
	}
	waiting, blocked, held := 0, 0, 0
	var wanted meter.Accelerators
	for _, jo := range in.Jobs {
		for _, st := range jo.Stages {
			for i := range st.Tasks {
				switch {
				case st.Tasks[i].Held():
					held++
					free = free.Sub(jo.StepOf(st).Reserved())
				case st.Tasks[i].Phase != workload.Waiting || jo.State.Final():
				case !jo.Ready(st):
					blocked++
				default:
					waiting++
					wanted += jo.StepOf(st).Request.Accelerators
				}
			}
		}
	}
	kept, keptSeconds := te.losses.Held()
	te.log.Info().Int("jobs", len(in.Jobs)).Int("waiting", waiting).Int("blocked", blocked).Int64("wanted", int64(wanted)).Int("held", held).
		Int("workers", len(in.Workers)).Int("usable", usable).Int("uneven", uneven).Int64("freeAccelerators", int64(free.Accelerators)).
		Int64("freeCores", int64(free.CPU/1000)).Int64("freeMebibytes", int64(free.Memory)).
		Int64("keptAccelerators", int64(kept)).Int64("keptAcceleratorSeconds", int64(keptSeconds)).Int64("lostCoreSeconds", int64(te.losses.TotalLost())).
		Int("starts", len(pl.Starts)).Int("stops", len(pl.Stops)).
		Int64("planMillis", int64(te.lastRound.plan)).Int64("recordMillis", int64(te.lastRound.record)).Int("recorded", te.lastRound.jobs).
		Int("commands", te.commands.Unfinished()).Int("passes", passes.count).Int64("passMillis", int64(passes.took)).Int64("processorMillis", int64(used)).Msg("loadReported")
}

func (te *term) applyStop(sp planner.Stop) {
	ta := &sp.Stage.Tasks[sp.Index]
	te.log.Info().Str("task", sp.Job.Key(sp.Stage, sp.Index).String()).Int64("run", int64(ta.Run)).Str("for", string(sp.PreemptedFor)).
		Int64("ranMillis", int64(te.Clock.Now()-ta.PlacedAt)).Bool("guaranteed", sp.Guaranteed).
		Int64("lossCoreSeconds", int64(sp.Loss/float64(clock.Second))).Int64("gainCoreSeconds", int64(sp.Gain/float64(clock.Second))).Msg("runPreempted")
	te.interrupt(sp.Job.Key(sp.Stage, sp.Index), accountant.Preempted)
}

func (te *term) applyStart(st planner.Start, now clock.Millis) {
	gang := st.Job.StepOf(st.Stage).Gang
	run := st.Stage.NextRun(st.Placements[0].Index, gang)
	for _, pl := range st.Placements {
		ta := &st.Stage.Tasks[pl.Index]
		ta.Phase, ta.Run, ta.Worker, ta.Incarnation, ta.PlacedAt = workload.Starting, run, pl.Worker, pl.Incarnation, now
		key := st.Job.Key(st.Stage, pl.Index)
		te.workers[pl.Worker].runs[key] = &placement{run: run, incarnation: pl.Incarnation, dueSince: now, speed: throttler.FullSpeed}
		te.log.Info().Str("task", key.String()).Int64("run", int64(run)).Str("worker", string(pl.Worker)).
			Float64("factor", te.factorOf(te.workers[pl.Worker], now)).Int64("waitedMillis", int64(now-te.jobs[st.Job.ID].learnedAt)).Msg("runScheduled")
		te.countFactor(te.workers[pl.Worker], now)
	}
	if run == 1 {
		te.Metrics.Observe("wait", now-te.jobs[st.Job.ID].learnedAt)
	}
	te.jobs[st.Job.ID].dirty = true
}
