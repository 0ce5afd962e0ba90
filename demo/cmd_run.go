package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/demo/failovertester"
	"github.com/wagtailcroft/wagtailcroft/demo/launcher"
	"github.com/wagtailcroft/wagtailcroft/demo/verifier"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
)

const (
	zoneCount        = 2
	instancesPerZone = 2
	runnersPerZone   = 4
	runTimeout       = 2 * time.Minute
	cellPadding      = 2
	tabwriterMinTab  = 8
)

var cmdRun = commander.Command{
	Name: "run",
	Help: "Run the workload of each deployment in two zones, and as step jobs, and print the results.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		seed := cl.Flag("seed", "Seed of the random choices.").Default("1").Uint64()
		verbose := cl.Flag("verbose", "Show the log of the entry instances.").Bool()
		return func() error { return runDemo(*seed, *verbose) }
	},
}

func runDemo(seed uint64, verbose bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	log := io.Discard
	if verbose {
		log = os.Stderr
	}
	thengola := launcher.Options{Deployment: platform.Thengola(), Preset: settings.SchedulingPresetCompletion, Seed: seed, Log: log}
	if err := runOnCluster(ctx, thengola, verifier.Thengola); err != nil {
		return err
	}
	derwent := launcher.Options{Deployment: platform.Derwent(), Preset: settings.SchedulingPresetFragmentation, Seed: seed, Log: log}
	if err := runOnCluster(ctx, derwent, verifier.Derwent); err != nil {
		return err
	}
	for _, wl := range []failovertester.Workload{failovertester.Thengola(), failovertester.Derwent()} {
		if err := runStepJobs(ctx, wl, log); err != nil {
			return err
		}
	}
	return nil
}

// runStepJobs runs step jobs on the stand-in of the users' platform and prints the results.
func runStepJobs(ctx context.Context, wl failovertester.Workload, log io.Writer) error {
	results, err := wl.Run(ctx, log)
	converted := make([]verifier.Result, 0, len(results))
	for _, re := range results {
		converted = append(converted, verifier.Result{Operation: re.Operation, Attempted: re.Attempted, Succeeded: re.Succeeded, Detail: re.Detail})
	}
	printResults(wl.Name, converted)
	return err
}

// runOnCluster runs a workload on a cluster of two zones and prints the results.
func runOnCluster(ctx context.Context, op launcher.Options, build func([]identifier.Zone) verifier.Workload) error {
	op.Zones, op.InstancesPerZone, op.RunnersPerZone = zoneCount, instancesPerZone, runnersPerZone
	cluster, err := launcher.Launch(op)
	if err != nil {
		return err
	}
	defer cluster.Close()
	wl := build(op.Deployment.Zones[:zoneCount])
	results, err := verifier.New(cluster, wl).Run(ctx)
	printResults(wl.Name, results)
	return err
}

func printResults(name string, results []verifier.Result) {
	out := tabwriter.NewWriter(os.Stdout, tabwriterMinTab, 0, cellPadding, ' ', 0)
	defer func() { _ = out.Flush() }()
	_, _ = fmt.Fprintf(out, "%s\tATTEMPTED\tSUCCEEDED\tDETAIL\n", name)
	for _, re := range results {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%s\n", re.Operation, re.Attempted, re.Succeeded, re.Detail)
	}
}
