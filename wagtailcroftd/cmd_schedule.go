package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
	"github.com/wagtailcroft/wagtailcroft/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/logger"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/gatekeeper"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/instrumenter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/participant"
)

const (
	// memoryShare is the fraction of the instance's memory given to the Go runtime as its
	// soft limit. The rest is left for memory that the runtime does not count, such as
	// unread bytes in socket buffers.
	memoryShare = 0.7
	// uncountedMemory is what the runtime does not count on any machine: the text of the program, and
	// garbage that is not collected in time. It matters on machines below 107 MiB.
	uncountedMemory = 32 << 20
	// gcPercent is below the Go default of 100: it spends CPU time to lower the peak
	// memory, which is what the instance is charged for. leaderGCPercent is that of the leader, whose
	// CPU time is scarcer than its memory.
	gcPercent       = 50
	leaderGCPercent = 200
)

var cmdSchedule = commander.Command{
	Name: "schedule",
	Help: "Schedule step jobs on the platform until SIGTERM or SIGINT.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		path := cl.Arg("settings", "Settings file written by the platform.").Default(platform.SettingsPath()).String()
		port := cl.Flag("metrics-port", "Port on which the metrics are served as text under /metrics, beside the operators' address; 0 means none.").Default("0").Uint16()
		apart := cl.Flag("keep-apart", "Two images whose tasks are kept apart where there is room, as ONE,OTHER; may be repeated.").Strings()
		ignored := cl.Flag("ignore-interference", "Two images that are treated as harmless to each other, whatever is measured, as ONE,OTHER; may be repeated.").Strings()
		trace := &settings.Trace{}
		cl.Flag("trace-exporter", "Span exporter: none, stderr or otlp.").Default("none").EnumVar((*string)(&trace.Exporter), "none", "stderr", "otlp")
		cl.Flag("trace-url", "URL of the OTLP collector.").StringVar(&trace.OtlpURL)
		return func() error { return schedule(*path, *port, *trace, *apart, *ignored) }
	},
}

// endpoint is an address and what is served there.
type endpoint struct {
	name    shedder.Listener
	address string
	handler http.Handler
}

func schedule(path string, metricsPort uint16, trace settings.Trace, apart, ignored []string) error {
	set, err := platform.LoadSettings(path)
	if err == nil {
		set, err = namePairs(set, apart, ignored)
	}
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(min(int64(float64(set.MemoryLimit)*memoryShare), int64(set.MemoryLimit)-uncountedMemory))
	debug.SetGCPercent(gcPercent)
	metrics := instrumenter.New()
	metrics.Publish("scheduler")
	log, err := logger.New(logger.NonBlocking(os.Stdout, metrics), "info", set.Instance)
	if err != nil {
		return err
	}
	log = logger.LimitRate(log, metrics)
	spans, err := tracer.New(context.Background(), trace, set.Instance, os.Stderr)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cl := clock.New()
	pa := participant.New(set, participant.Dependencies{
		Clock: cl, Log: log, Metrics: metrics, Tracer: spans, Dial: (&net.Dialer{}).DialContext,
		LeadershipChanged: collectGarbageAs,
	})
	servers, err := listen(set, metricsPort, pa, log)
	if err != nil {
		return err
	}
	log.Info().Str("zone", string(set.Zone)).Int64("leaseMillis", int64(set.LeaseMillis)).Msg("started")
	ctx, cancel := context.WithCancel(context.Background())
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		pa.Run(ctx, stop)
	}()
	for si := range signals {
		if si != syscall.SIGHUP {
			break
		}
		log.Info().Msg("reloadIgnored") // settings that can change at run time are read from the store
	}
	close(stop)
	clock.Sleep(ctx, cl, pa.DrainTime())
	shutdown(servers, set.GraceMillis-pa.DrainTime(), log)
	cancel()
	<-done
	log.Info().Msg("stopped")
	return spans.Close(context.Background())
}

// namePairs adds the named pairs of images to the settings. Errors are of kind BadSettings.
func namePairs(set member.Settings, apart, ignored []string) (member.Settings, error) {
	for _, list := range []struct {
		texts []string
		pairs *[]member.ImagePair
	}{{apart, &set.KeepApart}, {ignored, &set.IgnoreInterference}} {
		for _, text := range list.texts {
			one, other, found := strings.Cut(text, ",")
			if !found || one == "" || other == "" || strings.Contains(other, ",") {
				return set, problem.New(problem.BadSettings, "%q does not name two images; write them as ONE,OTHER", text)
			}
			*list.pairs = append(*list.pairs, member.ImagePair{One: identifier.Image(one), Other: identifier.Image(other)})
		}
	}
	return set, nil
}

// collectGarbageAs sets how often garbage is collected, by whether this instance is the leader.
func collectGarbageAs(leader bool) {
	percent := gcPercent
	if leader {
		percent = leaderGCPercent
	}
	debug.SetGCPercent(percent)
}

// listen starts the HTTP servers and the peer server on the configured addresses.
func listen(set member.Settings, metricsPort uint16, pa *participant.Participant, log zerolog.Logger) ([]*http.Server, error) {
	handlers := []endpoint{
		{participant.CallerListener, set.CallerAddress, pa.ClientHandler()},
		{participant.ReadinessListener, set.ReadinessAddress, pa.ReadinessHandler()},
		{participant.OperatorListener, set.MetricsAddress, pa.OperatorHandler()},
	}
	if host, _, err := net.SplitHostPort(set.MetricsAddress); err == nil && metricsPort > 0 {
		handlers = append(handlers, endpoint{participant.MetricsListener, net.JoinHostPort(host, strconv.Itoa(int(metricsPort))), pa.MetricsHandler()})
	}
	var servers []*http.Server
	for _, ha := range handlers {
		if ha.address == "" {
			continue
		}
		ln, err := gatekeeper.Listen(context.Background(), ha.address)
		if err != nil {
			return nil, fmt.Errorf("%w; stop the process that uses the address or change the address in the settings", err)
		}
		ln = pa.Gatekeeper().Guard(ln, ha.name)
		sv := pa.Gatekeeper().Server(ha.handler)
		servers = append(servers, sv)
		go func() {
			if err := sv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Str("address", ha.address).Msg("listenerFailed")
			}
		}()
	}
	return servers, servePeers(set.PeerAddress, pa, log)
}

// servePeers serves net/rpc calls of other instances until the process exits.
func servePeers(address string, pa *participant.Participant, log zerolog.Logger) error {
	if address == "" {
		return nil
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w; stop the process that uses the address or change the address in the settings", err)
	}
	go func() {
		if err := pa.ServePeers(pa.Gatekeeper().GuardMessages(ln, participant.PeerListener)); err != nil {
			log.Error().Err(err).Str("address", address).Msg("listenerFailed")
		}
	}()
	return nil
}

// shutdown stops the servers gracefully; calls still in flight after timeout are cut off.
func shutdown(servers []*http.Server, timeout clock.Millis, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	for _, sv := range servers {
		if err := sv.Shutdown(ctx); err != nil {
			log.Warn().Err(err).Msg("callsInterrupted")
		}
	}
}
