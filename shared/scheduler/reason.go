package scheduler

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Why a job waits.
const (
	// NotConsidered means that no round has come yet.
	NotConsidered Code = iota
	// AtLimit means that the workspace would pass its limit.
	AtLimit
	// NoRoom means that no block is free.
	NoRoom
	// NoRoomSpared means that no block is free where the job would not be preempted again.
	NoRoomSpared
	// WaitsForVictims means that borrowed gangs are being stopped for the job.
	WaitsForVictims
)

type (
	// Code says why a job waits.
	Code int

	// Reason says why a job waits, with the numbers behind it.
	Reason struct {
		Code  Code
		Limit meter.Accelerators
		InUse meter.Accelerators
		Free  meter.Accelerators
		// HoldAt is when a block kept for the job is expected to be free; 0 means none is kept.
		HoldAt clock.Millis
	}
)

// Why explains in lines for operators why a job waits or where it runs.
func (sc *Scheduler) Why(id identifier.Job, now clock.Millis) []string {
	if ru, runs := sc.running[id]; runs {
		return sc.whyPlaced(ru, now)
	}
	jo, waits := sc.waiting[id]
	if !waits {
		return nil
	}
	re := sc.reasons[id]
	return append([]string{
		fmt.Sprintf("waits since %d ms for %s (%d accelerators)", now-jo.Submitted, jo.Shape, jo.Shape.Total()),
		fmt.Sprintf("is number %d of %d in the line", sc.position(id, now), len(sc.waiting)),
	}, re.lines(now)...)
}

func (sc *Scheduler) whyPlaced(ru Run, now clock.Millis) []string {
	ga := sc.zone.Gang(ru.Job.ID)
	if ga == nil {
		return nil
	}
	kind := "on borrowed accelerators; it may be preempted by a guarantee"
	switch {
	case ga.Reservation != nil:
		kind = fmt.Sprintf("by the guarantee %s of its workspace; it is not preempted", ga.Reservation.Shape)
	case ga.Fixed:
		kind = "outside all guarantees; it is not preempted again"
	}
	lines := []string{
		fmt.Sprintf("placed since %d ms on %d workers %s", now-ru.Started, len(ga.Block.Shares), kind),
		fmt.Sprintf("is expected to end in %d ms", sc.EndOf(ga, now)-now),
	}
	if waiter, stops := sc.stopping[ru.Job.ID]; stops {
		lines = append(lines, fmt.Sprintf("makes way for %s", waiter))
	}
	return lines
}

func (sc *Scheduler) position(id identifier.Job, now clock.Millis) int {
	for i, jo := range sc.line(now) {
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
	case NoRoom:
		lines := []string{fmt.Sprintf("%d accelerators are free, but none of the blocks it needs", re.Free)}
		if re.HoldAt > 0 {
			lines = append(lines, fmt.Sprintf("a block is kept for it and expected in %d ms", max(re.HoldAt-now, 0)))
		}
		return lines
	case NoRoomSpared:
		return []string{"it has been preempted as often as is allowed and waits for a block outside all guarantees"}
	case WaitsForVictims:
		return []string{"borrowed gangs are being checkpointed to make way for it"}
	default:
		return []string{"no scheduling round has considered it yet"}
	}
}
