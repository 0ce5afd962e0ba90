package main

import (
	"bufio"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/profiler"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

var cmdSlopes = commander.Command{
	Name: "slopes",
	Help: "Fit slopes to the output of the cost subcommand, read from standard input, and write them into the page.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		page := cl.Flag("page", "Page to write into.").Default("docs/CAPACITY-SERVE.md").String()
		return func() error { return slopes(*page) }
	},
}

func slopes(path string) error {
	var samples []profiler.Sample
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		sample, err := profiler.Parse(lines.Text())
		if err != nil {
			return eris.Wrapf(err, "%q is not a line of output of the cost subcommand", lines.Text())
		}
		samples = append(samples, sample)
	}
	if err := profiler.CheckSamples(samples); err != nil {
		return err
	}
	table := profiler.Table(samples)
	fmt.Print(table)
	return profiler.SlopesPart.Replace(path, table)
}
