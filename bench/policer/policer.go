// Package policer provides the policies that the benchmarks compare: the scheduler of
// wagtailcroft, and simple baselines.
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

// Product is the policy of wagtailcroft: its scheduler, placement and run time estimates.
type Product struct {
	zone      *placer.Zone
	scheduler *scheduler.Scheduler
	estimates *estimator.Estimator
	jobs      map[identifier.Job]generator.Job
}

// NewProduct returns the policy of wagtailcroft for a load, with the bounds in po.
func NewProduct(lo generator.Load, po scheduler.Policy) *Product {
	zo := placer.New(lo.Size.Workers())
	if unmet := zo.SetGuarantees(lo.Guarantees); len(unmet) > 0 {
		panic("the guarantees of the load do not fit on its workers")
	}
	pr := &Product{
		zone:      zo,
		scheduler: scheduler.New(po, zo),
		estimates: estimator.New(),
		jobs:      map[identifier.Job]generator.Job{},
	}
	for _, ws := range lo.Workspaces {
		pr.scheduler.SetWorkspace(ws)
	}
	return pr
}

func kindOf(jo generator.Job) estimator.Kind {
	return estimator.Kind{Workspace: jo.Workspace, Name: jo.Kind}
}

// Submit adds a job to the queue.
func (pr *Product) Submit(jo generator.Job) {
	jo.Expected = pr.estimates.Estimate(kindOf(jo), jo.Declared)
	pr.jobs[jo.ID] = jo
	pr.scheduler.Enqueue(jo.Job)
}

// Finished frees the accelerators of a job and learns its run time, unless it was preempted.
func (pr *Product) Finished(id identifier.Job, now clock.Millis) {
	jo := pr.jobs[id]
	if ru, runs := pr.scheduler.Running(id); runs && jo.Preemptions == 0 {
		pr.estimates.Record(kindOf(jo), jo.Declared, now-ru.Started)
	}
	pr.scheduler.Remove(id)
	delete(pr.jobs, id)
}

// Stopped returns a preempted job to the queue.
func (pr *Product) Stopped(id identifier.Job) {
	jo := pr.jobs[id]
	jo.Preemptions++
	pr.jobs[id] = jo
	pr.scheduler.Enqueue(jo.Job)
}

// Round returns the jobs to start and the running jobs to preempt.
func (pr *Product) Round(now clock.Millis) ([]identifier.Job, []identifier.Job) {
	var starts, preempts []identifier.Job
	for _, de := range pr.scheduler.Round(now) {
		if len(de.Preempt) > 0 {
			preempts = append(preempts, de.Preempt...)
			continue
		}
		starts = append(starts, de.Job.ID)
	}
	return starts, preempts
}

// Free returns the number of free accelerators of each worker.
func (pr *Product) Free() []meter.Accelerators { return pr.zone.FreeByWorker() }

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
func (pr *Product) Guaranteed(jo generator.Job) bool {
	if pr.zone.UnusedReservation(jo.Workspace, jo.Shape) == nil {
		return false
	}
	for id, other := range pr.jobs {
		if _, runs := pr.scheduler.Running(id); !runs && other.Workspace == jo.Workspace {
			return false
		}
	}
	return true
}
