package scheduler

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Reasons why a job waits.
const (
	// NotConsidered means that no round has considered the job yet.
	NotConsidered ReasonCode = iota
	// AtLimit means that the workspace would exceed its limit.
	AtLimit
	// NoFreeBlock means that no suitable block is free.
	NoFreeBlock
	// NoFixedBlock means that the job has reached the limit of preemptions and that no block
	// is free on which it cannot be preempted.
	NoFixedBlock
	// WaitsForVictims means that borrowed gangs are being stopped to free a block for the job.
	WaitsForVictims
)

type (
	// ReasonCode is the reason why a job waits.
	ReasonCode int

	// Reason is the reason why a job waits, with the figures that explain it.
	Reason struct {
		Code  ReasonCode
		Limit meter.Accelerators
		InUse meter.Accelerators
		Free  meter.Accelerators
		// HoldAt is when the block held for the job is expected to be free; 0 means that no
		// block is held.
		HoldAt clock.Millis
	}
)

// Explain returns lines that tell operators why a job waits or how it was placed, or nil for an
// unknown job.
func (sc *Scheduler) Explain(id identifier.Job, now clock.Millis) []string {
	if ru, runs := sc.running[id]; runs {
		return sc.explainPlacement(ru, now)
	}
	jo, waits := sc.waiting[id]
	if !waits {
		return nil
	}
	re := sc.reasons[id]
	return append([]string{
		fmt.Sprintf("has been waiting for %d ms for shape %s (%d accelerators)", now-jo.Submitted, jo.Shape, jo.Shape.Total()),
		fmt.Sprintf("is at position %d of %d in the queue", sc.position(id, now), len(sc.waiting)),
	}, re.lines(now)...)
}

func (sc *Scheduler) explainPlacement(ru Run, now clock.Millis) []string {
	ga := sc.zone.Gang(ru.Job.ID)
	if ga == nil {
		return nil
	}
	kind := "on borrowed accelerators; it may be preempted for a guarantee"
	switch {
	case ga.Reservation != nil:
		kind = fmt.Sprintf("under guarantee %s of its workspace; it cannot be preempted", ga.Reservation.Shape)
	case ga.Fixed:
		kind = "outside all guarantees; it cannot be preempted again"
	}
	lines := []string{
		fmt.Sprintf("has been placed for %d ms on %d workers %s", now-ru.Started, len(ga.Block.Shares), kind),
		fmt.Sprintf("is expected to complete in %d ms", sc.ExpectedEnd(ga, now)-now),
	}
	if waiter, stops := sc.stopping[ru.Job.ID]; stops {
		lines = append(lines, fmt.Sprintf("is being stopped for job %s", waiter))
	}
	return lines
}

func (sc *Scheduler) position(id identifier.Job, now clock.Millis) int {
	for i, jo := range sc.queue(now) {
		if jo.ID == id {
			return i + 1
		}
	}
	return 0
}

func (re Reason) lines(now clock.Millis) []string {
	switch re.Code {
	case AtLimit:
		return []string{fmt.Sprintf("its workspace uses %d accelerators of its limit of %d; raise limits.accelerators or wait", re.InUse, re.Limit)}
	case NoFreeBlock:
		lines := []string{fmt.Sprintf("%d accelerators are free, but no free block fits its shape", re.Free)}
		if re.HoldAt > 0 {
			lines = append(lines, fmt.Sprintf("a block is held for it and is expected to be free in %d ms", max(re.HoldAt-now, 0)))
		}
		return lines
	case NoFixedBlock:
		return []string{"it has reached the limit of preemptions and waits for a block outside all guarantees"}
	case WaitsForVictims:
		return []string{"gangs on borrowed accelerators are being checkpointed and stopped to free a block for it"}
	default:
		return []string{"no scheduling round has considered it yet"}
	}
}
