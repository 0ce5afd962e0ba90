package planner

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// retryPause is the time after a failure for which a task does not return to the worker where it failed. Work on
// other workers may end meanwhile, and a task that fails at once does not use up its attempts at once.
const retryPause = 1000 * clock.Millis(1)

// filters are the rules by which a worker may take a new run of a stage. A worker that one of them rejects
// is not used, however great the need.
var filters = []func(ro *round, ca *candidate, sl *slot) bool{isUsable, isLarge, isLabelled, isAdvised}

// isUsable answers load on workers that are leaving, silent, failing, or in an evacuated zone, and keeps the
// workers that are held for gangs.
func isUsable(ro *round, ca *candidate, sl *slot) bool {
	return (!sl.held || ro.backfills(ca, sl)) && sl.worker.Usable && sl.worker.Pool == ca.terms.Pool
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

// allowed returns the slots that may run the tasks, in the order in which they are to be searched: first those
// on which none of the tasks has failed last, then, if there are more, all of them. Where one of them has
// failed less than retryPause ago is left out.
func (ro *round) allowed(ca candidate, indexes []int) [][]*slot {
	all := make([]*slot, 0, len(ro.slots))
	var fresh []*slot
	failedAt := lastFailures(ca, indexes)
	for _, sl := range ro.slots {
		if !ro.passes(&ca, sl) {
			continue
		}
		at, failed := failedAt[sl.worker.ID]
		if failed && ro.in.Now-at < retryPause {
			continue
		}
		all = append(all, sl)
		if failedAt != nil && !failed {
			fresh = append(fresh, sl)
		}
	}
	if len(fresh) == 0 || len(fresh) == len(all) {
		return [][]*slot{all}
	}
	return [][]*slot{fresh, all}
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

// lastFailures returns the workers on which the tasks failed last, and when.
func lastFailures(ca candidate, indexes []int) map[identifier.Worker]clock.Millis {
	var failedAt map[identifier.Worker]clock.Millis
	for _, i := range indexes {
		ta := &ca.stage.Tasks[i]
		if ta.FailedOn == "" {
			continue
		}
		if failedAt == nil {
			failedAt = map[identifier.Worker]clock.Millis{}
		}
		failedAt[ta.FailedOn] = max(failedAt[ta.FailedOn], ta.FailedAt)
	}
	return failedAt
}

// pausedWorker returns the worker to which a task may not return yet because it has just failed there, or an empty
// ID.
func (ro *round) pausedWorker(ca candidate, index int) identifier.Worker {
	if ta := &ca.stage.Tasks[index]; ta.FailedOn != "" && ro.in.Now-ta.FailedAt < retryPause {
		return ta.FailedOn
	}
	return ""
}
