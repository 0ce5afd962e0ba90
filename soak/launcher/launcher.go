// Package launcher runs instances of wagtailcroftd as processes on loopback addresses.
package launcher

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

const (
	readyTime  = 20 * clock.Second
	readyPause = 50 * clock.Millis(1)

	portCallers   = 8521
	portReadiness = 8523
	portOperators = 8526
	portPeers     = 7000
	portMetrics   = 9464

	// settingsForm are settings as the platform writes them.
	settingsForm = `nodeName = "%[1]s"
role = "scheduler"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
internalPorts = [7000,7015]
seeds = []
heartbeatMs = 1500
controlMode = "call"
discovery = "platform"
contracts = ["base","drain","config","recover","sched","tenants","platform"]
[listen]
front = "%[2]s:8521"
readiness = "%[2]s:8523"
control = "%[2]s:8526"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %[5]d
maxFds = %[6]d
linkMbps = 1000.0
[bounds]
contactMs = 3000
graceS = 6
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
maxHoldMs = 10000
stopGraceMs = 900
gangTimeoutMs = 3000
evacuateMs = 5000
status_s = 120
fencingEnforced = true
leaseMs = 3000
[platform]
address = "%[4]s"
form = "table"
rowBytes = 65536
`
)

var (
	// SmallMachine are the limits of the smaller machines of the deployments.
	SmallMachine = Machine{MemoryMb: 284, MaxFds: 4100}

	// ports are the ports that an instance uses.
	ports = []int{portCallers, portReadiness, portOperators, portPeers, portMetrics}
)

type (
	// Machine holds the limits of the machine of an instance, as its settings state them.
	Machine struct {
		// MemoryMb is the memory in MiB, and MaxFds the number of descriptors.
		MemoryMb, MaxFds int64
	}

	// Instance is a process of wagtailcroftd.
	Instance struct {
		// Name is the name of its machine.
		Name          string
		ip            string
		program       string
		settings, log string
		// cmd is nil while the process does not run; ended is closed when it has ended.
		cmd   *exec.Cmd
		ended chan struct{}
	}
)

// New prepares an instance on a machine with a loopback address, which calls a store. Its files go to a
// folder.
func New(program, dir, name, ip, zone, store string, ma Machine) (*Instance, error) {
	in := &Instance{Name: name, ip: ip, program: program, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf(settingsForm, name, ip, zone, store, ma.MemoryMb, ma.MaxFds)
	return in, eris.Wrap(os.WriteFile(in.settings, []byte(text), 0o600), "cannot write the settings of an instance")
}

// Free reports whether all ports of an instance are free at an address.
func Free(ip string) bool {
	for _, port := range ports {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close() // it is not used
	}
	return true
}

// URL returns the address at which the instance serves callers.
func (in *Instance) URL() string { return "http://" + in.Address(portCallers) }

// Address returns the address of a port of the instance.
func (in *Instance) Address(port int) string { return net.JoinHostPort(in.ip, strconv.Itoa(port)) }

// Listeners returns the addresses on which the instance listens, by what is served there.
func (in *Instance) Listeners() map[string]string {
	return map[string]string{
		"callers": in.Address(portCallers), "readiness": in.Address(portReadiness), "operators": in.Address(portOperators),
		"metrics": in.Address(portMetrics), "peers": in.Address(portPeers),
	}
}

// PID returns the id of the process, and false once it has ended.
func (in *Instance) PID() (int, bool) {
	select {
	case <-in.ended:
		return in.cmd.Process.Pid, false
	default:
		return in.cmd.Process.Pid, true
	}
}

// Start starts the process. It ends with this one.
func (in *Instance) Start() error {
	logs, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "cannot write the log of an instance")
	}
	cmd := exec.Command(in.program, "schedule", "--metrics-port="+strconv.Itoa(portMetrics), in.settings) //nolint:gosec // the program under test
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "cannot start an instance; build wagtailcroftd first")
	}
	in.cmd, in.ended = cmd, make(chan struct{})
	go func() {
		defer close(in.ended)
		_ = cmd.Wait() // it ends by a signal
		_ = logs.Close()
	}()
	return nil
}

// AwaitReady waits until the instance tells that it is ready.
func (in *Instance) AwaitReady() error {
	for deadline := time.Now().Add(readyTime.Duration()); time.Now().Before(deadline); time.Sleep(readyPause.Duration()) {
		rs, err := http.Get("http://" + in.ip + ":8523/v1/ready")
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			return nil
		}
	}
	return eris.Errorf("%s is not ready after %d ms; see its log", in.Name, readyTime)
}

// Signal sends a signal to the process.
func (in *Instance) Signal(si syscall.Signal) {
	_ = in.cmd.Process.Signal(si) // the process may have ended
}

// Kill ends the process and waits for its end.
func (in *Instance) Kill() {
	if in.cmd == nil {
		return
	}
	in.Signal(syscall.SIGKILL)
	<-in.ended
}

// Terminate asks the process to end and waits for it.
func (in *Instance) Terminate() {
	in.Signal(syscall.SIGTERM)
	<-in.ended
}
