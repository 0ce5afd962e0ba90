package conductor

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/pacer"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// evacuateSlack is the time, beyond that of a stop, that must be left for a run on a
	// leaving worker to save its progress.
	evacuateSlack = 800 * clock.Millis(1)
	// observeEvery is the time between two log lines about the load.
	observeEvery = 1000 * clock.Millis(1)
	// failuresTrusted is the number of failed calls in a row from which a worker gets no
	// new work.
	failuresTrusted = 1
)

// rounds plans, records and orders until the term ends.
func (te *term) rounds() {
	for te.ctx.Err() == nil {
		select {
		case <-te.ctx.Done():
			return
		case <-te.wake:
		case <-te.Clock.After(roundEvery):
		}
		began := te.Clock.Now()
		te.mu.Lock()
		te.plan()
		ba := te.batch()
		te.mu.Unlock()
		planned := te.Clock.Now() - began
		if !te.commit(ba) {
			return
		}
		te.took = roundTime{plan: planned, record: te.Clock.Now() - began - planned, jobs: len(ba.changes)}
		signal(te.due)
		// On a slow instance callers and orders need the processor too.
		clock.Sleep(te.ctx, te.Clock, max(roundGap, planned))
	}
}

// dispatches gives the orders that are due, and keeps the leases, also while the store
// takes no record.
func (te *term) dispatches() {
	for te.ctx.Err() == nil {
		select {
		case <-te.ctx.Done():
			return
		case <-te.due:
		case <-te.Clock.After(roundEvery):
		}
		te.mu.Lock()
		te.dispatch()
		te.mu.Unlock()
	}
}

// plan brings the jobs up to date and decides what starts and what stops.
func (te *term) plan() {
	now := te.Clock.Now()
	po := te.Policies.Current()
	if !te.loaded || po == nil {
		return
	}
	te.lapse(now)
	te.evacuate(now)
	in := te.input(po, now)
	te.advise(in, po, now)
	pl := te.planner.Plan(in)
	te.observe(in, pl, now)
	for _, sp := range pl.Stops {
		te.applyStop(sp)
	}
	for _, st := range pl.Starts {
		te.applyStart(st, now)
	}
}

// lapse ends the runs whose leases have certainly expired.
func (te *term) lapse(now clock.Millis) {
	for _, wo := range te.workers {
		if len(wo.runs) > 0 && te.lapsed(wo, now) {
			te.log.Warn().Str("worker", string(wo.id)).Int("runs", len(wo.runs)).Bool("met", wo.met).
				Int64("silentMillis", int64(now-wo.clockAt)).Msg("leasesLapsed")
			for key, pl := range wo.runs {
				te.endRun(wo, key, workload.RunEnd{Run: pl.run, How: workload.EndLapsed})
			}
		}
		if !wo.reported && len(wo.runs)+len(wo.strays) == 0 && wo.applied == wo.told && !wo.looking {
			te.Workers.Forget(wo.report.Address)
			delete(te.workers, wo.id)
		}
	}
}

// evacuate stops the runs on leaving workers while there is time to save their progress.
func (te *term) evacuate(now clock.Millis) {
	for _, wo := range te.workers {
		if !wo.report.Draining || now < wo.leavesAt-te.op.StopGrace-evacuateSlack {
			continue
		}
		for key := range wo.runs {
			if st, ta := te.jobs[key.Job].job.Task(key); ta.Phase != workload.Stopping {
				te.log.Info().Str("task", key.String()).Str("worker", string(wo.id)).
					Int64("leavesInMillis", int64(wo.leavesAt-now)).Msg("runEvacuated")
				te.jobs[key.Job].job.StopTask(st, ta)
				te.jobs[key.Job].dirty = true
			}
		}
	}
}

// input is what the planner needs.
func (te *term) input(po *policy.Policy, now clock.Millis) planner.Input {
	in := planner.Input{
		Now:        now,
		Queues:     make(map[identifier.Queue]planner.Queue, len(po.Queues)),
		Guarantees: make(map[identifier.Workspace]meter.Accelerators, len(po.Workspaces)),
		Allowed:    te.allowed(po, now),
		Expected: func(jo *workload.Job, step int) clock.Millis {
			return te.learner.Expected(jo.Queue, jo.Steps[step].Estimate)
		},
		Waited: func(id identifier.Job) clock.Millis { return now - te.jobs[id].arrived },
	}
	for i := range po.Queues {
		qu := &po.Queues[i]
		in.Queues[qu.Name] = planner.Queue{
			Pool: qu.Pool, Priority: qu.Priority, Attempts: qu.Attempts, Stretch: qu.Stretch, Objective: qu.Objective,
		}
	}
	for _, ws := range po.Workspaces {
		in.Guarantees[ws.Name] = ws.Guaranteed
	}
	timeOfDay := te.Clock.TimeOfDay()
	for _, en := range te.sorted() {
		if !en.job.State.Final() && en.job.Due(timeOfDay) > 0 && len(en.job.Stages) == 0 {
			continue
		}
		if qu, known := in.Queues[en.job.Queue]; known && en.job.Exhaust(qu.Attempts) {
			en.dirty = true
			te.log.Info().Str("job", string(en.job.ID)).Str("state", en.job.State.String()).Str("why", en.job.Reason).Msg("jobEnded")
		}
		in.Jobs = append(in.Jobs, en.job)
	}
	in.Demand = te.demand(in)
	for _, wo := range te.workers {
		if wo.reported || len(wo.runs) > 0 {
			in.Workers = append(in.Workers, te.planned(wo, now))
		}
	}
	return in
}

