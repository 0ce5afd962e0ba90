package planner

import "github.com/wagtailcroft/wagtailcroft/shared/clock"

// Presets of the tuning, compared with each other on simulated days by `make days`.
var (
	// Completion aims to meet the objectives of as much work as possible.
	Completion = Tuning{HeadroomDeviations: 2.5, MaxHeadroom: 0.35, SeparationWeight: 0.2, MaxRackWait: 20 * clock.Second, OrderByObjective: true}
	// Contention aims to lose little work on fleets on which workers leave and urgent work comes in bursts.
	Contention = Tuning{
		HeadroomDeviations: 2.5, MaxHeadroom: 0.35, SeparationWeight: 0.2, MaxRackWait: 20 * clock.Second,
		OrderByObjective: true, DepartByRemaining: true, PreemptByValue: true, HoldByEnd: true,
	}
	// Fragmentation keeps large gangs on one rack and free resources in large blocks, at
	// the cost of longer waits for small tasks.
	Fragmentation = Tuning{HeadroomDeviations: 2.5, MaxHeadroom: 0.35, SeparationWeight: 1, MaxRackWait: 40 * clock.Second, OrderByObjective: true}
	// AcceptanceOrder places work in order of acceptance and keeps no headroom for urgent work.
	AcceptanceOrder = Tuning{MaxRackWait: 12 * clock.Second}
)
