// Package participant assembles one instance of the step job scheduler: the follower of the
// configuration, the intake of client calls, and the controller, which schedules while this
// instance is the leader.
package participant

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/controller"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dialer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/follower"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/gatekeeper"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/instrumenter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/intake"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/messenger"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/overseer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/replier"
)

const (
	// drainFraction is the fraction of the grace period during which a stopping instance still
	// serves calls, for clients that have not noticed yet that it is stopping.
	drainFraction = 0.5

	// peerTimeout is the timeout of a call to another instance. It covers a round trip between regions
	// of 8 ms each way and the transfer of all jobs and workers.
	peerTimeout = 2 * clock.Second

	// counterLogPeriod is the time between two log lines with the counters.
	counterLogPeriod = 10 * clock.Second

	// CallerListener is the listener of callers.
	CallerListener shedder.Listener = "callers"
	// ReadinessListener is the listener of the platform's readiness checks.
	ReadinessListener shedder.Listener = "readiness"
	// OperatorListener is the listener of operators.
	OperatorListener shedder.Listener = "operators"
	// MetricsListener is the listener of the metrics as text.
	MetricsListener shedder.Listener = "metrics"
	// PeerListener is the listener of other instances.
	PeerListener shedder.Listener = "peers"

	// maxCheckConnections, maxOperatorConnections and maxPeerConnections limit the connections of those who
	// check readiness or read metrics, of operators, and of one machine with other instances. Another
	// instance has at most four: its calls, its watch of the leader, a ping and one that is being replaced.
	maxCheckConnections    = 16
	maxOperatorConnections = 32
	maxPeerConnections     = 16
	// operatorBodyLimit is the limit of the body of an operator's call, and peerMessageLimit that of a
	// message of another instance; both are far above what is sent.
	operatorBodyLimit meter.Bytes = 64 << 10
	peerMessageLimit  meter.Bytes = 64 << 10
)

type (
	// Clock is a clock.Clock that also returns the time of day.
	Clock interface {
		clock.Clock
		TimeOfDay() clock.Millis
	}

	// Dependencies holds the external dependencies of an instance.
	Dependencies struct {
		Clock Clock
		Log   zerolog.Logger
		// Metrics holds the counters and latency histograms.
		Metrics *instrumenter.Instrumenter
		// Tracer records spans.
		Tracer *tracer.Tracer
		// Transport carries the calls to the platform; nil means the default, TCP.
		Transport http.RoundTripper
		// Dial opens connections to other instances.
		Dial dialer.DialFunc
		// LeadershipChanged is called when this instance becomes the leader and when it no longer is;
		// nil means that nobody wants to know.
		LeadershipChanged func(leading bool)
	}

	// Participant is one instance of the step job scheduler.
	Participant struct {
		set        member.Settings
		cl         Clock
		log        zerolog.Logger
		metrics    *instrumenter.Instrumenter
		follower   *follower.Follower
		intake     *intake.Intake
		controller *controller.Controller
		overseer   *overseer.Overseer
		dialer     *dialer.Dialer
		messenger  *messenger.Messenger
		gatekeeper *gatekeeper.Gatekeeper
		tracer     *tracer.Tracer
		// stopping is set when shutdown begins and never cleared.
		stopping atomic.Bool
	}
)

