// Package policer provides the policies that the benchmarks compare, behind the interface
// replayer.Policy: the scheduler of wagtailcroft, and simple baselines.
package policer

import (
	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/estimator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
)

// Scheduler is the policy of wagtailcroft: its scheduler, placement and run time estimates.
type Scheduler struct {
	zone      *placer.Zone
	scheduler *scheduler.Scheduler
	estimates *estimator.Estimator
	jobs      map[identifier.Job]generator.Job
}

// NewScheduler returns the policy of wagtailcroft for a load, with the parameters in po.
func NewScheduler(lo generator.Load, po scheduler.Policy) *Scheduler {
	zo := placer.New(lo.Size.Workers())
	if unmet := zo.SetGuarantees(lo.Guarantees); len(unmet) > 0 {
		panic("the guarantees of the load do not fit on its workers")
	}
	sc := &Scheduler{
		zone:      zo,
		scheduler: scheduler.New(po, zo),
		estimates: estimator.New(),
		jobs:      map[identifier.Job]generator.Job{},
	}
	for _, ws := range lo.Workspaces {
		sc.scheduler.SetWorkspace(ws)
	}
	return sc
}

func kindOf(jo generator.Job) estimator.Kind {
	return estimator.Kind{Workspace: jo.Workspace, Name: jo.Kind}
}

// Submit adds a job to the queue.
func (sc *Scheduler) Submit(jo generator.Job) {
	jo.Expected = sc.estimates.Estimate(kindOf(jo), jo.Declared)
	sc.jobs[jo.ID] = jo
	sc.scheduler.Enqueue(jo.Job)
}

// Complete frees the accelerators of a job and learns its run time, unless it was preempted.
func (sc *Scheduler) Complete(id identifier.Job, now clock.Millis) {
	jo := sc.jobs[id]
	if ru, runs := sc.scheduler.Running(id); runs && jo.Preemptions == 0 {
		sc.estimates.Record(kindOf(jo), jo.Declared, now-ru.Started)
	}
	sc.scheduler.Remove(id)
	delete(sc.jobs, id)
}

// Requeue returns a preempted job to the queue.
func (sc *Scheduler) Requeue(id identifier.Job) {
	jo := sc.jobs[id]
	jo.Preemptions++
	sc.jobs[id] = jo
	sc.scheduler.Enqueue(jo.Job)
}

// Round returns the jobs to start and the running jobs to preempt.
func (sc *Scheduler) Round(now clock.Millis) ([]identifier.Job, []identifier.Job) {
	var starts, preempts []identifier.Job
	for _, de := range sc.scheduler.Round(now) {
		if len(de.Preempt) > 0 {
			preempts = append(preempts, de.Preempt...)
			continue
		}
		starts = append(starts, de.Job.ID)
	}
	return starts, preempts
}

// Free returns the number of free accelerators of each worker.
func (sc *Scheduler) Free() []meter.Accelerators { return sc.zone.FreeByWorker() }

// Previous returns the policy of the previous version: blocks are held for waiting gangs
// early, placements do not avoid breaking up blocks that are often requested, and gangs are
// moved only for a large gain.
func Previous(pr scheduler.Preset) scheduler.Policy {
	po := scheduler.PolicyFor(pr)
	po.AvoidFragmentation = false
	po.HoldRatio = 1
	po.MinCompactionGain = 4
	po.MaxMovedFraction = 0
	if pr == scheduler.Fragmentation {
		po.MaxHolds = 2
		po.HoldRatio = 0.25
	}
	return po
}

// Guaranteed reports whether an unused guarantee covers the job and no other job of its
// workspace is waiting.
func (sc *Scheduler) Guaranteed(jo generator.Job) bool {
	if sc.zone.UnusedReservation(jo.Workspace, jo.Shape) == nil {
		return false
	}
	for id, other := range sc.jobs {
		if _, runs := sc.scheduler.Running(id); !runs && other.Workspace == jo.Workspace {
			return false
		}
	}
	return true
}
