package main

import (
	"fmt"
	"maps"
	"path/filepath"
	"runtime"
	"slices"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/bench/reporter"
	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const policiesPlot = "policies.svg"

var (
	// dayLoads holds the loads that can be simulated, by name.
	dayLoads = map[string]func() simulator.Load{
		"Thengola": simulator.Thengola, "Derwent": simulator.Derwent, "Corav": simulator.Corav, "Kibanda": simulator.Kibanda,
	}

	cmdDays = commander.Command{
		Name: "days",
		Help: "Simulate days of step jobs with every policy and write the tables and the plot.",
		Bind: func(cl *kingpin.CmdClause) func() error {
			fl := &dayFlags{}
			cl.Flag("seeds", "Number of days to simulate for each load and policy.").Default("60").IntVar(&fl.seeds)
			cl.Flag("load", "Load to simulate; may be given several times. Corav and Kibanda take minutes a policy.").Default("Thengola", "Derwent").
				EnumsVar(&fl.loads, slices.Sorted(maps.Keys(dayLoads))...)
			cl.Flag("docs", "Folder to write to.").Default("docs").StringVar(&fl.docs)
			cl.Flag("commit", "Commit that is measured, shown above the tables.").Default("unknown").StringVar(&fl.commit)
			return func() error { return compareDays(fl) }
		},
	}
)

type (
	// dayFlags holds the flags of the days subcommand.
	dayFlags struct {
		seeds  int
		loads  []string
		docs   string
		commit string
	}

	// dayPolicy is a policy that the days subcommand compares.
	dayPolicy struct {
		name   string
		policy simulator.Policy
	}
)

func dayPolicies() []dayPolicy {
	return []dayPolicy{
		{"first-fit FIFO", simulator.Greedy{Strict: true}},
		{"best-fit", simulator.Greedy{BestFit: true}},
		{"former", planner.New(planner.AcceptanceOrder)},
		{"completion", planner.New(planner.Completion)},
		{"fragmentation", planner.New(planner.Fragmentation)},
		{"contention", planner.New(planner.Contention)},
	}
}

func compareDays(fl *dayFlags) error {
	rows := make([]reporter.DayRow, 0, len(fl.loads)*(len(dayPolicies())+1))
	for _, name := range fl.loads {
		lo := dayLoads[name]()
		for _, dp := range dayPolicies() {
			rows = append(rows, reporter.DayRow{Load: lo.Name, Policy: dp.name, Results: simulateDays(lo, dp.policy, fl.seeds)})
		}
		pooled := lo.Pooled()
		rows = append(rows, reporter.DayRow{Load: lo.Name, Policy: "completion, all room in one", Results: simulateDays(pooled, planner.New(planner.Completion), fl.seeds)})
	}
	text := reporter.DayTables(append(slices.Clone(rows), unevenDays(fl.seeds)...), fl.commit, fl.seeds)
	fmt.Print(text)
	if err := reporter.DayPart.Replace(filepath.Join(fl.docs, measurementsPage), text); err != nil {
		return err
	}
	return reporter.PlotDays(rows, filepath.Join(fl.docs, policiesPlot))
}

// unevenDays compares what is known of the speeds of uneven workers, under heavy load and under half of it.
func unevenDays(seeds int) []reporter.DayRow {
	var rows []reporter.DayRow
	for _, lo := range []simulator.Load{simulator.Thengola().Uneven(), simulator.Derwent().Uneven()} {
		for _, rate := range []float64{lo.Rate, lo.Rate / 2} {
			lo := lo
			lo.Rate = rate
			name := fmt.Sprintf("%s, rate %.2f", lo.Name, rate)
			for _, kn := range []simulator.Knowledge{simulator.KnowsNothing, simulator.Learns, simulator.KnowsAll} {
				lo.Knowledge = kn
				rows = append(rows, reporter.DayRow{Load: name, Policy: "completion, speeds " + kn.String(), Results: simulateDays(lo, planner.New(planner.Completion), seeds)})
			}
		}
	}
	return rows
}

// simulateDays simulates one day for each seed from 1 to seeds. It runs as many simulations in
// parallel as there are CPU cores.
func simulateDays(lo simulator.Load, po simulator.Policy, seeds int) []simulator.Result {
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	results := make([]simulator.Result, seeds)
	for i := range results {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = simulator.Run(lo, uint64(i+1), po)
		})
	}
	wait.Wait()
	return results
}
