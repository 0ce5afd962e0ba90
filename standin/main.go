// Command standin serves a simulated platform and its runners on the loopback interface.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
	"github.com/wagtailcroft/wagtailcroft/standin/runner"
)

const (
	loopback      = "127.0.0.1"
	runnerSlots   = 8
	headerTimeout = 5 * clock.Second
)

func main() {
	app := kingpin.New("standin", "Simulated platform on the loopback interface: table service, object store, targets and tasks.")
	app.HelpFlag.Short('h')
	port := app.Flag("port", "Port of the platform; the runners use the ports that follow it.").Default("7900").Int()
	name := app.Flag("deployment", "Deployment whose sizes to use: thengola or derwent.").Default("thengola").Enum("thengola", "derwent")
	racks := app.Flag("racks", "Number of racks per zone; 0 means the number of the deployment.").Default("0").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	de := deployment(*name)
	if *racks > 0 {
		de.RacksPerZone = *racks
	}
	if err := serve(*port, de); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func deployment(name string) platform.Deployment {
	if name == "derwent" {
		return platform.Derwent()
	}
	return platform.Thengola()
}

// serve serves the platform and its runners until SIGTERM or SIGINT.
func serve(port int, de platform.Deployment) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	layout := de.Layout()
	next := port + 1
	for i := range layout.Zones {
		for range de.RunnersPerZone {
			address, err := listen(next, runner.New(clock.New(), runnerSlots).Handler())
			if err != nil {
				return err
			}
			layout.Zones[i].Runners = append(layout.Zones[i].Runners, address)
			next++
		}
	}
	address, err := listen(port, platform.New(clock.New(), layout).Handler())
	if err != nil {
		return err
	}
	fmt.Printf("platform at http://%s with %d zones and %d runners\n", address, len(layout.Zones), next-port-1)
	<-signals
	return nil
}

func listen(port int, handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
	if err != nil {
		return "", eris.Wrap(err, "cannot listen on the port; choose another --port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout.Duration()}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}
