package policer

import (
	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

type (
	// Baseline is a policy that places jobs in order of arrival, without guarantees, holds or
	// preemption.
	Baseline struct {
		// strict means that no job starts before an earlier one that does not fit.
		strict bool
		// bestFit means that a gang goes to the worker or rack with the least free accelerators
		// among those on which it fits. Otherwise it goes to the first one.
		bestFit bool
		perRack int
		free    []meter.Accelerators
		waiting []generator.Job
		running map[identifier.Job]allocation
		// changed means that a job has arrived or finished since the last round. Rounds
		// without changes are skipped.
		changed bool
	}

	// allocation holds the number of accelerators that a job occupies, by the index of the
	// worker.
	allocation map[int]meter.Accelerators
)

// FirstFit returns a baseline that starts jobs strictly in order of arrival, each in the
// first place where it fits.
func FirstFit(lo generator.Load) *Baseline { return newBaseline(lo, true, false) }

// BestFit returns a baseline that starts every job that fits, each in the place where it
// leaves the fewest accelerators free.
func BestFit(lo generator.Load) *Baseline { return newBaseline(lo, false, true) }

func newBaseline(lo generator.Load, strict, bestFit bool) *Baseline {
	ba := &Baseline{strict: strict, bestFit: bestFit, perRack: lo.Size.WorkersPerRack, running: map[identifier.Job]allocation{}}
	for range lo.Size.Racks * lo.Size.WorkersPerRack {
		ba.free = append(ba.free, lo.Size.Accelerators)
	}
	return ba
}

// Submit adds a job to the queue.
func (ba *Baseline) Submit(jo generator.Job) {
	ba.waiting = append(ba.waiting, jo)
	ba.changed = true
}

// Complete frees the accelerators of a job.
func (ba *Baseline) Complete(id identifier.Job, _ clock.Millis) {
	for index, allocated := range ba.running[id] {
		ba.free[index] += allocated
	}
	delete(ba.running, id)
	ba.changed = true
}

// Requeue does nothing: it is never called, because a baseline does not preempt.
func (ba *Baseline) Requeue(identifier.Job) {}

// Round starts the jobs that fit.
func (ba *Baseline) Round(clock.Millis) ([]identifier.Job, []identifier.Job) {
	var starts []identifier.Job
	if !ba.changed {
		return nil, nil
	}
	ba.changed = false
	remaining := ba.waiting[:0]
	refused := map[placer.Shape]bool{}
	for i, jo := range ba.waiting {
		allocated := ba.place(jo.Shape, refused)
		if allocated != nil {
			ba.running[jo.ID] = allocated
			starts = append(starts, jo.ID)
			continue
		}
		if ba.strict {
			remaining = append(remaining, ba.waiting[i:]...)
			break
		}
		remaining = append(remaining, jo)
	}
	ba.waiting = remaining
	return starts, nil
}

// Free returns the number of free accelerators of each worker.
func (ba *Baseline) Free() []meter.Accelerators { return ba.free }

// place allocates accelerators for a gang and returns them, or nil if the gang does not fit.
// refused holds the shapes that did not fit earlier in the same round.
func (ba *Baseline) place(sh placer.Shape, refused map[placer.Shape]bool) allocation {
	if refused[sh] {
		return nil
	}
	group := ba.choose(sh)
	if group == nil {
		refused[sh] = true
		return nil
	}
	allocated := allocation{}
	missing := int(sh.Members)
	for _, index := range group {
		take := min(missing, int(ba.free[index]/sh.Accelerators))
		if take > 0 {
			allocated[index] = meter.Accelerators(take) * sh.Accelerators
			ba.free[index] -= allocated[index]
			missing -= take
		}
	}
	return allocated
}

// choose returns the workers among which the gang is placed: one worker, a rack or the whole
// zone, as its adjacency demands. It returns nil if the gang does not fit anywhere.
func (ba *Baseline) choose(sh placer.Shape) []int {
	size := len(ba.free)
	switch sh.Adjacency {
	case placer.OneWorker:
		size = 1
	case placer.OneRack:
		size = ba.perRack
	}
	var chosen []int
	chosenFree := meter.Accelerators(0)
	for from := 0; from < len(ba.free); from += size {
		group, fits, free := ba.group(from, size, sh)
		if fits < int(sh.Members) || chosen != nil && free >= chosenFree {
			continue
		}
		chosen, chosenFree = group, free
		if !ba.bestFit {
			break
		}
	}
	return chosen
}

// group returns the indexes of size workers, starting at from, how many members of the gang
// fit on them, and the number of their free accelerators.
func (ba *Baseline) group(from, size int, sh placer.Shape) ([]int, int, meter.Accelerators) {
	var group []int
	fits, free := 0, meter.Accelerators(0)
	for index := from; index < from+size; index++ {
		group = append(group, index)
		fits += int(ba.free[index] / sh.Accelerators)
		free += ba.free[index]
	}
	return group, fits, free
}

// Guaranteed returns false, because a baseline has no guarantees.
func (ba *Baseline) Guaranteed(generator.Job) bool { return false }
