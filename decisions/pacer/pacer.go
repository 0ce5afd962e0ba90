// Package pacer decides how fast tasks that fill leftover capacity may work beside tasks
// that serve users, so that the response times of these stay below their targets.
package pacer

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// Full is the pace of a task that nobody has slowed.
	Full meter.Percent = 100
	// slowAbove is the share of the target above which fillers are slowed: below the
	// target, for the figure is rough and an order takes effect after 0.1 s.
	slowAbove = 0.85
	// raiseBelow is the share of the target below which they are let go faster.
	raiseBelow = 0.6
	// raiseStep is by how much; slow steps up keep the tail from swinging.
	raiseStep meter.Percent = 10
	// leastPace is the slowest pace above a standstill.
	leastPace meter.Percent = 10
)

// Serving is a task that serves users.
type Serving struct {
	// Tail is the tail of its response times; 0 is unknown.
	Tail clock.Millis
	// Target must not be exceeded.
	Target clock.Millis
}

// Next is the pace of the fillers on a worker, from their present one: halved while a
// task is near or over its target, raised step by step once all are well below.
func Next(present meter.Percent, beside []Serving) meter.Percent {
	worst := 0.0
	for _, se := range beside {
		if se.Target > 0 {
			worst = max(worst, float64(se.Tail)/float64(se.Target))
		}
	}
	switch {
	case worst > slowAbove && present/2 < leastPace:
		return 0
	case worst > slowAbove:
		return present / 2
	case worst < raiseBelow:
		return min(present+raiseStep, Full)
	}
	return present
}
