// Package pacer decides how much to throttle best-effort tasks that share a worker with
// user-facing services, so that the tail latencies of the services stay below their
// targets.
package pacer

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// Full is the speed of a task that is not throttled.
	Full meter.Percent = 100
	// throttleAbove is the fraction of the target above which best-effort tasks are
	// throttled. It is below 1 because the reported tail latency is imprecise and a command
	// takes effect only after 0.1 s.
	throttleAbove = 0.85
	// raiseBelow is the fraction of the target below which the speed is raised again.
	raiseBelow = 0.6
	// raiseStep is the increase of the speed per decision. Small steps keep the tail
	// latency from oscillating.
	raiseStep meter.Percent = 10
	// minPace is the lowest speed other than 0.
	minPace meter.Percent = 10
)

// Serving is a service task on the same worker.
type Serving struct {
	// Tail is the tail latency of the task; 0 means unknown.
	Tail clock.Millis
	// Target is the upper limit of the tail latency.
	Target clock.Millis
}

// Next returns the new speed of the best-effort tasks on a worker, given their present
// speed. The speed is halved, down to a stop, while a service is close to its target or
// above it, and raised step by step once all services are well below theirs.
func Next(present meter.Percent, services []Serving) meter.Percent {
	highest := 0.0
	for _, se := range services {
		if se.Target > 0 {
			highest = max(highest, float64(se.Tail)/float64(se.Target))
		}
	}
	switch {
	case highest > throttleAbove && present/2 < minPace:
		return 0
	case highest > throttleAbove:
		return present / 2
	case highest < raiseBelow:
		return min(present+raiseStep, Full)
	}
	return present
}
