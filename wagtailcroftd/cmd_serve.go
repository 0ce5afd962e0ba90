package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/loader"
	"github.com/wagtailcroft/wagtailcroft/shared/retrier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/daemon"
)

var cmdServe = commander.Command{
	Name: "serve",
	Help: "Serve until SIGTERM or SIGINT, then stop gracefully; a second signal stops immediately.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		path := cl.Arg("settings", "Settings file in TOML.").Required().String()
		return func() error { return serve(*path) }
	},
}

func serve(path string) error {
	set, err := loader.Load(path)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	da, err := daemon.New(context.Background(), set, daemon.Dependencies{
		Clock:  clock.New(),
		Log:    os.Stderr,
		Spans:  os.Stderr,
		Random: retrier.GlobalRandom(),
	})
	if err != nil {
		return err
	}
	if err := da.Start(); err != nil {
		return err
	}
	<-signals
	return stop(da, set.Timing.StopMillis, signals)
}

// stop shuts down gracefully within timeout. A second signal reports the number of
// requests in flight and stops immediately.
func stop(da *daemon.Daemon, timeout clock.Millis, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	go func() {
		<-signals
		fmt.Fprintf(os.Stderr, "wagtailcroftd: stopping immediately; requests cut off: %d\n", da.InFlight())
		cancel()
	}()
	return da.Stop(ctx)
}
