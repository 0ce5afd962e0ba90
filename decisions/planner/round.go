package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// rackPatience is how long a gang waits for room on one rack before it is spread over
	// several, relative to its estimate. On several racks it takes farFactor times as long,
	// at least 3, which is what a wait of twice its time costs; the estimates of the users
	// are off by a factor of up to 3 beside that.
	rackPatience = 6
	// mostPreemptions bounds the searches for others to stop in one round, which take the
	// longest; the rounds come close together.
	mostPreemptions = 8
	// mostHolds bounds the searches for workers to keep in one round.
	mostHolds = 6
	// leastPatience bounds the wait for one rack from below, for estimates are far off.
	leastPatience = 1500 * clock.Millis(1)
	// urgentPatience bounds it for urgent work beyond its guarantee, whose objective is 4 s.
	urgentPatience = 4 * clock.Second
)

type (
	// round is the state of one plan.
	round struct {
		tu   Tuning
		in   Input
		plan Plan
		// slots are in order of their rack.
		slots   []*slot
		byID    map[identifier.Worker]*slot
		covered map[identifier.Job]bool
		// held counts the slots that are kept.
		held int
		// holds counts the candidates for which workers to keep were searched.
		holds int
		// preemptions counts the candidates that were searched for others to stop.
		preemptions int
		// urgent counts the accelerators of each pool that urgent work has.
		urgent map[identifier.Pool]meter.Accelerators
		// accelerators counts those of the usable slots of each pool.
		accelerators map[identifier.Pool]meter.Accelerators
		// spare counts the usable slots of each pool by the accelerators that will be free.
		spare map[identifier.Pool][]int
	}

	// slot is a worker with the room that the plan so far leaves.
	slot struct {
		worker *Worker
		// at is the place of the slot among all.
		at int
		// now is free at once. It is negative where work exceeds the capacity.
		now workload.Room
		// soon is free once all that is stopping has ended.
		soon workload.Room
		// runs holds those that may be stopped for others: not lasting ones, whose absence
		// their users would feel.
		runs []run
		// held means that the room is kept until a gang fits.
		held bool
		// planned counts the tasks of a stage that the plan puts here.
		planned map[*workload.Stage]int
	}

	// run is a run that could be stopped.
	run struct {
		job   *workload.Job
		stage *workload.Stage
		index int
		rank  int
	}
)

func newRound(tu Tuning, in Input) *round {
	ro := &round{tu: tu, in: in, urgent: map[identifier.Pool]meter.Accelerators{}, byID: make(map[identifier.Worker]*slot, len(in.Workers)), covered: coverage(in), spare: map[identifier.Pool][]int{}, accelerators: map[identifier.Pool]meter.Accelerators{}}
	for i := range in.Workers {
		wo := &in.Workers[i]
		sl := &slot{worker: wo, now: wo.Capacity, soon: wo.Capacity}
		ro.slots = append(ro.slots, sl)
		ro.byID[wo.ID] = sl
	}
	slices.SortFunc(ro.slots, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.worker.Rack, b.worker.Rack), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	for i, sl := range ro.slots {
		sl.at = i
	}
	for _, jo := range in.Jobs {
		qu := in.Queues[jo.Queue]
		rank := ro.rank(jo, qu)
		jo.Held(func(st *workload.Stage, index int, ta *workload.Task) {
			if qu.Priority == 0 {
				ro.urgent[qu.Pool] += jo.StepOf(st).Need.Accelerators
			}
			ro.occupy(run{job: jo, stage: st, index: index, rank: rank}, ta)
		})
	}
	for _, sl := range ro.slots {
		if sl.worker.Usable {
			ro.accelerators[sl.worker.Pool] += sl.worker.Capacity.Accelerators
			ro.count(sl, 1)
		}
	}
	return ro
}

// count adds to the count of slots with as many spare accelerators.
func (ro *round) count(sl *slot, by int) {
	counts := ro.spare[sl.worker.Pool]
	at := int(max(sl.soon.Accelerators, 0))
	for len(counts) <= at {
		counts = append(counts, 0)
	}
	counts[at] += by
	ro.spare[sl.worker.Pool] = counts
}

// change alters the room that a slot will have.
func (ro *round) change(sl *slot, by workload.Room) {
	if !sl.worker.Usable {
		sl.soon = sl.soon.Add(by)
		return
	}
	ro.count(sl, -1)
	sl.soon = sl.soon.Add(by)
	ro.count(sl, 1)
}

// hopeless reports whether there are certainly too few accelerators for the tasks; it
// spares the search, for in times of overload most candidates find none.
func (ro *round) hopeless(ca candidate, count int) bool {
	need := int(ca.step.Need.Accelerators)
	if need == 0 {
		return false
	}
	for at, slots := range ro.spare[ca.queue.Pool] {
		if count -= slots * (at / need); count <= 0 {
			return false
		}
	}
	return true
}

// occupy takes the room of a run, also where it was ordered from a former life of the
// worker: the present one may have carried the order out.
func (ro *round) occupy(ru run, ta *workload.Task) {
	sl := ro.byID[ta.Worker]
	if sl == nil {
		return
	}
	need := ru.job.StepOf(ru.stage).Reserved()
	sl.now = sl.now.Sub(need)
	if ta.Phase == workload.Stopping {
		return
	}
	sl.soon = sl.soon.Sub(need)
	if !ru.job.StepOf(ru.stage).Lasting {
		sl.runs = append(sl.runs, ru)
	}
}

// serve places a candidate now, or keeps the room that will be free for it, or makes room.
func (ro *round) serve(ca candidate) {
	if ca.step.Gang {
		ro.serveTasks(ca, ca.indexes)
		return
	}
	for i := range ca.indexes {
		if !ro.serveTasks(ca, ca.indexes[i:i+1]) {
			return // the others are equal
		}
	}
}

