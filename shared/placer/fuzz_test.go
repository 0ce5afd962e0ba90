package placer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	fuzzRacks        = 2
	fuzzPerRack      = 2
	fuzzAccelerators = 4
)

// machine is the state machine of the property test: it applies random operations to a zone and
// checks each step against a brute-force packer.
type machine struct {
	zone *Zone
	next int
	// pending holds the placements of guaranteed gangs whose victims are stopping.
	pending []Placement
	// changed means that workers or guarantees have changed since the pending placements
	// were made, so that their blocks may no longer be available.
	changed bool
}

func shapes() *rapid.Generator[Shape] {
	return rapid.Custom(func(t *rapid.T) Shape {
		return Shape{
			Members:      meter.Members(rapid.IntRange(1, 3).Draw(t, "members")),
			Accelerators: meter.Accelerators(rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "accelerators")),
			Adjacency:    Adjacency(rapid.IntRange(0, 2).Draw(t, "adjacency")),
		}
	})
}

func (ma *machine) job() identifier.Job {
	ma.next++
	return identifier.Job(fmt.Sprintf("job-%d", ma.next))
}

func (ma *machine) borrow(t *rapid.T) {
	if pl, found := ma.zone.PlaceBorrowed(ma.job(), "borrower", shapes().Draw(t, "shape")); found {
		ma.zone.Commit(pl)
	}
}

func (ma *machine) fix(t *rapid.T) {
	if pl, found := ma.zone.PlaceFixed(ma.job(), "fixed", shapes().Draw(t, "shape")); found {
		ma.zone.Commit(pl)
	}
}

// reclaim uses a random unused guarantee. It must succeed by preempting borrowed gangs only.
func (ma *machine) reclaim(t *rapid.T) {
	var unused []*Reservation
	for _, re := range ma.zone.reservations {
		taken := slices.ContainsFunc(ma.pending, func(pl Placement) bool { return pl.Reservation == re })
		if re.Gang == nil && !re.Short && !taken {
			unused = append(unused, re)
		}
	}
	if len(unused) == 0 {
		return
	}
	re := rapid.SampledFrom(unused).Draw(t, "reservation")
	pl := ma.zone.PlaceGuaranteed(ma.job(), re, re.Shape, unitLoss)
	for _, ga := range pl.Victims {
		if ga.Fixed || ga.Stopping {
			t.Fatalf("victim %s is fixed or already stopping", ga.Job)
		}
		ma.zone.MarkStopping(ga.Job)
	}
	ma.zone.Promise(pl)
	ma.pending = append(ma.pending, pl)
}

// finish releases the stopping gangs and starts the pending gangs on the blocks chosen for them.
func (ma *machine) finish(t *rapid.T) {
	for _, ga := range ma.zone.Gangs() {
		if ga.Stopping {
			ma.zone.Release(ga.Job)
		}
	}
	for _, pl := range ma.pending {
		if pl.Reservation.Gang != nil || !slices.Contains(ma.zone.reservations, pl.Reservation) || pl.Reservation.Short {
			ma.zone.Unhold(pl.Job)
			continue
		}
		again := ma.zone.PlaceGuaranteed(pl.Job, pl.Reservation, pl.Reservation.Shape, unitLoss)
		if len(again.Victims) > 0 && !ma.changed {
			t.Fatalf("the block chosen for %s is not free: %d more gangs must be preempted", pl.Job, len(again.Victims))
		}
		for _, ga := range again.Victims {
			ma.zone.Release(ga.Job)
		}
		if !ma.zone.IsFree(again.Block) {
			t.Fatalf("block %v is not free after the victims have been released", again.Block)
		}
		ma.zone.Commit(again)
	}
	ma.pending, ma.changed = nil, false
}

func (ma *machine) release(t *rapid.T) {
	if gangs := ma.zone.Gangs(); len(gangs) > 0 {
		ma.zone.Release(rapid.SampledFrom(gangs).Draw(t, "gang").Job)
	}
}

func (ma *machine) hold(t *rapid.T) {
	sh := shapes().Draw(t, "shape")
	if bl, _, found := ma.zone.EarliestFree(sh, 0, func(*Gang) clock.Millis { return 1 }); found {
		ma.zone.Hold("holder", bl)
	}
}

func (ma *machine) unhold(*rapid.T) { ma.zone.Unhold("holder") }

