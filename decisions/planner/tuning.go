package planner

import "github.com/wagtailcroft/wagtailcroft/shared/clock"

// Presets of the tuning, compared with each other on simulated days by `make days`.
var (
	// Completion aims to meet the objectives of as much work as possible.
	Completion = Tuning{Spare: 2.5, MostSpare: 0.35, Apart: 0.2, RackPatience: 20 * clock.Second, Ordered: true}
	// Fragmentation keeps large gangs on one rack and free resources in large blocks, at
	// the cost of longer waits for small tasks.
	Fragmentation = Tuning{Spare: 2.5, MostSpare: 0.35, Apart: 1, RackPatience: 40 * clock.Second, Ordered: true}
	// Former places work in order of acceptance and keeps no headroom for urgent work.
	Former = Tuning{RackPatience: 12 * clock.Second}
)
