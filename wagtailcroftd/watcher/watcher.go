// Package watcher tracks the platform's list of targets, which lags behind their actual state, and
// combines it with the draining targets that operators and peers report.
package watcher

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/router"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

type (
	// DrainLister lists the targets that operators have set to drain.
	DrainLister interface {
		Draining() []identifier.Target
	}

	// Runners receives changes of the runners and the set of draining targets.
	Runners interface {
		Set(ru router.Runner)
		Remove(id identifier.Target)
		Drain(ids []identifier.Target)
	}

	// Watcher holds the targets of an availability zone.
	Watcher struct {
		zone   identifier.Zone
		store  *storer.Store
		clock  clock.Clock
		drains DrainLister
		router Runners
		// reportTTL is how long the report of a peer is valid.
		reportTTL clock.Millis

		mu locker.Mutex
		// workers and runners hold the newest list of targets, guarded by mu.
		workers map[identifier.Worker]platform.InventoryWorker
		runners map[identifier.Target]platform.InventoryRunner
		// version is the version of the list, guarded by mu; it never decreases.
		version meter.RowVersion
		// peerReports holds the last report of each peer, guarded by mu.
		peerReports map[identifier.Instance]peerReport
	}

	peerReport struct {
		at       clock.Millis
		draining []identifier.Target
	}
)

// New returns a watcher with an empty list of targets.
func New(zone identifier.Zone, st *storer.Store, cl clock.Clock, dl DrainLister, ru Runners, reportTTL clock.Millis) *Watcher {
	return &Watcher{
		zone:        zone,
		store:       st,
		clock:       cl,
		drains:      dl,
		router:      ru,
		reportTTL:   reportTTL,
		mu:          locker.New(locker.RankMembers),
		workers:     map[identifier.Worker]platform.InventoryWorker{},
		runners:     map[identifier.Target]platform.InventoryRunner{},
		peerReports: map[identifier.Instance]peerReport{},
	}
}

// Step reads the changes of the target list and passes the draining targets to the router.
func (wa *Watcher) Step(ctx context.Context) error {
	defer wa.UpdateRouter()
	wa.mu.Lock()
	since := wa.version
	wa.mu.Unlock()
	list, err := wa.store.Inventory(ctx, wa.zone, since)
	if err != nil {
		return err
	}
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if list.Version < wa.version {
		return nil
	}
	wa.version = list.Version
	for _, wo := range list.Workers {
		wa.workers[wo.Worker] = wo
	}
	for _, ru := range list.Runners {
		wa.setRunner(ru)
	}
	return nil
}

func (wa *Watcher) setRunner(ru platform.InventoryRunner) {
	if ru.Gone {
		delete(wa.runners, ru.Runner)
		wa.router.Remove(ru.Runner)
		return
	}
	wa.runners[ru.Runner] = ru
	wa.router.Set(router.Runner{ID: ru.Runner, Address: ru.Address, Slots: ru.Slots, Connections: ru.Connections, Draining: ru.Leaving})
}

// UpdateRouter tells the router which targets are draining and must receive no new requests.
func (wa *Watcher) UpdateRouter() { wa.router.Drain(wa.allDraining()) }

// RecordPeerReport records the targets that a peer reports as draining. The report is valid until
// the peer sends another one, or until reportTTL has passed without any.
func (wa *Watcher) RecordPeerReport(from identifier.Instance, draining []identifier.Target) {
	wa.mu.Lock()
	wa.peerReports[from] = peerReport{at: wa.clock.Now(), draining: draining}
	wa.mu.Unlock()
	wa.UpdateRouter()
}

// Draining lists the targets that are draining according to the target list and the operators.
// Reports of peers are left out, because instances would otherwise keep confirming each other's
// outdated reports.
func (wa *Watcher) Draining() []identifier.Target {
	draining := wa.drains.Draining()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	for _, wo := range wa.workers {
		if wo.Leaving || wo.Gone {
			draining = append(draining, identifier.Target(wo.Worker))
		}
	}
	for _, ru := range wa.runners {
		if ru.Leaving {
			draining = append(draining, ru.Runner)
		}
	}
	slices.Sort(draining)
	return slices.Compact(draining)
}

func (wa *Watcher) allDraining() []identifier.Target {
	draining := wa.Draining()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	for _, pr := range wa.peerReports {
		if wa.clock.Now()-pr.at < wa.reportTTL {
			draining = append(draining, pr.draining...)
		}
	}
	slices.Sort(draining)
	return slices.Compact(draining)
}

// Workers lists the workers of the zone, with the draining ones marked as leaving.
func (wa *Watcher) Workers() []platform.InventoryWorker {
	draining := wa.allDraining()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	list := slices.SortedFunc(maps.Values(wa.workers), func(a, b platform.InventoryWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	for i := range list {
		list[i].Leaving = list[i].Leaving || slices.Contains(draining, identifier.Target(list[i].Worker))
	}
	return list
}

// Runners lists the runners of the zone, with the draining ones marked as leaving.
func (wa *Watcher) Runners() []platform.InventoryRunner {
	draining := wa.allDraining()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	list := slices.SortedFunc(maps.Values(wa.runners), func(a, b platform.InventoryRunner) int { return cmp.Compare(a.Runner, b.Runner) })
	for i := range list {
		list[i].Leaving = list[i].Leaving || slices.Contains(draining, list[i].Runner)
	}
	return list
}
