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
	// rackWaitFactor is how long a gang waits until it fits on one rack before it may be
	// spread over several, as a multiple of its estimate. A gang on several racks takes at
	// least 3 times as long, so that waiting for up to twice its run time pays off. That is
	// multiplied by 3, because the users' estimates are off by a factor of up to 3.
	rackWaitFactor = 6
	// maxPreemptionSearches limits the searches for runs to preempt in one round. They are
	// the slowest part of a round, and the next round follows soon.
	maxPreemptionSearches = 8
	// maxHoldSearches limits the searches for workers to hold for gangs in one round.
	maxHoldSearches = 6
	// minRackWait is the minimum wait for one rack, because estimates are inaccurate.
	// Guaranteed work waits no longer than this.
	minRackWait = 1500 * clock.Millis(1)
	// maxUrgentRackWait is the maximum wait for one rack of urgent work beyond its
	// guarantee, whose objective is 4 s.
	maxUrgentRackWait = 4 * clock.Second
)

type (
	// round is the state while one plan is made.
	round struct {
		tu   Tuning
		in   Input
		plan Plan
		// slots holds the workers ordered by rack.
		slots   []*slot
		byID    map[identifier.Worker]*slot
		covered map[identifier.Job]bool
		// held is the number of slots that are held for gangs.
		held int
		// holdSearches is the number of candidates for which workers to hold were searched.
		holdSearches int
		// preemptionSearches is the number of candidates for which runs to preempt were
		// searched.
		preemptionSearches int
		// urgentInUse is the number of accelerators of each pool that urgent work uses.
		urgentInUse map[identifier.Pool]meter.Accelerators
		// losses holds the loss of each unit of which it was computed, where it is weighed.
		losses map[unit]float64
		// accelerators is the number of accelerators of the usable slots of each pool.
		accelerators map[identifier.Pool]meter.Accelerators
		// freeCounts holds, for each pool, the number of usable slots by the number of
		// their accelerators that are free once all stopping runs have ended.
		freeCounts map[identifier.Pool][]int
		// uneven means that some workers are known to be faster than others, and tightest holds, for each
		// pool, the least slowdown that urgent work allows.
		uneven   bool
		tightest map[identifier.Pool]float64
		// starts is the number of tasks that the plan starts.
		starts int
		// full means that work below priority 0 has found the limit of starts reached, and allFull that
		// work of priority 0 has.
		full, allFull bool
	}

	// slot is a worker and the resources on it that the plan so far leaves free.
	slot struct {
		worker *Worker
		// position is the index of the slot in slots.
		position int
		// free is available immediately. It is negative if the runs exceed the capacity.
		free workload.Resources
		// freeSoon is available once all stopping runs have ended.
		freeSoon workload.Resources
		// runs holds the runs that may be preempted. Long-running tasks are not among them,
		// because their users would notice the interruption.
		runs []run
		// held means that the slot takes no other work until a gang fits.
		held bool
		// heldFor is the time until the gang is expected to start; until then work may use the slot that ends
		// before. 0 means that none may.
		heldFor clock.Millis
		// planned is the number of tasks of each stage that the plan places here.
		planned map[*workload.Stage]int
		// occupied is the number of runs here and of tasks that the plan places here, and unproven that of
		// those that may crash the worker.
		occupied, unproven int
		// occupants holds the steps of all that is occupied. It is kept only where a rule of the input needs it.
		occupants []*workload.Step
	}

	// run is a run that may be preempted.
	run struct {
		job   *workload.Job
		stage *workload.Stage
		index int
		rank  int
	}
)

func newRound(tu Tuning, in Input) *round {
	ro := &round{tu: tu, in: in, urgentInUse: map[identifier.Pool]meter.Accelerators{}, byID: make(map[identifier.Worker]*slot, len(in.Workers)), covered: coveredJobs(in), freeCounts: map[identifier.Pool][]int{}, losses: map[unit]float64{}, accelerators: map[identifier.Pool]meter.Accelerators{}}
	for i := range in.Workers {
		wo := &in.Workers[i]
		sl := &slot{worker: wo, free: wo.Capacity, freeSoon: wo.Capacity}
		ro.slots = append(ro.slots, sl)
		ro.byID[wo.ID] = sl
	}
	slices.SortFunc(ro.slots, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.worker.Rack, b.worker.Rack), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	for i, sl := range ro.slots {
		sl.position = i
	}
	for _, jo := range in.Jobs {
		te, known := in.TermsOf(jo)
		rank := rankGuaranteed // what could not be started again is not stopped
		if known {
			rank = ro.rank(jo, te)
		}
		jo.EachHeld(func(st *workload.Stage, index int, ta *workload.Task) {
			if known && te.Priority == 0 {
				ro.urgentInUse[te.Pool] += jo.StepOf(st).Request.Accelerators
			}
			ro.occupy(run{job: jo, stage: st, index: index, rank: rank}, ta)
		})
	}
	if ro.uneven = isUneven(in.Workers); ro.uneven {
		ro.tightest = tightestObjectives(in)
	}
	for _, sl := range ro.slots {
		if sl.worker.Usable {
			ro.accelerators[sl.worker.Pool] += sl.worker.Capacity.Accelerators
			ro.countFree(sl, 1)
		}
	}
	return ro
}