// demand is what urgent work lately needed of each pool.
func (te *term) demand(in planner.Input) map[identifier.Pool]planner.Demand {
	taken := map[identifier.Pool]meter.Accelerators{}
	for _, qu := range in.Queues {
		if qu.Priority == 0 {
			taken[qu.Pool] = 0
		}
	}
	for _, jo := range in.Jobs {
		if qu, known := in.Queues[jo.Queue]; known && qu.Priority == 0 {
			jo.Held(func(st *workload.Stage, _ int, _ *workload.Task) { taken[qu.Pool] += jo.StepOf(st).Need.Accelerators })
		}
	}
	demand := make(map[identifier.Pool]planner.Demand, len(taken))
	for pool, count := range taken {
		mean, deviation := te.learner.Demand(pool, in.Now, count)
		demand[pool] = planner.Demand{Mean: mean, Deviation: deviation}
	}
	return demand
}

// planned is a worker as the planner sees it.
func (te *term) planned(wo *worker, now clock.Millis) planner.Worker {
	pw := planner.Worker{
		ID: wo.id, Life: wo.report.Life, Pool: wo.report.Pool, Zone: wo.report.Zone, Rack: wo.report.Rack,
		Labels: wo.report.Labels, Capacity: wo.report.Capacity,
		Usable:  wo.reported && wo.met && !wo.report.Draining && wo.failures < failuresTrusted && now >= wo.blocked && !wo.emptied,
		Suspect: now < wo.suspect,
	}
	for key := range wo.strays {
		if en := te.jobs[key.Job]; en != nil {
			if st, _ := en.job.Task(key); st != nil {
				pw.Capacity = pw.Capacity.Sub(en.job.StepOf(st).Reserved())
				continue
			}
		}
		pw.Usable = false // the room of an unknown run is not known
	}
	return pw
}

// observe logs, once a while, what waits and what is free.
func (te *term) observe(in planner.Input, pl planner.Plan, now clock.Millis) {
	if now-te.observed < observeEvery {
		return
	}
	te.observed = now
	var free workload.Room
	usable := 0
	for _, wo := range in.Workers {
		if wo.Usable {
			usable++
			free = free.Add(wo.Capacity)
		}
	}
	waiting, held := 0, 0
	var wanted meter.Accelerators
	for _, jo := range in.Jobs {
		for _, st := range jo.Stages {
			for i := range st.Tasks {
				switch {
				case st.Tasks[i].Held():
					held++
					free = free.Sub(jo.StepOf(st).Reserved())
				case st.Tasks[i].Phase == workload.Waiting && !jo.State.Final():
					waiting++
					wanted += jo.StepOf(st).Need.Accelerators
				}
			}
		}
	}
	te.log.Info().Int("jobs", len(in.Jobs)).Int("waiting", waiting).Int64("wanted", int64(wanted)).Int("held", held).
		Int("workers", len(in.Workers)).Int("usable", usable).Int64("freeAccelerators", int64(free.Accelerators)).
		Int64("freeCores", int64(free.CPU/1000)).Int64("freeMebibytes", int64(free.Memory)).
		Int("starts", len(pl.Starts)).Int("stops", len(pl.Stops)).
		Int64("planMillis", int64(te.took.plan)).Int64("recordMillis", int64(te.took.record)).Int("recorded", te.took.jobs).Msg("loadSeen")
}

func (te *term) applyStop(sp planner.Stop) {
	ta := &sp.Stage.Tasks[sp.Index]
	te.log.Info().Str("task", sp.Job.Key(sp.Stage, sp.Index).String()).Int64("run", int64(ta.Run)).Str("for", string(sp.For)).
		Int64("ranMillis", int64(te.Clock.Now()-ta.Since)).Msg("runPreempted")
	sp.Job.StopTask(sp.Stage, ta)
	te.jobs[sp.Job.ID].dirty = true
}

func (te *term) applyStart(st planner.Start, now clock.Millis) {
	gang := st.Job.StepOf(st.Stage).Gang
	run := st.Stage.NextRun(st.Places[0].Index, gang)
	for _, pl := range st.Places {
		ta := &st.Stage.Tasks[pl.Index]
		ta.Phase, ta.Run, ta.Worker, ta.Life, ta.Since = workload.Starting, run, pl.Worker, pl.Life, now
		key := st.Job.Key(st.Stage, pl.Index)
		te.workers[pl.Worker].runs[key] = &placement{run: run, life: pl.Life, placed: now, pace: pacer.Full}
		te.log.Info().Str("task", key.String()).Int64("run", int64(run)).Str("worker", string(pl.Worker)).
			Int64("waitedMillis", int64(now-te.jobs[st.Job.ID].arrived)).Msg("runPlanned")
	}
	if run == 1 {
		te.Meters.Took("wait", now-te.jobs[st.Job.ID].arrived)
	}
	te.jobs[st.Job.ID].dirty = true
}
