// Package simulator plays days of step jobs in simulated time, without a network, so that
// the policies of a planner can be compared on many seeds.
package simulator

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Kind is a kind of job and how often it comes.
	Kind struct {
		Name     identifier.Queue
		Priority int
		Attempts int
		// PerSecond is the rate of arrival over all zones.
		PerSecond float64
		// Worth is what a job of mean work earns in time, Late what it earns later.
		Worth, Late float64
		// Stretch and Objective bound the time of a job that is in time: Stretch times its
		// longest chain of work, and Objective more.
		Stretch   float64
		Objective clock.Millis
		// Work is the mean run time of a task, WorkSpread its deviation from job to job, and
		// Uneven that from task to task, both of the logarithm.
		Work               clock.Millis
		WorkSpread, Uneven float64
		MostWork           clock.Millis
		// EstimateOff is the deviation of the logarithm of declared from true run times.
		EstimateOff float64
		// Steps is the mean number of steps; each depends on the one before.
		Steps float64
		// Width is the mean number of tasks of a step.
		Width       float64
		WidthSpread float64
		MostWidth   int
		Need        workload.Room
		// Accelerators holds the choices for one task.
		Accelerators []meter.Accelerators
		// Gang, SameRack, Checkpoints, Cancelled and Hopeless are shares of the jobs; SameRack
		// is one of the gangs.
		Gang, SameRack, Checkpoints, Cancelled, Hopeless float64
		// Failing is the share of the runs that fail by their own fault.
		Failing float64
	}

	// Burst is a time in which jobs of a kind come more often.
	Burst struct {
		Kind     identifier.Queue
		From     clock.Millis
		Length   clock.Millis
		Multiple float64
	}

	// Load is a deployment and a day on it.
	Load struct {
		Name string
		// Zones, PerZone and PerRack count workers.
		Zones, PerZone, PerRack int
		Capacity                workload.Room
		// Speeds holds the factors on run times that workers have in turn.
		Speeds []float64
		Kinds  []Kind
		// Rate scales the arrivals of all kinds.
		Rate   float64
		Bursts []Burst
		// Workspaces share the jobs; Sure is the share of all accelerators that is guaranteed.
		Workspaces int
		Sure       float64
		// Length is the time of arrivals; jobs may end within Finish more.
		Length, Finish clock.Millis
		// StopGrace is the longest time that a stopped run takes to end.
		StopGrace clock.Millis
		// FarFactor is how much longer a task takes away from its rack.
		FarFactor float64
		// WastePrice is what a core-second that is thrown away costs in worth.
		WastePrice float64
	}
)

