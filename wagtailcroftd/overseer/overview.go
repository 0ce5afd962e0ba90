package overseer

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/controller"
)

var targetStates = map[controller.WorkerState]operator.TargetViewState{
	controller.WorkerLive:         operator.TargetViewStateLive,
	controller.WorkerDraining:     operator.TargetViewStateLeaving,
	controller.WorkerQuarantined:  operator.TargetViewStateQuarantined,
	controller.WorkerUnresponsive: operator.TargetViewStateSilent,
	controller.WorkerEvacuated:    operator.TargetViewStateEvacuated,
}

// newOverview converts the controller's view to a message.
func newOverview(in identifier.Instance, view controller.View) operator.Overview {
	snapshot := operator.Overview{
		Deciding: true, Instance: in, Fence: view.Fence,
		Jobs: []operator.JobView{}, Targets: []operator.TargetView{}, Workspaces: workspaceViews(view), Zones: zoneViews(view), Interference: interferenceList(view),
	}
	for i := range view.Jobs {
		snapshot.Jobs = append(snapshot.Jobs, jobView(&view.Jobs[i]))
	}
	for _, wo := range view.Workers {
		snapshot.Targets = append(snapshot.Targets, targetView(wo))
	}
	return snapshot
}

func jobView(jv *controller.JobView) operator.JobView {
	jo := &jv.Job
	out := operator.JobView{
		JobID: jo.ID, Workspace: jo.Workspace, Class: types.ClassNormal, State: jo.State.String(), Reason: jo.Reason,
		Queue: string(jo.Queue), AgeMillis: jv.Waited, Why: jv.Why, Workers: []identifier.Worker{},
	}
	if jv.Urgent {
		out.Class = types.ClassUrgent
	}
	for _, st := range jo.Stages {
		out.Steps = append(out.Steps, stepView(jo, st))
	}
	jo.EachHeld(func(_ *workload.Stage, _ int, ta *workload.Task) {
		out.Attempt = max(out.Attempt, int(ta.Run))
		if !slices.Contains(out.Workers, ta.Worker) {
			out.Workers = append(out.Workers, ta.Worker)
		}
	})
	return out
}

func stepView(jo *workload.Job, st *workload.Stage) operator.StepView {
	step := jo.StepOf(st)
	out := operator.StepView{
		Occurrence: st.Occurrence, Step: st.Step, Tasks: len(st.Tasks), Failures: st.Failures, Gang: step.Gang, Accelerators: step.Request.Accelerators,
	}
	for i := range st.Tasks {
		ta := &st.Tasks[i]
		if !step.Gang {
			out.Failures += ta.Failures
		}
		switch {
		case ta.Held():
			out.Running++
		case ta.Phase == workload.Done:
			out.Done++
		default:
			out.Waiting++
		}
	}
	return out
}

func targetView(wo controller.WorkerView) operator.TargetView {
	out := operator.TargetView{
		TargetID: identifier.Target(wo.Report.ID), Kind: operator.TargetViewKindWorker, Zone: wo.Report.Zone, Rack: wo.Report.Rack,
		Accelerators: wo.Report.Capacity.Accelerators, State: targetStates[wo.State], Pool: string(wo.Report.Pool),
		FreeAccelerators: wo.Free.Accelerators, FreeMilliCores: int64(wo.Free.CPU), Tasks: []string{},
	}
	out.RunTimePercent, out.SpeedRuns, out.SpeedAgeMillis = int(math.Round(100*wo.Speed.Factor)), wo.Speed.Runs, wo.SpeedAge
	for _, key := range wo.Tasks {
		out.Tasks = append(out.Tasks, key.String())
	}
	return out
}

// workspaceViews sums up the accelerators that each workspace uses, borrows and waits for. The
// running urgent tasks count as used up to the guarantee; all other running tasks, and the
// urgent ones beyond it, count as borrowed.
func workspaceViews(view controller.View) []operator.WorkspaceView {
	list := make([]operator.WorkspaceView, 0, len(view.Workspaces))
	for _, ws := range view.Workspaces {
		out := operator.WorkspaceView{Workspace: ws.Name, Guaranteed: ws.Guaranteed}
		for i := range view.Jobs {
			if jv := &view.Jobs[i]; jv.Job.Workspace == ws.Name {
				addJob(&out, jv)
			}
		}
		if excess := out.Used - out.Guaranteed; excess > 0 {
			out.Used, out.Borrowed = out.Guaranteed, out.Borrowed+excess
		}
		list = append(list, out)
	}
	addUnreclaimable(list, view)
	return list
}

func addJob(out *operator.WorkspaceView, jv *controller.JobView) {
	out.Jobs++
	for _, st := range jv.Job.Stages {
		requested := jv.Job.StepOf(st).Request.Accelerators
		for i := range st.Tasks {
			addTask(out, jv, &st.Tasks[i], requested)
		}
	}
}

func addTask(out *operator.WorkspaceView, jv *controller.JobView, ta *workload.Task, requested meter.Accelerators) {
	switch {
	case ta.Held() && jv.Urgent:
		out.Used += requested
	case ta.Held():
		out.Borrowed += requested
	case ta.Phase == workload.Waiting && !jv.Job.State.Final():
		out.Waiting += requested
	}
}