// serveTasks reports whether there is or will be room for the tasks.
func (ro *round) serveTasks(ca candidate, indexes []int) bool {
	hopeless := ro.hopeless(ca, len(indexes))
	mayPreempt := ca.queue.Priority == 0 && ro.preemptions < mostPreemptions
	mayHold := ca.step.Gang && ro.holds < mostHolds && !ro.holdsEnough(0)
	if hopeless && !mayPreempt && !mayHold {
		return false
	}
	slots := ro.allowed(ca, indexes)
	if !hopeless {
		if found := ro.find(ca, slots, len(indexes), free); found != nil {
			if !ro.leavesRoom(ca, len(indexes)) {
				return false
			}
			ro.start(ca, indexes, found)
			return true
		}
		if found := ro.find(ca, slots, len(indexes), freeSoon); found != nil {
			ro.keep(ca, found)
			return true
		}
	}
	if mayPreempt {
		ro.preemptions++
		if ro.preempt(ca, slots, len(indexes)) {
			return true
		}
	}
	if mayHold {
		ro.holds++
		ro.hold(ca, slots, len(indexes))
	}
	return false
}

// leavesRoom reports whether enough is left for the urgent work that will come, so that it
// need not stop other work.
func (ro *round) leavesRoom(ca candidate, count int) bool {
	if ca.queue.Priority == 0 || ro.tu.Spare == 0 {
		return true
	}
	pool := ca.queue.Pool
	most := ro.tu.MostSpare * float64(ro.accelerators[pool])
	de := ro.in.Demand[pool]
	spare := min(de.Mean+ro.tu.Spare*de.Deviation-float64(ro.urgent[pool]), most)
	return float64(ro.freeSoon(pool))-float64(count)*float64(ca.step.Need.Accelerators) >= spare
}

// freeSoon counts the accelerators of a pool that will be free.
func (ro *round) freeSoon(pool identifier.Pool) int {
	free := 0
	for at, slots := range ro.spare[pool] {
		free += at * slots
	}
	return free
}

// start plans new runs.
func (ro *round) start(ca candidate, indexes []int, found []*slot) {
	ro.keep(ca, found)
	if ca.queue.Priority == 0 {
		ro.urgent[ca.queue.Pool] += meter.Accelerators(len(found)) * ca.step.Need.Accelerators
	}
	places := make([]Place, len(indexes))
	for i, index := range indexes {
		places[i] = Place{Index: index, Worker: found[i].worker.ID, Life: found[i].worker.Life}
	}
	ro.plan.Starts = append(ro.plan.Starts, Start{Job: ca.job, Stage: ca.stage, Places: places})
}

// keep takes the room of a candidate out of what later ones may use.
func (ro *round) keep(ca candidate, found []*slot) {
	need := ca.step.Reserved()
	for _, sl := range found {
		sl.now = sl.now.Sub(need)
		ro.change(sl, workload.Room{}.Sub(need))
		if sl.planned == nil {
			sl.planned = map[*workload.Stage]int{}
		}
		sl.planned[ca.stage]++
	}
}

func free(sl *slot) workload.Room     { return sl.now }
func freeSoon(sl *slot) workload.Room { return sl.soon }

// find returns a slot for each of count equal tasks, or nil if they do not all fit.
func (ro *round) find(ca candidate, slots []*slot, count int, view func(*slot) workload.Room) []*slot {
	if rack := ca.step.DataRack; rack != "" {
		if found := ro.pack(ca, onRack(slots, rack), count, view); found != nil {
			return found
		}
		if ro.patient(ca) {
			return nil
		}
	}
	if !ca.step.SameRack || count == 1 {
		return ro.pack(ca, slots, count, view)
	}
	if found := ro.packRack(ca, slots, count, view); found != nil {
		return found
	}
	if ro.patient(ca) && fitting(slots, ca.step.Reserved()) >= count {
		return nil
	}
	return ro.pack(ca, slots, count, view)
}

// patient reports whether the candidate is still better off waiting for its rack.
func (ro *round) patient(ca candidate) bool {
	most := min(max(rackPatience*ca.step.Estimate, leastPatience), ro.tu.RackPatience)
	switch {
	case ca.rank == rankGuaranteed:
		most = leastPatience
	case ca.queue.Priority == 0:
		most = min(most, urgentPatience)
	}
	return ro.in.Waited(ca.job.ID) < most
}

// allowed lists the slots that may run the tasks: not those where the last run of one of
// them failed, unless there is no other.
func (ro *round) allowed(ca candidate, indexes []int) []*slot {
	slots := make([]*slot, 0, len(ro.slots))
	var failed []*slot
	failedOn := failedOn(ca, indexes)
	for _, sl := range ro.slots {
		wo := sl.worker
		if sl.held || !wo.Usable || wo.Pool != ca.queue.Pool || !wo.Capacity.Fits(ca.step.Reserved()) {
			continue
		}
		if ca.step.Requires != "" && !slices.Contains(wo.Labels, ca.step.Requires) {
			continue
		}
		if ro.in.Allowed != nil && !ro.in.Allowed(ca.job, ca.stage, wo.ID) {
			continue
		}
		if slices.Contains(failedOn, wo.ID) {
			failed = append(failed, sl)
			continue
		}
		slots = append(slots, sl)
	}
	if len(slots) == 0 {
		return failed
	}
	return slots
}

// failedOn lists the workers where the last runs of the tasks failed.
func failedOn(ca candidate, indexes []int) []identifier.Worker {
	var some []identifier.Worker
	for _, i := range indexes {
		if wo := ca.stage.Tasks[i].FailedOn; wo != "" {
			some = append(some, wo)
		}
	}
	return some
}
