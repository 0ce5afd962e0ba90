// Package simulator simulates days of step jobs, with simulated time and without a network,
// to compare placement policies on many random seeds.
package simulator

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Kind describes a kind of job: its rate of arrival, size, run times and worth.
	Kind struct {
		Name     identifier.Queue
		Priority int
		Attempts int
		// PerSecond is the rate of arrival in all zones together.
		PerSecond float64
		// Worth is the credit for a job of mean work that completes before its deadline, and
		// Late the credit for one that completes later.
		Worth, Late float64
		// Stretch and Objective define the time objective of a job: the slowdown factor
		// Stretch times the run time of its critical path, plus Objective.
		Stretch   float64
		Objective clock.Millis
		// Work is the mean run time of a task. WorkSpread is its standard deviation between
		// jobs and Uneven that between the tasks of a job, both of the logarithm. MostWork is
		// the maximum.
		Work               clock.Millis
		WorkSpread, Uneven float64
		MostWork           clock.Millis
		// EstimateOff is the error of the declared run times: the standard deviation of the
		// logarithm of their ratio to the mean run time of the job.
		EstimateOff float64
		// Steps is the mean number of steps. Each step depends on the previous one.
		Steps float64
		// Width is the mean number of tasks of a step, WidthSpread the standard deviation of
		// its logarithm, and MostWidth the maximum.
		Width       float64
		WidthSpread float64
		MostWidth   int
		Need        workload.Resources
		// Accelerators lists the numbers of accelerators per task from which one is drawn for
		// each job.
		Accelerators []meter.Accelerators
		// Gang, Checkpoints, Cancelled and Hopeless are fractions of the jobs: those that run
		// as gangs, write checkpoints, are cancelled, and fail in every run. SameRack is the
		// fraction of the gangs that request a single rack.
		Gang, SameRack, Checkpoints, Cancelled, Hopeless float64
		// Failing is the fraction of the runs of all other jobs that fail.
		Failing float64
	}

	// Burst is a period in which jobs of a kind arrive Multiple times as often.
	Burst struct {
		Kind     identifier.Queue
		From     clock.Millis
		Length   clock.Millis
		Multiple float64
	}

	// Load describes a deployment and the jobs that arrive in one day.
	Load struct {
		Name string
		// Zones is the number of zones. PerZone and PerRack are the numbers of workers in
		// each zone and rack.
		Zones, PerZone, PerRack int
		Capacity                workload.Resources
		// Speeds holds factors by which workers multiply run times. They are assigned to the
		// workers in rotation.
		Speeds []float64
		Kinds  []Kind
		// Rate scales the arrival rates of all kinds.
		Rate   float64
		Bursts []Burst
		// Workspaces is the number of workspaces. Sure is the fraction of all accelerators
		// that is guaranteed to them.
		Workspaces int
		Sure       float64
		// Length is the period during which jobs arrive. Finish is the time after it in which
		// they can still complete.
		Length, Finish clock.Millis
		// StopGrace is the maximum time between the stop of a run and its end.
		StopGrace clock.Millis
		// FarFactor is the slowdown of a gang that requested a single rack and got several.
		FarFactor float64
		// WastePrice is the penalty for a core-second of lost work, in credit.
		WastePrice float64
	}
)

