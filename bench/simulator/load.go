// Package simulator simulates days of step jobs, with simulated time and without a network,
// to compare placement policies on many random seeds.
package simulator

import (
	"fmt"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Factors by which Scaled multiplies the arrival rate and the width of jobs.
const (
	scaledRateFactor  = 3.6
	scaledWidthFactor = 2
)

type (
	// Kind describes a kind of job: its rate of arrival, size, run times and credit.
	Kind struct {
		Name        identifier.Queue
		Priority    int
		MaxAttempts int
		// PerSecond is the rate of arrival in all zones together.
		PerSecond float64
		// Filled is the number of jobs that arrive at the beginning of the day.
		Filled int
		// Credit is the credit for a job of mean work that completes before its deadline, and
		// LateCredit the credit for one that completes later.
		Credit, LateCredit float64
		// SlowdownFactor and Objective define the time objective of a job: SlowdownFactor times
		// the run time of its critical path, plus Objective.
		SlowdownFactor float64
		Objective      clock.Millis
		// Work is the mean run time of a task. WorkSpread is its standard deviation between
		// jobs and TaskSpread that between the tasks of a job, both of the logarithm. MaxWork is
		// the maximum.
		Work                   clock.Millis
		WorkSpread, TaskSpread float64
		MaxWork                clock.Millis
		// EstimateError is the error of the declared run times: the standard deviation of the
		// logarithm of their ratio to the mean run time of the job.
		EstimateError float64
		// Steps is the mean number of steps. Each step depends on the previous one.
		Steps float64
		// Width is the mean number of tasks of a step, WidthSpread the standard deviation of
		// its logarithm, and MaxWidth the maximum.
		Width       float64
		WidthSpread float64
		MaxWidth    int
		Request     workload.Resources
		// Accelerators lists the numbers of accelerators per task from which one is drawn for
		// each job.
		Accelerators []meter.Accelerators
		// Gang, Checkpoints, Cancelled and AlwaysFailing are fractions of the jobs: those that run
		// as gangs, write checkpoints, are cancelled, and fail in every run. SameRack is the
		// fraction of the gangs that request a single rack.
		Gang, SameRack, Checkpoints, Cancelled, AlwaysFailing float64
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
		// Zones is the number of zones. WorkersPerZone and WorkersPerRack are the numbers of
		// workers in each zone and rack.
		Zones, WorkersPerZone, WorkersPerRack int
		Capacity                              workload.Resources
		// Speeds holds factors by which workers multiply run times. They are assigned to the
		// workers in rotation.
		Speeds []float64
		// Knowledge is what the policy knows of the speeds.
		Knowledge Knowledge
		Kinds     []Kind
		// Rate scales the arrival rates of all kinds.
		Rate   float64
		Bursts []Burst
		// Workspaces is the number of workspaces. GuaranteedFraction is the fraction of all
		// accelerators that is guaranteed to them.
		Workspaces         int
		GuaranteedFraction float64
		// Length is the period during which jobs arrive. DrainTime is the time after it in which
		// they can still complete.
		Length, DrainTime clock.Millis
		// StopGrace is the maximum time between the stop of a run and its end.
		StopGrace clock.Millis
		// CrossRackFactor is the slowdown of a gang that requested a single rack and got several.
		CrossRackFactor float64
		// WastePenalty is the penalty for a core-second of lost work, in credit.
		WastePenalty float64
		// CheckpointInterval is the interval between two checkpoints of a run. If it is 0, a stopped run has
		// saved half of what it did.
		CheckpointInterval clock.Millis
		Departures         []Departure
	}
)

// Thengola returns a day of heavy load with small sign-ups, practice sets and certificate
// packs.
func Thengola() Load {
	return Load{
		Name: "Thengola", Zones: 4, WorkersPerZone: 12, WorkersPerRack: 6, Speeds: []float64{1, 1, 1.3},
		Capacity: workload.Resources{CPU: 64000, Memory: 131072, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "practiceSet", Priority: 1, MaxAttempts: 3, PerSecond: 0.785, Credit: 3, LateCredit: 0.9, SlowdownFactor: 3, Objective: 1000,
				Work: 6800, WorkSpread: 0.3, TaskSpread: 0.3, MaxWork: 11000, EstimateError: 0.9, Steps: 1, Width: 5, WidthSpread: 0.8, MaxWidth: 30,
				Request: workload.Resources{CPU: 26000, Memory: 68000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, AlwaysFailing: 0.03, Failing: 0.02,
			},
			{
				Name: "signUp", Priority: 0, MaxAttempts: 4, PerSecond: 1.91, Credit: 4, LateCredit: 0.8, SlowdownFactor: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, TaskSpread: 0.15, MaxWork: 8000, EstimateError: 0.5, Steps: 1, Width: 3.4, WidthSpread: 0.8, MaxWidth: 21,
				Request: workload.Resources{CPU: 7500, Memory: 15000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.005,
			},
			{
				Name: "certificatePack", Priority: 2, MaxAttempts: 4, PerSecond: 0.59, Credit: 1, LateCredit: 0.3, SlowdownFactor: 3, Objective: 3000,
				Work: 7600, WorkSpread: 0.3, TaskSpread: 0.3, MaxWork: 11000, EstimateError: 0.9, Steps: 1.3, Width: 16, WidthSpread: 0.8, MaxWidth: 94,
				Request: workload.Resources{CPU: 5600, Memory: 8200}, Accelerators: []meter.Accelerators{1},
				Checkpoints: 0.45, Cancelled: 0.15, AlwaysFailing: 0.03, Failing: 0.05,
			},
		},
		Rate: 0.95, Workspaces: 4, GuaranteedFraction: 0.62, Length: 41 * clock.Second, DrainTime: 34 * clock.Second, StopGrace: 900, CrossRackFactor: 3, WastePenalty: 0.0018,
		Bursts: []Burst{
			{Kind: "signUp", From: 5500, Length: 6000, Multiple: 1.9},
			{Kind: "certificatePack", From: 14900, Length: 3900, Multiple: 2.4},
			{Kind: "practiceSet", From: 22000, Length: 3500, Multiple: 2.8},
		},
	}
}

// WorkerSpeeds returns the factor by which each worker multiplies run times.
func (lo Load) WorkerSpeeds() map[identifier.Worker]float64 {
	speeds := map[identifier.Worker]float64{}
	for zone := range lo.Zones {
		for i := range lo.WorkersPerZone {
			speeds[workerID(zone, i)] = lo.Speeds[(len(speeds)+1)%len(lo.Speeds)]
		}
	}
	return speeds
}

func workerID(zone, i int) identifier.Worker {
	return identifier.Worker(fmt.Sprintf("w%d-%02d", zone, i))
}

// Scaled returns the load for a deployment of about 350 workers, with more and wider jobs.
func (lo Load) Scaled() Load {
	lo.Name += " grown"
	lo.WorkersPerZone, lo.WorkersPerRack = 352/lo.Zones, 12
	lo.Kinds = slices.Clone(lo.Kinds)
	for i := range lo.Kinds {
		lo.Kinds[i].PerSecond *= scaledRateFactor
		lo.Kinds[i].Width *= scaledWidthFactor
		lo.Kinds[i].MaxWidth *= 2
	}
	return lo
}

// Pooled returns the load for a single worker of normal speed that has the resources of all
// workers. The difference to the result of the original load is the cost of fragmentation,
// slow workers and placement across racks.
func (lo Load) Pooled() Load {
	all := lo.Zones * lo.WorkersPerZone
	lo.Zones, lo.WorkersPerZone, lo.WorkersPerRack, lo.Speeds = 1, 1, 1, []float64{1}
	lo.Capacity.CPU *= meter.MilliCores(all)
	lo.Capacity.Memory *= meter.Mebibytes(all)
	lo.Capacity.Accelerators *= meter.Accelerators(all)
	return lo
}

// Derwent returns a day of heavy load with proofs, re-renders and archive batches.
func Derwent() Load {
	return Load{
		Name: "Derwent", Zones: 3, WorkersPerZone: 16, WorkersPerRack: 8, Speeds: []float64{0.8, 1, 1.25},
		Capacity: workload.Resources{CPU: 128000, Memory: 524288, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "reRender", Priority: 1, MaxAttempts: 2, PerSecond: 0.858, Credit: 3, LateCredit: 0.9, SlowdownFactor: 3, Objective: 1000,
				Work: 8500, WorkSpread: 0.3, TaskSpread: 0.15, MaxWork: 11000, EstimateError: 0.9, Steps: 1, Width: 4, WidthSpread: 0.8, MaxWidth: 24,
				Request: workload.Resources{CPU: 52000, Memory: 150000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, AlwaysFailing: 0.03, Failing: 0.02,
			},
			{
				Name: "proof", Priority: 0, MaxAttempts: 3, PerSecond: 2.4, Credit: 4, LateCredit: 0.8, SlowdownFactor: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, TaskSpread: 0.15, MaxWork: 8000, EstimateError: 0.2, Steps: 1, Width: 3, WidthSpread: 0.8, MaxWidth: 18,
				Request: workload.Resources{CPU: 15000, Memory: 44000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.02,
			},
			{
				Name: "archiveBatch", Priority: 2, MaxAttempts: 3, PerSecond: 0.68, Credit: 1, LateCredit: 0.3, SlowdownFactor: 3, Objective: 3000,
				Work: 9500, WorkSpread: 0.3, TaskSpread: 0.3, MaxWork: 11000, EstimateError: 0.5, Steps: 1.3, Width: 12, WidthSpread: 0.8, MaxWidth: 72,
				Request: workload.Resources{CPU: 11000, Memory: 33000}, Accelerators: []meter.Accelerators{1},
				Checkpoints: 0.45, Cancelled: 0.15, AlwaysFailing: 0.03, Failing: 0.05,
			},
		},
		Rate: 0.95, Workspaces: 4, GuaranteedFraction: 0.62, Length: 41 * clock.Second, DrainTime: 34 * clock.Second, StopGrace: 200, CrossRackFactor: 3, WastePenalty: 0.0018,
		Bursts: []Burst{
			{Kind: "proof", From: 5500, Length: 6000, Multiple: 1.9},
			{Kind: "archiveBatch", From: 14900, Length: 3900, Multiple: 2.4},
			{Kind: "reRender", From: 22000, Length: 3500, Multiple: 1.8},
		},
	}
}
