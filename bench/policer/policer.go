// Package policer holds the policies that the benchmarks compare behind one interface: the
// scheduler of the product, and simple ones to measure it against.
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

// Product is the scheduler of the product.
type Product struct {
	zone      *placer.Zone
	line      *scheduler.Scheduler
	estimates *estimator.Estimator
	jobs      map[identifier.Job]generator.Job
}

// NewProduct returns the product's scheduler for a load.
func NewProduct(lo generator.Load, po scheduler.Policy) *Product {
	zo := placer.New(lo.Size.Workers())
	if short := zo.SetGuarantees(lo.Guarantees); len(short) > 0 {
		panic("the guarantees of the load cannot be packed")
	}
	pr := &Product{
		zone:      zo,
		line:      scheduler.New(po, zo),
		estimates: estimator.New(),
		jobs:      map[identifier.Job]generator.Job{},
	}
	for _, ws := range lo.Workspaces {
		pr.line.SetWorkspace(ws)
	}
	return pr
}

func kindOf(jo generator.Job) estimator.Kind {
	return estimator.Kind{Workspace: jo.Workspace, Name: jo.Kind}
}

// Submit adds a job to the line.
func (pr *Product) Submit(jo generator.Job) {
	jo.Expected = pr.estimates.Expect(kindOf(jo), jo.Declared)
	pr.jobs[jo.ID] = jo
	pr.line.Wait(jo.Job)
}

// Finished frees what a job used.
func (pr *Product) Finished(id identifier.Job, now clock.Millis) {
	jo := pr.jobs[id]
	if ru, runs := pr.line.Running(id); runs && jo.Preemptions == 0 {
		pr.estimates.Learn(kindOf(jo), jo.Declared, now-ru.Started)
	}
	pr.line.Remove(id)
	delete(pr.jobs, id)
}

// Stopped puts a preempted job back into the line.
func (pr *Product) Stopped(id identifier.Job) {
	jo := pr.jobs[id]
	jo.Preemptions++
	pr.jobs[id] = jo
	pr.line.Wait(jo.Job)
}

// Round decides what to start and what to preempt.
func (pr *Product) Round(now clock.Millis) ([]identifier.Job, []identifier.Job) {
	var starts, preempts []identifier.Job
	for _, de := range pr.line.Round(now) {
		if len(de.Preempt) > 0 {
			preempts = append(preempts, de.Preempt...)
			continue
		}
		starts = append(starts, de.Job.ID)
	}
	return starts, preempts
}

// Free is what no gang uses, worker by worker.
func (pr *Product) Free() []meter.Accelerators { return pr.zone.FreeByWorker() }

// Previous is the policy of the version before: blocks are kept for gangs early, none are
// spared for what is asked for often, and gangs are moved only for a large gain.
func Previous(pr scheduler.Preset) scheduler.Policy {
	po := scheduler.For(pr)
	po.WeighsDemand = false
	po.HoldRatio = 1
	po.CompactGain = 4
	po.CompactShare = 0
	if pr == scheduler.Fragmentation {
		po.MostHolds = 2
		po.HoldRatio = 0.25
	}
	return po
}

// Guaranteed reports whether an unused guarantee covers the job, with no other job in the
// line before it.
func (pr *Product) Guaranteed(jo generator.Job) bool {
	if pr.zone.Unused(jo.Workspace, jo.Shape) == nil {
		return false
	}
	for id, other := range pr.jobs {
		if _, runs := pr.line.Running(id); !runs && other.Workspace == jo.Workspace {
			return false
		}
	}
	return true
}
