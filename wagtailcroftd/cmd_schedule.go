package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/logger"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/conductor"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/follower"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/intake"
)

const (
	// memoryShare is the part of the instance's memory that the runtime aims to stay
	// under; the rest is for what it does not count, such as unread bytes.
	memoryShare = 0.7
	// garbagePercent trades memory, which is paid for at its peak, for processor time.
	garbagePercent = 50
	// drainShare is the part of the grace in which a stopping instance still takes calls,
	// so that those who do not know yet that it stops are served.
	drainShare = 0.5
)

var cmdSchedule = commander.Command{
	Name: "schedule",
	Help: "Schedule step jobs on the users' platform until SIGTERM or SIGINT.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		path := cl.Arg("settings", "Settings file as the platform lays it.").Default(platform.SettingsPath()).String()
		return func() error { return schedule(*path) }
	},
}

func schedule(path string) error {
	set, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(set.MemoryLimit) * memoryShare))
	debug.SetGCPercent(garbagePercent)
	log, err := logger.New(os.Stdout, "info", set.Instance)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	me, err := newMember(set, log)
	if err != nil {
		return err
	}
	log.Info().Str("zone", string(set.Zone)).Str("incarnation", me.incarnation).Int64("leaseMillis", int64(set.LeaseMillis)).Msg("started")
	me.run(signals)
	return nil
}

// member is one instance of the scheduler.
type instance struct {
	set         member.Settings
	incarnation string
	cl          *clock.System
	log         zerolog.Logger
	follower    *follower.Follower
	intake      *intake.Intake
	conductor   *conductor.Conductor
	servers     []*http.Server
	// stopping is set once.
	stopping atomic.Bool
}

func newMember(set member.Settings, log zerolog.Logger) (*instance, error) {
	in := &instance{set: set, incarnation: string(identifier.NewRequest()), cl: clock.New(), log: log}
	store := platform.NewStore(set.StoreAddress)
	in.follower = follower.New(follower.Source{Key: platform.PolicyKey, Decode: platform.DecodePolicy}, store, in.cl, log)
	in.intake = intake.New(store, in.follower, in.cl, log, intake.Options{PolicyKey: platform.PolicyKey, Unconfirmed: set.UnconfirmedMillis})
	in.conductor = conductor.New(conductor.Parts{
		Store: store, Workers: platform.NewWorkers(), Policies: in.follower,
		Reports: conductor.Reports{Table: platform.ReportTable, Decode: platform.DecodeReport},
		Clock:   in.cl, Log: log,
	}, conductor.Options{
		Instance: set.Instance, Incarnation: in.incarnation, Lease: set.LeaseMillis, Takeover: set.TakeoverMillis,
		StopGrace: set.StopGraceMillis, Retention: set.RetentionMillis,
	})
	ready := func() bool { return !in.stopping.Load() && in.intake.Ready() }
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{set.CallerAddress, platform.NewFront(in.intake, in.cl)},
		{set.ReadinessAddress, platform.NewReadiness(ready)},
		{set.MetricsAddress, expvar.Handler()},
	}
	for _, ha := range handlers {
		if ha.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", ha.address)
		if err != nil {
			return nil, fmt.Errorf("%w; free the address or change it in the settings", err)
		}
		sv := &http.Server{Handler: ha.handler}
		in.servers = append(in.servers, sv)
		go func() {
			if err := sv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Str("address", ha.address).Msg("serverEnded")
			}
		}()
	}
	return in, nil
}

// run works until a signal asks for the stop.
func (in *instance) run(signals <-chan os.Signal) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	last, cancelLast := context.WithTimeout(context.Background(), clock.Hour.Duration())
	defer cancelLast()
	deciding, resign := context.WithCancel(ctx)
	defer resign()
	var parts sync.WaitGroup
	parts.Go(func() { in.follower.Run(ctx) })
	parts.Go(func() { in.conductor.Run(deciding, last) })
	for si := range signals {
		if si != syscall.SIGHUP {
			break
		}
		in.log.Info().Msg("reloadNotNeeded")
	}
	in.stopping.Store(true)
	in.log.Info().Msg("stopping")
	resign()
	clock.Sleep(ctx, in.cl, clock.Millis(float64(in.set.GraceMillis)*drainShare))
	end, cancelEnd := context.WithTimeout(ctx, clock.Millis(float64(in.set.GraceMillis)*(1-drainShare)).Duration())
	defer cancelEnd()
	for _, sv := range in.servers {
		if err := sv.Shutdown(end); err != nil {
			in.log.Warn().Err(err).Msg("callsCutOff")
		}
	}
	cancel()
	parts.Wait()
	in.log.Info().Msg("stopped")
}
