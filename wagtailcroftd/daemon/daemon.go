// Package daemon assembles the components of an entry instance and runs them.
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
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/validator"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/watcher"
)

const (
	peerTimeout     = 300 * clock.Millis(1)
	heartbeatPeriod = clock.Second
	watchPeriod     = 1500 * clock.Millis(1)
	flushPeriod     = clock.Second
	// memberRetention is how long operators still see a member whose row no longer changes.
	memberRetention = 10 * clock.Minute

	platformConnections = 8 // idle connections kept open to the platform
	// runnerConnections is the maximum number of connections to one runner. The seats that
	// the instance holds limit them further.
	runnerConnections = 64
)

type (
	// Dependencies holds the external dependencies of a Daemon.
	Dependencies struct {
		Clock  clock.Clock
		Log    io.Writer
		Spans  io.Writer
		Random retrier.Random
		// Platform, Peers and Runners replace the network clients in tests. A nil value
		// stands for the real client.
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
		Executor *executor.Executor
		Jobs     *registrar.Registrar
		Requests *dispatcher.Dispatcher
		Claims   *claimer.Claimer
		Router   *router.Router

		external Dependencies
		log      zerolog.Logger
		tracer   *tracer.Tracer
		store    *storer.Store
		// traffic counts the bytes of control traffic: to the platform and between instances.
		traffic  *counter.Counter
		pool     *pool.Pool
		admitter *admitter.Admitter
		// stopping is set when shutdown begins and never cleared.
		stopping atomic.Bool
		servers  []*http.Server
		peerLn   net.Listener
		// loops counts the goroutines started by Start.
		loops  sync.WaitGroup
		cancel context.CancelFunc
		// trigger is signalled to run the scheduling step without waiting for its period.
		trigger chan struct{}
		closers []func()
	}
)

// New assembles a daemon. Nothing runs until Start.
func New(ctx context.Context, set settings.Daemon, deps Dependencies) (*Daemon, error) {
	log, err := logger.New(deps.Log, string(set.Log.Level), set.Instance)
	if err != nil {
		return nil, eris.Wrap(err, "set up logging")
	}
	tr, err := tracer.New(ctx, set.Trace, set.Instance, deps.Spans)
	if err != nil {
		return nil, eris.Wrap(err, "set up tracing")
	}
	da := &Daemon{Settings: set, external: deps, log: log, tracer: tr, traffic: counter.New(), trigger: make(chan struct{}, 1)}
	da.setNetworkDefaults()
	if err := da.assemble(); err != nil {
		return nil, err
	}
	return da, nil
}

// setNetworkDefaults creates the network clients that the tests have not replaced.
func (da *Daemon) setNetworkDefaults() {
	if da.external.Platform == nil {
		client := &http.Client{Transport: &http.Transport{
			DialContext:         da.traffic.DialContext,
			MaxIdleConnsPerHost: platformConnections,
			DisableCompression:  true, // the answers are small: the Accept-Encoding header costs more than compression saves
		}}
		da.external.Platform = client
		da.closers = append(da.closers, client.CloseIdleConnections)
	}
	if da.external.Peers == nil {
		di := dialer.New(da.external.Clock, peerTimeout, da.traffic.DialContext)
		da.external.Peers = di
		da.closers = append(da.closers, di.Close)
	}
	if da.external.Runners == nil {
		runners := dispatcher.NewRunners(da.tracer, runnerConnections)
		da.external.Runners = runners
		da.closers = append(da.closers, runners.Close)
	}
}

func (da *Daemon) assemble() error {
	set, deps := da.Settings, da.external
	store, err := storer.New(storer.Options{
		URL:      set.PlatformURL,
		Doer:     deps.Platform,
		Clock:    deps.Clock,
		Tracer:   da.tracer,
		Instance: set.Instance,
		Zone:     set.Zone,
		Timeout:  set.Store.TimeoutMillis,
		Random:   deps.Random,
	})
	if err != nil {
		return err
	}
	da.store = store
	va := validator.New(store)
	self := configurer.Identity{Instance: set.Instance, Zone: set.Zone, PeerAddress: set.PeerAddress}
	da.Table = configurer.New(self, store, deps.Clock, da.log, va, set.Timing.FreshnessMillis)
	da.Router = router.New(deps.Random)
	da.Targets = watcher.New(set.Zone, store, deps.Clock, da.Table, da.Router, set.Timing.LeaseMillis)
	da.assembleRequests()
	da.assembleZone()
	da.Jobs = registrar.New(registrar.Options{
		Zone:            set.Zone,
		Store:           store,
		Clock:           deps.Clock,
		Log:             da.log,
		Table:           da.Table,
		Validator:       va,
		NotifyScheduler: da.triggerScheduler,
	})
	return nil
}

// assembleRequests creates the components that serve requests for runners.
func (da *Daemon) assembleRequests() {
	set, deps := da.Settings, da.external
	da.pool = pool.New(int(set.Runners.Dispatchers), int(set.Runners.QueueLength))
	da.admitter = admitter.New(set.Runners.Dispatchers)
	da.Claims = claimer.New(set.Instance, da.store, da.log)
	da.Requests = dispatcher.New(dispatcher.Options{
		Clock:    deps.Clock,
		Log:      da.log,
		Tracer:   da.tracer,
		Pool:     da.pool,
		Admitter: da.admitter,
		Router:   da.Router,
		Budget:   retrier.New(),
		Claims:   da.Claims,
		Runners:  deps.Runners,
	})
}

// assembleZone creates the components that cooperate with the other instances of the zone.
func (da *Daemon) assembleZone() {
	set, deps := da.Settings, da.external
	explainer := &jobExplainer{}
	da.Peers = heartbeater.New(heartbeater.Options{
		Instance:         set.Instance,
		Zone:             set.Zone,
		Store:            da.store,
		Clock:            deps.Clock,
		Log:              da.log,
		Tracer:           da.tracer,
		Dialer:           deps.Peers,
		Table:            da.Table,
		Targets:          da.Targets,
		Explainer:        explainer,
		LivenessTimeout:  set.Timing.LeaseMillis,
		RetentionTimeout: memberRetention,
	}, da.admitter.InFlight)
	da.Leases = leaser.New(leaser.Options{
		Instance:      set.Instance,
		Zone:          set.Zone,
		Seats:         int(set.Runners.Seats),
		LeaseDuration: set.Timing.LeaseMillis,
		Store:         da.store,
		Clock:         deps.Clock,
		Log:           da.log,
		Peers:         da.Peers,
		Shares:        shares{router: da.Router, total: set.Runners.Seats},
	})
	da.Executor = executor.New(executor.Options{
		Zone:        set.Zone,
		Store:       da.store,
		Clock:       deps.Clock,
		Log:         da.log,
		Leases:      da.Leases,
		Table:       da.Table,
		Targets:     da.Targets,
		Policy:      policy(set.Scheduling),
		MaxFailures: set.Scheduling.MaxFailures,
	})
	explainer.executor = da.Executor
}