// New assembles an instance. Nothing runs until Run.
func New(set member.Settings, de Dependencies) *Participant {
	pa := &Participant{set: set, cl: de.Clock, log: de.Log, metrics: de.Metrics, tracer: de.Tracer}
	store := instrumenter.NewStore(platform.NewStore(set.StoreAddress, de.Transport), de.Metrics, de.Tracer, de.Clock)
	source := follower.Source{Key: platform.ConfigKey, Decode: platform.DecodePolicy, DecodeWave: platform.DecodeWave, Zones: set.Zones, Metrics: de.Metrics}
	if set.EvacuateMillis > 0 {
		source.DecodeEvacuation, source.MaxAge = platform.DecodeEvacuation, set.EvacuateMillis
	}
	pa.follower = follower.New(source, store, de.Clock, de.Log)
	pa.intake = intake.New(store, pa.follower, de.Clock, de.Log, intake.Options{ConfigKey: platform.ConfigKey, MaxPolicyAge: set.UnconfirmedMillis, RowLimit: set.RowLimit, Metrics: de.Metrics})
	deps := controller.Dependencies{
		Store: store, Workers: instrumenter.NewWorkers(platform.NewWorkers(de.Transport, de.Clock), de.Metrics, de.Tracer), Policies: pa.follower,
		Reports:    controller.Reports{Table: platform.WorkerTable, Decode: platform.DecodeReport},
		WaveStatus: platform.EncodeWaveStatus, Clock: de.Clock, Metrics: de.Metrics, Log: de.Log,
		LeadershipChanged: de.LeadershipChanged,
	}
	if set.AdviceAddress != "" {
		deps.Advisers = platform.NewAdvice(set.AdviceAddress, de.Transport)
	}
	if set.MachinesAddress != "" {
		deps.Machines = platform.NewMachines(set.MachinesAddress, de.Transport, de.Clock)
	}
	incarnation := string(identifier.NewRequest())
	pa.dialer = dialer.New(de.Clock, peerTimeout, de.Dial)
	pa.messenger = messenger.New(messenger.Options{
		Instance: set.Instance, Incarnation: incarnation, Zone: set.Zone, Address: set.PeerAddress, ElectionDelay: set.ElectionDelayMillis, Store: store, Caller: pa.dialer, Dial: de.Dial,
		Clock: de.Clock, Tracer: de.Tracer, Log: de.Log,
	})
	deps.Peers = pa.messenger
	pa.controller = controller.New(deps, controller.Options{
		Instance: set.Instance, Incarnation: incarnation, Address: set.PeerAddress, LeaseDuration: set.LeaseMillis, TakeoverTimeout: set.TakeoverTimeoutMillis, ElectionDelay: set.ElectionDelayMillis,
		StopGrace: set.StopGraceMillis, GangTimeout: set.GangTimeoutMillis, MaxEvacuationAge: set.EvacuateMillis, MaintenanceDelay: set.LeadershipLeaseMillis, MaxPolls: set.MaxPolls, Retention: set.RetentionMillis, RowLimit: set.RowLimit, NamedPairs: namedPairs(set),
	})
	pa.overseer = overseer.New(overseer.Options{
		Instance: set.Instance, Zone: set.Zone, Controller: pa.controller, Leadership: pa.controller, Jobs: pa.intake, Policies: pa.follower, Metrics: de.Metrics,
		Caller: pa.dialer, Tracer: de.Tracer, Log: de.Log,
	})
	pa.gatekeeper = gatekeeper.New(gatekeeper.Options{
		Options:       shedder.Options{Connections: set.ConnectionLimit, Memory: set.RequestMemory, BodyTimeout: set.BodyTimeoutMillis},
		Listeners:     listeners(set.ConnectionLimit),
		Heads:         pa.headLimits,
		AnswerTimeout: set.AnswerTimeoutMillis, MessageLimit: peerMessageLimit, Clock: de.Clock, Metrics: de.Metrics, Log: de.Log,
	})
	return pa
}

// listeners returns the limits of the listeners, as parts of the limit of all connections. Callers cannot take
// all of them, so that the platform, operators and other instances get through.
func listeners(connections int) map[shedder.Listener]shedder.Limits {
	few, most := max(connections/8, 2), connections*3/4
	return map[shedder.Listener]shedder.Limits{
		CallerListener:    {Connections: most},
		ReadinessListener: {Connections: min(few, maxCheckConnections)},
		OperatorListener:  {Connections: min(few, maxOperatorConnections)},
		MetricsListener:   {Connections: min(few, maxCheckConnections)},
		PeerListener:      {Connections: most, PerAddress: maxPeerConnections, KeepsQuiet: true},
	}
}