// countFree adds by to the number of slots that have as many free accelerators as sl.
func (ro *round) countFree(sl *slot, by int) {
	counts := ro.freeCounts[sl.worker.Pool]
	at := int(max(sl.freeSoon.Accelerators, 0))
	for len(counts) <= at {
		counts = append(counts, 0)
	}
	counts[at] += by
	ro.freeCounts[sl.worker.Pool] = counts
}

// adjustFree adds by to the resources that will be free on a slot.
func (ro *round) adjustFree(sl *slot, by workload.Resources) {
	if !sl.worker.Usable {
		sl.freeSoon = sl.freeSoon.Add(by)
		return
	}
	ro.countFree(sl, -1)
	sl.freeSoon = sl.freeSoon.Add(by)
	ro.countFree(sl, 1)
}

// cannotFit reports whether the pool certainly has too few free accelerators for the tasks.
// It saves the search for slots, which would fail for most candidates under overload.
func (ro *round) cannotFit(ca candidate, count int) bool {
	need := int(ca.step.Request.Accelerators)
	if need == 0 {
		return false
	}
	for at, slots := range ro.freeCounts[ca.terms.Pool] {
		if count -= slots * (at / need); count <= 0 {
			return false
		}
	}
	return true
}

// occupy subtracts the resources of a run from its slot. A run that was started on an
// earlier incarnation of the worker counts too, because the present incarnation may have
// carried out the start command.
func (ro *round) occupy(ru run, ta *workload.Task) {
	sl := ro.byID[ta.Worker]
	if sl == nil {
		return
	}
	req := ru.job.StepOf(ru.stage).Reserved()
	sl.free = sl.free.Sub(req)
	ro.addOccupant(sl, ru.job.StepOf(ru.stage))
	if ru.stage.Unproven(ru.index, ru.job.StepOf(ru.stage).Gang, ro.in.Now) {
		sl.unproven++
	}
	if ta.Phase == workload.Stopping {
		return
	}
	sl.freeSoon = sl.freeSoon.Sub(req)
	if !ru.job.StepOf(ru.stage).LongRunning {
		sl.runs = append(sl.runs, ru)
	}
}

func (ro *round) addOccupant(sl *slot, step *workload.Step) {
	sl.occupied++
	if len(ro.in.Costs) > 0 {
		sl.occupants = append(sl.occupants, step)
	}
}

// place starts the tasks of a candidate, or reserves resources for them that will be free
// soon, or preempts other runs.
func (ro *round) place(ca candidate) {
	if ca.step.Gang {
		ro.placeTasks(ca, ca.indexes)
		return
	}
	// The tasks differ only in the worker to which they may not return yet. Where one does not fit, no other does
	// that may use the same workers or fewer.
	noRoom := map[identifier.Worker]bool{}
	for i, index := range ca.indexes {
		paused := ro.pausedWorker(ca, index)
		if noRoom[paused] || ro.placeTasks(ca, ca.indexes[i:i+1]) {
			continue
		}
		if paused == "" || !ro.mayStart(ca, 1) {
			return
		}
		noRoom[paused] = true
	}
}

// placeTasks places the tasks with the given indexes together. It reports whether there
// are, or soon will be, resources for them.
func (ro *round) placeTasks(ca candidate, indexes []int) bool {
	if !ro.mayStart(ca, 1) {
		return false
	}
	ca.suspect = ca.stage.Suspect(indexes[0], ca.step.Gang)
	cannotFit := ro.cannotFit(ca, len(indexes))
	mayPreempt := ca.terms.Priority == 0 && ro.preemptionSearches < maxPreemptionSearches
	mayHold := ca.step.Gang && ro.holdSearches < maxHoldSearches && !ro.holdLimitReached(0)
	if cannotFit && !mayPreempt && !mayHold {
		return false
	}
	groups := ro.allowed(ca, indexes)
	ca.pace = ro.paceOf(ca)
	if !cannotFit {
		if found := ro.findFirst(ca, groups, len(indexes), freeNow); found != nil {
			if !ro.leavesHeadroom(ca, len(indexes)) || !ro.mayStart(ca, len(indexes)) {
				return false
			}
			ro.start(ca, indexes, found)
			return true
		}
		if found := ro.findFirst(ca, groups, len(indexes), freeAfterStops); found != nil {
			ro.reserve(ca, found)
			return true
		}
	}
	if mayPreempt {
		ro.preemptionSearches++
		for _, slots := range groups {
			if ro.preempt(ca, slots, len(indexes)) {
				return true
			}
		}
	}
	if mayHold {
		ro.holdSearches++
		ro.hold(ca, groups[len(groups)-1], len(indexes))
	}
	return false
}

