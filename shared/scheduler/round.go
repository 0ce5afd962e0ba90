package scheduler

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

const (
	maxPreemptionsPerRound = 64               // gangs that one round may preempt
	idleRoundInterval      = 2 * clock.Second // longest interval between rounds while jobs wait and nothing changes
)

// round is the state of one scheduling round.
type round struct {
	*Scheduler
	now       clock.Millis
	decisions []Decision
	// preempted counts the gangs that the round has preempted.
	preempted int
	// holds counts the holds of earlier rounds and those that this round has made or moved.
	holds int
	// compactionAttempts counts the gangs for which the round has tried to clear a block.
	compactionAttempts int
	// backfillBy is the earliest time at which a hold is expected to be needed; 0 means
	// that there are no holds.
	backfillBy clock.Millis
	// avoids means that the job that is considered avoids workers on which it has failed.
	avoids bool
	// noCapacity and noCapacityHeld hold the shapes for which a search outside the holds,
	// or including them, has failed, so that the round does not repeat it. A search that avoids workers
	// tells nothing about other jobs.
	noCapacity     map[placer.Shape]bool
	noCapacityHeld map[placer.Shape]bool
}

// Round decides which jobs to start and which to preempt. Placements without victims have
// taken effect in the zone when it returns; the caller undoes one with Enqueue. If nothing has
// changed since the last round, it does nothing until idleRoundInterval has passed.
func (sc *Scheduler) Round(now clock.Millis) []Decision {
	if len(sc.waiting) == 0 || !sc.changed && now-sc.lastRound < idleRoundInterval {
		return nil
	}
	sc.changed, sc.lastRound = false, now
	ro := &round{Scheduler: sc, now: now, noCapacity: map[placer.Shape]bool{}, noCapacityHeld: map[placer.Shape]bool{}}
	ro.collectHolds()
	for _, jo := range sc.queue(now) {
		ro.zone.RunAvoiding(jo.Avoid, jo.Workspace, jo.Shape, func(avoids bool) {
			ro.avoids = avoids
			ro.consider(jo)
		})
	}
	return ro.decisions
}

// collectHolds counts the holds of earlier rounds and deletes the times of released ones.
func (ro *round) collectHolds() {
	for id, at := range ro.holdFreeAt {
		if !ro.zone.Holds(id) {
			delete(ro.holdFreeAt, id)
			continue
		}
		ro.addHold(at)
	}
}

func (ro *round) addHold(at clock.Millis) {
	ro.holds++
	if ro.backfillBy == 0 || at < ro.backfillBy {
		ro.backfillBy = at
	}
}

func (ro *round) consider(jo Job) {
	ws := ro.workspaces[jo.Workspace]
	switch {
	case ro.waitsForVictims(jo.ID):
		ro.reasons[jo.ID] = Reason{Code: WaitsForVictims}
	case ro.zone.InUse(jo.Workspace)+jo.Shape.Total() > ws.Limit:
		ro.reasons[jo.ID] = Reason{Code: AtLimit, Limit: ws.Limit, InUse: ro.zone.InUse(jo.Workspace)}
	case ro.startGuaranteed(jo):
	case ro.startHeld(jo):
	case ro.startFixed(jo):
	case jo.Urgent:
		ro.startUrgent(jo)
	default:
		ro.startNormal(jo)
	}
}

// waitsForVictims reports whether gangs that were preempted for the job are still stopping.
func (ro *round) waitsForVictims(id identifier.Job) bool {
	for victim, waiter := range ro.stopping {
		if waiter == id && victim != id {
			return true
		}
	}
	return false
}

// startGuaranteed uses an unused guarantee of the workspace that covers the job, if there is
// one: it starts the job, or preempts the borrowed gangs in its block.
func (ro *round) startGuaranteed(jo Job) bool {
	re := ro.zone.UnusedReservation(jo.Workspace, jo.Shape)
	if re == nil {
		return false
	}
	pl := ro.zone.PlaceGuaranteed(jo.ID, re, jo.Shape, ro.preemptionLoss(ro.now))
	if len(pl.Victims) == 0 && ro.zone.IsFree(pl.Block) {
		ro.start(jo, pl)
		return true
	}
	ro.preempt(jo, pl)
	return true
}

