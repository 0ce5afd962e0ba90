package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	// gangTimeout is gangTimeoutMs.
	gangTimeout = 3 * time.Second
	host        = "nony24.example"
	service     = "huvo11a"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	// runnerPort is outside the range from which the system picks ports of outgoing connections.
	runnerPort = "8080"
)

// guaranteed is the number of GPUs that are guaranteed to the tenant.
var guaranteed = 8

type (
	// event is what a runner tells.
	event struct {
		At     int64  `json:"at"`
		Runner string `json:"runner"`
		Event  string `json:"event"`
		Task   string `json:"task"`
		Run    int64  `json:"run"`
		How    string `json:"how"`
	}

	// world is one play: the store and the clients in this process, the instances and the runners as
	// processes of their own.
	world struct {
		program, dir string
		began        time.Time
		store        *store
		storeAddress string
		// nobody is an address at which nothing listens.
		nobody string

		mu        sync.Mutex
		record    *os.File
		events    []event
		instances []*instance
		runners   []*runnerProcess
	}

	instance struct {
		name, front, settings string
		cmd                   *exec.Cmd
	}

	runnerProcess struct {
		id, rack string
		// address is that of a proxy, through which instances reach the process at own.
		address, own string
		proxy        *proxy
		cmd          *exec.Cmd
	}

	route struct {
		Name           string  `json:"name"`
		Host           string  `json:"host"`
		PathPrefix     string  `json:"pathPrefix"`
		Kind           string  `json:"kind"`
		TimeoutMs      int     `json:"timeoutMs"`
		ObjectiveMs    int     `json:"objectiveMs"`
		Priority       int     `json:"priority"`
		Service        string  `json:"service"`
		MaxAttempts    int     `json:"maxAttempts"`
		Stretch        float64 `json:"stretch"`
		AllowAnonymous bool    `json:"allowAnonymous"`
	}
)

func encode64(value []byte) string { return base64.StdEncoding.EncodeToString(value) }

func readAll(rq *http.Request) []byte {
	text, _ := io.ReadAll(rq.Body)
	return text
}

func writeJSON(wr http.ResponseWriter, status int, body map[string]any) {
	text, _ := json.Marshal(body)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_, _ = wr.Write(text)
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		panic(cannotRun{})
	}
}

// cannotRun ends a play that could not run.
type cannotRun struct{}

// freeHosts returns loopback addresses on which the ports of an instance and of a runner are free.
func freeHosts(count int) []string {
	var free []string
	for tries := 0; len(free) < count; tries++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(150), 1+rand.IntN(250), 1+rand.IntN(250))
		taken := false
		for _, port := range []string{"8521", "8523", "8526", "7000", "9464", runnerPort} {
			ln, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				taken = true
				break
			}
			_ = ln.Close()
		}
		if !taken {
			free = append(free, ip)
		}
		if tries > 1000 {
			check(fmt.Errorf("no loopback address is free"))
		}
	}
	return free
}

// newWorld starts the store, runners and instances, and waits until the instances are ready.
func newWorld(pl place, routes []route, instances, runners int) *world {
	wo := &world{program: pl.program, dir: pl.dir, began: time.Now(), store: newStore()}
	var err error
	wo.record, err = os.Create(pl.record)
	check(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	wo.storeAddress = ln.Addr().String()
	go func() { _ = http.Serve(ln, wo.store.handler()) }()
	wo.configure(1, routes)
	hosts := freeHosts(instances + 1)
	wo.nobody = net.JoinHostPort(hosts[instances], runnerPort)
	wo.addRunners(runners)
	for i, ip := range hosts[:instances] {
		wo.startInstance(i, ip)
	}
	for _, in := range wo.instances {
		wo.await(10*time.Second, in.name+" is ready", func() bool {
			status, _ := wo.call(in, http.MethodGet, routes[0].PathPrefix, "")
			return status == http.StatusOK
		})
	}
	time.Sleep(3 * time.Second) // the leader meets the runners
	return wo
}

func (wo *world) note(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	_, _ = fmt.Fprintf(wo.record, "%8.3f  %s\n", time.Since(wo.began).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes a version of the configuration, as the operator does.
func (wo *world) configure(version int, routes []route) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]any{"gpu": guaranteed}}},
	})
	wo.store.put("op", "config", value)
	var names []string
	for _, ro := range routes {
		names = append(names, ro.Name+" at "+ro.PathPrefix)
	}
	wo.note("operator: configuration %d acknowledged, routes %s", version, strings.Join(names, ", "))
}

// addRunners adds empty runners, six to a rack.
func (wo *world) addRunners(count int) {
	hosts := freeHosts(2 * count)
	for i := range count {
		at := len(wo.runners)
		ru := &runnerProcess{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+at), rack: fmt.Sprintf("r1-%d", at/6),
			address: net.JoinHostPort(hosts[2*i], runnerPort), own: net.JoinHostPort(hosts[2*i+1], runnerPort),
		}
		ru.proxy = newProxy(ru.address, ru.own)
		wo.mu.Lock()
		wo.runners = append(wo.runners, ru)
		wo.mu.Unlock()
		wo.startRunner(ru)
	}
}

// runner returns the runner with an id.
func (wo *world) runner(id string) *runnerProcess {
	wo.mu.Lock()
	all := wo.runners
	wo.mu.Unlock()
	for _, ru := range all {
		if ru.id == id {
			return ru
		}
	}
	check(fmt.Errorf("no runner %q", id))
	return nil
}

