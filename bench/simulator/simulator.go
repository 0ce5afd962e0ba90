package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/learner"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// roundGap and roundEvery are the least and the longest time between two rounds, as in
	// the conductor.
	roundGap   = 15 * clock.Millis(1)
	roundEvery = 250 * clock.Millis(1)
	// startTime is how long it takes to record a plan and to start its runs.
	startTime = 25 * clock.Millis(1)
	// checkpointEvery is the work between two checkpoints, restoreTime what it takes to go
	// on from one.
	checkpointEvery = 500 * clock.Millis(1)
	restoreTime     = 600 * clock.Millis(1)
	// leastStop is the share of the grace that a stop takes at least.
	leastStop = 0.3
)

type (
	// Policy decides what starts and what stops.
	Policy interface {
		Plan(in planner.Input) planner.Plan
	}

	// day is the state of one simulated day.
	day struct {
		load    Load
		policy  Policy
		so      source
		now     clock.Millis
		learner *learner.Learner
		events  events

		arrivals []*arrival
		byID     map[identifier.Job]*arrival
		workers  []planner.Worker
		speeds   map[identifier.Worker]float64
		input    planner.Input
		// runs holds what is at work, by task.
		runs map[workload.TaskKey]*run
		// planned is when the next round is; 0 means that none is asked for.
		planned clock.Millis
		last    clock.Millis
		result  Result
	}

	// run is one run of a task.
	run struct {
		number   int
		started  clock.Millis
		worker   identifier.Worker
		stopping bool
	}

	event struct {
		at clock.Millis
		do func()
	}

	events []event
)