// startHeld starts the job on the block that is held for it, if that block is free.
func (ro *round) startHeld(jo Job) bool {
	pl, found := ro.zone.PlaceHeld(jo.ID, jo.Workspace)
	if found {
		ro.start(jo, pl)
	}
	return found
}

// startFixed handles a job that has reached the limit of preemptions. It starts the job on a
// block where it cannot be preempted, or lets it wait for such a block. If the guarantees
// leave no such block, it returns false and the job is placed like any other.
func (ro *round) startFixed(jo Job) bool {
	if jo.Preemptions < ro.policy.MaxPreemptions {
		return false
	}
	pl, found := ro.zone.PlaceFixed(jo.ID, jo.Workspace, jo.Shape)
	if found {
		ro.start(jo, pl)
		return true
	}
	if !ro.zone.CanPlaceFixed(jo.Shape) {
		return false
	}
	ro.reasons[jo.ID] = Reason{Code: NoFixedBlock}
	ro.updateHold(jo)
	return true
}

// startUrgent starts the job at once, if necessary on held accelerators. Otherwise it preempts
// borrowed gangs that are not urgent.
func (ro *round) startUrgent(jo Job) {
	if ro.startBorrowed(jo) {
		return
	}
	if pl, found := ro.zone.PlaceBackfill(jo.ID, jo.Workspace, jo.Shape); found {
		ro.start(jo, pl)
		return
	}
	mayEvict := func(ga *placer.Gang) bool { return ro.mayPreempt(ga) && !ro.running[ga.Job].Job.Urgent }
	pl, _, found := ro.zone.PlaceByEviction(jo.ID, jo.Workspace, jo.Shape, mayEvict, ro.preemptionLoss(ro.now))
	if !found {
		ro.reasons[jo.ID] = Reason{Code: NoFreeBlock, Free: ro.zone.Free()}
		return
	}
	ro.preempt(jo, pl)
}

// mayPreempt reports whether a gang is running on borrowed accelerators and is not already
// stopping.
func (ro *round) mayPreempt(ga *placer.Gang) bool {
	_, runs := ro.running[ga.Job]
	return !ga.Fixed && runs && !ga.Stopping
}

// startNormal starts the job if a block is free. Otherwise it tries compaction, and then holds
// a block for the job if it has waited long relative to its expected run time.
func (ro *round) startNormal(jo Job) {
	if ro.startBorrowed(jo) {
		return
	}
	ro.reasons[jo.ID] = Reason{Code: NoFreeBlock, Free: ro.zone.Free(), HoldAt: ro.holdFreeAt[jo.ID]}
	if !ro.compact(jo) {
		ro.updateHold(jo)
	}
}

// startBorrowed starts the job on borrowed accelerators. It uses held accelerators only if the
// job is expected to complete before they are needed.
func (ro *round) startBorrowed(jo Job) bool {
	holds := ro.zone.Holds(jo.ID)
	if holds || !ro.noCapacity[jo.Shape] {
		if pl, found := ro.zone.PlaceBorrowed(jo.ID, jo.Workspace, jo.Shape); found {
			ro.start(jo, pl)
			return true
		}
		ro.noCapacity[jo.Shape] = ro.noCapacity[jo.Shape] || !holds && !ro.avoids
	}
	if holds || ro.noCapacityHeld[jo.Shape] || ro.now+jo.Expected > ro.backfillBy {
		return false
	}
	pl, found := ro.zone.PlaceBackfill(jo.ID, jo.Workspace, jo.Shape)
	if !found {
		ro.noCapacityHeld[jo.Shape] = !ro.avoids
		return false
	}
	ro.start(jo, pl)
	return true
}

