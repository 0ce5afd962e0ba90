package controller

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

func TestHoldersOfRoom(t *testing.T) {
	te := &term{jobs: map[identifier.Job]*entry{}}
	var pool []WorkerView
	add := func(id identifier.Job, ws identifier.Workspace, accelerators meter.Accelerators) {
		jo := &workload.Job{ID: id, Workspace: ws, Occurrences: 1, Steps: []workload.Step{{Count: 1, Request: workload.Resources{Accelerators: accelerators}}}}
		jo.AddDueStages(0)
		te.jobs[id] = &entry{job: jo}
		pool = append(pool, WorkerView{Tasks: []workload.TaskKey{{Job: id}}})
	}
	t.Run("an empty pool has none", func(t *testing.T) { asserter.Equal(t, te.describeHolders(nil), "") })
	t.Run("the workspaces that use most are named first", func(t *testing.T) {
		add("1", "north", 2)
		add("2", "south", 4)
		add("3", "north", 1)
		asserter.Equal(t, te.describeHolders(pool), "; most are used by south 4, north 3")
	})
	t.Run("room that is kept free is named", func(t *testing.T) {
		te.losses.Hold(1, 8)
		asserter.Equal(t, te.describeHolders(nil), "; 8 are kept free for gangs that do not fit yet")
	})
}
