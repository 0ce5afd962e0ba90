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

	// inventory is the lagging list of targets.
	inventory struct {
		// version is that of the newest change; it only rises.
		version meter.RowVersion
		targets []*listedTarget
	}

	listedTarget struct {
		zone   identifier.Zone
		worker *platform.InventoryWorker
		runner *platform.InventoryRunner
		// version and at tell when the target last changed; at is what the lag counts from.
		version meter.RowVersion
		at      clock.Millis
	}
)

const (
	runnerSlots       meter.Slots       = 8
	runnerConnections meter.Connections = 64
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

// GetInventory lists the targets of a zone that changed after a version, as they were a
// lag ago.
func (pl *Platform) GetInventory(_ context.Context, req platform.GetInventoryRequestObject) (platform.GetInventoryResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	upTo := pl.clock.Now() - pl.faults.ListLagMillis
	answer := platform.Inventory{Version: req.Params.Since, Workers: []platform.InventoryWorker{}, Runners: []platform.InventoryRunner{}}
	for _, ta := range pl.inventory.targets {
		if ta.zone != req.Params.Zone || ta.version <= req.Params.Since || ta.at > upTo {
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

// markLeaving makes exactly the named targets leave.
func (in *inventory) markLeaving(names []identifier.Target, now clock.Millis) {
	for _, ta := range in.targets {
		leaving := slices.Contains(names, ta.name())
		if ta.leaving() == leaving {
			continue
		}
		in.version++
		ta.version, ta.at = in.version, now
		ta.setLeaving(leaving)
	}
}

func (ta *listedTarget) name() identifier.Target {
	if ta.worker != nil {
		return identifier.Target(ta.worker.Worker)
	}
	return ta.runner.Runner
}

func (ta *listedTarget) leaving() bool {
	if ta.worker != nil {
		return ta.worker.Leaving
	}
	return ta.runner.Leaving
}

func (ta *listedTarget) setLeaving(on bool) {
	if ta.worker != nil {
		ta.worker.Leaving = on
		return
	}
	ta.runner.Leaving = on
}
