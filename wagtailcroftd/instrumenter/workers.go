package instrumenter

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
)

type (
	// WorkerClient sends commands to workers. Its errors are those of package fleet.
	WorkerClient interface {
		Start(ctx context.Context, to fleet.Target, co fleet.StartCommand) (fleet.Status, error)
		Stop(ctx context.Context, to fleet.Target, co fleet.StopCommand) (fleet.Status, error)
		Poll(ctx context.Context, to fleet.Target, co fleet.PollCommand) (fleet.Status, error)
		Throttle(ctx context.Context, to fleet.Target, co fleet.ThrottleCommand) (fleet.Status, error)
		CloseIdleConnections(to fleet.Target)
		Forget(address string)
	}

	// Workers wraps a client of the workers and counts and traces its commands.
	Workers struct {
		WorkerClient
		metrics *Instrumenter
		tracer  *tracer.Tracer
	}
)

// NewWorkers returns a client that forwards to wc and counts and traces its commands.
func NewWorkers(wc WorkerClient, in *Instrumenter, tr *tracer.Tracer) *Workers {
	return &Workers{WorkerClient: wc, metrics: in, tracer: tr}
}

// Start forwards a start command to the wrapped client.
func (wo *Workers) Start(ctx context.Context, to fleet.Target, co fleet.StartCommand) (fleet.Status, error) {
	ctx, end := wo.tracer.Start(ctx, "worker.start")
	st, err := wo.WorkerClient.Start(ctx, to, co)
	return wo.finish("start", st, err, end)
}

// Stop forwards a stop command to the wrapped client.
func (wo *Workers) Stop(ctx context.Context, to fleet.Target, co fleet.StopCommand) (fleet.Status, error) {
	ctx, end := wo.tracer.Start(ctx, "worker.stop")
	st, err := wo.WorkerClient.Stop(ctx, to, co)
	return wo.finish("stop", st, err, end)
}

// Poll forwards a poll to the wrapped client.
func (wo *Workers) Poll(ctx context.Context, to fleet.Target, co fleet.PollCommand) (fleet.Status, error) {
	ctx, end := wo.tracer.Start(ctx, "worker.hold")
	st, err := wo.WorkerClient.Poll(ctx, to, co)
	return wo.finish("hold", st, err, end)
}

// Throttle forwards a throttle command to the wrapped client.
func (wo *Workers) Throttle(ctx context.Context, to fleet.Target, co fleet.ThrottleCommand) (fleet.Status, error) {
	ctx, end := wo.tracer.Start(ctx, "worker.pace")
	st, err := wo.WorkerClient.Throttle(ctx, to, co)
	return wo.finish("pace", st, err, end)
}

func (wo *Workers) finish(command string, st fleet.Status, err error, end func(error)) (fleet.Status, error) {
	end(err)
	label := "refused"
	switch {
	case err == nil:
		label = "taken"
	case eris.Is(err, fleet.ErrNotSent):
		label = "notSent"
	case eris.Is(err, fleet.ErrNoAnswer):
		label = "silent"
	}
	wo.metrics.Count("orders", command+"."+label)
	return st, err
}