// updateHold holds the block that is expected to become free first for a gang that has waited
// long relative to its expected run time. If a held block did not become free at the expected
// time, the block is selected again.
func (ro *round) updateHold(jo Job) {
	held := ro.zone.Holds(jo.ID)
	if held && ro.now < ro.holdFreeAt[jo.ID] {
		return
	}
	if !held && (ro.holds >= ro.policy.MaxHolds || ro.waitRatio(jo) < ro.policy.HoldRatio) {
		return
	}
	ro.zone.Unhold(jo.ID)
	expectedEnd := func(ga *placer.Gang) clock.Millis { return ro.ExpectedEnd(ga, ro.now) }
	bl, at, found := ro.zone.EarliestFree(jo.Shape, ro.now, expectedEnd)
	if !found {
		return
	}
	ro.zone.Hold(jo.ID, bl)
	ro.holdFreeAt[jo.ID] = at
	ro.addHold(at)
}

// waitRatio returns the time that a job has waited divided by its expected run time.
func (ro *round) waitRatio(jo Job) float64 {
	return float64(ro.now-jo.Submitted) / float64(max(jo.Expected, 1))
}

// start applies a placement and moves the job from waiting to running.
func (ro *round) start(jo Job, pl placer.Placement) {
	if ro.zone.Holds(jo.ID) {
		clear(ro.noCapacity)
		clear(ro.noCapacityHeld)
	}
	ro.zone.Commit(pl)
	delete(ro.waiting, jo.ID)
	delete(ro.reasons, jo.ID)
	delete(ro.holdFreeAt, jo.ID)
	ro.running[jo.ID] = Run{Job: jo, Started: ro.now}
	ro.decisions = append(ro.decisions, Decision{Job: jo, Placement: pl})
}

// preempt marks the victims as stopping and holds their block for the job. Beyond
// maxPreemptionsPerRound it leaves the job to the next round, unless the round has preempted
// no gang yet.
func (ro *round) preempt(jo Job, pl placer.Placement) {
	ro.reasons[jo.ID] = Reason{Code: WaitsForVictims}
	if ro.preempted > 0 && ro.preempted+len(pl.Victims) > maxPreemptionsPerRound {
		ro.changed = true
		return
	}
	ids := make([]identifier.Job, 0, len(pl.Victims))
	for _, ga := range pl.Victims {
		ids = append(ids, ga.Job)
		ro.stopping[ga.Job] = jo.ID
		ro.zone.MarkStopping(ga.Job)
	}
	ro.preempted += len(ids)
	if jo.Urgent || pl.Reservation != nil {
		ro.zone.Promise(pl)
	} else {
		ro.zone.Hold(jo.ID, pl.Block) // an urgent job may still use the block
	}
	ro.holdFreeAt[jo.ID] = ro.now
	if len(ids) > 0 {
		ro.decisions = append(ro.decisions, Decision{Job: jo, Placement: pl, Preempt: ids})
	}
}

// queue returns the waiting jobs in the order in which they are considered.
func (sc *Scheduler) queue(now clock.Millis) []Job {
	jobs := make([]Job, 0, len(sc.waiting))
	score := make(map[identifier.Job]float64, len(sc.waiting))
	share := sc.shareRatios()
	for id, jo := range sc.waiting {
		jobs = append(jobs, jo)
		score[id] = sc.score(jo, share[jo.Workspace], now)
	}
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(score[b.ID], score[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// shareRatios returns the use of each workspace relative to its fair share by weight; 1 means
// exactly its fair share.
func (sc *Scheduler) shareRatios() map[identifier.Workspace]float64 {
	var used meter.Accelerators
	var weights meter.Weight
	for id, ws := range sc.workspaces {
		used += sc.zone.InUse(id)
		weights += ws.Weight
	}
	share := make(map[identifier.Workspace]float64, len(sc.workspaces))
	for id, ws := range sc.workspaces {
		fair := float64(used) * float64(ws.Weight) / float64(max(weights, 1))
		share[id] = float64(sc.zone.InUse(id)) / max(fair, 1)
	}
	return share
}
