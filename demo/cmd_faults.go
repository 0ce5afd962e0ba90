package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/faulter"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const longestFaults = 3 * time.Minute

// faultFlags are the flags of faults.
type faultFlags struct {
	instances []string
	platform  string
	token     string
	runners   []string
	length    time.Duration
}

var cmdFaults = commander.Command{
	Name: "faults",
	Help: "Play load and faults against running processes and check what callers were told.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		fl := &faultFlags{}
		cl.Flag("instance", "An instance as NAME,ZONE,PID,CALLER,OPERATOR; at least six.").Required().StringsVar(&fl.instances)
		cl.Flag("platform", "URL of the platform.").Required().StringVar(&fl.platform)
		cl.Flag("token", "Operators' token.").Required().StringVar(&fl.token)
		cl.Flag("runner", "Address of a runner; the first is drained.").Required().StringsVar(&fl.runners)
		cl.Flag("length", "How long the load is played.").Default("70s").DurationVar(&fl.length)
		return func() error { return playFaults(fl) }
	},
}

func playFaults(fl *faultFlags) error {
	op := faulter.Options{PlatformURL: fl.platform, OperatorToken: fl.token, Runners: fl.runners, Length: fl.length}
	for _, text := range fl.instances {
		in, err := parseInstance(text)
		if err != nil {
			return err
		}
		op.Instances = append(op.Instances, in)
	}
	fa, err := faulter.New(op)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestFaults)
	defer cancel()
	report, err := fa.Run(ctx)
	fmt.Print(report)
	if err != nil {
		return err
	}
	return report.Check()
}

func parseInstance(text string) (faulter.Instance, error) {
	words := strings.Split(text, ",")
	if len(words) != 5 {
		return faulter.Instance{}, eris.Errorf("%q is not NAME,ZONE,PID,CALLER,OPERATOR", text)
	}
	pid, err := strconv.Atoi(words[2])
	if err != nil {
		return faulter.Instance{}, eris.Wrapf(err, "the pid in %q", text)
	}
	return faulter.Instance{Name: words[0], Zone: identifier.Zone(words[1]), Pid: pid, Caller: words[3], Operator: words[4]}, nil
}
