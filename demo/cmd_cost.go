package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/profiler"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	costWorkspace = "cost"
	costToken     = "token-of-the-cost"
	costLongRun   = clock.Hour
)

var cmdCost = commander.Command{
	Name: "cost",
	Help: "Measure the control cost of a running instance while a number of long gang jobs run.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		fl := &costFlags{}
		cl.Flag("pid", "Process id of the instance.").Required().IntVar(&fl.pid)
		cl.Flag("caller", "Caller address of the instance.").Required().StringVar(&fl.caller)
		cl.Flag("operator", "Operator address of the instance.").Required().StringVar(&fl.operator)
		cl.Flag("token", "Operators' token.").Required().StringVar(&fl.token)
		cl.Flag("workers", "Number of workers of the zone, for the report.").Required().IntVar(&fl.workers)
		cl.Flag("instances", "Number of entry instances of the zone, for the report.").Required().IntVar(&fl.instances)
		cl.Flag("jobs", "Number of gang jobs to run.").Default("0").IntVar(&fl.jobs)
		cl.Flag("settle", "Time to wait before the measurement.").Default("8s").DurationVar(&fl.settle)
		cl.Flag("length", "Length of the measurement.").Default("15s").DurationVar(&fl.length)
		return func() error { return cost(fl) }
	},
}

// costFlags holds the flags of the cost subcommand.
type costFlags struct {
	pid      int
	caller   string
	operator string
	token    string
	workers  int
	// instances is the number of entry instances of the zone. It is only reported.
	instances int
	jobs      int
	settle    time.Duration
	length    time.Duration
}

func cost(fl *costFlags) error {
	ctx := context.Background()
	if fl.jobs > 0 {
		if err := submitLongJobs(ctx, fl); err != nil {
			return err
		}
	}
	clock.Sleep(ctx, clock.New(), clock.FromDuration(fl.settle))
	sample, err := profiler.Measure(ctx, fl.pid, fl.operator, clock.FromDuration(fl.length))
	if err != nil {
		return err
	}
	sample.Instances, sample.Workers, sample.Jobs = fl.instances, fl.workers, fl.jobs
	fmt.Println(sample.Encode())
	return nil
}

// submitLongJobs sets a row for the workspace of the measurement and submits its jobs.
func submitLongJobs(ctx context.Context, fl *costFlags) error {
	op, err := operator.NewClientWithResponses("http://"+fl.operator, operator.WithRequestEditorFn(withToken(fl.token)))
	if err != nil {
		return err
	}
	row, err := op.SetRowWithResponse(ctx, costWorkspace, &operator.SetRowParams{}, operator.RowEdit{Cells: types.Cells{
		Weight:       1,
		Guarantees:   []types.Guarantee{},
		Limits:       types.Limits{Accelerators: 1 << 19, QueuedJobs: 1 << 16},
		TokenDigests: []string{identifier.Digest(costToken)},
	}})
	if err != nil || row.JSON200 == nil {
		return eris.Errorf("set the row of the workspace: %v", err)
	}
	client, err := caller.NewClientWithResponses("http://"+fl.caller, caller.WithRequestEditorFn(withToken(costToken)))
	if err != nil {
		return err
	}
	for i := range fl.jobs {
		an, err := client.SubmitJobWithResponse(ctx, longJob(i))
		if err != nil || an.JSON202 == nil {
			return eris.Errorf("submit a job: %v", err)
		}
	}
	return nil
}

func longJob(number int) caller.JobBody {
	return caller.JobBody{
		Key:            identifier.Key(fmt.Sprintf("long-%d", number)),
		Kind:           caller.JobBodyKindReRender,
		Class:          types.ClassNormal,
		Shape:          types.Shape{Members: 4, Accelerators: 1, Adjacency: types.AdjacencyRack},
		ExpectedMillis: costLongRun,
		Payload:        fmt.Sprintf(`{"runMillis":%d}`, costLongRun),
	}
}

func withToken(token string) func(context.Context, *http.Request) error {
	return func(_ context.Context, req *http.Request) error {
		req.Header.Set("Authorization", "Bearer "+token)
		return nil
	}
}
