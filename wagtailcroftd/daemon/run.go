package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/callerserver"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/operatorserver"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/replier"
)

const (
	headerTimeout     = 5 * clock.Second
	callerIdleTimeout = 2 * clock.Minute
)

// Start opens the listeners and starts the background loops. If it fails, everything that
// it opened is closed.
func (da *Daemon) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	da.cancel = cancel
	if err := da.listen(); err != nil {
		cancel()
		da.closeAll()
		return err
	}
	da.loop(ctx, da.Settings.Timing.ConfigPollMillis, da.Peers.NewerVersion(), da.stepTable)
	da.loop(ctx, da.Settings.Timing.RenewMillis, nil, da.stepLeases)
	da.loop(ctx, heartbeatPeriod, nil, da.stepPeers)
	da.loop(ctx, watchPeriod, nil, da.Targets.Step)
	da.loop(ctx, da.Settings.Timing.ScheduleMillis, da.trigger, da.Executor.Step)
	da.loop(ctx, flushPeriod, nil, da.Claims.Step)
	da.log.Info().Str("zone", string(da.Settings.Zone)).Str("callers", da.Settings.CallerAddress).Str("operators", da.Settings.OperatorAddress).Msg("started")
	return nil
}

func (da *Daemon) listen() error {
	peerLn, err := net.Listen("tcp", da.Settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	da.peerLn = peerLn
	da.loops.Go(func() { _ = da.Peers.Serve(da.traffic.Listener(peerLn)) })
	if err := da.serve(da.Settings.CallerAddress, da.CallerHandler()); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	return eris.Wrap(da.serve(da.Settings.OperatorAddress, da.OperatorHandler()), "listen for operators")
}

func (da *Daemon) serve(address string, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: callerIdleTimeout.Duration()}
	da.servers = append(da.servers, server)
	da.loops.Go(func() { _ = server.Serve(ln) })
	return nil
}

// CallerHandler serves the caller API.
func (da *Daemon) CallerHandler() http.Handler {
	return callerserver.New(callerserver.Options{
		Clock:        da.external.Clock,
		Tracer:       da.tracer,
		Replier:      replier.New(da.log),
		Table:        da.Table,
		Requests:     da.Requests,
		Jobs:         da.Jobs,
		MaxBodyBytes: da.Settings.Runners.BodyBytes,
	})
}

// OperatorHandler serves the operator API.
func (da *Daemon) OperatorHandler() http.Handler {
	return operatorserver.New(operatorserver.Options{
		Zone:         da.Settings.Zone,
		Tracer:       da.tracer,
		Replier:      replier.New(da.log),
		TokenDigests: da.Settings.OperatorTokenDigests,
		MaxBodyBytes: da.Settings.Runners.BodyBytes,
		Table:        da.Table,
		Jobs:         da.Jobs,
		Peers:        da.Peers,
		Targets:      da.Targets,
		Inventories:  da.store,
		Schedulers:   da.Leases,
		Gangs:        da.Executor,
		Ready:        func() bool { return !da.stopping.Load() },
		Metrics:      da.metrics(),
	})
}

// loop starts a goroutine that calls step at once and then after each period, or earlier on
// a trigger.
func (da *Daemon) loop(ctx context.Context, period clock.Millis, trigger <-chan struct{}, step func(context.Context) error) {
	da.loops.Go(func() {
		for {
			if err := step(ctx); err != nil && ctx.Err() == nil {
				da.log.Warn().Err(err).Msg("stepFailed")
			}
			select {
			case <-ctx.Done():
				return
			case <-trigger:
			case <-da.external.Clock.After(period):
			}
		}
	})
}

// triggerScheduler makes the scheduling step run without waiting for its period. It does
// nothing if a trigger is already pending.
func (da *Daemon) triggerScheduler() {
	select {
	case da.trigger <- struct{}{}:
	default:
	}
}

func (da *Daemon) stepTable(ctx context.Context) error {
	err := da.Table.Step(ctx)
	da.Targets.UpdateRouter()
	return err
}

func (da *Daemon) stepLeases(ctx context.Context) error {
	if err := da.Peers.ReadZone(ctx); err != nil {
		// Seats that could not be renewed may have expired; the router must stop using them.
		shares{router: da.Router, total: da.Settings.Runners.Seats}.SetSeats(da.Leases.Seats())
		return err
	}
	if err := da.Leases.Step(ctx); err != nil {
		return err
	}
	return da.Peers.RemoveExpired(ctx)
}

func (da *Daemon) stepPeers(ctx context.Context) error {
	da.Peers.SendHeartbeats(ctx)
	return nil
}

// Step runs the step of every loop once, in a fixed order, for tests with a fake clock.
func (da *Daemon) Step(ctx context.Context) {
	steps := []func(context.Context) error{da.stepTable, da.stepLeases, da.stepPeers, da.Targets.Step, da.Executor.Step, da.Claims.Step}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			da.log.Debug().Err(err).Msg("stepFailed")
		}
	}
}

// Stop shuts down gracefully: it reports not ready, completes the requests in flight and
// releases the leases. If ctx ends first, it cuts off the requests in flight and returns an
// error.
func (da *Daemon) Stop(ctx context.Context) error {
	da.stopping.Store(true)
	da.Table.MarkShuttingDown()
	_ = da.Table.Step(ctx) // announces the shutdown; if that fails, the others detect it by the missing heartbeats
	da.log.Info().Int32("inFlight", da.admitter.InFlight()).Msg("stopping")
	err := da.awaitInFlight(ctx)
	if releaseErr := da.Leases.ReleaseAll(ctx); releaseErr != nil {
		da.log.Warn().Err(releaseErr).Msg("leasesNotReleased")
	}
	_ = da.Claims.Step(ctx)
	da.closeAll()
	da.log.Info().Err(err).Msg("stopped")
	return err
}

// awaitInFlight shuts down the servers and the pool and waits for their requests in flight. It
// returns an error if ctx ends first.
func (da *Daemon) awaitInFlight(ctx context.Context) error {
	for _, server := range da.servers {
		if err := server.Shutdown(ctx); err != nil {
			return eris.Wrap(err, "requests in flight were cut off")
		}
	}
	done := make(chan struct{})
	go func() {
		da.pool.Close()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "requests in flight were cut off")
	}
}

// Abort stops the daemon immediately, without releasing anything, as a crash would.
func (da *Daemon) Abort() {
	da.stopping.Store(true)
	da.closeAll()
}

// InFlight returns the number of requests in flight, which are the ones that a second stop signal
// cuts off.
func (da *Daemon) InFlight() int32 { return da.admitter.InFlight() }

func (da *Daemon) closeAll() {
	if da.cancel != nil {
		da.cancel()
	}
	for _, server := range da.servers {
		_ = server.Close()
	}
	if da.peerLn != nil {
		_ = da.peerLn.Close()
	}
	for _, closeFn := range da.closers {
		closeFn()
	}
	da.loops.Wait()
	_ = da.tracer.Close(context.Background())
}
