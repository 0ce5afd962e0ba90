package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is a process of the system on a loopback address of its own.
type instance struct {
	name, ip, zone, settings string
	cmd                      *exec.Cmd
	logs                     *os.File
}

func (in *instance) front() string { return in.ip + ":8521" }

const settingsForm = `nodeName = "%[1]s"
role = "scheduler"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "kerala"
internalPorts = [7000,7015]
seeds = [%[4]s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
controlMode = "call"
advice = ""

[zones]
kochi = "kerala"
thrissur = "kerala"
kozhikode = "kerala"

[listen]
front = "%[2]s:8521"
readiness = "%[2]s:8523"
control = "%[2]s:8526"

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
seedLagS = 3
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

[platform]
address = "%[5]s"
form = "table"
writesPerS = 600
readsPerS = 2000
txnLatencyMs = 6.0
partitionWritesS = 200
rowBytes = 65536
crossShard = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0

[cloud]
address = "%[6]s"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`

// freeAddresses finds loopback addresses whose ports for an instance are all free.
func freeAddresses(count int) []string {
	var found []string
	base := os.Getpid()
	for i := 0; i < 20000 && len(found) < count; i++ {
		n := base*8 + i // plays side by side get different addresses
		ip := fmt.Sprintf("127.%d.%d.%d", 16+n/62500%200, n/250%250, 2+n%250)
		free := true
		for _, port := range []int{8521, 8523, 8526, 7000, 9464} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			found = append(found, ip)
		}
	}
	if len(found) < count {
		abort("no free loopback addresses")
	}
	return found
}

// startInstances starts the processes of the system with the command of the deploy file.
func (rg *rig) startInstances(count int) {
	ips := freeAddresses(count)
	zones := []string{"kochi", "thrissur", "kozhikode"}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%q", ip+":8526"))
	}
	for i, ip := range ips {
		in := &instance{name: fmt.Sprintf("front-%s-%d", zones[i%3], i+1), ip: ip, zone: zones[i%3], settings: filepath.Join(rg.dir, fmt.Sprintf("settings-%d.toml", i+1))}
		text := fmt.Sprintf(settingsForm, in.name, in.ip, in.zone, strings.Join(seeds, ","), rg.storeAddress, rg.cloudAddress)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			abort("%v", err)
		}
		logs, err := os.Create(filepath.Join(rg.dir, in.name+".log"))
		if err != nil {
			abort("%v", err)
		}
		in.logs = logs
		rg.instances = append(rg.instances, in)
		rg.launch(in)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, in := range rg.instances {
		for {
			rs, err := http.Get("http://" + in.ip + ":8523/v1/ready")
			if err == nil {
				_, _ = io.Copy(io.Discard, rs.Body)
				_ = rs.Body.Close()
				if rs.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				abort("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	rg.rec.add("%d instances are ready", count)
}

func (rg *rig) launch(in *instance) {
	in.cmd = exec.Command(rg.program, "schedule", "--metrics-port=9464")
	in.cmd.Dir = rg.root
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WAGTAILCROFT_SETTINGS=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = in.logs, in.logs
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		abort("%v", err)
	}
	rg.rec.add("instance %s starts", in.name)
}

func (rg *rig) stopAll() {
	for _, in := range rg.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	}
}
