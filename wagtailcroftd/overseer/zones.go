package overseer

import (
	"maps"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/controller"
)

// zoneViews sums up the workers of each zone. An evacuated zone without workers is listed too.
func zoneViews(view controller.View) []operator.ZoneView {
	zones := map[identifier.Zone]*operator.ZoneView{}
	ensure := func(zone identifier.Zone) *operator.ZoneView {
		if zones[zone] == nil {
			zones[zone] = &operator.ZoneView{Zone: zone, Tasks: []string{}, Jobs: []identifier.Job{}}
		}
		return zones[zone]
	}
	for zone, version := range view.Evacuations {
		zo := ensure(zone)
		zo.Evacuated, zo.RowVersion = true, version
	}
	for i := range view.Workers {
		addWorker(ensure(view.Workers[i].Report.Zone), &view.Workers[i])
	}
	list := make([]operator.ZoneView, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list = append(list, *zones[zone])
	}
	return list
}

func addWorker(zo *operator.ZoneView, wo *controller.WorkerView) {
	zo.Workers++
	zo.Accelerators += wo.Report.Capacity.Accelerators
	zo.FreeAccelerators += max(wo.Free.Accelerators, 0)
	for _, key := range wo.Tasks {
		zo.Tasks = append(zo.Tasks, key.String())
		if !slices.Contains(zo.Jobs, key.Job) {
			zo.Jobs = append(zo.Jobs, key.Job)
		}
	}
}

// addUnreclaimable adds how much of each guarantee could not be reclaimed now in the zones that are not
// evacuated: what the other workspaces use there within their guarantees stays with them, and what its own
// urgent work uses in evacuated zones goes on.
func addUnreclaimable(list []operator.WorkspaceView, view controller.View) {
	if len(view.Evacuations) == 0 {
		return
	}
	evacuated := map[identifier.Worker]bool{}
	var total meter.Accelerators
	for i := range view.Workers {
		re := &view.Workers[i].Report
		if _, is := view.Evacuations[re.Zone]; is {
			evacuated[re.ID] = true
			continue
		}
		total += re.Capacity.Accelerators
	}
	inside, outside := make([]meter.Accelerators, len(list)), make([]meter.Accelerators, len(list))
	var used meter.Accelerators
	for i := range list {
		for at := range view.Jobs {
			if jv := &view.Jobs[at]; jv.Urgent && jv.Job.Workspace == list[i].Workspace {
				jv.Job.EachHeld(func(st *workload.Stage, _ int, ta *workload.Task) {
					if requested := jv.Job.StepOf(st).Request.Accelerators; evacuated[ta.Worker] {
						inside[i] += requested
					} else {
						outside[i] += requested
					}
				})
			}
		}
		outside[i] = min(outside[i], list[i].Guaranteed)
		used += outside[i]
	}
	for i := range list {
		reach := max(total-(used-outside[i]), 0)
		list[i].Unreclaimable = max(list[i].Guaranteed-inside[i]-reach, 0)
	}
}
