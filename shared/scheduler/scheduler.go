// Package scheduler decides in rounds which waiting gangs of an availability zone start
// and which running ones make way: guarantees first, urgent work next, then by weighted
// fair share and waiting time. It knows nothing of how decisions are carried out.
package scheduler

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

// The measures a deployment may weigh more.
const (
	// Completion weighs the completion time of jobs.
	Completion Preset = iota
	// Fragmentation weighs accelerators that are free but of no use to waiting gangs.
	Fragmentation
)

type (
	// Preset names the measure that is weighed more.
	Preset int

	// Policy holds the bounds of the scheduler.
	Policy struct {
		Preset Preset
		// MaxPreemptions is how often one job may be preempted before it is placed where
		// it need not be.
		MaxPreemptions int32
		// RestartCost is what a preempted gang loses by its checkpoint and new start.
		RestartCost clock.Millis
		// MostHolds is the number of waiting gangs that blocks are kept free for.
		MostHolds int
		// HoldRatio is how long a gang waits, in its expected run times, before a block is
		// kept free for it.
		HoldRatio float64
		// CompactGain is how many times the loss of moving gangs the gain must be; 0 means
		// that none are moved.
		CompactGain int64
		// CompactShare is the part of a gang's size up to which smaller gangs are moved for
		// it even if they find no room elsewhere at once.
		CompactShare float64
		// WeighsDemand means that placements spare blocks that are often asked for.
		WeighsDemand bool
	}

	// Workspace is what the shared table says of a workspace.
	Workspace struct {
		ID identifier.Workspace
		// Weight is at least 1.
		Weight meter.Weight
		// Limit is the most accelerators the workspace may use in the zone.
		Limit meter.Accelerators
	}

	// Job is a waiting or running gang job.
	Job struct {
		ID        identifier.Job
		Workspace identifier.Workspace
		Shape     placer.Shape
		Urgent    bool
		Submitted clock.Millis
		// Expected is the corrected run time.
		Expected    clock.Millis
		Preemptions int32
		// Avoid lists workers on which the job has failed. It is placed elsewhere if there
		// is an elsewhere.
		Avoid []identifier.Worker
	}

	// Run is a running gang.
	Run struct {
		Job     Job
		Started clock.Millis
	}

	// Decision starts one job, or preempts the victims of one that will start when they
	// are gone.
	Decision struct {
		Job       Job
		Placement placer.Placement
		// Preempt lists jobs to checkpoint; when it is not empty, the job does not start yet.
		Preempt []identifier.Job
	}

	// Scheduler holds the waiting and running jobs of one zone. It is not safe for
	// concurrent use; its owner guards it.
	Scheduler struct {
		policy     Policy
		zone       *placer.Zone
		workspaces map[identifier.Workspace]Workspace
		waiting    map[identifier.Job]Job
		running    map[identifier.Job]Run
		// stopping maps a running job that was told to go to the one it makes way for.
		stopping map[identifier.Job]identifier.Job
		// reasons says why each waiting job waits, as of the last round.
		reasons map[identifier.Job]Reason
		// holdAt is when the hold of a waiting job is expected to be free.
		holdAt map[identifier.Job]clock.Millis
		// changed means that something has come, gone or been moved since lastRound.
		changed   bool
		lastRound clock.Millis
	}
)

// For returns the policy of a preset.
func For(pr Preset) Policy {
	po := Policy{
		Preset:         pr,
		MaxPreemptions: 3,
		RestartCost:    10 * clock.Second,
		MostHolds:      1,
		HoldRatio:      8,
		CompactGain:    1,
		WeighsDemand:   true,
	}
	if pr == Fragmentation {
		po.CompactShare = 0.5
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
		holdAt:     map[identifier.Job]clock.Millis{},
	}
}

// SetWorkspace takes over what the shared table says of a workspace.
func (sc *Scheduler) SetWorkspace(ws Workspace) {
	sc.workspaces[ws.ID] = ws
	sc.changed = true
}

// Wait adds a job to the line; a job that was running is released first.
func (sc *Scheduler) Wait(jo Job) {
	sc.Remove(jo.ID)
	sc.changed = true
	if jo.Preemptions == 0 && sc.policy.WeighsDemand {
		sc.zone.Saw(jo.Shape)
	}
	sc.waiting[jo.ID] = jo
}

// Resume records a job that runs already, placed under an earlier scheduler.
func (sc *Scheduler) Resume(ru Run, pl placer.Placement) {
	sc.Remove(ru.Job.ID)
	sc.zone.Commit(pl)
	sc.running[ru.Job.ID] = ru
}

// Remove forgets a job and frees what it holds.
func (sc *Scheduler) Remove(id identifier.Job) {
	sc.changed = true
	sc.zone.Unhold(id)
	sc.zone.Release(id)
	delete(sc.waiting, id)
	delete(sc.running, id)
	delete(sc.stopping, id)
	delete(sc.reasons, id)
	delete(sc.holdAt, id)
}

// Running returns the run of a job.
func (sc *Scheduler) Running(id identifier.Job) (Run, bool) {
	ru, found := sc.running[id]
	return ru, found
}

// Waiting is the number of waiting jobs.
func (sc *Scheduler) Waiting() int { return len(sc.waiting) }

// Stop marks a running job as told to go, for a reason of the caller's own.
func (sc *Scheduler) Stop(id identifier.Job) {
	if _, runs := sc.running[id]; runs {
		sc.stopping[id] = id
		sc.zone.Leave(id)
	}
}

// EndOf is when a running gang is expected to end. One that has run longer than expected
// is expected to run as long again.
func (sc *Scheduler) EndOf(ga *placer.Gang, now clock.Millis) clock.Millis {
	ru, runs := sc.running[ga.Job]
	if !runs {
		return now
	}
	if end := ru.Started + ru.Job.Expected; end > now {
		return end
	}
	return now + max(now-ru.Started, 1)
}

// lost is what preempting a gang loses, in accelerator-milliseconds. Gangs that have been
// preempted before count more, so that no gang is chosen over and over.
func (sc *Scheduler) lost(now clock.Millis) placer.Lost {
	return func(ga *placer.Gang) int64 {
		ru := sc.running[ga.Job]
		loss := min(now-ru.Started, sc.policy.RestartCost) + sc.policy.RestartCost
		return int64(loss) * int64(ga.Block.Shape.Total()) * int64(1+ru.Job.Preemptions)
	}
}