// Thengola is a heavy day of small sign-ups beside practice sets and certificate packs.
func Thengola() Load {
	return Load{
		Name: "Thengola", Zones: 4, PerZone: 12, PerRack: 6, Speeds: []float64{1, 1, 1.3},
		Capacity: workload.Room{CPU: 64000, Memory: 131072, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "practiceSet", Priority: 1, Attempts: 3, PerSecond: 0.785, Worth: 3, Late: 0.9, Stretch: 3, Objective: 1000,
				Work: 6800, WorkSpread: 0.3, Uneven: 0.3, MostWork: 11000, EstimateOff: 0.9, Steps: 1, Width: 5, WidthSpread: 0.8, MostWidth: 30,
				Need: workload.Room{CPU: 26000, Memory: 68000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, Hopeless: 0.03, Failing: 0.02,
			},
			{
				Name: "signUp", Priority: 0, Attempts: 4, PerSecond: 1.91, Worth: 4, Late: 0.8, Stretch: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, Uneven: 0.15, MostWork: 8000, EstimateOff: 0.5, Steps: 1, Width: 3.4, WidthSpread: 0.8, MostWidth: 21,
				Need: workload.Room{CPU: 7500, Memory: 15000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.005,
			},
			{
				Name: "certificatePack", Priority: 2, Attempts: 4, PerSecond: 0.59, Worth: 1, Late: 0.3, Stretch: 3, Objective: 3000,
				Work: 7600, WorkSpread: 0.3, Uneven: 0.3, MostWork: 11000, EstimateOff: 0.9, Steps: 1.3, Width: 16, WidthSpread: 0.8, MostWidth: 94,
				Need: workload.Room{CPU: 5600, Memory: 8200}, Accelerators: []meter.Accelerators{1},
				Checkpoints: 0.45, Cancelled: 0.15, Hopeless: 0.03, Failing: 0.05,
			},
		},
		Rate: 0.95, Workspaces: 4, Sure: 0.62, Length: 41 * clock.Second, Finish: 34 * clock.Second, StopGrace: 900, FarFactor: 3, WastePrice: 0.0018,
		Bursts: []Burst{
			{Kind: "signUp", From: 5500, Length: 6000, Multiple: 1.9},
			{Kind: "certificatePack", From: 14900, Length: 3900, Multiple: 2.4},
			{Kind: "practiceSet", From: 22000, Length: 3500, Multiple: 2.8},
		},
	}
}

// Grown is a load on many times the workers, with more and wider jobs.
func (lo Load) Grown() Load {
	lo.Name += " grown"
	lo.PerZone, lo.PerRack = 352/lo.Zones, 12
	lo.Kinds = slices.Clone(lo.Kinds)
	for i := range lo.Kinds {
		lo.Kinds[i].PerSecond *= grownRate
		lo.Kinds[i].Width *= grownWidth
		lo.Kinds[i].MostWidth *= 2
	}
	return lo
}

// Pooled is a load on one worker with the room of all, none of which is slow or far: what
// the pieces of the room cost is the difference.
func (lo Load) Pooled() Load {
	all := lo.Zones * lo.PerZone
	lo.Zones, lo.PerZone, lo.PerRack, lo.Speeds = 1, 1, 1, []float64{1}
	lo.Capacity.CPU *= meter.MilliCores(all)
	lo.Capacity.Memory *= meter.Mebibytes(all)
	lo.Capacity.Accelerators *= meter.Accelerators(all)
	return lo
}

// The grown deployments have this many times the jobs, and jobs that are so much wider.
const (
	grownRate  = 3.6
	grownWidth = 2
)

// Derwent is a heavy day of proofs beside re-renders and archive batches.
func Derwent() Load {
	return Load{
		Name: "Derwent", Zones: 3, PerZone: 16, PerRack: 8, Speeds: []float64{0.8, 1, 1.25},
		Capacity: workload.Room{CPU: 128000, Memory: 524288, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "reRender", Priority: 1, Attempts: 2, PerSecond: 0.858, Worth: 3, Late: 0.9, Stretch: 3, Objective: 1000,
				Work: 8500, WorkSpread: 0.3, Uneven: 0.15, MostWork: 11000, EstimateOff: 0.9, Steps: 1, Width: 4, WidthSpread: 0.8, MostWidth: 24,
				Need: workload.Room{CPU: 52000, Memory: 150000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, Hopeless: 0.03, Failing: 0.02,
			},
			{
				Name: "proof", Priority: 0, Attempts: 3, PerSecond: 2.4, Worth: 4, Late: 0.8, Stretch: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, Uneven: 0.15, MostWork: 8000, EstimateOff: 0.2, Steps: 1, Width: 3, WidthSpread: 0.8, MostWidth: 18,
				Need: workload.Room{CPU: 15000, Memory: 44000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.02,
			},
			{
				Name: "archiveBatch", Priority: 2, Attempts: 3, PerSecond: 0.68, Worth: 1, Late: 0.3, Stretch: 3, Objective: 3000,
				Work: 9500, WorkSpread: 0.3, Uneven: 0.3, MostWork: 11000, EstimateOff: 0.5, Steps: 1.3, Width: 12, WidthSpread: 0.8, MostWidth: 72,
				Need: workload.Room{CPU: 11000, Memory: 33000}, Accelerators: []meter.Accelerators{1},
				Checkpoints: 0.45, Cancelled: 0.15, Hopeless: 0.03, Failing: 0.05,
			},
		},
		Rate: 0.95, Workspaces: 4, Sure: 0.62, Length: 41 * clock.Second, Finish: 34 * clock.Second, StopGrace: 200, FarFactor: 3, WastePrice: 0.0018,
		Bursts: []Burst{
			{Kind: "proof", From: 5500, Length: 6000, Multiple: 1.9},
			{Kind: "archiveBatch", From: 14900, Length: 3900, Multiple: 2.4},
			{Kind: "reRender", From: 22000, Length: 3500, Multiple: 1.8},
		},
	}
}
