package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// metricsPort is that of the command in the deploy file.
const metricsPort = 9464

// bounds are those of the small deployment of Thengola.
const bounds = `seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopGraceMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
checkpointS = 0.5
restoreMs = 600
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
reclaimMs = 3400
`

// daemon is one process of the system.
type daemon struct {
	name, front, path string
	dir               string
	cmd               *exec.Cmd
	done              chan struct{}
}

// newDaemons prepares processes, each on a loopback address of its own, because all use one port for metrics.
func newDaemons(count int, storeAddress, cloudAddress, adviceAddress, dir string) []*daemon {
	var all []*daemon
	zones := []string{"kochi", "thrissur", "kozhikode", "tvm"}
	var seeds []string
	for i := range count {
		ip := freeAddress()
		ports := freePorts(ip, 4)
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, ports[2])))
		da := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i%4], i), front: fmt.Sprintf("%s:%d", ip, ports[0]), dir: dir}
		da.path = filepath.Join(dir, da.name+".toml")
		text := fmt.Sprintf(`nodeName = %q
role = "scheduler"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "kerala"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","upkeep","sharing"]
controlMode = "call"
advice = %q
[zones]
kochi = "kerala"
thrissur = "kerala"
kozhikode = "kerala"
tvm = "kerala"
[listen]
front = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
%s[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
txnLatencyMs = 6.0
partitionWritesS = 200
rowBytes = 65536
crossShard = false
historyS = 20
[cloud]
address = %q
ratePerS = 60.0
dutyPerS = 60.0
`, da.name, ip, zones[i%4], ports[3], ports[3]+15, strings.Join(seeds[:1], ","), adviceAddress, ip, ports[0], ip, ports[1], ip, ports[2], bounds, storeAddress, cloudAddress)
		check(os.WriteFile(da.path, []byte(text), 0o644))
		all = append(all, da)
	}
	return all
}

// freeAddress returns a loopback address on which the port of the metrics is free. No outgoing connection takes a
// port of it, as these come from 127.0.0.1.
func freeAddress() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 2+rand.IntN(250))
		if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort)); err == nil {
			_ = ln.Close()
			return ip
		}
	}
}

// freePorts returns ports that are free on an address, all of them different.
func freePorts(ip string, count int) []int {
	var ports []int
	for range count {
		ln, err := net.Listen("tcp", ip+":0")
		check(err)
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// start starts the program as the deploy file says.
func (da *daemon) start() {
	da.cmd = exec.Command("target/wagtailcroftd", "schedule", fmt.Sprintf("--metrics-port=%d", metricsPort))
	da.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "WAGTAILCROFT_SETTINGS=" + da.path}
	log, err := os.OpenFile(filepath.Join(da.dir, da.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	da.cmd.Stdout, da.cmd.Stderr = log, log
	da.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(da.cmd.Start())
	da.done = make(chan struct{})
	go func() {
		_ = da.cmd.Wait()
		_ = log.Close()
		close(da.done)
	}()
}

// kill ends the process and waits for its end.
func (da *daemon) kill() {
	if da.cmd == nil {
		return
	}
	_ = da.cmd.Process.Signal(syscall.SIGKILL)
	<-da.done
	da.cmd = nil
}

// awaitReady waits until the process answers callers.
func (da *daemon) awaitReady(cl *client, path string) bool {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		if status, _ := cl.call(da, http.MethodGet, path, nil); status == http.StatusOK {
			return true
		}
	}
	return false
}
