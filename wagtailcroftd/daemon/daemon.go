// Package daemon puts the parts of an entry instance together and runs them.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/admitter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/logger"
	"github.com/wagtailcroft/wagtailcroft/shared/pool"
	"github.com/wagtailcroft/wagtailcroft/shared/retrier"
	"github.com/wagtailcroft/wagtailcroft/shared/router"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/claimer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/counter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dialer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dispatcher"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/executor"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/heartbeater"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/leaser"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/registrar"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/surveyor"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/watcher"
)

const (
	peerTimeout = 300 * clock.Millis(1)
	peerPeriod  = clock.Second
	watchPeriod = 1500 * clock.Millis(1)
	flushPeriod = clock.Second
	forgetAfter = 10 * clock.Minute // a member that says nothing is shown to operators this long

	platformConnections = 8  // kept open to the platform
	runnerConnections   = 64 // most to one runner; the seats bound them further
)

type (
	// Outside is what a daemon uses of the world beyond its settings.
	Outside struct {
		Clock  clock.Clock
		Log    io.Writer
		Spans  io.Writer
		Random retrier.Random
		// Platform and Peers replace the network in tests; nil means the network.
		Platform platform.HttpRequestDoer
		Peers    heartbeater.Dialer
		Runners  dispatcher.Runners
	}

	// Daemon is one entry instance.
	Daemon struct {
		Settings settings.Daemon
		Table    *configurer.Configurer
		Leases   *leaser.Leaser
		Peers    *heartbeater.Heartbeater
		Targets  *watcher.Watcher
		Gangs    *executor.Executor
		Jobs     *registrar.Registrar
		Requests *dispatcher.Dispatcher
		Claims   *claimer.Claimer
		Routes   *router.Router

		outside Outside
		log     zerolog.Logger
		tracer  *tracer.Tracer
		store   *storer.Store
		// wire counts the bytes of control: those to the platform and between instances.
		wire  *counter.Counter
		pool  *pool.Pool
		admit *admitter.Admitter
		// stopping is set once, when the daemon begins to stop.
		stopping atomic.Bool
		servers  []*http.Server
		peerLn   net.Listener
		// loops counts the goroutines that Start began.
		loops  sync.WaitGroup
		cancel context.CancelFunc
		// wake is signalled when the scheduler should look at once.
		wake   chan struct{}
		closer []func()
	}
)

// New puts a daemon together; nothing runs yet.
func New(ctx context.Context, set settings.Daemon, out Outside) (*Daemon, error) {
	log, err := logger.New(out.Log, string(set.Log.Level), set.Instance)
	if err != nil {
		return nil, eris.Wrap(err, "set up the log")
	}
	tr, err := tracer.New(ctx, set.Trace, set.Instance, out.Spans)
	if err != nil {
		return nil, eris.Wrap(err, "set up tracing")
	}
	da := &Daemon{Settings: set, outside: out, log: log, tracer: tr, wire: counter.New(), wake: make(chan struct{}, 1)}
	da.useNetwork()
	if err := da.assemble(); err != nil {
		return nil, err
	}
	return da, nil
}

// useNetwork fills in what the tests have not replaced.
func (da *Daemon) useNetwork() {
	if da.outside.Platform == nil {
		client := &http.Client{Transport: &http.Transport{
			DialContext:         da.wire.DialContext,
			MaxIdleConnsPerHost: platformConnections,
			DisableCompression:  true, // the answers are small; the header would cost more
		}}
		da.outside.Platform = client
		da.closer = append(da.closer, client.CloseIdleConnections)
	}
	if da.outside.Peers == nil {
		di := dialer.New(da.outside.Clock, peerTimeout, da.wire.DialContext)
		da.outside.Peers = di
		da.closer = append(da.closer, di.Close)
	}
	if da.outside.Runners == nil {
		runners := dispatcher.NewRunners(da.tracer, runnerConnections)
		da.outside.Runners = runners
		da.closer = append(da.closer, runners.Close)
	}
}

func (da *Daemon) assemble() error {
	set, out := da.Settings, da.outside
	store, err := storer.New(storer.Options{
		URL:      set.PlatformURL,
		Doer:     out.Platform,
		Clock:    out.Clock,
		Tracer:   da.tracer,
		Instance: set.Instance,
		Zone:     set.Zone,
		Timeout:  set.Store.TimeoutMillis,
		Random:   out.Random,
	})
	if err != nil {
		return err
	}
	da.store = store
	survey := surveyor.New(store)
	self := configurer.Self{Instance: set.Instance, Zone: set.Zone, PeerAddress: set.PeerAddress}
	da.Table = configurer.New(self, store, out.Clock, da.log, survey, set.Timing.FreshnessMillis)
	da.Routes = router.New(out.Random)
	da.Targets = watcher.New(set.Zone, store, out.Clock, da.Table, da.Routes, set.Timing.LeaseMillis)
	da.assembleRequests()
	da.assembleZone()
	da.Jobs = registrar.New(registrar.Options{
		Zone:     set.Zone,
		Store:    store,
		Clock:    out.Clock,
		Log:      da.log,
		Table:    da.Table,
		Surveyor: survey,
		Wake:     da.wakeGangs,
	})
	return nil
}

// assembleRequests puts together what serves requests for runners.
func (da *Daemon) assembleRequests() {
	set, out := da.Settings, da.outside
	da.pool = pool.New(int(set.Runners.Dispatchers), int(set.Runners.QueueLength))
	da.admit = admitter.New(set.Runners.Dispatchers)
	da.Claims = claimer.New(set.Instance, da.store, da.log)
	da.Requests = dispatcher.New(dispatcher.Options{
		Clock:   out.Clock,
		Log:     da.log,
		Tracer:  da.tracer,
		Pool:    da.pool,
		Admit:   da.admit,
		Router:  da.Routes,
		Budget:  retrier.New(),
		Claims:  da.Claims,
		Runners: out.Runners,
	})
}

// assembleZone puts together what acts with the other instances of the zone.
func (da *Daemon) assembleZone() {
	set, out := da.Settings, da.outside
	answers := &answerer{}
	da.Peers = heartbeater.New(heartbeater.Options{
		Instance: set.Instance,
		Zone:     set.Zone,
		Store:    da.store,
		Clock:    out.Clock,
		Log:      da.log,
		Tracer:   da.tracer,
		Dialer:   out.Peers,
		Table:    da.Table,
		Targets:  da.Targets,
		Answerer: answers,
		Silence:  set.Timing.LeaseMillis,
		Forget:   forgetAfter,
	}, da.admit.InFlight)
	da.Leases = leaser.New(leaser.Options{
		Instance: set.Instance,
		Zone:     set.Zone,
		Seats:    int(set.Runners.Seats),
		Length:   set.Timing.LeaseMillis,
		Store:    da.store,
		Clock:    out.Clock,
		Log:      da.log,
		Peers:    da.Peers,
		Shares:   shares{routes: da.Routes, of: set.Runners.Seats},
	})
	da.Gangs = executor.New(executor.Options{
		Zone:        set.Zone,
		Store:       da.store,
		Clock:       out.Clock,
		Log:         da.log,
		Leases:      da.Leases,
		Table:       da.Table,
		Targets:     da.Targets,
		Policy:      policy(set.Scheduling),
		MaxFailures: set.Scheduling.MaxFailures,
	})
	answers.gangs = da.Gangs
}
