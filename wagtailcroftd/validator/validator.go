// Package validator rebuilds the state of an availability zone from the store, to check whether
// changed guarantees can be honoured there.
package validator

import (
	"context"
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/converter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

// Validator reads the state of zones from the store.
type Validator struct {
	store *storer.Store
}

// New returns a validator that reads from the given store.
func New(st *storer.Store) *Validator { return &Validator{store: st} }

// CheckGuarantees reserves capacity for the guarantees of the table next to the running
// non-preemptible gangs. It returns a description of each reservation, and the version of the
// zone's ledger. If the guarantees do not fit, the error is of the kind GuaranteeTooLarge.
func (va *Validator) CheckGuarantees(ctx context.Context, zone identifier.Zone, sn configurer.Snapshot) ([]string, meter.RowVersion, error) {
	ledger, err := storer.Read[rows.LedgerRow](ctx, va.store, storer.LedgerKey(zone))
	if err != nil {
		return nil, 0, err
	}
	zo, err := va.buildZone(ctx, zone, ledger.Value, sn)
	if err != nil {
		return nil, 0, err
	}
	guarantees := Guarantees(sn, zone)
	if unplaced := zo.SetGuarantees(guarantees); len(unplaced) > 0 {
		return nil, 0, tooLargeError(zone, unplaced)
	}
	return describeReservations(zone, zo), ledger.Version, nil
}

// Guarantees lists the guarantees of all workspaces in a zone.
func Guarantees(sn configurer.Snapshot, zone identifier.Zone) []placer.Guarantee {
	list := make([]placer.Guarantee, 0, len(sn.Rows))
	for _, row := range sn.Rows {
		list = append(list, converter.Guarantees(row.Workspace, row.Cells, zone)...)
	}
	return list
}

func (va *Validator) buildZone(ctx context.Context, zone identifier.Zone, ledger rows.LedgerRow, sn configurer.Snapshot) (*placer.Zone, error) {
	inventory, err := va.store.Inventory(ctx, zone, 0)
	if err != nil {
		return nil, err
	}
	jobs, _, err := storer.Scan[rows.JobRow](ctx, va.store, storer.TableJobs, storer.JobPrefix(zone), 0)
	if err != nil {
		return nil, err
	}
	zo := placer.New(nil)
	for _, wo := range inventory.Workers {
		zo.Add(converter.PlacerWorker(wo))
		if wo.Leaving || wo.Gone {
			zo.SetUsable(wo.Worker, false)
		}
	}
	for _, target := range sn.Draining {
		zo.SetUsable(identifier.Worker(target), false)
	}
	used := converter.RestoreReservations(zo, ledger.Reservations)
	for _, job := range jobs {
		placeFixed(zo, job.Value, used)
	}
	return zo, nil
}

// placeFixed places a non-preemptible gang on the workers that its row names. It ignores other jobs.
func placeFixed(zo *placer.Zone, job rows.JobRow, used map[identifier.Job]*placer.Reservation) {
	if !job.NonPreemptible || !converter.IsActive(job) {
		return
	}
	bl, known := zo.BlockOf(converter.PlacerShape(job.Shape), job.Workers)
	if !known {
		return
	}
	pl := placer.Placement{Job: job.JobID, Workspace: job.Workspace, Block: bl, Fixed: true}
	if re := used[job.JobID]; re != nil {
		pl.Reservation, pl.ReservedBlock = re, re.Block
	}
	zo.Commit(pl)
}

func tooLargeError(zone identifier.Zone, unplaced []*placer.Reservation) error {
	first := unplaced[0]
	return problem.New(problem.GuaranteeTooLarge,
		"zone %s lacks capacity for %d of the guaranteed gangs next to the other guarantees and the non-preemptible work; the first is %s of workspace %s",
		zone, len(unplaced), first.Shape, first.Workspace)
}

// describeReservations describes in words the state of each reservation.
func describeReservations(zone identifier.Zone, zo *placer.Zone) []string {
	lines := make([]string, 0, len(zo.Reservations()))
	for _, re := range zo.Reservations() {
		state := "reserved"
		if re.Gang != nil {
			state = "in use by " + string(re.Gang.Job)
		}
		lines = append(lines, fmt.Sprintf("zone %s: %s for workspace %s is %s on %d workers", zone, re.Shape, re.Workspace, state, len(re.Block.Shares)))
	}
	return lines
}

// CanRun reports whether a gang of the shape could ever run in a zone. It takes the guarantees into
// account, but no running gangs, and counts draining workers as usable.
func (va *Validator) CanRun(ctx context.Context, zone identifier.Zone, sn configurer.Snapshot, ws identifier.Workspace, sh placer.Shape) (bool, error) {
	inventory, err := va.store.Inventory(ctx, zone, 0)
	if err != nil {
		return false, err
	}
	zo := placer.New(nil)
	for _, wo := range inventory.Workers {
		if !wo.Gone {
			zo.Add(converter.PlacerWorker(wo))
		}
	}
	zo.SetGuarantees(Guarantees(sn, zone))
	return zo.CanPlace(ws, sh), nil
}
