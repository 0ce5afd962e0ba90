// Package watcher follows the platform's lagging list of targets and combines it with
// what operators and peers say about targets that leave.
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
	// Drains lists the targets that operators want emptied.
	Drains interface {
		Draining() []identifier.Target
	}

	// Runners is told about runners.
	Runners interface {
		Set(ru router.Runner)
		Remove(id identifier.Target)
		Drain(ids []identifier.Target)
	}

	// Watcher is the table of the targets of an availability zone.
	Watcher struct {
		zone    identifier.Zone
		store   *storer.Store
		clock   clock.Clock
		drains  Drains
		runners Runners
		// memory is how long the word of a peer counts.
		memory clock.Millis

		mu locker.Mutex
		// workers and targets are the newest list, guarded by mu.
		workers map[identifier.Worker]platform.InventoryWorker
		targets map[identifier.Target]platform.InventoryRunner
		// version is that of the list, guarded by mu; it only rises.
		version meter.RowVersion
		// told is what peers said, guarded by mu.
		told map[identifier.Instance]word
	}

	word struct {
		at      clock.Millis
		leaving []identifier.Target
	}
)

// New returns a watcher with an empty list.
func New(zone identifier.Zone, st *storer.Store, cl clock.Clock, dr Drains, ru Runners, memory clock.Millis) *Watcher {
	return &Watcher{
		zone:    zone,
		store:   st,
		clock:   cl,
		drains:  dr,
		runners: ru,
		memory:  memory,
		mu:      locker.New(locker.RankMembers),
		workers: map[identifier.Worker]platform.InventoryWorker{},
		targets: map[identifier.Target]platform.InventoryRunner{},
		told:    map[identifier.Instance]word{},
	}
}

// Step reads what has changed in the list and passes on what leaves.
func (wa *Watcher) Step(ctx context.Context) error {
	defer wa.Apply()
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
		delete(wa.targets, ru.Runner)
		wa.runners.Remove(ru.Runner)
		return
	}
	wa.targets[ru.Runner] = ru
	wa.runners.Set(router.Runner{ID: ru.Runner, Address: ru.Address, Slots: ru.Slots, Connections: ru.Connections, Leaving: ru.Leaving})
}

// Apply tells the router which targets get nothing new.
func (wa *Watcher) Apply() { wa.runners.Drain(wa.allLeaving()) }

// Told records what a peer knows to be leaving. It holds until the peer says otherwise or
// has been silent for the memory of the watcher.
func (wa *Watcher) Told(from identifier.Instance, leaving []identifier.Target) {
	wa.mu.Lock()
	wa.told[from] = word{at: wa.clock.Now(), leaving: leaving}
	wa.mu.Unlock()
	wa.Apply()
}

// Leaving lists the targets that this instance itself knows to be leaving, from the list
// and the operators. What peers said is left out, so that no word is passed in a circle.
func (wa *Watcher) Leaving() []identifier.Target {
	leaving := wa.drains.Draining()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	for _, wo := range wa.workers {
		if wo.Leaving || wo.Gone {
			leaving = append(leaving, identifier.Target(wo.Worker))
		}
	}
	for _, ru := range wa.targets {
		if ru.Leaving {
			leaving = append(leaving, ru.Runner)
		}
	}
	slices.Sort(leaving)
	return slices.Compact(leaving)
}

func (wa *Watcher) allLeaving() []identifier.Target {
	leaving := wa.Leaving()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	for _, wd := range wa.told {
		if wa.clock.Now()-wd.at < wa.memory {
			leaving = append(leaving, wd.leaving...)
		}
	}
	slices.Sort(leaving)
	return slices.Compact(leaving)
}

// Workers lists the workers of the zone, those that leave marked.
func (wa *Watcher) Workers() []platform.InventoryWorker {
	leaving := wa.allLeaving()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	list := slices.SortedFunc(maps.Values(wa.workers), func(a, b platform.InventoryWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	for i := range list {
		list[i].Leaving = list[i].Leaving || slices.Contains(leaving, identifier.Target(list[i].Worker))
	}
	return list
}

// Runners lists the runners of the zone, those that leave marked.
func (wa *Watcher) Runners() []platform.InventoryRunner {
	leaving := wa.allLeaving()
	wa.mu.Lock()
	defer wa.mu.Unlock()
	list := slices.SortedFunc(maps.Values(wa.targets), func(a, b platform.InventoryRunner) int { return cmp.Compare(a.Runner, b.Runner) })
	for i := range list {
		list[i].Leaving = list[i].Leaving || slices.Contains(leaving, list[i].Runner)
	}
	return list
}
