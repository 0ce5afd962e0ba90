package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// States of a worker.
const (
	// WorkerLive means that the worker may get new work.
	WorkerLive WorkerState = iota
	// WorkerDraining means that it gets none because it is draining or in maintenance.
	WorkerDraining
	// WorkerQuarantined means that it temporarily gets none because runs failed there, it
	// refused one, or maintenance of its machine has begun.
	WorkerQuarantined
	// WorkerUnresponsive means that it has not answered the last poll, has not answered any
	// poll yet, or is no longer listed by the platform.
	WorkerUnresponsive
	// WorkerEvacuated means that it gets none because its zone is evacuated.
	WorkerEvacuated
)

type (
	// WorkerState tells whether a worker may get new work, and why not.
	WorkerState int

	// View is a consistent copy of the leader's state.
	View struct {
		Fence meter.LeaseEpoch
		// Jobs are those that have not been moved to the table of ended jobs, in order of
		// acceptance.
		Jobs []JobView
		// Workers are sorted by id.
		Workers []WorkerView
		// Workspaces are those of the configuration in force.
		Workspaces []policy.Workspace
		// Evacuations holds the evacuated zones.
		Evacuations fleet.Evacuations
		// Pairs are those of which there is evidence, Named those that operators have named, and Judgments
		// describe workers whose tasks are slow.
		Pairs     []separator.Pair
		Named     separator.Names
		Judgments []separator.Judgment
	}

	// JobView is a job and what it waits for.
	JobView struct {
		Job workload.Job
		// Urgent means that its queue has priority 0.
		Urgent bool
		// Waited is the time since this leader learned of the job.
		Waited clock.Millis
		// Why says for each step what it waits for, or how far it has progressed, and last whether the queue is
		// gone.
		Why []string
	}

	// WorkerView is a worker and the tasks that use its resources.
	WorkerView struct {
		Report fleet.Report
		State  WorkerState
		Free   workload.Resources
		Tasks  []workload.TaskKey
		// Speed is what is known of the worker's speed, and SpeedAge the time since a run was last measured.
		Speed    gauger.Gauge
		SpeedAge clock.Millis
	}
)

// View copies the state of the current term; it returns false if this instance is not the
// leader or has not loaded the jobs and the configuration yet.
func (co *Controller) View() (View, bool) {
	te := co.term.Load()
	if te == nil {
		return View{}, false
	}
	te.mu.Lock()
	defer te.mu.Unlock()
	po := co.Policies.Current()
	if !te.loaded || po == nil {
		return View{}, false
	}
	now := te.Clock.Now()
	vi := View{Fence: te.fence, Workspaces: slices.Clone(po.Workspaces), Named: te.op.NamedPairs}
	if te.op.MaxEvacuationAge > 0 {
		vi.Evacuations = te.Policies.Evacuations()
	}
	vi.Pairs, vi.Judgments = te.interference.separator.Pairs(), te.interference.separator.Judgments()
	for _, wo := range te.workers {
		vi.Workers = append(vi.Workers, te.viewWorker(wo, now))
	}
	slices.SortFunc(vi.Workers, func(a, b WorkerView) int { return cmp.Compare(a.Report.ID, b.Report.ID) })
	for _, en := range te.sortedJobs() {
		vi.Jobs = append(vi.Jobs, te.viewJob(en, po, vi.Workers, now))
	}
	return vi, true
}

func (te *term) viewWorker(wo *worker, now clock.Millis) WorkerView {
	view := WorkerView{Report: wo.report, Free: wo.report.Capacity}
	view.Report.ID = wo.id
	if view.Speed = te.gauger.Gauge(wo.id, wo.report.Incarnation, now); view.Speed.Runs > 0 {
		view.SpeedAge = now - view.Speed.At
	}
	switch {
	case wo.report.Draining || wo.inMaintenance:
		view.State = WorkerDraining
	case !wo.contacted || !wo.listed || wo.failures >= unusableAfterFailures:
		view.State = WorkerUnresponsive
	case te.evacuated(wo.report.Zone):
		view.State = WorkerEvacuated
	case now < wo.blockedUntil:
		view.State = WorkerQuarantined
	}
	for key := range wo.runs {
		view.Tasks = append(view.Tasks, key)
		if step := te.stepOf(key); step != nil {
			view.Free = view.Free.Sub(step.Reserved())
		}
	}
	slices.SortFunc(view.Tasks, func(a, b workload.TaskKey) int { return cmp.Compare(a.String(), b.String()) })
	return view
}

