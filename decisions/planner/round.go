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
