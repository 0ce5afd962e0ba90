package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/predictor"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// minRoundInterval and maxRoundInterval are the minimum and maximum time between two rounds,
	// as in package controller.
	minRoundInterval = 15 * clock.Millis(1)
	maxRoundInterval = 250 * clock.Millis(1)
	// startDelay is the time between a round and the starts and stops that it decides: the
	// plan is stored and the commands are sent.
	startDelay = 25 * clock.Millis(1)
	// checkpointInterval is the interval between two checkpoints. restoreTime is the time it
	// takes to resume from one.
	checkpointInterval = 500 * clock.Millis(1)
	restoreTime        = 600 * clock.Millis(1)
	// minStopFraction is the minimum fraction of StopGrace that a stopped run takes to end.
	minStopFraction = 0.3
	// maxSaved is the largest fraction of a task's work that a checkpoint contains.
	maxSaved = 0.95
)

type (
	// Policy decides which tasks start and which runs stop.
	Policy interface {
		Plan(in planner.Input) planner.Plan
	}

	// day is the state of one simulated day.
	day struct {
		load      Load
		policy    Policy
		random    source
		now       clock.Millis
		predictor *predictor.Predictor
		gauger    *gauger.Gauger
		events    events

		arrivals []*arrival
		byID     map[identifier.Job]*arrival
		workers  []planner.Worker
		speeds   map[identifier.Worker]float64
		input    planner.Input
		// runs holds the current run of each task that has one.
		runs map[workload.TaskKey]*run
		// leaving holds the workers that have announced their departure, with its time.
		leaving map[identifier.Worker]clock.Millis
		// nextRound is the time of the next round; 0 means that none is scheduled. lastRound is
		// the time of the most recent round.
		nextRound clock.Millis
		lastRound clock.Millis
		// kept is the number of accelerators that the last plan keeps free for gangs.
		kept   meter.Accelerators
		keptAt clock.Millis
		result Result
	}

	// run is one run of a task.
	run struct {
		number   int
		started  clock.Millis
		worker   identifier.Worker
		stopping bool
		// duration is how long the run takes if it is not stopped.
		duration clock.Millis
		// cause is why the run is stopped or lost.
		cause lossCause
		// far is the slowdown because the run's gang is on several racks; 1 means none.
		far float64
	}

	event struct {
		at clock.Millis
		do func()
	}

	events []event
)

