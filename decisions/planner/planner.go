// Package planner decides which waiting tasks start where, and which runs make room for
// them. A plan is a pure function of its input.
package planner

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Ranks of work. A lower rank is placed first; rank 0 is work within a guarantee.
const (
	rankGuaranteed = 0
	// rankFirst is that of the first priority beyond its guarantee; each priority adds 1.
	rankFirst = 1
)

type (
	// Worker is a worker as far as placement is concerned.
	Worker struct {
		ID       identifier.Worker
		Life     workload.Life
		Pool     identifier.Pool
		Zone     identifier.Zone
		Rack     identifier.Rack
		Labels   []identifier.Label
		Capacity workload.Room
		// Usable means that new work may be sent there.
		Usable bool
		// Suspect means that it is used only when no other worker fits.
		Suspect bool
	}

	// Queue is the policy of a queue.
	Queue struct {
		Pool identifier.Pool
		// Priority 0 comes first and may preempt others.
		Priority int
		// Attempts is the most failed runs of a task; 0 means no limit.
		Attempts int
		// Stretch and Objective bound the time of a job: Stretch times its work, and
		// Objective more. Stretch 0 means that the queue has no objective.
		Stretch   float64
		Objective clock.Millis
	}

	// Tuning holds the weights of the decisions.
	Tuning struct {
		// Spare is how many deviations above the mean demand of urgent work are kept free of
		// other work; 0 keeps nothing free. MostSpare is the share of a pool's accelerators
		// that bounds it.
		Spare, MostSpare float64
		// Apart is how strongly urgent work is kept to the first racks and other work to the
		// last, in shares of a worker's room.
		Apart float64
		// RackPatience is the longest wait of a gang for room on one rack.
		RackPatience clock.Millis
		// Ordered means that work which can still be in time comes first, then that of least
		// work; otherwise the first accepted comes first.
		Ordered bool
	}

	// Planner decides by its tuning.
	Planner struct{ tu Tuning }

	// Input is what a plan rests on.
	Input struct {
		// Now is the scheduler's own clock, as in workload.Task.Since.
		Now clock.Millis
		// Jobs are those that are not finished, in order of acceptance.
		Jobs    []*workload.Job
		Workers []Worker
		Queues  map[identifier.Queue]Queue
		// Guarantees holds the accelerators that belong to each workspace for its work
		// of priority 0.
		Guarantees map[identifier.Workspace]meter.Accelerators
		// Allowed tells whether a worker may run a stage; nil allows all.
		Allowed func(jo *workload.Job, st *workload.Stage, id identifier.Worker) bool
		// Demand is what urgent work lately needed of each pool.
		Demand map[identifier.Pool]Demand
		// Expected tells how long a task of a step runs; nil stands for its estimate.
		Expected func(jo *workload.Job, step int) clock.Millis
		// Waited tells how long a job has waited, on the scheduler's own clock.
		Waited func(id identifier.Job) clock.Millis
	}

	// Demand is a number of accelerators, and by how much it usually differs.
	Demand struct{ Mean, Deviation float64 }

	// Start asks for new runs of tasks of one stage; for a gang, of all its tasks.
	Start struct {
		Job   *workload.Job
		Stage *workload.Stage
		// Places holds the worker of each task that starts.
		Places []Place
	}

	// Place is a task and its worker.
	Place struct {
		Index  int
		Worker identifier.Worker
		Life   workload.Life
	}

	// Stop asks for the end of a run, for a gang of all its members.
	Stop struct {
		Job   *workload.Job
		Stage *workload.Stage
		Index int
		// For names the job that needs the room.
		For identifier.Job
	}

	// Plan is what to do now.
	Plan struct {
		Starts []Start
		Stops  []Stop
	}

	// candidate is a stage with tasks that may start.
	candidate struct {
		job     *workload.Job
		stage   *workload.Stage
		step    *workload.Step
		queue   Queue
		rank    int
		indexes []int
		order   int
		// late is the group of work by its objective, and urge its place within the group;
		// lower comes first.
		late lateness
		urge float64
	}
)

// New returns a planner.
func New(tu Tuning) *Planner { return &Planner{tu: tu} }

// Plan decides what to do now. The input is not changed.
func (pl *Planner) Plan(in Input) Plan {
	ro := newRound(pl.tu, in)
	for _, ca := range ro.candidates() {
		ro.serve(ca)
	}
	return ro.plan
}

// candidates lists the stages that may start, the first to be served first.
func (ro *round) candidates() []candidate {
	var all []candidate
	for order, jo := range ro.in.Jobs {
		qu, known := ro.in.Queues[jo.Queue]
		if jo.State.Final() || !known {
			continue
		}
		for _, st := range jo.Stages {
			indexes := startable(jo, st)
			if len(indexes) == 0 || !jo.Ready(st) {
				continue
			}
			ca := candidate{
				job: jo, stage: st, step: jo.StepOf(st), queue: qu,
				rank: ro.rank(jo, qu), indexes: indexes, order: order,
			}
			if ro.tu.Ordered && ca.rank != rankGuaranteed {
				ca.late, ca.urge = ro.timeliness(ca)
			}
			all = append(all, ca)
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.late, b.late), cmp.Compare(a.urge, b.urge), cmp.Compare(a.order, b.order))
	})
	return all
}

// startable lists the tasks of a stage that may be given a run; a gang starts only when
// none of its members has one.
func startable(jo *workload.Job, st *workload.Stage) []int {
	if jo.StepOf(st).Gang && !st.Idle() {
		return nil
	}
	var indexes []int
	for i := range st.Tasks {
		if st.Tasks[i].Phase == workload.Waiting {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// rank is the place of a job's work in the order of service.
func (ro *round) rank(jo *workload.Job, qu Queue) int {
	if qu.Priority == 0 && ro.covered[jo.ID] {
		return rankGuaranteed
	}
	return rankFirst + qu.Priority
}

// coverage finds the jobs that their workspace's guarantee covers: the first accepted,
// as long as their sum fits.
func coverage(in Input) map[identifier.Job]bool {
	covered := map[identifier.Job]bool{}
	left := make(map[identifier.Workspace]meter.Accelerators, len(in.Guarantees))
	for ws, most := range in.Guarantees {
		left[ws] = most
	}
	for _, jo := range in.Jobs {
		if qu, known := in.Queues[jo.Queue]; !known || qu.Priority != 0 || jo.State.Final() {
			continue
		}
		if need := jo.Widest(); need <= left[jo.Workspace] {
			left[jo.Workspace] -= need
			covered[jo.ID] = true
		}
	}
	return covered
}
