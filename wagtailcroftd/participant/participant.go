// Package participant puts together one instance of the step job scheduler: the
// configuration, the intake of calls, and the conductor that decides while it holds the
// duty.
package participant

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/conductor"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dialer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/follower"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/instrumenter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/intake"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/messenger"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/overseer"
)

// drainShare is the part of the grace in which a stopping instance still takes calls, so
// that those who do not know yet that it stops are served.
const drainShare = 0.5

// peerTimeout bounds a call to another instance: two ways of 8 ms between regions, and the
// copy of all jobs and workers.
const peerTimeout = 2 * clock.Second

// observeEvery is the time between two log lines with the counters.
const observeEvery = 10 * clock.Second

type (
	// Clock also tells the time of day.
	Clock interface {
		clock.Clock
		TimeOfDay() clock.Millis
	}

	// Outside is what an instance needs of its surroundings.
	Outside struct {
		Clock Clock
		Log   zerolog.Logger
		// Meters counts events and times.
		Meters *instrumenter.Instrumenter
		// Tracer makes spans.
		Tracer *tracer.Tracer
		// Transport carries the calls to the platform; nil stands for TCP.
		Transport http.RoundTripper
		// Dial opens connections to other instances.
		Dial dialer.Dial
	}

	// Participant is one instance.
	Participant struct {
		set       member.Settings
		cl        Clock
		log       zerolog.Logger
		meters    *instrumenter.Instrumenter
		follower  *follower.Follower
		intake    *intake.Intake
		conductor *conductor.Conductor
		overseer  *overseer.Overseer
		dialer    *dialer.Dialer
		messenger *messenger.Messenger
		tracer    *tracer.Tracer
		// stopping is set once.
		stopping atomic.Bool
	}
)

// New returns an instance that does nothing until Run.
func New(set member.Settings, ou Outside) *Participant {
	pa := &Participant{set: set, cl: ou.Clock, log: ou.Log, meters: ou.Meters, tracer: ou.Tracer}
	store := instrumenter.NewStore(platform.NewStore(set.StoreAddress, ou.Transport), ou.Meters, ou.Tracer, ou.Clock)
	pa.follower = follower.New(follower.Source{Key: platform.PolicyKey, Decode: platform.DecodePolicy, DecodeWave: platform.DecodeWave}, store, ou.Clock, ou.Log)
	pa.intake = intake.New(store, pa.follower, ou.Clock, ou.Log, intake.Options{PolicyKey: platform.PolicyKey, Unconfirmed: set.UnconfirmedMillis, Meters: ou.Meters})
	parts := conductor.Parts{
		Store: store, Workers: instrumenter.NewWorkers(platform.NewWorkers(ou.Transport), ou.Meters, ou.Tracer), Policies: pa.follower,
		Reports:    conductor.Reports{Table: platform.ReportTable, Decode: platform.DecodeReport},
		WaveStatus: platform.EncodeWaveStatus, Clock: ou.Clock, Meters: ou.Meters, Log: ou.Log,
	}
	if set.AdviceAddress != "" {
		parts.Advisers = platform.NewAdvice(set.AdviceAddress, ou.Transport)
	}
	if set.MachinesAddress != "" {
		parts.Machines = platform.NewMachines(set.MachinesAddress, ou.Transport)
	}
	pa.dialer = dialer.New(ou.Clock, peerTimeout, ou.Dial)
	pa.messenger = messenger.New(messenger.Options{
		Instance: set.Instance, Zone: set.Zone, Address: set.PeerAddress, Yield: set.YieldMillis, Store: store, Caller: pa.dialer, Dial: ou.Dial,
		Clock: ou.Clock, Tracer: ou.Tracer, Log: ou.Log,
	})
	parts.Peers = pa.messenger
	pa.conductor = conductor.New(parts, conductor.Options{
		Instance: set.Instance, Incarnation: string(identifier.NewRequest()), Address: set.PeerAddress, Lease: set.LeaseMillis, Takeover: set.TakeoverMillis, Yield: set.YieldMillis,
		StopGrace: set.StopGraceMillis, Settle: set.LeaseOfDutyMillis, Retention: set.RetentionMillis,
	})
	pa.overseer = overseer.New(overseer.Options{
		Instance: set.Instance, Zone: set.Zone, Decider: pa.conductor, Duty: pa.conductor, Jobs: pa.intake, Policies: pa.follower,
		Caller: pa.dialer, Tracer: ou.Tracer, Log: ou.Log,
	})
	return pa
}

// Callers is the handler of the clients' calls.
func (pa *Participant) Callers() http.Handler {
	return pa.tracer.Handler("entry.caller", platform.NewFront(pa.intake, pa.cl))
}

// Operators is the handler of the operators' calls and of metrics.
func (pa *Participant) Operators() http.Handler { return pa.overseer.Handler() }

// ServePeers answers other instances until the listener is closed.
func (pa *Participant) ServePeers(ln net.Listener) error {
	return dialer.Serve(ln, map[string]any{
		overseer.ServiceName: pa.overseer.Service(), messenger.ServiceName: pa.messenger.Service(pa.conductor),
	})
}

// Readiness is the handler of the platform's question whether new connections are welcome.
func (pa *Participant) Readiness() http.Handler {
	return platform.NewReadiness(func() bool { return !pa.stopping.Load() && pa.intake.Ready() })
}

// Run takes part until ctx ends. Once stop is closed it gives up the duty, if it holds it,
// and goes on to serve calls.
func (pa *Participant) Run(ctx context.Context, stop <-chan struct{}) {
	deciding, resign := context.WithCancel(ctx)
	defer resign()
	var parts sync.WaitGroup
	parts.Go(func() { pa.follower.Run(ctx) })
	parts.Go(func() { pa.conductor.Run(deciding, ctx) })
	parts.Go(func() { pa.messenger.Run(ctx, pa.conductor.Deciding) })
	parts.Go(func() { pa.observe(ctx) })
	select {
	case <-ctx.Done():
	case <-stop:
		pa.stopping.Store(true)
		pa.log.Info().Msg("stopping")
		resign()
	}
	parts.Wait()
	pa.dialer.Close()
}

// observe logs, once a while, what the instance has counted.
func (pa *Participant) observe(ctx context.Context) {
	for clock.Sleep(ctx, pa.cl, observeEvery) {
		line := pa.log.Info()
		changes := pa.meters.Changes()
		for _, name := range slices.Sorted(maps.Keys(changes)) {
			line = line.Int64(name, changes[name])
		}
		line.Msg("countersSeen")
	}
}

// Drain is how long a stopping instance goes on to take calls.
func (pa *Participant) Drain() clock.Millis {
	return clock.Millis(float64(pa.set.GraceMillis) * drainShare)
}