// Thengola returns a day of heavy load with small sign-ups, practice sets and certificate
// packs.
func Thengola() Load {
	return Load{
		Name: "Thengola", Zones: 4, PerZone: 12, PerRack: 6, Speeds: []float64{1, 1, 1.3},
		Capacity: workload.Resources{CPU: 64000, Memory: 131072, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "practiceSet", Priority: 1, Attempts: 3, PerSecond: 0.785, Worth: 3, Late: 0.9, Stretch: 3, Objective: 1000,
				Work: 6800, WorkSpread: 0.3, Uneven: 0.3, MostWork: 11000, EstimateOff: 0.9, Steps: 1, Width: 5, WidthSpread: 0.8, MostWidth: 30,
				Need: workload.Resources{CPU: 26000, Memory: 68000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, Hopeless: 0.03, Failing: 0.02,
			},
			{
				Name: "signUp", Priority: 0, Attempts: 4, PerSecond: 1.91, Worth: 4, Late: 0.8, Stretch: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, Uneven: 0.15, MostWork: 8000, EstimateOff: 0.5, Steps: 1, Width: 3.4, WidthSpread: 0.8, MostWidth: 21,
				Need: workload.Resources{CPU: 7500, Memory: 15000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.005,
			},
			{
				Name: "certificatePack", Priority: 2, Attempts: 4, PerSecond: 0.59, Worth: 1, Late: 0.3, Stretch: 3, Objective: 3000,
				Work: 7600, WorkSpread: 0.3, Uneven: 0.3, MostWork: 11000, EstimateOff: 0.9, Steps: 1.3, Width: 16, WidthSpread: 0.8, MostWidth: 94,
				Need: workload.Resources{CPU: 5600, Memory: 8200}, Accelerators: []meter.Accelerators{1},
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

// Grown returns the load for a deployment of about 350 workers, with more and wider jobs.
func (lo Load) Grown() Load {
	lo.Name += " grown"
	lo.PerZone, lo.PerRack = 352/lo.Zones, 12
	lo.Kinds = slices.Clone(lo.Kinds)
	for i := range lo.Kinds {
		lo.Kinds[i].PerSecond *= grownRateFactor
		lo.Kinds[i].Width *= grownWidthFactor
		lo.Kinds[i].MostWidth *= 2
	}
	return lo
}

// Pooled returns the load for a single worker of normal speed that has the resources of all
// workers. The difference to the result of the original load is the cost of fragmentation,
// slow workers and placement across racks.
func (lo Load) Pooled() Load {
	all := lo.Zones * lo.PerZone
	lo.Zones, lo.PerZone, lo.PerRack, lo.Speeds = 1, 1, 1, []float64{1}
	lo.Capacity.CPU *= meter.MilliCores(all)
	lo.Capacity.Memory *= meter.Mebibytes(all)
	lo.Capacity.Accelerators *= meter.Accelerators(all)
	return lo
}

// Factors on the arrival rate and the width of jobs in grown loads.
const (
	grownRateFactor  = 3.6
	grownWidthFactor = 2
)

// Derwent returns a day of heavy load with proofs, re-renders and archive batches.
func Derwent() Load {
	return Load{
		Name: "Derwent", Zones: 3, PerZone: 16, PerRack: 8, Speeds: []float64{0.8, 1, 1.25},
		Capacity: workload.Resources{CPU: 128000, Memory: 524288, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "reRender", Priority: 1, Attempts: 2, PerSecond: 0.858, Worth: 3, Late: 0.9, Stretch: 3, Objective: 1000,
				Work: 8500, WorkSpread: 0.3, Uneven: 0.15, MostWork: 11000, EstimateOff: 0.9, Steps: 1, Width: 4, WidthSpread: 0.8, MostWidth: 24,
				Need: workload.Resources{CPU: 52000, Memory: 150000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, Hopeless: 0.03, Failing: 0.02,
			},
			{
				Name: "proof", Priority: 0, Attempts: 3, PerSecond: 2.4, Worth: 4, Late: 0.8, Stretch: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, Uneven: 0.15, MostWork: 8000, EstimateOff: 0.2, Steps: 1, Width: 3, WidthSpread: 0.8, MostWidth: 18,
				Need: workload.Resources{CPU: 15000, Memory: 44000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.02,
			},
			{
				Name: "archiveBatch", Priority: 2, Attempts: 3, PerSecond: 0.68, Worth: 1, Late: 0.3, Stretch: 3, Objective: 3000,
				Work: 9500, WorkSpread: 0.3, Uneven: 0.3, MostWork: 11000, EstimateOff: 0.5, Steps: 1.3, Width: 12, WidthSpread: 0.8, MostWidth: 72,
				Need: workload.Resources{CPU: 11000, Memory: 33000}, Accelerators: []meter.Accelerators{1},
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
