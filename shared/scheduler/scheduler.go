// Package scheduler decides in rounds which waiting gangs of an availability zone start and
// which running gangs are preempted. Guaranteed jobs come first, then urgent ones, then all
// others by weighted fair share and waiting time. The caller carries out the decisions.
package scheduler

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

// Presets of the scheduling policy.
const (
	// Completion gives priority to short completion times of jobs.
	Completion Preset = iota
	// Fragmentation gives priority to low fragmentation: few accelerators that are free but
	// that no waiting gang can use.
	Fragmentation
)

type (
	// Preset selects the objective of the scheduling policy.
	Preset int

	// Policy holds the parameters of the scheduler.
	Policy struct {
		Preset Preset
		// MaxPreemptions is how often a job may be preempted before it is placed where it
		// cannot be preempted.
		MaxPreemptions int32
		// RestartCost is the time that a preempted gang loses for its checkpoint and restart.
		RestartCost clock.Millis
		// MaxHolds is the maximum number of waiting gangs for which blocks are held.
		MaxHolds int
		// HoldRatio is how long a gang must wait, as a multiple of its expected run time,
		// before a block is held for it.
		HoldRatio float64
		// MinCompactionGain is the minimum ratio of gain to loss for compaction; 0 disables
		// compaction.
		MinCompactionGain int64
		// MaxMovedFraction is the total size of moved gangs, as a fraction of the size of the gang
		// that starts, up to which they are moved even if they do not fit elsewhere at once.
		MaxMovedFraction float64
		// AvoidFragmentation means that placements avoid breaking up blocks of shapes that are
		// often requested.
		AvoidFragmentation bool
	}

	// Workspace holds the entry of a workspace in the shared table.
	Workspace struct {
		ID identifier.Workspace
		// Weight is at least 1.
		Weight meter.Weight
		// Limit is the maximum number of accelerators that the workspace may use in the zone.
		Limit meter.Accelerators
	}

	// Job is a waiting or running gang job.
	Job struct {
		ID        identifier.Job
		Workspace identifier.Workspace
		Shape     placer.Shape
		Urgent    bool
		Submitted clock.Millis
		// Expected is the expected run time, corrected by the estimator.
		Expected    clock.Millis
		Preemptions int32
		// Avoid lists the workers on which the job has failed. It is placed on other workers,
		// unless it could then never be placed.
		Avoid []identifier.Worker
	}

	// Run is a running gang.
	Run struct {
		Job     Job
		Started clock.Millis
	}

	// Decision either starts a job, or preempts the victims of a job that will start once
	// they have stopped.
	Decision struct {
		Job       Job
		Placement placer.Placement
		// Preempt lists the jobs to checkpoint and stop. If it is not empty, Job does not
		// start yet.
		Preempt []identifier.Job
	}

	// Scheduler holds the waiting and running jobs of one zone. It is not safe for concurrent
	// use; the caller must serialize access.
	Scheduler struct {
		policy     Policy
		zone       *placer.Zone
		workspaces map[identifier.Workspace]Workspace
		waiting    map[identifier.Job]Job
		running    map[identifier.Job]Run
		// stopping maps a running job that is being stopped to the job it is preempted for. A
		// job that the caller stops with MarkStopping maps to itself.
		stopping map[identifier.Job]identifier.Job
		// reasons holds why each waiting job waits, as of the last round.
		reasons map[identifier.Job]Reason
		// holdFreeAt is when the block held for a waiting job is expected to be free.
		holdFreeAt map[identifier.Job]clock.Millis
		// changed means that jobs or workspaces have changed since lastRound.
		changed   bool
		lastRound clock.Millis
	}
)

// PolicyFor returns the policy of a preset.
func PolicyFor(pr Preset) Policy {
	po := Policy{
		Preset:             pr,
		MaxPreemptions:     3,
		RestartCost:        10 * clock.Second,
		MaxHolds:           1,
		HoldRatio:          8,
		MinCompactionGain:  1,
		AvoidFragmentation: true,
	}
	if pr == Fragmentation {
		po.MaxMovedFraction = 0.5
	}
	return po
}

// New returns a scheduler for a zone.
func New(po Policy, zo *placer.Zone) *Scheduler {
	return &Scheduler{
		policy:     po,
		zone:       zo,
		workspaces: map[identifier.Workspace]Workspace{},
		waiting:    map[identifier.Job]Job{},
		running:    map[identifier.Job]Run{},
		stopping:   map[identifier.Job]identifier.Job{},
		reasons:    map[identifier.Job]Reason{},
		holdFreeAt: map[identifier.Job]clock.Millis{},
	}
}

// SetWorkspace adds or updates a workspace.
func (sc *Scheduler) SetWorkspace(ws Workspace) {
	sc.workspaces[ws.ID] = ws
	sc.changed = true
}

// Enqueue adds a job to the queue. If it was running, its accelerators are released first.
func (sc *Scheduler) Enqueue(jo Job) {
	sc.Remove(jo.ID)
	sc.changed = true
	if jo.Preemptions == 0 && sc.policy.AvoidFragmentation {
		sc.zone.RecordDemand(jo.Shape)
	}
	sc.waiting[jo.ID] = jo
}

// Restore records a running job that was placed by a previous scheduler.
func (sc *Scheduler) Restore(ru Run, pl placer.Placement) {
	sc.Remove(ru.Job.ID)
	sc.zone.Commit(pl)
	sc.running[ru.Job.ID] = ru
}

// Remove removes a job and releases its accelerators and its hold.
func (sc *Scheduler) Remove(id identifier.Job) {
	sc.changed = true
	sc.zone.Unhold(id)
	sc.zone.Release(id)
	delete(sc.waiting, id)
	delete(sc.running, id)
	delete(sc.stopping, id)
	delete(sc.reasons, id)
	delete(sc.holdFreeAt, id)
}

// Running returns the run of a running job.
func (sc *Scheduler) Running(id identifier.Job) (Run, bool) {
	ru, found := sc.running[id]
	return ru, found
}

// WaitingCount returns the number of waiting jobs.
func (sc *Scheduler) WaitingCount() int { return len(sc.waiting) }

// MarkStopping marks a running job as stopping at the request of the caller, not for another job.
func (sc *Scheduler) MarkStopping(id identifier.Job) {
	if _, runs := sc.running[id]; runs {
		sc.stopping[id] = id
		sc.zone.MarkStopping(id)
	}
}

// ExpectedEnd returns when a running gang is expected to complete. A gang that has exceeded its
// expected run time is expected to run for as long again as it has run so far.
func (sc *Scheduler) ExpectedEnd(ga *placer.Gang, now clock.Millis) clock.Millis {
	ru, runs := sc.running[ga.Job]
	if !runs {
		return now
	}
	if end := ru.Started + ru.Job.Expected; end > now {
		return end
	}
	return now + max(now-ru.Started, 1)
}

// preemptionLoss returns a function for the loss from preempting a gang, in
// accelerator-milliseconds. The loss grows with the number of earlier preemptions, so that
// the same gang is not chosen repeatedly.
func (sc *Scheduler) preemptionLoss(now clock.Millis) placer.LossFunc {
	return func(ga *placer.Gang) int64 {
		ru := sc.running[ga.Job]
		loss := min(now-ru.Started, sc.policy.RestartCost) + sc.policy.RestartCost
		return int64(loss) * int64(ga.Block.Shape.Total()) * int64(1+ru.Job.Preemptions)
	}
}
