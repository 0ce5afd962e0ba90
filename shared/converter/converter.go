// Package converter converts between the generated messages and rows and the types of the
// decision packages. All of these conversions belong in this package.
package converter

import (
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// PlacerShape converts a schema shape to a placer shape. An unknown adjacency, which validation
// rejects, is converted to the loosest one, OneZone.
func PlacerShape(sh types.Shape) placer.Shape {
	out := placer.Shape{Members: sh.Members, Accelerators: sh.Accelerators, Adjacency: placer.OneZone}
	switch sh.Adjacency {
	case types.AdjacencyWorker:
		out.Adjacency = placer.OneWorker
	case types.AdjacencyRack:
		out.Adjacency = placer.OneRack
	}
	return out
}

// SchemaShape converts a placer shape to a schema shape.
func SchemaShape(sh placer.Shape) types.Shape {
	return types.Shape{Members: sh.Members, Accelerators: sh.Accelerators, Adjacency: types.Adjacency(sh.Adjacency.String())}
}

// Guarantees returns the guarantees of a workspace in one zone.
func Guarantees(ws identifier.Workspace, cells types.Cells, zone identifier.Zone) []placer.Guarantee {
	var list []placer.Guarantee
	for _, gu := range cells.Guarantees {
		if gu.Zone == zone {
			list = append(list, placer.Guarantee{Workspace: ws, Count: int(gu.Count), Shape: PlacerShape(gu.Shape)})
		}
	}
	return list
}

// PlacerWorker converts a worker of the platform's inventory to a placer worker.
func PlacerWorker(wo platform.InventoryWorker) placer.Worker {
	return placer.Worker{ID: wo.Worker, Rack: wo.Rack, Accelerators: wo.Accelerators}
}

// ReservationCells converts the reservations of a zone to the cells of its ledger row.
func ReservationCells(zo *placer.Zone) []rows.ReservationCell {
	cells := make([]rows.ReservationCell, 0, len(zo.Reservations()))
	for _, re := range zo.Reservations() {
		cell := rows.ReservationCell{
			Workspace: re.Workspace,
			Shape:     SchemaShape(re.Shape),
			Workers:   append([]identifier.Worker{}, zo.WorkerIDs(re.Block)...),
		}
		if re.Gang != nil {
			cell.User = re.Gang.Job
		}
		cells = append(cells, cell)
	}
	return cells
}

// RestoreReservations adds the reservations stored in the zone's ledger to zo. It returns those
// that a job uses, by job. Call it before Scheduler.Restore, which restores the running gangs and
// needs the reservations that they use.
func RestoreReservations(zo *placer.Zone, cells []rows.ReservationCell) map[identifier.Job]*placer.Reservation {
	used := map[identifier.Job]*placer.Reservation{}
	for _, cell := range cells {
		re := zo.Restore(cell.Workspace, PlacerShape(cell.Shape), cell.Workers)
		if cell.User != "" {
			used[cell.User] = re
		}
	}
	return used
}

// SchemaOutcome converts an outcome to its schema value, which is empty for NoOutcome.
func SchemaOutcome(oc problem.Outcome) types.Outcome {
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

// IsActive reports whether a job has been placed and has not ended.
func IsActive(job rows.JobRow) bool {
	switch job.State {
	case rows.JobRowStatePlaced, rows.JobRowStateRunning, rows.JobRowStateStopping:
		return true
	default:
		return false
	}
}
