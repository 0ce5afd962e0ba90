package planner

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// suspectPenalty exceeds any other score, so that suspect workers come last.
	suspectPenalty = 10.0
	// isolationPenalty exceeds the scores of capacity and racks, so that a task that may crash its worker
	// shares one only if it must, least of all with another such task.
	isolationPenalty = 5.0

	// unlimited is the number of tasks per worker of a step without a spread limit.
	unlimited = 1 << 30
)

func onRack(slots []*slot, rack identifier.Rack) []*slot {
	var matching []*slot
	for _, sl := range slots {
		if sl.worker.Rack == rack {
			matching = append(matching, sl)
		}
	}
	return matching
}

// racks groups slots by rack. The slots must be ordered by rack.
func racks(slots []*slot) [][]*slot {
	var all [][]*slot
	from := 0
	for i := 1; i <= len(slots); i++ {
		if i == len(slots) || slots[i].worker.Rack != slots[from].worker.Rack {
			all = append(all, slots[from:i])
			from = i
		}
	}
	return all
}

// packRack places all tasks on one rack: the one with the least free resources, adjusted by
// rackDistance. It returns nil if the tasks do not fit on any single rack.
func (ro *round) packRack(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources) []*slot {
	var best []*slot
	least := 0.0
	for _, group := range racks(slots) {
		found := ro.pack(ca, group, count, view)
		if found == nil {
			continue
		}
		var left float64
		for _, sl := range group {
			left += share(view(sl), sl.worker.Capacity)
		}
		left += ro.tu.SeparationWeight * ro.rackDistance(ca, group[0]) * float64(len(group))
		if best == nil || left < least {
			best, least = found, left
		}
	}
	return best
}

// pack chooses a slot for each task by best fit. It returns nil if the tasks do not all
// fit.
func (ro *round) pack(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources) []*slot {
	req := ca.step.Reserved()
	left := make([]workload.Resources, len(slots))
	spread := make([]int, len(slots))
	for i, sl := range slots {
		left[i] = view(sl)
		spread[i] = spreadLeft(ca, sl)
	}
	found := make([]*slot, 0, count)
	for range count {
		best, lowest := -1, 0.0
		for i, sl := range slots {
			if spread[i] == 0 || !left[i].Fits(req) {
				continue
			}
			score := share(left[i].Sub(req), sl.worker.Capacity)
			score += ro.tu.SeparationWeight * ro.rackDistance(ca, sl)
			if sl.worker.Suspect {
				score += suspectPenalty
			}
			score += isolationPenalty * isolation(ca, sl)
			if best < 0 || score < lowest {
				best, lowest = i, score
			}
		}
		if best < 0 {
			return nil
		}
		left[best] = left[best].Sub(req)
		spread[best]--
		found = append(found, slots[best])
	}
	return found
}

// isolation returns how much a candidate should avoid a slot, from 0 to 2, because it or a run there may
// crash the worker.
func isolation(ca candidate, sl *slot) float64 {
	avoid := 0.0
	if sl.unproven > 0 {
		avoid++
	}
	if ca.suspect && sl.occupied > 0 {
		avoid++
	}
	return avoid
}

// rackDistance returns how far a slot is, from 0 to 1, from the end of the rack order that
// is preferred for the candidate's class of work: the first racks for urgent work, the last
// for other work. The separation keeps long-lived work from fragmenting the resources that
// short urgent work frees.
func (ro *round) rackDistance(ca candidate, sl *slot) float64 {
	position := float64(sl.position) / float64(len(ro.slots))
	if ca.queue.Priority == 0 {
		return position
	}
	return 1 - position
}

// spreadLeft returns how many more tasks of the candidate's stage the worker may run.
func spreadLeft(ca candidate, sl *slot) int {
	if ca.step.MaxPerWorker <= 0 {
		return unlimited
	}
	left := ca.step.MaxPerWorker
	for i := range ca.stage.Tasks {
		if ta := &ca.stage.Tasks[i]; ta.Held() && ta.Worker == sl.worker.ID {
			left--
		}
	}
	return max(left-sl.planned[ca.stage], 0)
}

// share returns the sum of the fractions of a capacity, one for each resource, that an
// amount of resources makes up.
func share(amount, of workload.Resources) float64 {
	return ratio(float64(amount.CPU), float64(of.CPU)) + ratio(float64(amount.Memory), float64(of.Memory)) +
		ratio(float64(amount.Accelerators), float64(of.Accelerators))
}

func ratio(amount, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return amount / of
}
