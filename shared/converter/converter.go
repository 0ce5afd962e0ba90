// Package converter turns the generated messages and rows into the types of the decision
// packages and back. It is the only place that knows both.
package converter

import (
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// Shape converts a shape of the schema. Adjacencies that the schema does not know, which
// validation refuses, count as the loosest.
func Shape(sh types.Shape) placer.Shape {
	out := placer.Shape{Members: sh.Members, Accelerators: sh.Accelerators, Adjacency: placer.OneZone}
	switch sh.Adjacency {
	case types.AdjacencyWorker:
		out.Adjacency = placer.OneWorker
	case types.AdjacencyRack:
		out.Adjacency = placer.OneRack
	}
	return out
}

// SchemaShape converts a shape of the placer.
func SchemaShape(sh placer.Shape) types.Shape {
	return types.Shape{Members: sh.Members, Accelerators: sh.Accelerators, Adjacency: types.Adjacency(sh.Adjacency.String())}
}

// Guarantees returns the guarantees of a workspace in one zone.
func Guarantees(ws identifier.Workspace, cells types.Cells, zone identifier.Zone) []placer.Guarantee {
	var list []placer.Guarantee
	for _, gu := range cells.Guarantees {
		if gu.Zone == zone {
			list = append(list, placer.Guarantee{Workspace: ws, Count: int(gu.Count), Shape: Shape(gu.Shape)})
		}
	}
	return list
}

// Worker converts a worker of the platform's list.
func Worker(wo platform.InventoryWorker) placer.Worker {
	return placer.Worker{ID: wo.Worker, Rack: wo.Rack, Accelerators: wo.Accelerators}
}

// Ledger describes the reservations of a zone for its ledger.
func Ledger(zo *placer.Zone) []rows.ReservationCell {
	cells := make([]rows.ReservationCell, 0, len(zo.Reservations()))
	for _, re := range zo.Reservations() {
		cell := rows.ReservationCell{
			Workspace: re.Workspace,
			Shape:     SchemaShape(re.Shape),
			Workers:   append([]identifier.Worker{}, zo.WorkerIDs(re.Block)...),
		}
		if re.User != nil {
			cell.User = re.User.Job
		}
		cells = append(cells, cell)
	}
	return cells
}

// Restore brings the reservations of a zone back from its ledger. Gangs that use one must
// be restored after it, with Resume.
func Restore(zo *placer.Zone, cells []rows.ReservationCell) map[identifier.Job]*placer.Reservation {
	used := map[identifier.Job]*placer.Reservation{}
	for _, cell := range cells {
		re := zo.Restore(cell.Workspace, Shape(cell.Shape), cell.Workers)
		if cell.User != "" {
			used[cell.User] = re
		}
	}
	return used
}

// Outcome converts an outcome for the schema; an error without one gives an empty one.
func Outcome(oc problem.Outcome) types.Outcome {
	switch oc {
	case problem.NotRun:
		return types.OutcomeNotRun
	case problem.Failed:
		return types.OutcomeFailed
	case problem.Unknown:
		return types.OutcomeUnknown
	default:
		return ""
	}
}

// Active reports whether a job has been placed and has not ended.
func Active(job rows.JobRow) bool {
	switch job.State {
	case rows.JobRowStatePlaced, rows.JobRowStateRunning, rows.JobRowStateStopping:
		return true
	default:
		return false
	}
}
