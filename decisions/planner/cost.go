package planner

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
)

// Costs are expected milliseconds that jobs lose against their objectives.
const (
	// workerMillis is the cost of a whole worker that is left free in pieces. It is a power of two, so that
	// it scales without rounding.
	workerMillis = 1024.0
	// suspectMillis exceeds the costs of room, distance and speed, so that suspect workers come last.
	suspectMillis = 1024 * workerMillis
	// isolationMillis exceeds them too, so that a task that may crash its worker shares one only if it must,
	// least of all with another such task.
	isolationMillis = suspectMillis / 2
)

type (
	// Place is a worker that is considered for one more task of a stage.
	Place struct {
		Job   *workload.Job
		Stage *workload.Stage
		// Urgent means that the queue of the job has priority 0.
		Urgent bool
		Worker *Worker
		// Occupants holds the step of each run on the worker and of each task that the plan places there.
		Occupants []*workload.Step
	}

	// Cost is a rule that makes some workers worse for a task than others. All rules share one unit, so that
	// they are weighed against each other.
	Cost interface {
		// Millis returns how much longer the job is expected to take beyond its objective, in milliseconds,
		// if the task runs there.
		Millis(pl Place) float64
	}
)

// fixedCost returns the cost of a worker for a candidate that does not depend on the room that is left there.
func (ro *round) fixedCost(ca candidate, sl *slot) float64 {
	cost := ro.separation(ca, sl)
	if sl.worker.Suspect {
		cost += suspectMillis
	}
	cost += isolationMillis * isolation(ca, sl)
	return cost + ro.paceCost(ca, sl) + ro.ruleCost(ca, sl)
}

// ruleCost returns the cost of a worker by the rules of the input.
func (ro *round) ruleCost(ca candidate, sl *slot) float64 {
	cost := 0.0
	for _, rule := range ro.in.Costs {
		cost += rule.Millis(Place{Job: ca.job, Stage: ca.stage, Urgent: ca.terms.Priority == 0, Worker: sl.worker, Occupants: sl.occupants})
	}
	return cost
}

// rackCost returns the cost of the room that a rack has, which is better left to work that needs more of it,
// and of the workers that are chosen there.
func (ro *round) rackCost(ca candidate, group, found []*slot, view func(*slot) workload.Resources) float64 {
	cost := 0.0
	for _, sl := range group {
		cost += remainder(view(sl), sl.worker)
	}
	cost += ro.separation(ca, group[0]) * float64(len(group))
	for _, sl := range found {
		cost += ro.ruleCost(ca, sl) + ro.paceCost(ca, sl)
	}
	return cost + gangCost(ca, found)
}

// remainder answers fragmented fleets: it is the cost of the room that is left free on a worker.
func remainder(left workload.Resources, wo *Worker) float64 {
	return workerMillis * share(left, wo.Capacity)
}

// separation answers long work that fragments the room of urgent gangs.
func (ro *round) separation(ca candidate, sl *slot) float64 {
	return workerMillis * ro.tu.SeparationWeight * ro.rackDistance(ca, sl)
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
	if ca.terms.Priority == 0 {
		return position
	}
	return 1 - position
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
