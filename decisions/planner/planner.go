// Package planner decides which waiting tasks to start on which workers, and which runs to
// preempt for them. A plan is a pure function of its input.
package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Ranks of work. Work of a lower rank is placed first; rank 0 is work within a guarantee.
const (
	rankGuaranteed = 0
	// rankBase is the rank of work of priority 0 beyond its guarantee. Each further
	// priority level adds 1.
	rankBase = 1
)

type (
	// Worker is the planner's view of a worker.
	Worker struct {
		ID          identifier.Worker
		Incarnation workload.Incarnation
		Pool        identifier.Pool
		Zone        identifier.Zone
		Rack        identifier.Rack
		Labels      []identifier.Label
		Capacity    workload.Resources
		// Usable means that new runs may be placed on the worker.
		Usable bool
		// Suspect means that the worker is used only if no other worker fits.
		Suspect bool
		// Factor multiplies the run times of tasks on the worker; 1 is normal, and 0 means that it is not known.
		Factor float64
		// Deviation is the standard deviation of the logarithm of the factor; 0 where nothing shows that
		// workers differ.
		Deviation float64
	}

	// Tuning holds the parameters of the placement decisions.
	Tuning struct {
		// HeadroomDeviations sets the headroom for urgent work: the mean of its demand plus
		// this number of standard deviations is kept free of other work; 0 means no
		// headroom. MaxHeadroom limits the headroom to a fraction of the accelerators of a
		// pool.
		HeadroomDeviations, MaxHeadroom float64
		// UnsavedDeviations and MaxUnsavedHeadroom take their place for gangs that write no checkpoints, which
		// lose all when the room is taken back; 0 means that they do not.
		UnsavedDeviations, MaxUnsavedHeadroom float64
		// SeparationWeight is how strongly urgent work is drawn to the first racks and other
		// work to the last, as a fraction of the capacity of a worker.
		SeparationWeight float64
		// MaxRackWait is the maximum time that a gang waits until it fits on one rack.
		MaxRackWait clock.Millis
		// OrderByObjective means that work which can still meet its objective is placed
		// first, and late work in ascending order of its total work. Otherwise work is placed
		// in order of acceptance.
		OrderByObjective bool
		// DepartByRemaining means that runs on departing workers are stopped by the time until they end.
		// Otherwise all are stopped at the last moment at which they can save.
		DepartByRemaining bool
		// PreemptByValue means that runs are stopped only where the work that starts gains more than they
		// lose and no room becomes free soon by itself; work within a guarantee may wait for such room, but
		// not be refused. Otherwise every preemption that is possible is made.
		PreemptByValue bool
		// HoldByEnd means that room is held for a gang only if it is expected to become free within the time
		// that the gang can wait and that it runs for, and is lent to work that ends before. Otherwise the
		// least occupied room is held without limit.
		HoldByEnd bool
	}

	// Planner makes plans according to its tuning.
	Planner struct{ tu Tuning }

	// Input is the state from which a plan is made.
	Input struct {
		// Now is the time on the scheduler's own clock, which workload.Task.PlacedAt uses too.
		Now clock.Millis
		// Jobs holds the unfinished jobs in order of acceptance.
		Jobs    []*workload.Job
		Workers []Worker
		// Queues holds the terms of the queues of the configuration in force.
		Queues map[identifier.Queue]workload.Terms
		// Guarantees holds the number of accelerators that are guaranteed to each workspace
		// for its work of priority 0.
		Guarantees map[identifier.Workspace]meter.Accelerators
		// Allowed reports whether a worker may run a stage; nil allows all workers.
		Allowed func(jo *workload.Job, st *workload.Stage, id identifier.Worker) bool
		// Costs are the rules that make some workers worse for a task than others, beyond those of the
		// planner itself.
		Costs []Cost
		// Demand is the recent demand of urgent work in each pool.
		Demand map[identifier.Pool]Demand
		// ExpectedRunTime returns the expected run time of a task of a step; if it is nil,
		// the estimate of the step is used.
		ExpectedRunTime func(jo *workload.Job, step int) clock.Millis
		// Remaining returns the time until a run is expected to end, 0 if it is unknown; nil means that it is
		// never known.
		Remaining func(jo *workload.Job, st *workload.Stage, index int) clock.Millis
		// Starts limits how many tasks the plan starts; nil means no limit.
		Starts *StartLimit
		// WaitTime returns the time since the scheduler learned of a job, on its own clock.
		WaitTime func(id identifier.Job) clock.Millis
	}

	// StartLimit is how many tasks a plan may start. Work that does not fit is planned later, so that
	// more urgent work can overtake it; a gang is started whole or not at all.
	StartLimit struct {
		// Normal limits the starts of all work together, Urgent those of work of priority 0 and is not
		// lower.
		Normal, Urgent int
		// Idle means that few starts are outstanding, so that a gang may exceed the limit.
		Idle bool
	}

	// Demand is the mean and the standard deviation of a number of accelerators.
	Demand struct{ Mean, Deviation float64 }

	// Start requests new runs of tasks of one stage; for a gang, of all its tasks.
	Start struct {
		Job   *workload.Job
		Stage *workload.Stage
		// Placements holds the placement of each task to start.
		Placements []Placement
	}

	// Placement is the placement of a task on a worker.
	Placement struct {
		Index       int
		Worker      identifier.Worker
		Incarnation workload.Incarnation
	}

	// Stop requests that a run be stopped; for a gang, the runs of all its members.
	Stop struct {
		Job   *workload.Job
		Stage *workload.Stage
		Index int
		// PreemptedFor is the job for which the resources are freed.
		PreemptedFor identifier.Job
		// Guaranteed means that it is freed for work within a guarantee.
		Guaranteed bool
		// Loss is the work in core-milliseconds that the stop loses, and Gain the work that the other job
		// has done in time because of all stops for it, as estimated. Gain is 0 where it is not weighed.
		Loss, Gain float64
	}

	// Plan is the runs to start and to stop now.
	Plan struct {
		Starts []Start
		Stops  []Stop
		// Held is the number of accelerators that are kept free for gangs that do not fit yet.
		Held meter.Accelerators
	}

	// candidate is a stage with tasks that may be started.
	candidate struct {
		job     *workload.Job
		stage   *workload.Stage
		step    *workload.Step
		terms   workload.Terms
		rank    int
		indexes []int
		order   int
		// suspect means that the tasks that are being placed may crash their workers.
		suspect bool
		// group tells whether the work can meet its objective, and sortKey orders the work
		// within its group. In both, the lower value comes first.
		group   lateness
		sortKey float64
		// pace is what the job loses on slow workers.
		pace pace
	}
)