// add inserts an event in chronological order, after the events of the same time.
func (ev *events) add(at clock.Millis, do func()) {
	index, _ := slices.BinarySearchFunc(*ev, at, func(e event, at clock.Millis) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	*ev = slices.Insert(*ev, index, event{at: at, do: do})
}

// next removes and returns the earliest event.
func (ev *events) next() event {
	first := (*ev)[0]
	*ev = (*ev)[1:]
	return first
}

// Run simulates a day with a policy. Equal seeds draw equal jobs for all policies.
func Run(lo Load, seed uint64, po Policy) Result {
	da := &day{
		load: lo, policy: po, predictor: predictor.New(), gauger: gauger.New(), random: source{rand.New(rand.NewPCG(seed, 2))},
		byID: map[identifier.Job]*arrival{}, speeds: lo.WorkerSpeeds(), runs: map[workload.TaskKey]*run{},
		leaving: map[identifier.Worker]clock.Millis{},
	}
	da.arrivals = arrivals(lo, source{rand.New(rand.NewPCG(seed, 1))})
	da.setUp()
	da.scheduleDepartures(source{rand.New(rand.NewPCG(seed, 3))})
	for _, ar := range da.arrivals {
		da.byID[ar.job.ID] = ar
		da.schedule(ar.at, func() { da.arrive(ar) })
		if ar.cancelled > 0 {
			da.schedule(ar.cancelled, func() { da.cancel(ar) })
		}
	}
	da.schedule(pollInterval, da.pollAll)
	end := lo.Length + lo.DrainTime
	for len(da.events) > 0 && da.events[0].at <= end {
		ev := da.events.next()
		da.now = ev.at
		ev.do()
	}
	da.computeResult()
	return da.result
}

// setUp sets up the workers and the planner input that does not change during the day.
func (da *day) setUp() {
	lo := da.load
	for zone := range lo.Zones {
		for i := range lo.WorkersPerZone {
			id := workerID(zone, i)
			da.workers = append(da.workers, planner.Worker{
				ID: id, Incarnation: 1, Pool: "pool", Zone: identifier.Zone(fmt.Sprint(zone)),
				Rack: identifier.Rack(fmt.Sprintf("r%d-%d", zone, i/lo.WorkersPerRack)), Capacity: lo.Capacity, Usable: true,
			})
		}
	}
	da.input = planner.Input{Workers: da.workers, Queues: map[identifier.Queue]workload.Terms{}, Guarantees: lo.guarantees()}
	for _, ki := range lo.Kinds {
		da.input.Queues[ki.Name] = workload.Terms{Pool: "pool", Priority: ki.Priority, MaxAttempts: ki.MaxAttempts, SlowdownFactor: ki.SlowdownFactor, Objective: ki.Objective}
	}
	da.input.ExpectedRunTime = func(jo *workload.Job, step int) clock.Millis {
		return da.predictor.ExpectedRunTime(jo.Queue, jo.Steps[step].Estimate)
	}
	da.input.Remaining = da.remaining
	da.input.WaitTime = func(id identifier.Job) clock.Millis { return da.now - da.byID[id].at }
}

// schedule adds an event that calls do at the time at.
func (da *day) schedule(at clock.Millis, do func()) { da.events.add(at, do) }

func (da *day) arrive(ar *arrival) {
	da.input.Jobs = append(da.input.Jobs, ar.job)
	if ar.kind.Priority == 0 {
		da.predictor.RecordArrival("pool", ar.job.PeakAccelerators())
	}
	da.requestRound()
}

func (da *day) cancel(ar *arrival) {
	if ar.job.Cancel() {
		da.scheduleStops(ar.job, lostByCancel)
		da.requestRound()
	}
}

// requestRound schedules a round for the earliest permitted time.
func (da *day) requestRound() { da.scheduleRound(max(da.now+1, da.lastRound+minRoundInterval)) }

// scheduleRound schedules a round, unless an earlier one is already scheduled.
func (da *day) scheduleRound(at clock.Millis) {
	if da.nextRound > 0 && da.nextRound <= at {
		return
	}
	da.nextRound = at
	da.schedule(at, func() {
		if da.nextRound == at {
			da.round()
		}
	})
}

// round removes ended jobs from the planner input, calls the policy, and executes its plan.
func (da *day) round() {
	da.nextRound, da.lastRound = 0, da.now
	jobs := da.input.Jobs[:0]
	for _, jo := range da.input.Jobs {
		if !jo.State.Final() || !jo.NoRunsLeft() {
			jobs = append(jobs, jo)
		}
	}
	da.input.Jobs, da.input.Now = jobs, da.now
	da.evacuate()
	mean, deviation := da.predictor.UpdateDemand("pool", da.now, da.urgentInUse())
	da.input.Demand = map[identifier.Pool]planner.Demand{"pool": {Mean: mean, Deviation: deviation}}
	da.gaugeWorkers()
	pl := da.policy.Plan(da.input)
	da.keep(pl.Held)
	for _, sp := range pl.Stops {
		sp.Job.StopTask(sp.Stage, &sp.Stage.Tasks[sp.Index])
		da.scheduleStops(sp.Job, lostToPreemption)
		da.result.Preemptions++
	}
	for _, st := range pl.Starts {
		da.start(st)
	}
	if len(da.input.Jobs) > 0 {
		da.scheduleRound(da.now + maxRoundInterval)
	}
}

// keep adds up how long accelerators are kept free for gangs that do not fit yet.
func (da *day) keep(held meter.Accelerators) {
	da.result.Kept += float64(da.kept) * seconds(da.now-da.keptAt)
	da.kept, da.keptAt = held, da.now
}

// urgentInUse returns the number of accelerators that urgent tasks occupy.
func (da *day) urgentInUse() meter.Accelerators {
	var taken meter.Accelerators
	for _, jo := range da.input.Jobs {
		if da.input.Queues[jo.Queue].Priority == 0 {
			jo.EachHeld(func(st *workload.Stage, _ int, _ *workload.Task) { taken += jo.StepOf(st).Request.Accelerators })
		}
	}
	return taken
}

// start starts runs of a stage's tasks and schedules their completions.
func (da *day) start(st planner.Start) {
	ar := da.byID[st.Job.ID]
	step := st.Job.StepOf(st.Stage)
	number := st.Stage.NextRun(st.Placements[0].Index, step.Gang)
	factor, far := da.gangSlowdown(st, step)
	for _, pl := range st.Placements {
		ta := &st.Stage.Tasks[pl.Index]
		ta.Phase, ta.Run, ta.Worker, ta.Incarnation, ta.PlacedAt = workload.Running, number, pl.Worker, pl.Incarnation, da.now
		key := st.Job.Key(st.Stage, pl.Index)
		ru := &run{number: int(number), started: da.now + startDelay, worker: pl.Worker, far: far}
		da.runs[key] = ru
		slow := factor
		if !step.Gang {
			slow = da.speeds[pl.Worker]
		}
		duration, failing := da.runDuration(ar, st.Stage, pl.Index, ta, slow)
		ru.duration = duration
		outcome := workload.OutcomeDone
		if failing {
			outcome = workload.OutcomeFailed
		}
		da.schedule(ru.started+duration, func() { da.endRun(ar, key, ru, outcome) })
	}
	st.Job.State = max(st.Job.State, workload.Active)
}

// gangSlowdown returns the factor by which the run time of a gang is longer than on one
// rack of workers of normal speed, and the part of it that comes of several racks. The slowest member determines the speed of the gang.
func (da *day) gangSlowdown(st planner.Start, step *workload.Step) (factor, far float64) {
	slowest := 0.0
	far = 1
	racks := map[identifier.Rack]bool{}
	for _, pl := range st.Placements {
		slowest = max(slowest, da.speeds[pl.Worker])
		for i := range da.workers {
			if da.workers[i].ID == pl.Worker {
				racks[da.workers[i].Rack] = true
			}
		}
	}
	if step.SameRack && len(racks) > 1 {
		far = da.load.CrossRackFactor
		da.result.CrossRackTasks += len(st.Placements)
	}
	return slowest * far, far
}

// runDuration returns how long the run takes, and whether it then fails. A checkpoint holds
// the fraction of the work that is done, with three decimal places.
func (da *day) runDuration(ar *arrival, st *workload.Stage, index int, ta *workload.Task, slow float64) (clock.Millis, bool) {
	total := float64(ar.runTimes[st.Step][index]) * slow
	if ta.Checkpoint != "" {
		var done float64
		_, _ = fmt.Sscan(ta.Checkpoint, &done) // written by this simulator
		total = total*(1-done) + float64(restoreTime)
	}
	if ar.alwaysFails || da.random.Float64() < ar.kind.Failing {
		return clock.Millis(total * da.random.Float64()), true
	}
	return clock.Millis(total), false
}

// scheduleStops schedules the ends of the runs of a job that are to stop, within StopGrace.
func (da *day) scheduleStops(jo *workload.Job, cause lossCause) {
	ar := da.byID[jo.ID]
	jo.EachHeld(func(st *workload.Stage, index int, ta *workload.Task) {
		key := jo.Key(st, index)
		ru := da.runs[key]
		if ta.Phase != workload.Stopping || ru == nil || ru.stopping {
			return
		}
		ru.stopping = true
		ru.markLost(cause)
		share := minStopFraction + (1-minStopFraction)*da.random.Float64()
		da.schedule(da.now+startDelay+clock.Millis(share*float64(da.load.StopGrace)), func() { da.endRun(ar, key, ru, workload.OutcomeStopped) })
	})
}

// endRun handles the completion of a run. It ignores a completion if the run is no longer
// current, or if the run is being stopped and completes in any other way.
func (da *day) endRun(ar *arrival, key workload.TaskKey, ru *run, outcome workload.RunOutcome) {
	if da.runs[key] != ru || (ru.stopping && outcome != workload.OutcomeStopped && outcome != workload.OutcomeWorkerLost) {
		return
	}
	st, ta := ar.job.Task(key)
	step := ar.job.StepOf(st)
	ran := max(da.now-ru.started, 0)
	co := workload.Completion{Run: ta.Run, Outcome: outcome, At: da.now}
	lost := ran
	if outcome != workload.OutcomeDone && step.Checkpointing {
		done := da.checkpointedFraction(ar, st, ta, key.Index, ran)
		co.Checkpoint = fmt.Sprintf("%.3f", done)
		lost = min(ran, checkpointInterval+restoreTime)
	}
	delete(da.runs, key)
	switch outcome {
	case workload.OutcomeDone:
		if ta.Checkpoint == "" {
			da.gaugeEnd(ar, key, ru, ran)
			da.predictor.RecordRun(ar.job.Queue, step.Estimate, da.normalRunTime(ar, st, ru.worker, ran))
		}
	case workload.OutcomeStopped, workload.OutcomeWorkerLost:
		da.result.recordLoss(ru.cause, cores(step.Request)*seconds(lost))
	}
	ar.job.CompleteRun(key, co, ar.kind.MaxAttempts)
	if step.Gang {
		da.removeGang(ar, st, outcome)
	}
	cause := lostWithMember
	if ru.cause != notLost {
		cause = ru.cause
	}
	da.scheduleStops(ar.job, cause)
	if ar.job.State.Final() && da.result.ended[ar.job.ID] == 0 {
		da.result.recordEnd(ar.job.ID, da.now)
	}
	da.requestRound()
}

// removeGang removes the runs of a gang's other members once the gang is done.
func (da *day) removeGang(ar *arrival, st *workload.Stage, outcome workload.RunOutcome) {
	if outcome != workload.OutcomeDone {
		return
	}
	for i := range st.Tasks {
		delete(da.runs, ar.job.Key(st, i))
	}
}

// checkpointedFraction returns the fraction of a task's work that its checkpoint contains
// after a run: what an earlier checkpoint contained, and half of what the run did, up to 0.95.
func (da *day) checkpointedFraction(ar *arrival, st *workload.Stage, ta *workload.Task, index int, ran clock.Millis) float64 {
	done := 0.0
	if ta.Checkpoint != "" {
		_, _ = fmt.Sscan(ta.Checkpoint, &done) // written by this simulator
		ran = max(ran-restoreTime, 0)
	}
	if interval := da.load.CheckpointInterval; interval > 0 {
		saved := float64(ran/interval*interval) / float64(max(da.runs[ar.job.Key(st, index)].duration, 1))
		return min(done+saved*(1-done), maxSaved)
	}
	return min(done+float64(ran)/float64(ar.runTimes[st.Step][index])/2, maxSaved)
}
