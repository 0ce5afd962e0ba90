package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/injector"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const faultsTimeout = 3 * time.Minute

var cmdFaults = commander.Command{
	Name: "faults",
	Help: "Put load and faults on running instances and check the answers that callers got.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		fl := &faultFlags{}
		cl.Flag("instance", "An instance as NAME,ZONE,PID,CALLER,OPERATOR. At least six are needed.").Required().StringsVar(&fl.instances)
		cl.Flag("platform", "URL of the platform.").Required().StringVar(&fl.platform)
		cl.Flag("token", "Operators' token.").Required().StringVar(&fl.token)
		cl.Flag("runner", "Address of a runner. The first one is drained.").Required().StringsVar(&fl.runners)
		cl.Flag("length", "Duration of the load.").Default("70s").DurationVar(&fl.length)
		return func() error { return runFaults(fl) }
	},
}

// faultFlags holds the flags of the faults subcommand.
type faultFlags struct {
	instances []string
	platform  string
	token     string
	runners   []string
	length    time.Duration
}

func runFaults(fl *faultFlags) error {
	op := injector.Options{PlatformURL: fl.platform, OperatorToken: fl.token, Runners: fl.runners, Length: fl.length}
	for _, text := range fl.instances {
		in, err := parseInstance(text)
		if err != nil {
			return err
		}
		op.Instances = append(op.Instances, in)
	}
	ij, err := injector.New(op)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), faultsTimeout)
	defer cancel()
	report, err := ij.Run(ctx)
	fmt.Print(report)
	if err != nil {
		return err
	}
	return report.Check()
}

func parseInstance(text string) (injector.Instance, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 5 {
		return injector.Instance{}, eris.Errorf("%q does not have the form NAME,ZONE,PID,CALLER,OPERATOR", text)
	}
	pid, err := strconv.Atoi(parts[2])
	if err != nil {
		return injector.Instance{}, eris.Wrapf(err, "parse the pid in %q", text)
	}
	return injector.Instance{Name: parts[0], Zone: identifier.Zone(parts[1]), PID: pid, Caller: parts[3], Operator: parts[4]}, nil
}
