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
	}

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
		// Waited tells how long a job has waited, on the scheduler's own clock.
		Waited func(id identifier.Job) clock.Millis
	}

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
	}
)

// New plans. The input is not changed.
func New(in Input) Plan {
	ro := newRound(in)
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
			all = append(all, candidate{
				job: jo, stage: st, step: jo.StepOf(st), queue: qu,
				rank: ro.rank(jo, qu), indexes: indexes, order: order,
			})
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order))
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
		if need := needOf(jo); need <= left[jo.Workspace] {
			left[jo.Workspace] -= need
			covered[jo.ID] = true
		}
	}
	return covered
}

// needOf is the most accelerators that a step of the job takes at once.
func needOf(jo *workload.Job) meter.Accelerators {
	var most meter.Accelerators
	for i := range jo.Steps {
		most = max(most, jo.Steps[i].Need.Accelerators*meter.Accelerators(jo.Steps[i].Count))
	}
	return most
}
