package platform

import (
	"context"
	"fmt"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	runnerSlots       meter.Slots       = 8
	runnerConnections meter.Connections = 64
)

type (
	// Layout describes the targets of a deployment.
	Layout struct {
		Zones []ZoneLayout
	}

	// ZoneLayout describes the targets of one availability zone.
	ZoneLayout struct {
		Zone           identifier.Zone
		Racks          int
		WorkersPerRack int
		// Accelerators is the number of accelerators of each worker.
		Accelerators meter.Accelerators
		// Runners holds the addresses of the runners of the zone.
		Runners []string
	}

	// inventory is the list of targets, which is served with a lag.
	inventory struct {
		// version is the version of the latest change; it never decreases.
		version meter.RowVersion
		targets []*listedTarget
	}

	listedTarget struct {
		zone   identifier.Zone
		worker *platform.InventoryWorker
		runner *platform.InventoryRunner
		// version and changedAt are the version and the time of the latest change of the
		// target. The change becomes visible when the lag has passed since changedAt.
		version   meter.RowVersion
		changedAt clock.Millis
	}
)

func newInventory(la Layout) inventory {
	in := inventory{version: 1}
	for _, zl := range la.Zones {
		for _, wo := range zl.workers() {
			in.targets = append(in.targets, &listedTarget{zone: zl.Zone, worker: &wo, version: 1})
		}
		for i, address := range zl.Runners {
			ru := platform.InventoryRunner{
				Runner:      identifier.Target(fmt.Sprintf("%s-runner-%02d", zl.Zone, i)),
				Address:     address,
				Slots:       runnerSlots,
				Connections: runnerConnections,
			}
			in.targets = append(in.targets, &listedTarget{zone: zl.Zone, runner: &ru, version: 1})
		}
	}
	return in
}

func (zl ZoneLayout) workers() []platform.InventoryWorker {
	workers := make([]platform.InventoryWorker, 0, zl.Racks*zl.WorkersPerRack)
	for ra := range zl.Racks {
		for wo := range zl.WorkersPerRack {
			workers = append(workers, platform.InventoryWorker{
				Worker:       identifier.Worker(fmt.Sprintf("%s-r%02d-w%02d", zl.Zone, ra, wo)),
				Rack:         identifier.Rack(fmt.Sprintf("%s-r%02d", zl.Zone, ra)),
				Accelerators: zl.Accelerators,
			})
		}
	}
	return workers
}

// GetInventory returns the targets of a zone that have changed since a version. Changes that
// are more recent than the injected lag are left out.
func (pl *Platform) GetInventory(_ context.Context, req platform.GetInventoryRequestObject) (platform.GetInventoryResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	cutoff := pl.clock.Now() - pl.faults.ListLagMillis
	answer := platform.Inventory{Version: req.Params.Since, Workers: []platform.InventoryWorker{}, Runners: []platform.InventoryRunner{}}
	for _, ta := range pl.inventory.targets {
		if ta.zone != req.Params.Zone || ta.version <= req.Params.Since || ta.changedAt > cutoff {
			continue
		}
		answer.Version = max(answer.Version, ta.version)
		if ta.worker != nil {
			answer.Workers = append(answer.Workers, *ta.worker)
		} else {
			answer.Runners = append(answer.Runners, *ta.runner)
		}
	}
	return platform.GetInventory200JSONResponse(answer), nil
}

// markDraining marks the named targets as draining and all others as not draining.
func (in *inventory) markDraining(names []identifier.Target, now clock.Millis) {
	for _, ta := range in.targets {
		draining := slices.Contains(names, ta.name())
		if ta.draining() == draining {
			continue
		}
		in.version++
		ta.version, ta.changedAt = in.version, now
		ta.setDraining(draining)
	}
}

func (ta *listedTarget) name() identifier.Target {
	if ta.worker != nil {
		return identifier.Target(ta.worker.Worker)
	}
	return ta.runner.Runner
}

func (ta *listedTarget) draining() bool {
	if ta.worker != nil {
		return ta.worker.Leaving
	}
	return ta.runner.Leaving
}

func (ta *listedTarget) setDraining(on bool) {
	if ta.worker != nil {
		ta.worker.Leaving = on
		return
	}
	ta.runner.Leaving = on
}