// New returns a planner with the given tuning.
func New(tu Tuning) *Planner { return &Planner{tu: tu} }

// TermsOf returns the terms that apply to a job. It returns false if none are known, and no task of the job is
// started then.
func (in *Input) TermsOf(jo *workload.Job) (workload.Terms, bool) {
	te, present := in.Queues[jo.Queue]
	return jo.TermsIn(te, present)
}

// Plan makes a plan. It does not modify the input.
func (pl *Planner) Plan(in Input) Plan {
	ro := newRound(pl.tu, in)
	for _, ca := range ro.candidates() {
		ro.place(ca)
	}
	ro.plan.Held = ro.heldAccelerators()
	return ro.plan
}

// candidates returns the stages that may be started, in the order in which they are to be
// placed.
func (ro *round) candidates() []candidate {
	var all []candidate
	for order, jo := range ro.in.Jobs {
		te, known := ro.in.TermsOf(jo)
		if jo.State.Final() || !known {
			continue
		}
		for _, st := range jo.Stages {
			indexes := ro.startable(jo, st)
			if len(indexes) == 0 || !jo.Ready(st) {
				continue
			}
			ca := candidate{
				job: jo, stage: st, step: jo.StepOf(st), terms: te,
				rank: ro.rank(jo, te), indexes: indexes, order: order,
			}
			if ro.tu.OrderByObjective && ca.rank != rankGuaranteed {
				ca.group, ca.sortKey = ro.timeliness(ca)
			}
			all = append(all, ca)
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.group, b.group), cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.order, b.order))
	})
	return all
}

// startable returns the indexes of the tasks of a stage that may be started. A gang may be
// started only if none of its members has a run. Of the tasks under which workers have crashed, one at a
// time is tried again, because all tasks of a step do the same.
func (ro *round) startable(jo *workload.Job, st *workload.Stage) []int {
	if jo.StepOf(st).Gang {
		if !st.Idle() {
			return nil
		}
		return ro.waiting(st, false)
	}
	for i := range st.Tasks {
		if st.Tasks[i].CrashWeight > 0 && st.Unproven(i, false, ro.in.Now) {
			return ro.waiting(st, true)
		}
	}
	indexes := ro.waiting(st, true)
	for i := range st.Tasks {
		if st.Tasks[i].Phase == workload.Waiting && st.Tasks[i].CrashWeight > 0 && st.Tasks[i].NotBefore <= ro.in.Now {
			return append(indexes, i)
		}
	}
	return indexes
}

// waiting returns the indexes of the waiting tasks whose time has come, without those under which workers
// have crashed if trusted is set.
func (ro *round) waiting(st *workload.Stage, trusted bool) []int {
	var indexes []int
	for i := range st.Tasks {
		if st.Tasks[i].Phase == workload.Waiting && st.Tasks[i].NotBefore <= ro.in.Now && (!trusted || st.Tasks[i].CrashWeight == 0) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// rank returns the rank of a job's work.
func (ro *round) rank(jo *workload.Job, te workload.Terms) int {
	if te.Priority == 0 && ro.covered[jo.ID] {
		return rankGuaranteed
	}
	return rankBase + te.Priority
}

// coveredJobs returns the jobs that the guarantees of their workspaces cover: those
// accepted first, as long as their accelerators add up to no more than the guarantee.
func coveredJobs(in Input) map[identifier.Job]bool {
	covered := map[identifier.Job]bool{}
	left := make(map[identifier.Workspace]meter.Accelerators, len(in.Guarantees))
	for ws, most := range in.Guarantees {
		left[ws] = most
	}
	for _, jo := range in.Jobs {
		if te, known := in.TermsOf(jo); !known || te.Priority != 0 || jo.State.Final() {
			continue
		}
		if need := jo.PeakAccelerators(); need <= left[jo.Workspace] {
			left[jo.Workspace] -= need
			covered[jo.ID] = true
		}
	}
	return covered
}
