package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/demo/launcher"
	"github.com/wagtailcroft/wagtailcroft/demo/player"
	"github.com/wagtailcroft/wagtailcroft/demo/stager"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
)

const (
	zonesLaunched   = 2
	perZone         = 2
	runnersPerZone  = 4
	longestDemo     = 2 * time.Minute
	cellPadding     = 2
	tabwriterMinTab = 8
)

var cmdRun = commander.Command{
	Name: "run",
	Help: "Play the work of each deployment, on two zones and as step jobs, and print what happened.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		seed := cl.Flag("seed", "Seed of the random choices.").Default("1").Uint64()
		verbose := cl.Flag("verbose", "Show the log of the entry instances.").Bool()
		return func() error { return runDemo(*seed, *verbose) }
	},
}

func runDemo(seed uint64, verbose bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), longestDemo)
	defer cancel()
	log := io.Discard
	if verbose {
		log = os.Stderr
	}
	thengola := launcher.Options{Deployment: platform.Thengola(), Preset: settings.SchedulingPresetCompletion, Seed: seed, Log: log}
	if err := playOne(ctx, thengola, player.Thengola); err != nil {
		return err
	}
	derwent := launcher.Options{Deployment: platform.Derwent(), Preset: settings.SchedulingPresetFragmentation, Seed: seed, Log: log}
	if err := playOne(ctx, derwent, player.Derwent); err != nil {
		return err
	}
	for _, play := range []stager.Play{stager.Thengola(), stager.Derwent()} {
		if err := stage(ctx, play, log); err != nil {
			return err
		}
	}
	return nil
}

// stage plays step jobs on the stand-in of the users' platform.
func stage(ctx context.Context, play stager.Play, log io.Writer) error {
	lines, err := play.Play(ctx, log)
	shown := make([]player.Line, 0, len(lines))
	for _, li := range lines {
		shown = append(shown, player.Line{What: li.What, Asked: li.Asked, Whole: li.Done, Detail: li.Detail})
	}
	printLines(play.Name, shown)
	return err
}

func playOne(ctx context.Context, op launcher.Options, script func([]identifier.Zone) player.Play) error {
	op.Zones, op.PerZone, op.Runners = zonesLaunched, perZone, runnersPerZone
	cluster, err := launcher.Launch(op)
	if err != nil {
		return err
	}
	defer cluster.Close()
	play := script(op.Deployment.Zones[:zonesLaunched])
	lines, err := player.New(cluster, play).Run(ctx)
	printLines(play.Name, lines)
	return err
}

func printLines(name string, lines []player.Line) {
	out := tabwriter.NewWriter(os.Stdout, tabwriterMinTab, 0, cellPadding, ' ', 0)
	defer func() { _ = out.Flush() }()
	_, _ = fmt.Fprintf(out, "%s\tASKED\tWHOLE\tDETAIL\n", name)
	for _, li := range lines {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%s\n", li.What, li.Asked, li.Whole, li.Detail)
	}
}
