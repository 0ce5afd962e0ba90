package simulator

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Corav returns a day of heavy load on workers of very different speeds, of which a part is withdrawn at
// short notice twice, with certificate checks, page scans and family traces.
func Corav() Load {
	return Load{
		Name: "Corav", Zones: 4, WorkersPerZone: 88, WorkersPerRack: 8, Speeds: []float64{0.6, 1, 1.6},
		Capacity: workload.Resources{CPU: 128000, Memory: 262144, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "ledgerScan", Priority: 1, MaxAttempts: 3, PerSecond: 1.32, Filled: 16, Credit: 3, LateCredit: 0.9, SlowdownFactor: 3, Objective: 1000,
				Work: 9400, WorkSpread: 0.3, TaskSpread: 0.3, MaxWork: 99000, EstimateError: 0.2, Steps: 1, Width: 13, WidthSpread: 0.8, MaxWidth: 78,
				Request: workload.Resources{CPU: 52000, Memory: 140000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, AlwaysFailing: 0.03, Failing: 0.005,
			},
			{
				Name: "certVerify", Priority: 0, MaxAttempts: 2, PerSecond: 5.6, Credit: 4, LateCredit: 0.8, SlowdownFactor: 1.5, Objective: 250,
				Work: 2100, WorkSpread: 0.5, TaskSpread: 0.15, MaxWork: 22000, EstimateError: 0.2, Steps: 1, Width: 5.4, WidthSpread: 0.8, MaxWidth: 32,
				Request: workload.Resources{CPU: 15000, Memory: 39000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.001,
			},
			{
				Name: "kinTrace", Priority: 2, MaxAttempts: 2, PerSecond: 1.8, Filled: 20, Credit: 1, LateCredit: 0.3, SlowdownFactor: 3, Objective: 3000,
				Work: 5200, WorkSpread: 0.3, TaskSpread: 0.15, MaxWork: 55000, EstimateError: 0.2, Steps: 1.3, Width: 39, WidthSpread: 0.8, MaxWidth: 230,
				Request: workload.Resources{CPU: 11000, Memory: 29000}, Accelerators: []meter.Accelerators{1},
				Checkpoints: 0.45, Cancelled: 0.15, AlwaysFailing: 0.03, Failing: 0.02,
			},
		},
		Rate: 1, Workspaces: 10, GuaranteedFraction: 0.62, Length: 41 * clock.Second, DrainTime: 28 * clock.Second, StopGrace: 400, CrossRackFactor: 3, WastePenalty: 0.00045,
		CheckpointInterval: 500,
		Bursts:             []Burst{{Kind: "certVerify", From: 500, Length: 6000, Multiple: 2.3}},
		Departures: []Departure{
			{At: 9500, Notice: 1700, Away: 4500, Fraction: 0.11},
			{At: 21400, Notice: 1700, Away: 4500, Fraction: 0.11},
		},
	}
}

// Kibanda returns a day of heavy load that fills the fleet, with table refreshes, settlements and price
// calculations that all arrive in bursts.
func Kibanda() Load {
	return Load{
		Name: "Kibanda", Zones: 3, WorkersPerZone: 117, WorkersPerRack: 12, Speeds: []float64{0.8, 1, 1.25},
		Capacity: workload.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
		Kinds: []Kind{
			{
				Name: "gameweekSettle", Priority: 1, MaxAttempts: 2, PerSecond: 2.31, Filled: 14, Credit: 3, LateCredit: 0.9, SlowdownFactor: 3, Objective: 1000,
				Work: 6800, WorkSpread: 0.3, TaskSpread: 0.15, MaxWork: 11000, EstimateError: 0.9, Steps: 1, Width: 13, WidthSpread: 0.8, MaxWidth: 78,
				Request: workload.Resources{CPU: 13000, Memory: 38000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.6, Checkpoints: 0.45, Cancelled: 0.05, AlwaysFailing: 0.01, Failing: 0.005,
			},
			{
				Name: "tableRefresh", Priority: 0, MaxAttempts: 3, PerSecond: 7.87, Credit: 4, LateCredit: 0.8, SlowdownFactor: 1.5, Objective: 250,
				Work: 2500, WorkSpread: 0.5, TaskSpread: 0.15, MaxWork: 8000, EstimateError: 0.2, Steps: 1, Width: 5.4, WidthSpread: 0.8, MaxWidth: 32,
				Request: workload.Resources{CPU: 3700, Memory: 20000}, Accelerators: []meter.Accelerators{1, 2, 4, 8, 8},
				Gang: 1, SameRack: 0.8, Failing: 0.001,
			},
			{
				Name: "transferPrice", Priority: 2, MaxAttempts: 3, PerSecond: 1.46, Filled: 18, Credit: 1, LateCredit: 0.3, SlowdownFactor: 3, Objective: 3000,
				Work: 9500, WorkSpread: 0.3, TaskSpread: 0.3, MaxWork: 11000, EstimateError: 0.9, Steps: 1.3, Width: 39, WidthSpread: 0.8, MaxWidth: 230,
				Request: workload.Resources{CPU: 2800, Memory: 15000}, Accelerators: []meter.Accelerators{1},
				Checkpoints: 0.45, Cancelled: 0.15, AlwaysFailing: 0.01, Failing: 0.01,
			},
		},
		Rate: 1, Workspaces: 10, GuaranteedFraction: 0.62, Length: 41 * clock.Second, DrainTime: 28 * clock.Second, StopGrace: 400, CrossRackFactor: 3, WastePenalty: 0.0012,
		CheckpointInterval: 1000,
		Bursts: []Burst{
			{Kind: "transferPrice", From: 2400, Length: 6000, Multiple: 2.1},
			{Kind: "tableRefresh", From: 3500, Length: 6000, Multiple: 2.4},
			{Kind: "gameweekSettle", From: 11500, Length: 4100, Multiple: 2.7},
		},
		Departures: []Departure{{At: 15800, Notice: 3000, Away: 8000, Fraction: 0.047}},
	}
}
