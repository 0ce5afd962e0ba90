// Package launcher starts a deployment on loopback within one process: the platform stand-in,
// the runners, and the entry instances of each availability zone.
package launcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/loader"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
	"github.com/wagtailcroft/wagtailcroft/standin/runner"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/daemon"
)

const (
	// OperatorToken is the bearer token for the operator API of every launched deployment.
	OperatorToken = "operator-token-of-the-demo"

	runnerSlots = 8
)

type (
	// Options describe the deployment to launch.
	Options struct {
		Deployment platform.Deployment
		// Zones is the number of the deployment's zones to launch; 0 means all.
		Zones int
		// InstancesPerZone is the number of entry instances in each zone.
		InstancesPerZone int
		// RunnersPerZone is the number of runners in each zone; 0 means that of the deployment.
		RunnersPerZone int
		Log            io.Writer
		Seed           uint64
		Preset         settings.SchedulingPreset
	}

	// Cluster is a running deployment.
	Cluster struct {
		Platform *platform.Platform
		// PlatformURL is the URL of the platform stand-in.
		PlatformURL string
		Runners     map[identifier.Zone][]*runner.Runner
		Daemons     []*daemon.Daemon
		closers     []func()
	}
)

// Launch starts a deployment. If it returns an error, everything is stopped again.
func Launch(op Options) (*Cluster, error) {
	cl := &Cluster{Runners: map[identifier.Zone][]*runner.Runner{}}
	layout := cl.layout(op)
	cl.Platform = platform.New(clock.New(), layout)
	server := httptest.NewServer(cl.Platform.Handler())
	cl.closers = append(cl.closers, server.Close)
	cl.PlatformURL = server.URL
	for _, zone := range layout.Zones {
		for i := range op.InstancesPerZone {
			if err := cl.launchDaemon(op, zone.Zone, i); err != nil {
				cl.Close()
				return nil, err
			}
		}
	}
	return cl, nil
}

// layout starts the runners and returns the layout of the zones with their addresses.
func (cl *Cluster) layout(op Options) platform.Layout {
	layout := op.Deployment.Layout()
	if op.Zones > 0 {
		layout.Zones = layout.Zones[:op.Zones]
	}
	count := op.RunnersPerZone
	if count == 0 {
		count = op.Deployment.RunnersPerZone
	}
	for i := range layout.Zones {
		zone := &layout.Zones[i]
		for range count {
			ru := runner.New(clock.New(), runnerSlots)
			server := httptest.NewServer(ru.Handler())
			cl.closers = append(cl.closers, server.Close)
			cl.Runners[zone.Zone] = append(cl.Runners[zone.Zone], ru)
			zone.Runners = append(zone.Runners, server.Listener.Addr().String())
		}
	}
	return layout
}

func (cl *Cluster) launchDaemon(op Options, zone identifier.Zone, number int) error {
	set, err := cl.settings(op, zone, number)
	if err != nil {
		return err
	}
	da, err := daemon.New(context.Background(), set, daemon.Dependencies{
		Clock:  clock.New(),
		Log:    op.Log,
		Spans:  op.Log,
		Random: rand.New(rand.NewPCG(op.Seed, uint64(len(cl.Daemons)))),
	})
	if err != nil {
		return err
	}
	if err := da.Start(); err != nil {
		return err
	}
	cl.Daemons = append(cl.Daemons, da)
	return nil
}

// settings returns the settings of an instance. They are parsed from TOML like the file that
// an operator writes.
func (cl *Cluster) settings(op Options, zone identifier.Zone, number int) (settings.Daemon, error) {
	preset := op.Preset
	if preset == "" {
		preset = settings.SchedulingPresetCompletion
	}
	addresses, err := freeAddresses(3)
	if err != nil {
		return settings.Daemon{}, err
	}
	return loader.Parse(fmt.Appendf(nil, `
instance = "%s-%d"
zone = %q
callerAddress = %q
operatorAddress = %q
peerAddress = %q
platformUrl = %q
operatorTokenDigests = [%q]
[runners]
seats = %d
[scheduling]
preset = %q
`, zone, number, zone, addresses[0], addresses[1], addresses[2], cl.PlatformURL, identifier.Digest(OperatorToken), op.InstancesPerZone, preset))
}

// freeAddresses returns loopback addresses on which nothing listens at present.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "find a free address")
		}
		addresses = append(addresses, ln.Addr().String())
		defer func() { _ = ln.Close() }()
	}
	return addresses, nil
}

// Caller returns a client for the caller API of an entry instance.
func (cl *Cluster) Caller(number int, token string) (*caller.ClientWithResponses, error) {
	url := "http://" + cl.Daemons[number].Settings.CallerAddress
	return caller.NewClientWithResponses(url, caller.WithRequestEditorFn(bearer(token)))
}

// Operator returns a client for the operator API of an entry instance.
func (cl *Cluster) Operator(number int) (*operator.ClientWithResponses, error) {
	url := "http://" + cl.Daemons[number].Settings.OperatorAddress
	return operator.NewClientWithResponses(url, operator.WithRequestEditorFn(bearer(OperatorToken)))
}

func bearer(token string) func(context.Context, *http.Request) error {
	return func(_ context.Context, req *http.Request) error {
		req.Header.Set("Authorization", "Bearer "+token)
		return nil
	}
}

// Close kills the instances and closes the servers.
func (cl *Cluster) Close() {
	for _, da := range cl.Daemons {
		da.Abort()
	}
	for _, closer := range cl.closers {
		closer()
	}
}
