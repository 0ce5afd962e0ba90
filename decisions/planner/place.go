package planner

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

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
