package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/bench/reporter"
	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const dayBars = "policies.svg"

type (
	// dayFlags are the flags of days.
	dayFlags struct {
		seeds  int
		docs   string
		commit string
	}

	// rival is a policy that takes part in days.
	rival struct {
		name   string
		policy simulator.Policy
	}
)

var cmdDays = commander.Command{
	Name: "days",
	Help: "Play days of step jobs in simulated time with every policy and write the table and the plot.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		fl := &dayFlags{}
		cl.Flag("seeds", "Number of days for each load and policy.").Default("60").IntVar(&fl.seeds)
		cl.Flag("docs", "Folder to write to.").Default("docs").StringVar(&fl.docs)
		cl.Flag("commit", "Commit that the figures stand for.").Default("unknown").StringVar(&fl.commit)
		return func() error { return compareDays(fl) }
	},
}

func rivals() []rival {
	return []rival{
		{"first-fit FIFO", simulator.Greedy{Strict: true}},
		{"best-fit", simulator.Greedy{BestFit: true}},
		{"former", planner.New(planner.Former)},
		{"completion", planner.New(planner.Completion)},
		{"fragmentation", planner.New(planner.Fragmentation)},
	}
}

func compareDays(fl *dayFlags) error {
	loads := []simulator.Load{simulator.Thengola(), simulator.Derwent()}
	rows := make([]reporter.DayRow, 0, len(loads)*(len(rivals())+1))
	for _, lo := range loads {
		for _, ri := range rivals() {
			rows = append(rows, reporter.DayRow{Load: lo.Name, Policy: ri.name, Results: playDays(lo, ri.policy, fl.seeds)})
		}
		pooled := lo.Pooled()
		rows = append(rows, reporter.DayRow{Load: lo.Name, Policy: "completion, all room in one", Results: playDays(pooled, planner.New(planner.Completion), fl.seeds)})
	}
	text := reporter.DayTables(rows, fl.commit, fl.seeds)
	fmt.Print(text)
	if err := reporter.DayPart.Replace(filepath.Join(fl.docs, measurements), text); err != nil {
		return err
	}
	return reporter.PlotDays(rows, filepath.Join(fl.docs, dayBars))
}

// playDays plays a load with seeds from 1 on, on as many cores as there are.
func playDays(lo simulator.Load, po simulator.Policy, seeds int) []simulator.Result {
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