func (ma *machine) setGuarantees(t *rapid.T) {
	var gus []Guarantee
	for i := range rapid.IntRange(0, 3).Draw(t, "guarantees") {
		gus = append(gus, Guarantee{Workspace: identifier.Workspace(fmt.Sprintf("w%d", i)), Count: 1, Shape: shapes().Draw(t, "shape")})
	}
	ma.zone.SetGuarantees(gus)
	ma.changed = true
}

func (ma *machine) setUsable(t *rapid.T) {
	index := rapid.IntRange(0, len(ma.zone.workers)-1).Draw(t, "worker")
	ma.zone.SetUsable(ma.zone.workers[index].id, rapid.Bool().Draw(t, "usable"))
	ma.changed = true
}

// check verifies the accelerator counts and the adjacency of the gangs, and that all unused
// guarantees can be packed at the same time next to the gangs that cannot be preempted.
func (ma *machine) check(t *rapid.T) {
	capacity := make([]meter.Accelerators, len(ma.zone.workers))
	for i := range capacity {
		if ma.zone.workers[i].usable {
			capacity[i] = ma.zone.workers[i].total
		}
	}
	used := make([]meter.Accelerators, len(capacity))
	for _, ga := range ma.zone.gangs {
		ma.checkGang(t, ga)
		for _, sr := range ga.Block.Shares {
			used[sr.Worker] += ga.Block.Shape.accelerators(sr)
			if ga.Fixed {
				capacity[sr.Worker] -= ga.Block.Shape.accelerators(sr)
			}
		}
	}
	for i := range used {
		if used[i] > ma.zone.workers[i].total || used[i] != ma.zone.workers[i].fixed+ma.zone.workers[i].borrowed {
			t.Fatalf("worker %d has %d accelerators in use by gangs, which its counts contradict: %+v", i, used[i], ma.zone.workers[i])
		}
	}
	var left []Shape
	for _, re := range ma.zone.reservations {
		if re.Gang == nil && !re.Short {
			left = append(left, re.Shape)
		}
	}
	if !packable(ma.zone, capacity, left) {
		t.Fatalf("unused guarantees %v do not fit into the reclaimable accelerators %v", left, capacity)
	}
}

func (ma *machine) checkGang(t *rapid.T, ga *Gang) {
	members := 0
	for _, sr := range ga.Block.Shares {
		members += sr.Members
	}
	if members != int(ga.Block.Shape.Members) {
		t.Fatalf("gang %s has %d of %d members", ga.Job, members, ga.Block.Shape.Members)
	}
	if ga.Block.Shape.Adjacency == OneWorker && len(ga.Block.Shares) > 1 || ga.Block.Shape.Adjacency == OneRack && racksOf(ma.zone, ga.Block) > 1 {
		t.Fatalf("block of gang %s violates its adjacency: %v", ga.Job, ga.Block)
	}
}

// packable reports whether the shapes fit together. It tries every placement, member by member.
func packable(zo *Zone, capacity []meter.Accelerators, shapes []Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	return placeMember(zo, capacity, shapes[0], int(shapes[0].Members), 0, -1, func() bool {
		return packable(zo, capacity, shapes[1:])
	})
}

func placeMember(zo *Zone, capacity []meter.Accelerators, sh Shape, missing, from, first int, rest func() bool) bool {
	if missing == 0 {
		return rest()
	}
	for i := from; i < len(capacity); i++ {
		sameRack := first < 0 || zo.workers[i].rack == zo.workers[first].rack
		if capacity[i] < sh.Accelerators || sh.Adjacency == OneRack && !sameRack || sh.Adjacency == OneWorker && first >= 0 && i != first {
			continue
		}
		capacity[i] -= sh.Accelerators
		start := first
		if start < 0 {
			start = i
		}
		if placeMember(zo, capacity, sh, missing-1, i, start, rest) {
			capacity[i] += sh.Accelerators
			return true
		}
		capacity[i] += sh.Accelerators
	}
	return false
}

func TestGuaranteesAreAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ma := &machine{zone: newZone(fuzzRacks, fuzzPerRack, fuzzAccelerators)}
		t.Repeat(map[string]func(*rapid.T){
			"":              ma.check,
			"borrow":        ma.borrow,
			"fix":           ma.fix,
			"reclaim":       ma.reclaim,
			"finish":        ma.finish,
			"release":       ma.release,
			"hold":          ma.hold,
			"unhold":        ma.unhold,
			"setGuarantees": ma.setGuarantees,
			"setUsable":     ma.setUsable,
		})
	})
}
