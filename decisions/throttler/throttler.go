// Package throttler decides how much to throttle best-effort tasks that share a worker with
// user-facing services, so that the tail latencies of the services stay below their
// targets.
package throttler

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// FullSpeed is the speed of a task that is not throttled.
	FullSpeed meter.Percent = 100
	// throttleAbove is the fraction of the target above which best-effort tasks are
	// throttled. It is below 1 because the reported tail latency is imprecise and a command
	// takes effect only after 0.1 s.
	throttleAbove = 0.85
	// raiseBelow is the fraction of the target below which the speed is raised again.
	raiseBelow = 0.6
	// raiseStep is the increase of the speed per decision. Small steps keep the tail
	// latency from oscillating.
	raiseStep meter.Percent = 10
	// minSpeed is the lowest speed other than 0.
	minSpeed meter.Percent = 10
)

// Service is a service task on the same worker.
type Service struct {
	// TailLatency is the tail latency of the task; 0 means unknown.
	TailLatency clock.Millis
	// Target is the upper limit of the tail latency.
	Target clock.Millis
}

// Harmed reports whether a service is close to its target or above it.
func Harmed(se Service) bool {
	return se.Target > 0 && float64(se.TailLatency)/float64(se.Target) > throttleAbove
}

// Next returns the new speed of the best-effort tasks on a worker, given their present
// speed. The speed is halved, down to a stop, while a service is close to its target or
// above it, and raised step by step once all services are well below theirs.
func Next(present meter.Percent, services []Service) meter.Percent {
	highest := 0.0
	for _, se := range services {
		if se.Target > 0 {
			highest = max(highest, float64(se.TailLatency)/float64(se.Target))
		}
	}
	switch {
	case highest > throttleAbove && present/2 < minSpeed:
		return 0
	case highest > throttleAbove:
		return present / 2
	case highest < raiseBelow:
		return min(present+raiseStep, FullSpeed)
	}
	return present
}
