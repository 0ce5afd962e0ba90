package planner

import "github.com/wagtailcroft/wagtailcroft/shared/clock"

// Presets of the tuning. The figures come from `make days`.
var (
	// Completion has most work done in time.
	Completion = Tuning{Spare: 2.5, MostSpare: 0.35, Apart: 0.2, RackPatience: 20 * clock.Second, Ordered: true}
	// Fragmentation keeps large gangs on one rack and room in large pieces, at the price of
	// longer waits of small work.
	Fragmentation = Tuning{Spare: 2.5, MostSpare: 0.35, Apart: 1, RackPatience: 40 * clock.Second, Ordered: true}
	// Former serves in order of acceptance and keeps no room for urgent work.
	Former = Tuning{RackPatience: 12 * clock.Second}
)
