package planner

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// filters are the rules by which a worker may take a new run of a stage. A worker that one of them rejects
// is not used, however great the need.
var filters = []func(ro *round, ca *candidate, sl *slot) bool{isUsable, isLarge, isLabelled, isAdvised}

// isUsable answers load on workers that are leaving, silent, failing, or in an evacuated zone, and keeps the
// workers that are held for gangs.
func isUsable(ro *round, ca *candidate, sl *slot) bool {
	return (!sl.held || ro.backfills(ca, sl)) && sl.worker.Usable && sl.worker.Pool == ca.queue.Pool
}

// isLarge answers tasks that are larger than some workers.
func isLarge(_ *round, ca *candidate, sl *slot) bool {
	return sl.worker.Capacity.Fits(ca.step.Reserved())
}

// isLabelled answers tasks that only some kinds of workers can run.
func isLabelled(_ *round, ca *candidate, sl *slot) bool {
	return ca.step.Requires == "" || slices.Contains(sl.worker.Labels, ca.step.Requires)
}

// isAdvised answers queues for which an advice service chooses the workers.
func isAdvised(ro *round, ca *candidate, sl *slot) bool {
	return ro.in.Allowed == nil || ro.in.Allowed(ca.job, ca.stage, sl.worker.ID)
}

// allowed returns the slots that may run the tasks. Slots on which the last run of one of
// the tasks failed are returned only if there are no others.
func (ro *round) allowed(ca candidate, indexes []int) []*slot {
	slots := make([]*slot, 0, len(ro.slots))
	var failed []*slot
	lastFailedOn := failedOn(ca, indexes)
	for _, sl := range ro.slots {
		if !ro.passes(&ca, sl) {
			continue
		}
		if slices.Contains(lastFailedOn, sl.worker.ID) {
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

// passes reports whether all filters let the worker take a run of the candidate's stage.
func (ro *round) passes(ca *candidate, sl *slot) bool {
	for _, allows := range filters {
		if !allows(ro, ca, sl) {
			return false
		}
	}
	return true
}

// failedOn returns the workers on which the last runs of the tasks failed.
func failedOn(ca candidate, indexes []int) []identifier.Worker {
	var workers []identifier.Worker
	for _, i := range indexes {
		if wo := ca.stage.Tasks[i].FailedOn; wo != "" {
			workers = append(workers, wo)
		}
	}
	return workers
}