// headLimits returns the limits of the configuration in force, or of the settings where it states none.
func (pa *Participant) headLimits() gatekeeper.HeadLimits {
	limits := gatekeeper.HeadLimits{Bytes: pa.set.HeadLimit, Timeout: pa.set.HeadTimeoutMillis}
	if po := pa.follower.Current(); po != nil {
		limits.Bytes, limits.Timeout = cmp.Or(po.HeadLimit, limits.Bytes), cmp.Or(po.HeadTimeout, limits.Timeout)
	}
	return limits
}

// Gatekeeper returns what guards the listeners.
func (pa *Participant) Gatekeeper() *gatekeeper.Gatekeeper { return pa.gatekeeper }

// namedPairs returns the pairs of images that the settings name.
func namedPairs(set member.Settings) separator.Names {
	convert := func(pairs []member.ImagePair) []separator.ImagePair {
		names := make([]separator.ImagePair, 0, len(pairs))
		for _, pa := range pairs {
			names = append(names, separator.ImagePair{A: pa.One, B: pa.Other})
		}
		return names
	}
	return separator.Names{Apart: convert(set.KeepApart), Ignored: convert(set.IgnoreInterference)}
}

// ClientHandler returns the handler of the client API.
func (pa *Participant) ClientHandler() http.Handler {
	return pa.tracer.Handler("entry.caller", platform.NewCallerHandler(pa.intake, pa.cl))
}

// OperatorHandler returns the handler of the operator API and of the metrics.
func (pa *Participant) OperatorHandler() http.Handler {
	return replier.LimitBody(operatorBodyLimit, pa.overseer.Handler())
}

// MetricsHandler returns the handler of the metrics as text.
func (pa *Participant) MetricsHandler() http.Handler {
	router := http.NewServeMux()
	router.Handle("GET "+instrumenter.TextPath, pa.metrics)
	return router
}

// ServePeers serves net/rpc calls of other instances until the listener is closed.
func (pa *Participant) ServePeers(ln net.Listener) error {
	return dialer.Serve(ln, map[string]any{
		overseer.ServiceName: pa.overseer.Service(), messenger.ServiceName: pa.messenger.Service(pa.controller),
	})
}

// ReadinessHandler returns the handler of the platform's readiness check, which decides whether
// this instance gets new connections.
func (pa *Participant) ReadinessHandler() http.Handler {
	return platform.NewReadinessHandler(func() bool { return !pa.stopping.Load() && pa.intake.Ready() })
}

// Run runs the instance until ctx ends. When stop is closed, the instance releases leadership,
// if it has it, and continues to serve calls.
func (pa *Participant) Run(ctx context.Context, stop <-chan struct{}) {
	leading, resign := context.WithCancel(ctx)
	defer resign()
	var loops sync.WaitGroup
	loops.Go(func() { pa.follower.Run(ctx) })
	loops.Go(func() { pa.controller.Run(leading, ctx) })
	loops.Go(func() { pa.messenger.Run(ctx, pa.controller.Leading) })
	loops.Go(func() { pa.logCounters(ctx) })
	loops.Go(func() { pa.gatekeeper.Run(ctx) })
	select {
	case <-ctx.Done():
	case <-stop:
		pa.stopping.Store(true)
		pa.log.Info().Msg("stopping")
		resign()
	}
	loops.Wait()
	pa.dialer.Close()
}

// logCounters periodically logs the increments of the counters.
func (pa *Participant) logCounters(ctx context.Context) {
	for clock.Sleep(ctx, pa.cl, counterLogPeriod) {
		line := pa.log.Info()
		deltas := pa.metrics.CounterDeltas()
		for _, name := range slices.Sorted(maps.Keys(deltas)) {
			line = line.Int64(name, deltas[name])
		}
		line.Msg("countersReported")
	}
}

// DrainTime returns how long a stopping instance continues to serve calls.
func (pa *Participant) DrainTime() clock.Millis {
	return clock.Millis(float64(pa.set.GraceMillis) * drainFraction)
}
