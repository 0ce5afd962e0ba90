package policer

import (
	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

type (
	// Baseline places jobs in the order of their arrival, without guarantees, holds or
	// preemption.
	Baseline struct {
		// strict makes the first job that does not fit stop all behind it.
		strict bool
		// best chooses the fullest worker or rack that fits; else the first.
		best    bool
		perRack int
		free    []meter.Accelerators
		waiting []generator.Job
		running map[identifier.Job]use
		// changed means that something has come or gone since the last round.
		changed bool
	}

	// use is what a job takes of each worker.
	use map[int]meter.Accelerators
)

// FirstFit serves strictly in order, each job where it first fits.
func FirstFit(lo generator.Load) *Baseline { return newBaseline(lo, true, false) }

// BestFit lets any job start that fits, each where it leaves the least room over.
func BestFit(lo generator.Load) *Baseline { return newBaseline(lo, false, true) }

func newBaseline(lo generator.Load, strict, best bool) *Baseline {
	ba := &Baseline{strict: strict, best: best, perRack: lo.Size.WorkersPerRack, running: map[identifier.Job]use{}}
	for range lo.Size.Racks * lo.Size.WorkersPerRack {
		ba.free = append(ba.free, lo.Size.Accelerators)
	}
	return ba
}

// Submit adds a job to the line.
func (ba *Baseline) Submit(jo generator.Job) {
	ba.waiting = append(ba.waiting, jo)
	ba.changed = true
}

// Finished frees what a job used.
func (ba *Baseline) Finished(id identifier.Job, _ clock.Millis) {
	for index, taken := range ba.running[id] {
		ba.free[index] += taken
	}
	delete(ba.running, id)
	ba.changed = true
}

// Stopped is never called: nothing is preempted.
func (ba *Baseline) Stopped(identifier.Job) {}

// Round starts what fits.
func (ba *Baseline) Round(clock.Millis) ([]identifier.Job, []identifier.Job) {
	var starts []identifier.Job
	if !ba.changed {
		return nil, nil
	}
	ba.changed = false
	left := ba.waiting[:0]
	refused := map[placer.Shape]bool{}
	for i, jo := range ba.waiting {
		taken := ba.place(jo.Shape, refused)
		if taken != nil {
			ba.running[jo.ID] = taken
			starts = append(starts, jo.ID)
			continue
		}
		if ba.strict {
			left = append(left, ba.waiting[i:]...)
			break
		}
		left = append(left, jo)
	}
	ba.waiting = left
	return starts, nil
}

// Free is what no gang uses, worker by worker.
func (ba *Baseline) Free() []meter.Accelerators { return ba.free }

// place takes room for a gang; nil means that there is none.
func (ba *Baseline) place(sh placer.Shape, refused map[placer.Shape]bool) use {
	if refused[sh] {
		return nil
	}
	part := ba.choose(sh)
	if part == nil {
		refused[sh] = true
		return nil
	}
	taken := use{}
	missing := int(sh.Members)
	for _, index := range part {
		take := min(missing, int(ba.free[index]/sh.Accelerators))
		if take > 0 {
			taken[index] = meter.Accelerators(take) * sh.Accelerators
			ba.free[index] -= taken[index]
			missing -= take
		}
	}
	return taken
}

// choose returns the part of the zone that the gang goes to.
func (ba *Baseline) choose(sh placer.Shape) []int {
	size := len(ba.free)
	switch sh.Adjacency {
	case placer.OneWorker:
		size = 1
	case placer.OneRack:
		size = ba.perRack
	}
	var chosen []int
	chosenRoom := meter.Accelerators(0)
	for from := 0; from < len(ba.free); from += size {
		part, fits, room := ba.part(from, size, sh)
		if fits < int(sh.Members) || chosen != nil && room >= chosenRoom {
			continue
		}
		chosen, chosenRoom = part, room
		if !ba.best {
			break
		}
	}
	return chosen
}

func (ba *Baseline) part(from, size int, sh placer.Shape) ([]int, int, meter.Accelerators) {
	var part []int
	fits, room := 0, meter.Accelerators(0)
	for index := from; index < from+size; index++ {
		part = append(part, index)
		fits += int(ba.free[index] / sh.Accelerators)
		room += ba.free[index]
	}
	return part, fits, room
}

// Guaranteed is always false: there are no guarantees.
func (ba *Baseline) Guaranteed(generator.Job) bool { return false }
