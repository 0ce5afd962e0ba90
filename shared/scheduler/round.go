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
	mostPreemptsRound = 64               // gangs preempted in one round
	idlePeriod        = 2 * clock.Second // a round is played at least this often while jobs wait
)

// round is the state of one round.
type round struct {
	*Scheduler
	now       clock.Millis
	decisions []Decision
	preempts  int
	holds     int
	// cleared counts the blocks that the round has tried to clear.
	cleared int
	// backfillBy is when the first hold is expected to be needed; 0 means none.
	backfillBy clock.Millis
	// full and fullHeld remember the shapes that found no room, outside the holds and
	// within them, so that they are not sought again in the round.
	full     map[placer.Shape]bool
	fullHeld map[placer.Shape]bool
}

// Round decides what to start and what to preempt now. Placements without victims have
// taken effect in the zone when it returns; the caller undoes one with Wait. When nothing
// has changed it looks again only after a while.
func (sc *Scheduler) Round(now clock.Millis) []Decision {
	if len(sc.waiting) == 0 || !sc.changed && now-sc.lastRound < idlePeriod {
		return nil
	}
	sc.changed, sc.lastRound = false, now
	ro := &round{Scheduler: sc, now: now, full: map[placer.Shape]bool{}, fullHeld: map[placer.Shape]bool{}}
	ro.countHolds()
	for _, jo := range sc.line(now) {
		ro.zone.Avoiding(jo.Avoid, jo.Workspace, jo.Shape, func() { ro.consider(jo) })
	}
	return ro.decisions
}

// countHolds takes over the holds of earlier rounds.
func (ro *round) countHolds() {
	for id, at := range ro.holdAt {
		if !ro.zone.Holds(id) {
			delete(ro.holdAt, id)
			continue
		}
		ro.keep(at)
	}
}

func (ro *round) keep(at clock.Millis) {
	ro.holds++
	if ro.backfillBy == 0 || at < ro.backfillBy {
		ro.backfillBy = at
	}
}

func (ro *round) consider(jo Job) {
	ws := ro.workspaces[jo.Workspace]
	switch {
	case ro.makingWay(jo.ID):
		ro.reasons[jo.ID] = Reason{Code: WaitsForVictims}
	case ro.zone.InUse(jo.Workspace)+jo.Shape.Total() > ws.Limit:
		ro.reasons[jo.ID] = Reason{Code: AtLimit, Limit: ws.Limit, InUse: ro.zone.InUse(jo.Workspace)}
	case ro.guaranteed(jo):
	case ro.kept(jo):
	case ro.spared(jo):
	case jo.Urgent:
		ro.urgent(jo)
	default:
		ro.normal(jo)
	}
}

// makingWay reports whether gangs are still stopping for the job.
func (ro *round) makingWay(id identifier.Job) bool {
	for victim, waiter := range ro.stopping {
		if waiter == id && victim != id {
			return true
		}
	}
	return false
}

// guaranteed starts the job by a guarantee of its workspace, if one is unused.
func (ro *round) guaranteed(jo Job) bool {
	re := ro.zone.Unused(jo.Workspace, jo.Shape)
	if re == nil {
		return false
	}
	pl := ro.zone.Guaranteed(jo.ID, re, jo.Shape, ro.lost(ro.now))
	if len(pl.Victims) == 0 && ro.zone.Clear(pl.Block) {
		ro.start(jo, pl)
		return true
	}
	ro.preempt(jo, pl)
	return true
}

// kept starts the job on the block that was kept for it.
func (ro *round) kept(jo Job) bool {
	pl, found := ro.zone.Kept(jo.ID, jo.Workspace)
	if found {
		ro.start(jo, pl)
	}
	return found
}

// spared places a job that has been preempted often where it will not be again, or has it
// wait for such a place. Where the guarantees leave none, it is placed as before.
func (ro *round) spared(jo Job) bool {
	if jo.Preemptions < ro.policy.MaxPreemptions {
		return false
	}
	pl, found := ro.zone.Fix(jo.ID, jo.Workspace, jo.Shape)
	if found {
		ro.start(jo, pl)
		return true
	}
	if !ro.zone.Fixable(jo.Shape) {
		return false
	}
	ro.reasons[jo.ID] = Reason{Code: NoRoomSpared}
	ro.hold(jo)
	return true
}

// urgent starts the job now, on held accelerators if it must, and else preempts borrowed
// work that is not urgent.
func (ro *round) urgent(jo Job) {
	if ro.borrow(jo) {
		return
	}
	if pl, found := ro.zone.Backfill(jo.ID, jo.Workspace, jo.Shape); found {
		ro.start(jo, pl)
		return
	}
	may := func(ga *placer.Gang) bool { return ro.mayPreempt(ga) && !ro.running[ga.Job].Job.Urgent }
	pl, _, found := ro.zone.Evict(jo.ID, jo.Workspace, jo.Shape, may, ro.lost(ro.now))
	if !found {
		ro.reasons[jo.ID] = Reason{Code: NoRoom, Free: ro.zone.Free()}
		return
	}
	ro.preempt(jo, pl)
}