// findFirst returns what find does for the first group of slots on which the tasks fit.
func (ro *round) findFirst(ca candidate, groups [][]*slot, count int, view func(*slot) workload.Resources) []*slot {
	for _, slots := range groups {
		if found := ro.find(ca, slots, count, view); found != nil {
			return found
		}
	}
	return nil
}

// mayStart reports whether the limit of starts allows to start that many tasks of a candidate. If not,
// the work that follows waits too, except more urgent work, so that a large gang is not overtaken by
// smaller work again and again.
func (ro *round) mayStart(ca candidate, count int) bool {
	li := ro.in.Starts
	if li == nil {
		return true
	}
	urgent := ca.terms.Priority == 0
	most := li.Normal
	if urgent {
		most = li.Urgent
	}
	if ro.allFull || ro.full && !urgent {
		return false
	}
	if ro.starts+count <= most || li.Idle && ro.starts == 0 {
		return true
	}
	ro.full, ro.allFull = true, urgent
	return false
}

// leavesHeadroom reports whether the tasks leave enough accelerators free for expected
// urgent work, so that it need not preempt other work.
func (ro *round) leavesHeadroom(ca candidate, count int) bool {
	if ca.terms.Priority == 0 || ro.tu.HeadroomDeviations == 0 {
		return true
	}
	pool := ca.terms.Pool
	deviations, most := ro.headroomOf(ca)
	limit := most * float64(ro.accelerators[pool])
	de := ro.in.Demand[pool]
	headroom := min(de.Mean+deviations*de.Deviation-float64(ro.urgentInUse[pool]), limit)
	return float64(ro.freeAccelerators(pool))-float64(count)*float64(ca.step.Request.Accelerators) >= headroom
}

// freeAccelerators returns the number of accelerators of a pool that are free once all
// stopping runs have ended.
func (ro *round) freeAccelerators(pool identifier.Pool) int {
	free := 0
	for at, slots := range ro.freeCounts[pool] {
		free += at * slots
	}
	return free
}

// start adds new runs to the plan.
func (ro *round) start(ca candidate, indexes []int, found []*slot) {
	ro.reserve(ca, found)
	ro.starts += len(found)
	if ca.terms.Priority == 0 {
		ro.urgentInUse[ca.terms.Pool] += meter.Accelerators(len(found)) * ca.step.Request.Accelerators
	}
	places := make([]Placement, len(indexes))
	for i, index := range indexes {
		places[i] = Placement{Index: index, Worker: found[i].worker.ID, Incarnation: found[i].worker.Incarnation}
	}
	ro.plan.Starts = append(ro.plan.Starts, Start{Job: ca.job, Stage: ca.stage, Placements: places})
}

// reserve subtracts the resources of a candidate's tasks from what is left for later
// candidates.
func (ro *round) reserve(ca candidate, found []*slot) {
	req := ca.step.Reserved()
	for _, sl := range found {
		sl.free = sl.free.Sub(req)
		ro.adjustFree(sl, workload.Resources{}.Sub(req))
		if sl.planned == nil {
			sl.planned = map[*workload.Stage]int{}
		}
		sl.planned[ca.stage]++
		ro.addOccupant(sl, ca.step)
		if ca.suspect {
			sl.unproven++
		}
	}
}

func freeNow(sl *slot) workload.Resources        { return sl.free }
func freeAfterStops(sl *slot) workload.Resources { return sl.freeSoon }

// find returns a slot for each of count identical tasks, or nil if they do not all fit.
// view selects the amount of a slot's resources that counts as free.
func (ro *round) find(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources) []*slot {
	if rack := ca.step.DataRack; rack != "" {
		if found := ro.pack(ca, onRack(slots, rack), count, view); found != nil {
			return found
		}
		if ro.waitsForRack(ca) {
			return nil
		}
	}
	if !ca.step.SameRack || count == 1 {
		return ro.pack(ca, slots, count, view)
	}
	if found := ro.packRack(ca, slots, count, view); found != nil {
		return found
	}
	if ro.waitsForRack(ca) && maxFitOnRack(slots, ca.step.Reserved()) >= count {
		return nil
	}
	return ro.pack(ca, slots, count, view)
}

// waitsForRack reports whether the candidate should still wait for resources on one rack,
// or on the rack of its data.
func (ro *round) waitsForRack(ca candidate) bool {
	most := min(max(rackWaitFactor*ca.step.Estimate, minRackWait), ro.tu.MaxRackWait)
	switch {
	case ca.rank == rankGuaranteed:
		most = minRackWait
	case ca.terms.Priority == 0:
		most = min(most, maxUrgentRackWait)
	}
	return ro.in.WaitTime(ca.job.ID) < most
}
