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
	Help: "Serve until SIGTERM or SIGINT, which stop gracefully; a second signal stops at once.",
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
	da, err := daemon.New(context.Background(), set, daemon.Outside{
		Clock:  clock.New(),
		Log:    os.Stderr,
		Spans:  os.Stderr,
		Random: retrier.Global(),
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

// stop ends within the bound; a second signal says what it cuts off and ends at once.
func stop(da *daemon.Daemon, most clock.Millis, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), most.Duration())
	defer cancel()
	go func() {
		<-signals
		fmt.Fprintf(os.Stderr, "wagtailcroftd: stopping at once; requests cut off: %d\n", da.InFlight())
		cancel()
	}()
	return da.Stop(ctx)
}
