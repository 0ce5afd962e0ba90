package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/bench/policer"
	"github.com/wagtailcroft/wagtailcroft/bench/replayer"
	"github.com/wagtailcroft/wagtailcroft/bench/reporter"
	"github.com/wagtailcroft/wagtailcroft/bench/timer"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
)

const (
	measurementsPage = "MEASUREMENTS.md"
	tradeoffPlot     = "tradeoff.svg"
)

var cmdRun = commander.Command{
	Name: "run",
	Help: "Run every load with every policy, measure the cost of decisions, and write the tables and the plot.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		fl := &runFlags{}
		cl.Flag("seed", "Seed of the loads.").Default("1").Uint64Var(&fl.seed)
		cl.Flag("docs", "Folder to write to.").Default("docs").StringVar(&fl.docs)
		cl.Flag("commit", "Commit that is measured, shown above the tables.").Default("unknown").StringVar(&fl.commit)
		return func() error { return runAll(fl) }
	},
}

type (
	// runPolicy is a policy that the run subcommand compares.
	runPolicy struct {
		name string
		make func(lo generator.Load) replayer.Policy
	}

	// runFlags holds the flags of the run subcommand.
	runFlags struct {
		seed   uint64
		docs   string
		commit string
	}
)

func runPolicies() []runPolicy {
	product := func(pr scheduler.Preset) func(lo generator.Load) replayer.Policy {
		return func(lo generator.Load) replayer.Policy { return policer.NewScheduler(lo, scheduler.PolicyFor(pr)) }
	}
	return []runPolicy{
		{"first-fit FIFO", func(lo generator.Load) replayer.Policy { return policer.FirstFit(lo) }},
		{"best-fit", func(lo generator.Load) replayer.Policy { return policer.BestFit(lo) }},
		{"previous", func(lo generator.Load) replayer.Policy { return policer.NewScheduler(lo, policer.Previous(lo.Preset)) }},
		{"completion", product(scheduler.Completion)},
		{"fragmentation", product(scheduler.Fragmentation)},
	}
}

func runAll(fl *runFlags) error {
	rows := runLoads(fl.seed)
	costs := timer.Measure()
	text := reporter.Tables(rows, costs, fl.commit, fl.seed)
	fmt.Print(text)
	if err := reporter.ResultsPart.Replace(filepath.Join(fl.docs, measurementsPage), text); err != nil {
		return err
	}
	return reporter.PlotTradeoff(rows, filepath.Join(fl.docs, tradeoffPlot))
}

// runLoads runs every load with every policy. It runs as many in parallel as there are CPU
// cores, because these runs do not measure wall-clock time.
func runLoads(seed uint64) []reporter.Row {
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	loads := []generator.Load{generator.Thengola(), generator.Derwent(), generator.TwoYears()}
	rows := make([]reporter.Row, len(loads)*len(runPolicies()))
	for i, lo := range loads {
		for j, rp := range runPolicies() {
			wait.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				number := i*len(runPolicies()) + j
				rows[number] = reporter.Row{Load: lo, Policy: rp.name, Result: replayer.Run(lo, seed, rp.make(lo))}
			})
		}
	}
	wait.Wait()
	return rows
}
