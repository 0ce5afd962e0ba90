package scheduler

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

const (
	mostHolds         = 2                // waiting gangs that blocks are kept free for
	mostPreemptsRound = 64               // gangs preempted in one round
	holdAfter         = 2 * clock.Second // a gang waits this long before a block is kept for it
)

// round is the state of one round.
type round struct {
	*Scheduler
	now       clock.Millis
	decisions []Decision
	holds     int
	preempts  int
	// backfillBy is when the first hold is expected to be needed; 0 means none.
	backfillBy clock.Millis
	// refused remembers what was found to have no room, so that it is not sought again.
	refused map[placer.Shape]bool
}

// Round decides what to start and what to preempt now. Placements without victims have
// taken effect in the zone when it returns; the caller undoes one with Wait.
func (sc *Scheduler) Round(now clock.Millis) []Decision {
	ro := &round{Scheduler: sc, now: now, refused: map[placer.Shape]bool{}}
	ro.countHolds()
	for _, jo := range sc.line(now) {
		ro.consider(jo)
	}
	return ro.decisions
}

// countHolds takes over the holds of earlier rounds.
func (ro *round) countHolds() {
	for id, at := range ro.holdAt {
		if _, held := ro.zone.Held(id); !held {
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
	if len(pl.Victims) == 0 {
		ro.start(jo, pl)
		return true
	}
	ro.preempt(jo, pl)
	return true
}

// spared places a job that has been preempted often where it will not be again.
func (ro *round) spared(jo Job) bool {
	if jo.Preemptions < ro.policy.MaxPreemptions {
		return false
	}
	pl, found := ro.zone.Fix(jo.ID, jo.Workspace, jo.Shape)
	if found {
		ro.start(jo, pl)
		return true
	}
	ro.reasons[jo.ID] = Reason{Code: NoRoomSpared}
	ro.hold(jo)
	return true
}

// urgent starts the job now, preempting borrowed work that is not urgent if it must.
func (ro *round) urgent(jo Job) {
	if ro.borrow(jo) {
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
	_, stopping := ro.stopping[ga.Job]
	return !ga.Fixed && runs && !stopping
}

// normal starts the job if there is room, else keeps a block for it if it is far enough
// ahead in the line.
func (ro *round) normal(jo Job) {
	if ro.borrow(jo) {
		return
	}
	ro.reasons[jo.ID] = Reason{Code: NoRoom, Free: ro.zone.Free(), HoldAt: ro.holdAt[jo.ID]}
	if ro.compact(jo) {
		return
	}
	ro.hold(jo)
}

// borrow starts the job as borrowed work, on held accelerators only if it is expected to
// end before they are needed.
func (ro *round) borrow(jo Job) bool {
	_, holds := ro.zone.Held(jo.ID)
	if ro.refused[jo.Shape] && !holds {
		return false
	}
	if pl, found := ro.zone.Borrow(jo.ID, jo.Workspace, jo.Shape); found {
		ro.start(jo, pl)
		return true
	}
	if !holds && ro.backfillBy != 0 && ro.now+jo.Expected <= ro.backfillBy {
		if pl, found := ro.zone.Backfill(jo.ID, jo.Workspace, jo.Shape); found {
			ro.start(jo, pl)
			return true
		}
	}
	if !holds && ro.backfillBy == 0 {
		ro.refused[jo.Shape] = true
	}
	return false
}

// hold keeps the block that is expected to be free first for a gang.
func (ro *round) hold(jo Job) {
	if _, held := ro.zone.Held(jo.ID); held || ro.holds >= mostHolds || ro.now-jo.Submitted < holdAfter {
		return
	}
	ends := func(ga *placer.Gang) clock.Millis { return ro.EndOf(ga, ro.now) }
	bl, at, found := ro.zone.Earliest(jo.Shape, ro.now, ends)
	if !found {
		return
	}
	ro.zone.Hold(jo.ID, bl)
	ro.holdAt[jo.ID] = at
	ro.keep(at)
	clear(ro.refused)
}

// start makes a placement take effect.
func (ro *round) start(jo Job, pl placer.Placement) {
	ro.zone.Commit(pl)
	delete(ro.waiting, jo.ID)
	delete(ro.reasons, jo.ID)
	delete(ro.holdAt, jo.ID)
	ro.running[jo.ID] = Run{Job: jo, Started: ro.now}
	ro.decisions = append(ro.decisions, Decision{Job: jo, Placement: pl})
}

// preempt tells the victims to go and keeps their block for the job.
func (ro *round) preempt(jo Job, pl placer.Placement) {
	ro.reasons[jo.ID] = Reason{Code: WaitsForVictims}
	if ro.preempts+len(pl.Victims) > mostPreemptsRound {
		return
	}
	var ids []identifier.Job
	for _, ga := range pl.Victims {
		if _, stopping := ro.stopping[ga.Job]; !stopping {
			ids = append(ids, ga.Job)
			ro.stopping[ga.Job] = jo.ID
		}
	}
	ro.preempts += len(ids)
	ro.zone.Hold(jo.ID, pl.Block)
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
		switch {
		case score[a.ID] > score[b.ID]:
			return -1
		case score[a.ID] < score[b.ID]:
			return 1
		case a.ID < b.ID:
			return -1
		default:
			return 1
		}
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
