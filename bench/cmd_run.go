package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/bench/feeder"
	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/bench/policer"
	"github.com/wagtailcroft/wagtailcroft/bench/reporter"
	"github.com/wagtailcroft/wagtailcroft/bench/timer"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
)

const (
	measurements = "MEASUREMENTS.md"
	curves       = "tradeoff.svg"
)

type (
	// contender is a policy that takes part.
	contender struct {
		name string
		make func(lo generator.Load) feeder.Policy
	}

	// runFlags are the flags of run.
	runFlags struct {
		seed   uint64
		docs   string
		commit string
	}
)

var cmdRun = commander.Command{
	Name: "run",
	Help: "Run every load with every policy and write the table and the curves.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		fl := &runFlags{}
		cl.Flag("seed", "Seed of the loads.").Default("1").Uint64Var(&fl.seed)
		cl.Flag("docs", "Folder to write to.").Default("docs").StringVar(&fl.docs)
		cl.Flag("commit", "Commit that the figures stand for.").Default("unknown").StringVar(&fl.commit)
		return func() error { return runAll(fl) }
	},
}

func contenders() []contender {
	product := func(pr scheduler.Preset) func(lo generator.Load) feeder.Policy {
		return func(lo generator.Load) feeder.Policy { return policer.NewProduct(lo, scheduler.For(pr)) }
	}
	return []contender{
		{"first-fit FIFO", func(lo generator.Load) feeder.Policy { return policer.FirstFit(lo) }},
		{"best-fit", func(lo generator.Load) feeder.Policy { return policer.BestFit(lo) }},
		{"previous", func(lo generator.Load) feeder.Policy { return policer.NewProduct(lo, policer.Previous(lo.Preset)) }},
		{"completion", product(scheduler.Completion)},
		{"fragmentation", product(scheduler.Fragmentation)},
	}
}

func runAll(fl *runFlags) error {
	rows := runLoads(fl.seed)
	costs := timer.Measure()
	text := reporter.Tables(rows, costs, fl.commit, fl.seed)
	fmt.Print(text)
	if err := reporter.Part.Replace(filepath.Join(fl.docs, measurements), text); err != nil {
		return err
	}
	return reporter.Plot(rows, filepath.Join(fl.docs, curves))
}

// runLoads runs everything at once on as many cores as there are; no time is measured.
func runLoads(seed uint64) []reporter.Row {
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	loads := []generator.Load{generator.Thengola(), generator.Derwent(), generator.TwoYears()}
	rows := make([]reporter.Row, len(loads)*len(contenders()))
	for i, lo := range loads {
		for j, co := range contenders() {
			wait.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				number := i*len(contenders()) + j
				rows[number] = reporter.Row{Load: lo, Policy: co.name, Result: feeder.Run(lo, seed, co.make(lo))}
			})
		}
	}
	wait.Wait()
	return rows
}