// add puts an event into the order of time, behind those of the same time.
func (ev *events) add(at clock.Millis, do func()) {
	place, _ := slices.BinarySearchFunc(*ev, at, func(e event, at clock.Millis) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	*ev = slices.Insert(*ev, place, event{at: at, do: do})
}

// next removes the first event.
func (ev *events) next() event {
	first := (*ev)[0]
	*ev = (*ev)[1:]
	return first
}

// Run plays a day with a policy. The same seed draws the same jobs for every policy.
func Run(lo Load, seed uint64, po Policy) Result {
	da := &day{
		load: lo, policy: po, learner: learner.New(), so: source{rand.New(rand.NewPCG(seed, 2))},
		byID: map[identifier.Job]*arrival{}, speeds: map[identifier.Worker]float64{}, runs: map[workload.TaskKey]*run{},
	}
	da.arrivals = arrivals(lo, source{rand.New(rand.NewPCG(seed, 1))})
	da.equip()
	for _, ar := range da.arrivals {
		da.byID[ar.job.ID] = ar
		da.after(ar.at, func() { da.arrive(ar) })
		if ar.cancelled > 0 {
			da.after(ar.cancelled, func() { da.cancel(ar) })
		}
	}
	end := lo.Length + lo.Finish
	for len(da.events) > 0 && da.events[0].at <= end {
		ev := da.events.next()
		da.now = ev.at
		ev.do()
	}
	da.settle()
	return da.result
}

// equip sets up the workers and what else does not change in the day.
func (da *day) equip() {
	lo := da.load
	for zone := range lo.Zones {
		for i := range lo.PerZone {
			id := identifier.Worker(fmt.Sprintf("w%d-%02d", zone, i))
			da.workers = append(da.workers, planner.Worker{
				ID: id, Life: 1, Pool: "pool", Zone: identifier.Zone(fmt.Sprint(zone)),
				Rack: identifier.Rack(fmt.Sprintf("r%d-%d", zone, i/lo.PerRack)), Capacity: lo.Capacity, Usable: true,
			})
			da.speeds[id] = lo.Speeds[len(da.workers)%len(lo.Speeds)]
		}
	}
	da.input = planner.Input{Workers: da.workers, Queues: map[identifier.Queue]planner.Queue{}, Guarantees: lo.guarantees()}
	for _, ki := range lo.Kinds {
		da.input.Queues[ki.Name] = planner.Queue{Pool: "pool", Priority: ki.Priority, Attempts: ki.Attempts, Stretch: ki.Stretch, Objective: ki.Objective}
	}
	da.input.Expected = func(jo *workload.Job, step int) clock.Millis {
		return da.learner.Expected(jo.Queue, jo.Steps[step].Estimate)
	}
	da.input.Waited = func(id identifier.Job) clock.Millis { return da.now - da.byID[id].at }
}

func (da *day) after(at clock.Millis, do func()) { da.events.add(at, do) }

func (da *day) arrive(ar *arrival) {
	da.input.Jobs = append(da.input.Jobs, ar.job)
	if ar.kind.Priority == 0 {
		da.learner.Came("pool", ar.job.Widest())
	}
	da.poke()
}

func (da *day) cancel(ar *arrival) {
	if ar.job.Cancel() {
		da.stopAll(ar.job)
		da.poke()
	}
}

// poke asks for a round as soon as one may be.
func (da *day) poke() { da.planAt(max(da.now+1, da.last+roundGap)) }

func (da *day) planAt(at clock.Millis) {
	if da.planned > 0 && da.planned <= at {
		return
	}
	da.planned = at
	da.after(at, func() {
		if da.planned == at {
			da.round()
		}
	})
}

// round plans, and carries the plan out.
func (da *day) round() {
	da.planned, da.last = 0, da.now
	jobs := da.input.Jobs[:0]
	for _, jo := range da.input.Jobs {
		if !jo.State.Final() || !jo.Quiet() {
			jobs = append(jobs, jo)
		}
	}
	da.input.Jobs, da.input.Now = jobs, da.now
	mean, deviation := da.learner.Demand("pool", da.now, da.urgent())
	da.input.Demand = map[identifier.Pool]planner.Demand{"pool": {Mean: mean, Deviation: deviation}}
	pl := da.policy.Plan(da.input)
	for _, sp := range pl.Stops {
		sp.Job.StopTask(sp.Stage, &sp.Stage.Tasks[sp.Index])
		da.stopAll(sp.Job)
		da.result.Preempted++
	}
	for _, st := range pl.Starts {
		da.start(st)
	}
	if len(da.input.Jobs) > 0 {
		da.planAt(da.now + roundEvery)
	}
}

// urgent counts the accelerators that urgent work has.
func (da *day) urgent() meter.Accelerators {
	var taken meter.Accelerators
	for _, jo := range da.input.Jobs {
		if da.input.Queues[jo.Queue].Priority == 0 {
			jo.Held(func(st *workload.Stage, _ int, _ *workload.Task) { taken += jo.StepOf(st).Need.Accelerators })
		}
	}
	return taken
}

// start begins the runs of a stage.
func (da *day) start(st planner.Start) {
	ar := da.byID[st.Job.ID]
	step := st.Job.StepOf(st.Stage)
	number := st.Stage.NextRun(st.Places[0].Index, step.Gang)
	factor := da.factor(st, step)
	for _, pl := range st.Places {
		ta := &st.Stage.Tasks[pl.Index]
		ta.Phase, ta.Run, ta.Worker, ta.Life, ta.Since = workload.Running, number, pl.Worker, pl.Life, da.now
		key := st.Job.Key(st.Stage, pl.Index)
		ru := &run{number: int(number), started: da.now + startTime, worker: pl.Worker}
		da.runs[key] = ru
		slow := factor
		if !step.Gang {
			slow = da.speeds[pl.Worker]
		}
		left, failing := da.left(ar, st.Stage, pl.Index, ta, slow)
		how := workload.EndDone
		if failing {
			how = workload.EndFailed
		}
		da.after(ru.started+left, func() { da.end(ar, key, ru, how) })
	}
	st.Job.State = max(st.Job.State, workload.Active)
}

// factor is by how much a gang works slower than on one sound rack: its slowest member
// counts.
func (da *day) factor(st planner.Start, step *workload.Step) float64 {
	slowest := 0.0
	racks := map[identifier.Rack]bool{}
	for _, pl := range st.Places {
		slowest = max(slowest, da.speeds[pl.Worker])
		for i := range da.workers {
			if da.workers[i].ID == pl.Worker {
				racks[da.workers[i].Rack] = true
			}
		}
	}
	if step.SameRack && len(racks) > 1 {
		slowest *= da.load.FarFactor
		da.result.Far += len(st.Places)
	}
	return slowest
}

// left is how long the run will take, and whether it fails then. A checkpoint holds the
// share of the work that is done, in thousandths.
func (da *day) left(ar *arrival, st *workload.Stage, index int, ta *workload.Task, slow float64) (clock.Millis, bool) {
	whole := float64(ar.work[st.Step][index]) * slow
	if ta.Saved != "" {
		var done float64
		_, _ = fmt.Sscan(ta.Saved, &done) // written by this simulator
		whole = whole*(1-done) + float64(restoreTime)
	}
	if ar.hopeless || da.so.Float64() < ar.kind.Failing {
		return clock.Millis(whole * da.so.Float64()), true
	}
	return clock.Millis(whole), false
}

// stopAll lets the runs of a job that must end do so within the grace.
func (da *day) stopAll(jo *workload.Job) {
	ar := da.byID[jo.ID]
	jo.Held(func(st *workload.Stage, index int, ta *workload.Task) {
		key := jo.Key(st, index)
		ru := da.runs[key]
		if ta.Phase != workload.Stopping || ru == nil || ru.stopping {
			return
		}
		ru.stopping = true
		share := leastStop + (1-leastStop)*da.so.Float64()
		da.after(da.now+startTime+clock.Millis(share*float64(da.load.StopGrace)), func() { da.end(ar, key, ru, workload.EndStopped) })
	})
}

// end takes the end of a run.
func (da *day) end(ar *arrival, key workload.TaskKey, ru *run, how workload.Ending) {
	if da.runs[key] != ru || (ru.stopping && how != workload.EndStopped) {
		return
	}
	st, ta := ar.job.Task(key)
	step := ar.job.StepOf(st)
	ran := max(da.now-ru.started, 0)
	en := workload.RunEnd{Run: ta.Run, How: how}
	lost := ran
	if how != workload.EndDone && step.Checkpoints {
		done := da.saved(ar, st, ta, key.Index, ran)
		en.Saved = fmt.Sprintf("%.3f", done)
		lost = min(ran, checkpointEvery+restoreTime)
	}
	delete(da.runs, key)
	switch how {
	case workload.EndDone:
		if ta.Saved == "" {
			da.learner.Ran(ar.job.Queue, step.Estimate, ran)
		}
	case workload.EndStopped:
		da.result.Waste += cores(step.Need) * seconds(lost)
	}
	ar.job.End(key, en, ar.kind.Attempts)
	if step.Gang {
		da.endGang(ar, st, how)
	}
	da.stopAll(ar.job)
	if ar.job.State.Final() && da.result.ended[ar.job.ID] == 0 {
		da.result.note(ar.job.ID, da.now)
	}
	da.poke()
}

// endGang drops the other members of a gang that is done.
func (da *day) endGang(ar *arrival, st *workload.Stage, how workload.Ending) {
	if how != workload.EndDone {
		return
	}
	for i := range st.Tasks {
		delete(da.runs, ar.job.Key(st, i))
	}
}

// saved is the share of a task's work that is done.
func (da *day) saved(ar *arrival, st *workload.Stage, ta *workload.Task, index int, ran clock.Millis) float64 {
	done := 0.0
	if ta.Saved != "" {
		_, _ = fmt.Sscan(ta.Saved, &done) // written by this simulator
		ran = max(ran-restoreTime, 0)
	}
	return min(done+float64(ran)/float64(ar.work[st.Step][index])/2, 0.95)
}