// cut cuts a runner off from all instances, or ends that. It runs on, and reaches the store.
func (wo *world) cut(ru *runnerProcess, on bool) {
	ru.proxy.set(on)
	wo.note("runner %s is cut off from the instances: %v", ru.id, on)
}

func (wo *world) startRunner(ru *runnerProcess) {
	self, err := os.Executable()
	check(err)
	ru.cmd = exec.Command(self, "runner", "-id", ru.id, "-address", ru.address, "-listen", ru.own, "-store", wo.storeAddress, "-service", service, "-rack", ru.rack)
	ru.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := ru.cmd.StdoutPipe()
	check(err)
	check(ru.cmd.Start())
	wo.note("runner %s starts", ru.id)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var ev event
			if json.Unmarshal(lines.Bytes(), &ev) != nil {
				continue
			}
			wo.note("runner %s: %s %s run %d %s", ev.Runner, ev.Event, ev.Task, ev.Run, ev.How)
			wo.mu.Lock()
			wo.events = append(wo.events, ev)
			wo.mu.Unlock()
		}
	}()
}

// crash kills the process of a runner.
func (wo *world) crash(ru *runnerProcess) {
	_ = ru.cmd.Process.Kill()
	_ = ru.cmd.Wait()
	wo.note("runner %s was killed", ru.id)
}

// tell asks a runner to behave in another way.
func (wo *world) tell(ru *runnerProcess, what string) {
	rs, err := http.Post("http://"+ru.own+"/stand-in/"+what, "", nil)
	check(err)
	_ = rs.Body.Close()
}

// fail makes all tasks at work fail whose names begin so.
func (wo *world) fail(prefix string) {
	wo.note("the tasks of %s fail", prefix)
	for _, ru := range wo.runners {
		wo.tell(ru, "fail/"+prefix)
	}
}

// finish makes all tasks at work end "done" whose names begin so.
func (wo *world) finish(prefix string) {
	wo.note("the tasks of %s are done", prefix)
	for _, ru := range wo.runners {
		wo.tell(ru, "finish/"+prefix)
	}
}

const settingsText = `nodeName = "%[1]s"
role = "scheduler"
machineClass = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "kochi"
region = "kerala"
internalPorts = [7000,7015]
seeds = ["%[2]s:8526"]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
controlMode = "call"
advice = "%[4]s"
[zones]
kochi = "kerala"
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
address = "%[3]s"
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
address = "%[4]s"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`

// startInstance starts an instance with the command of the deploy file.
func (wo *world) startInstance(i int, ip string) {
	in := &instance{name: fmt.Sprintf("front-kochi-%d", i+1), front: ip + ":8521"}
	in.settings = filepath.Join(wo.dir, in.name+".toml")
	// Nothing listens at the address of the machine service and of the advice service; they aren't used.
	check(os.WriteFile(in.settings, fmt.Appendf(nil, settingsText, in.name, ip, wo.storeAddress, wo.nobody), 0o600))
	in.cmd = exec.Command(wo.program, "schedule", "--metrics-port=9464")
	in.cmd.Env = append(os.Environ(), "WAGTAILCROFT_SETTINGS="+in.settings)
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(wo.dir, in.name+".log"))
	check(err)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	check(in.cmd.Start())
	wo.instances = append(wo.instances, in)
	wo.note("instance %s starts", in.name)
}

// call makes one call of a client to an instance.
func (wo *world) call(in *instance, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, bytes.NewReader([]byte(body)))
	check(err)
	rq.Host = host
	rq.Header.Set("Authorization", "Bearer "+apiKey)
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("X-Wagtailcroft-Deadline-Ms", "3000")
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = rs.Body.Close() }()
	text, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, string(text)
}

// submit hands a job in and makes sure that it was accepted.
func (wo *world) submit(prefix, id, body string) time.Time {
	for try := range 5 {
		status, answer := wo.call(wo.instances[try%len(wo.instances)], http.MethodPost, prefix+id, body)
		wo.note("client: POST %s%s %s -> %d %s", prefix, id, body, status, answer)
		if status/100 == 2 {
			return time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	check(fmt.Errorf("job %s was not accepted", id))
	return time.Time{}
}

// state asks an instance for the state of a job.
func (wo *world) state(i int, prefix, id string) string {
	status, answer := wo.call(wo.instances[i%len(wo.instances)], http.MethodGet, prefix+id, "")
	wo.note("client: GET %s%s at %s -> %d %s", prefix, id, wo.instances[i%len(wo.instances)].name, status, answer)
	var st struct{ State string }
	_ = json.Unmarshal([]byte(answer), &st)
	return st.State
}

// of returns the events of a kind of a job; an empty kind means all.
func (wo *world) of(job, kind string) []event {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var all []event
	for _, ev := range wo.events {
		if strings.HasPrefix(ev.Task, job+".") && (kind == "" || ev.Event == kind) {
			all = append(all, ev)
		}
	}
	return all
}

func (wo *world) await(most time.Duration, what string, holds func() bool) {
	for until := time.Now().Add(most); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			check(fmt.Errorf("not within %v: %s", most, what))
		}
	}
}

// end ends all processes.
func (wo *world) end() {
	for _, in := range wo.instances {
		_ = in.cmd.Process.Kill()
		_ = in.cmd.Wait()
	}
	for _, ru := range wo.runners {
		_ = ru.cmd.Process.Kill()
		_ = ru.cmd.Wait()
	}
}