func (te *term) viewJob(en *entry, po *policy.Policy, workers []WorkerView, now clock.Millis) JobView {
	view := JobView{Job: *en.job, Waited: now - en.learnedAt}
	view.Job.Stages = make([]*workload.Stage, 0, len(en.job.Stages))
	for _, st := range en.job.Stages {
		copied := *st
		copied.Tasks = slices.Clone(st.Tasks)
		view.Job.Stages = append(view.Job.Stages, &copied)
	}
	terms, known := po.TermsOf(en.job)
	if !known {
		view.Why = []string{fmt.Sprintf("queue %s is no longer in the configuration, and the terms of the job's acceptance were not recorded: configure a queue of that name", en.job.Queue)}
		return view
	}
	view.Urgent = terms.Priority == 0
	pool := workersInPool(workers, terms.Pool)
	for _, st := range en.job.Stages {
		view.Why = append(view.Why, te.explainStage(en.job, st, terms, pool))
	}
	if len(en.job.Stages) == 0 {
		view.Why = []string{"the next occurrence is not due yet"}
	}
	if po.Queue(en.job.Queue) == nil {
		view.Why = append(view.Why, fmt.Sprintf("queue %s is no longer in the configuration; the terms of the job's acceptance apply: pool %s, priority %d", en.job.Queue, terms.Pool, terms.Priority))
	}
	return view
}

// workersInPool lists the workers of a pool.
func workersInPool(workers []WorkerView, pool identifier.Pool) []WorkerView {
	var matching []WorkerView
	for _, wo := range workers {
		if wo.Report.Pool == pool {
			matching = append(matching, wo)
		}
	}
	return matching
}

// explainStage describes what a stage waits for, or how far it has progressed.
func (te *term) explainStage(jo *workload.Job, st *workload.Stage, terms workload.Terms, pool []WorkerView) string {
	step := jo.StepOf(st)
	var waiting, held, done int
	for i := range st.Tasks {
		switch {
		case st.Tasks[i].Held():
			held++
		case st.Tasks[i].Phase == workload.Done:
			done++
		default:
			waiting++
		}
	}
	name := fmt.Sprintf("step %d of occurrence %d", st.Step, st.Occurrence)
	switch {
	case jo.State.Final():
		return fmt.Sprintf("%s: the job is %s, %d runs have not completed yet", name, jo.State, held)
	case !jo.Ready(st):
		return fmt.Sprintf("%s: waiting for steps %v to complete", name, step.After)
	case waiting == 0:
		return fmt.Sprintf("%s: %d tasks running, %d done%s", name, held, done, te.explainSpeed(jo, st, terms))
	case terms.NeedsAdvice && te.Advisers != nil && te.advice.Approved(adviser.KeyOf(jo, st)) == 0:
		return fmt.Sprintf("%s: %d tasks waiting for the advice service to approve workers", name, waiting)
	}
	return fmt.Sprintf("%s: %d tasks running, %d done, %d waiting for %s", name, held, done, waiting, describeCapacity(step, pool)+te.describeHolders(pool)+te.describeEvacuations(step, pool))
}

// describeCapacity describes the resources that each task of a step requests, and those that
// are free in a pool.
func describeCapacity(step *workload.Step, pool []WorkerView) string {
	var free, largest meter.Accelerators
	usable, fitting := 0, 0
	for _, wo := range pool {
		if wo.State != WorkerLive {
			continue
		}
		usable++
		free += max(wo.Free.Accelerators, 0)
		largest = max(largest, wo.Free.Accelerators)
		if wo.Free.Fits(step.Reserved()) {
			fitting++
		}
	}
	wanted := "capacity"
	if step.Gang {
		wanted = "capacity at the same time"
		if step.SameRack {
			wanted = "capacity at the same time on one rack"
		}
	}
	return fmt.Sprintf("%s: each requests %d millicores, %d MiB and %d accelerators; %d of %d usable workers have enough free; %d accelerators are free, at most %d on one worker",
		wanted, step.Request.CPU, step.Request.Memory, step.Request.Accelerators, fitting, usable, free, largest)
}

// describeEvacuations names the evacuated zones with workers of a pool, and what they would have free.
func (te *term) describeEvacuations(step *workload.Step, pool []WorkerView) string {
	workers, fitting := map[identifier.Zone]int{}, map[identifier.Zone]int{}
	for _, wo := range pool {
		if wo.State != WorkerEvacuated {
			continue
		}
		workers[wo.Report.Zone]++
		if wo.Free.Fits(step.Reserved()) {
			fitting[wo.Report.Zone]++
		}
	}
	var text strings.Builder
	for _, zone := range slices.Sorted(maps.Keys(workers)) {
		fmt.Fprintf(&text, "; zone %s is evacuated by row version %d: its %d workers get no new runs, %d of them have enough free",
			zone, te.Policies.Evacuations()[zone], workers[zone], fitting[zone])
	}
	return text.String()
}