// mayPreempt reports whether a gang is borrowed, runs, and has not been told to go.
func (ro *round) mayPreempt(ga *placer.Gang) bool {
	_, runs := ro.running[ga.Job]
	return !ga.Fixed && runs && !ga.Leaving
}

// normal starts the job if there is room, else keeps a block for it if it has waited long
// for its length.
func (ro *round) normal(jo Job) {
	if ro.borrow(jo) {
		return
	}
	ro.reasons[jo.ID] = Reason{Code: NoRoom, Free: ro.zone.Free(), HoldAt: ro.holdAt[jo.ID]}
	if !ro.compact(jo) {
		ro.hold(jo)
	}
}

// borrow starts the job as borrowed work, on held accelerators only if it is expected to
// end before they are needed.
func (ro *round) borrow(jo Job) bool {
	holds := ro.zone.Holds(jo.ID)
	if holds || !ro.full[jo.Shape] {
		if pl, found := ro.zone.Borrow(jo.ID, jo.Workspace, jo.Shape); found {
			ro.start(jo, pl)
			return true
		}
		ro.full[jo.Shape] = ro.full[jo.Shape] || !holds
	}
	if holds || ro.fullHeld[jo.Shape] || ro.now+jo.Expected > ro.backfillBy {
		return false
	}
	pl, found := ro.zone.Backfill(jo.ID, jo.Workspace, jo.Shape)
	if !found {
		ro.fullHeld[jo.Shape] = true
		return false
	}
	ro.start(jo, pl)
	return true
}

// hold keeps the block that is expected to be free first for a gang that has waited long
// for its length. A hold that was not free in time is chosen anew.
func (ro *round) hold(jo Job) {
	held := ro.zone.Holds(jo.ID)
	if held && ro.now < ro.holdAt[jo.ID] {
		return
	}
	if !held && (ro.holds >= ro.policy.MostHolds || ro.waitedRatio(jo) < ro.policy.HoldRatio) {
		return
	}
	ro.zone.Unhold(jo.ID)
	ends := func(ga *placer.Gang) clock.Millis { return ro.EndOf(ga, ro.now) }
	bl, at, found := ro.zone.Earliest(jo.Shape, ro.now, ends)
	if !found {
		return
	}
	ro.zone.Hold(jo.ID, bl)
	ro.holdAt[jo.ID] = at
	ro.keep(at)
}

// waitedRatio is the time a job has waited over its expected run time.
func (ro *round) waitedRatio(jo Job) float64 {
	return float64(ro.now-jo.Submitted) / float64(max(jo.Expected, 1))
}

// start makes a placement take effect.
func (ro *round) start(jo Job, pl placer.Placement) {
	if ro.zone.Holds(jo.ID) {
		clear(ro.full)
		clear(ro.fullHeld)
	}
	ro.zone.Commit(pl)
	delete(ro.waiting, jo.ID)
	delete(ro.reasons, jo.ID)
	delete(ro.holdAt, jo.ID)
	ro.running[jo.ID] = Run{Job: jo, Started: ro.now}
	ro.decisions = append(ro.decisions, Decision{Job: jo, Placement: pl})
}

// preempt tells the victims to go and keeps their block for the job. A round that would
// preempt too many leaves the rest to the next.
func (ro *round) preempt(jo Job, pl placer.Placement) {
	ro.reasons[jo.ID] = Reason{Code: WaitsForVictims}
	if ro.preempts > 0 && ro.preempts+len(pl.Victims) > mostPreemptsRound {
		ro.changed = true
		return
	}
	ids := make([]identifier.Job, 0, len(pl.Victims))
	for _, ga := range pl.Victims {
		ids = append(ids, ga.Job)
		ro.stopping[ga.Job] = jo.ID
		ro.zone.Leave(ga.Job)
	}
	ro.preempts += len(ids)
	if jo.Urgent || pl.Reservation != nil {
		ro.zone.Promise(pl)
	} else {
		ro.zone.Hold(jo.ID, pl.Block) // urgent work may still take it
	}
	ro.holdAt[jo.ID] = ro.now
	if len(ids) > 0 {
		ro.decisions = append(ro.decisions, Decision{Job: jo, Placement: pl, Preempt: ids})
	}
}

// line returns the waiting jobs in the order in which they are considered.
func (sc *Scheduler) line(now clock.Millis) []Job {
	jobs := make([]Job, 0, len(sc.waiting))
	score := make(map[identifier.Job]float64, len(sc.waiting))
	share := sc.shares()
	for id, jo := range sc.waiting {
		jobs = append(jobs, jo)
		score[id] = sc.score(jo, share[jo.Workspace], now)
	}
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(score[b.ID], score[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// shares is each workspace's use relative to its weight, 1 being its fair share.
func (sc *Scheduler) shares() map[identifier.Workspace]float64 {
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
