package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/demo/launcher"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
)

// cliRunner runs command lines against one instance and checks their output and exit codes.
type cliRunner struct {
	t      *testing.T
	url    string
	code   int
	output string
}

// newCLIRunner launches a cluster with one instance and returns a runner for it.
func newCLIRunner(t *testing.T) (*cliRunner, *launcher.Cluster) {
	t.Helper()
	cl, err := launcher.Launch(launcher.Options{Deployment: platform.Thengola(), Zones: 1, InstancesPerZone: 1, RunnersPerZone: 1, Log: io.Discard, Seed: 1})
	asserter.NoError(t, err)
	t.Cleanup(cl.Close)
	return &cliRunner{t: t, url: "http://" + cl.Daemons[0].Settings.OperatorAddress}, cl
}

// exec runs a command line, which is split at white space.
func (cli *cliRunner) exec(line string) *cliRunner {
	cli.t.Helper()
	var out bytes.Buffer
	args := append([]string{"--url", cli.url, "--token", launcher.OperatorToken}, strings.Fields(line)...)
	cli.code = run(args, &out, &out)
	cli.output = out.String()
	return cli
}

func (cli *cliRunner) expectOutput(texts ...string) *cliRunner {
	cli.t.Helper()
	for _, text := range texts {
		if !strings.Contains(cli.output, text) {
			cli.t.Fatalf("output does not contain %q:\n%s", text, cli.output)
		}
	}
	return cli
}

func (cli *cliRunner) expectCode(code int) {
	cli.t.Helper()
	if cli.code != code {
		cli.t.Fatalf("exit code %d, want %d:\n%s", cli.code, code, cli.output)
	}
}

func TestOperatorCommands(t *testing.T) {
	cli, cl := newCLIRunner(t)
	t.Run("create a row and wait until it is in force", func(t *testing.T) {
		cli.t = t
		cli.exec("table set studio --create --wait weight=2 limits.accelerators=64 limits.requests=8 limits.queuedJobs=4 token=secret guarantees=kochi:1x4x8/rack").
			expectOutput("studio", "accepted as version 1", "reserved on 4 workers", "in force on every instance").expectCode(0)
	})
	t.Run("dry run changes nothing", func(t *testing.T) {
		cli.t = t
		cli.exec("table set studio weight=3 --dry-run").expectOutput("weight", "2", "3", "nothing was changed").expectCode(0)
		cli.exec("table get studio").expectOutput("weight", "2", "kochi:1x4x8/rack").expectCode(0)
	})
	t.Run("change a row and show what changed", func(t *testing.T) {
		cli.t = t
		cli.exec("table set studio weight=3 --wait").expectOutput("accepted as version 2").expectCode(0)
		cli.exec("table diff 1").expectOutput("studio", "weight").expectCode(0)
		cli.exec("table history").expectOutput("guarantees", "weight").expectCode(0)
		cli.exec("table status").expectOutput("kochi-0", "confirmed").expectCode(0)
	})
	t.Run("errors explain the mistake", func(t *testing.T) {
		cli.t = t
		cli.exec("table set studio wieght=4").expectOutput("the nearest known cell is weight").expectCode(1)
		cli.exec("table set studio weight=0").expectOutput("weight", "min=1").expectCode(3)
		cli.exec("table set studio weight=4 --expect 1").expectOutput("changed: studio", "next:").expectCode(4)
		cli.exec("table set studio guarantees=kochi:3x6x8/rack").expectOutput("cannot all be honoured", "lower a guarantee").expectCode(3)
		cli.exec("table set nobody weight=1").expectOutput("--create").expectCode(1)
		cli.exec("table get --no-such-flag").expectOutput("--help").expectCode(2)
		cli.exec("jobs show j-none").expectOutput("Not found: job j-none").expectCode(3)
	})
	t.Run("explain, list and cancel a job", func(t *testing.T) {
		cli.t = t
		client, err := cl.Caller(0, "secret")
		asserter.NoError(t, err)
		job, err := client.SubmitJobWithResponse(t.Context(), caller.JobBody{
			Key: "j", Kind: caller.JobBodyKindReRender, Class: types.ClassNormal, ExpectedMillis: 1000, Payload: `{"runMillis":600000}`,
			Shape: types.Shape{Members: 4, Accelerators: 8, Adjacency: types.AdjacencyRack},
		})
		asserter.NoError(t, err)
		id := string(job.JSON202.JobID)
		for range 100 {
			if cli.exec("why " + id); strings.Contains(cli.output, "under guarantee") {
				break
			}
			clock.Sleep(t.Context(), clock.New(), 100)
		}
		cli.expectOutput("placed", "under guarantee 4x8/rack").expectCode(0)
		cli.exec("jobs list").expectOutput(id, "4x8/rack").expectCode(0)
		cli.exec("jobs cancel " + id).expectOutput("cancellation requested").expectCode(0)
	})
	t.Run("targets", func(t *testing.T) {
		cli.t = t
		cli.exec("targets list").expectOutput("kochi-runner-00", "kochi-r01-w05", "live").expectCode(0)
		cli.exec("targets drain kochi-r00-w00").expectOutput("draining").expectCode(0)
		cli.exec("targets drain kochi-r00-w00 --undo").expectOutput("live").expectCode(0)
		cli.exec("targets drain nothing").expectOutput("no zone has a target").expectCode(3)
		cli.exec("workers list").expectOutput("kochi-r00-w00").expectCode(0)
	})
	t.Run("JSON output", func(t *testing.T) {
		cli.t = t
		cli.exec("instances list --output json").expectOutput(`"instance": "kochi-0"`, `"scheduler": true`).expectCode(0)
	})
	t.Run("unreachable instance", func(t *testing.T) {
		cli.t = t
		cli.url = "http://127.0.0.1:1"
		cli.exec("table get").expectOutput("select another instance with --url").expectCode(1)
	})
}
