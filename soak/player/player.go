// Package player plays random faults on real processes of wagtailcroftd, with real sockets and clocks, and
// checks what the workers and the callers see.
package player

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/soak/launcher"
	"github.com/wagtailcroft/wagtailcroft/soak/relayer"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

const (
	instances   = 3
	runners     = 6
	key         = "soak-key"
	settleTime  = 3 * clock.Second
	healTime    = 45 * clock.Second
	callTimeout = 3 * clock.Second
	// maxLease and the times below are those of the smaller deployments.
	maxLease    = 10 * clock.Second
	drainTime   = 6 * clock.Second
	gangTimeout = 3 * clock.Second
	submits     = 4
)

// queues are the names of the queues by priority; each has its name as its path.
var queues = []string{"urgent", "normal", "batch"}

type (
	// Options are the settings of a play.
	Options struct {
		// Program is the path of wagtailcroftd, and Dir the folder for settings and logs.
		Program, Dir string
		Seed         uint64
		// Length is the time for which jobs come and faults happen.
		Length clock.Millis
	}

	// play is one play.
	play struct {
		Options
		rnd       *rand.Rand
		sr        *fleet.Server
		workers   []*relayer.Relayer
		stores    []*relayer.Relayer
		instances []*launcher.Instance
		client    *http.Client
		// storeFaults is the number of faults of the store in progress.
		storeFaults atomic.Int64

		mu sync.Mutex
		// accepted holds the jobs that were accepted, and broken what was seen of broken rules; both are
		// guarded by mu.
		accepted []fleet.Job
		broken   []string
		trace    *os.File
	}
)

// Play plays one seed and returns the broken rules.
func Play(op Options) ([]string, error) {
	if err := os.MkdirAll(op.Dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "cannot create the folder of a play")
	}
	pl := &play{Options: op, rnd: rand.New(rand.NewPCG(op.Seed, 1)), client: &http.Client{Timeout: callTimeout.Duration()}} //nolint:gosec // draws faults
	if err := pl.setUp(); err != nil {
		return nil, err
	}
	defer pl.tearDown()
	var clients sync.WaitGroup
	for end := time.Now().Add(op.Length.Duration()); time.Now().Before(end); {
		for range pl.rnd.IntN(submits) {
			jo := pl.draw()
			at := pl.rnd.IntN(instances)
			clients.Go(func() { pl.submit(jo, at) })
		}
		pl.disturb()
		time.Sleep(time.Duration(200+pl.rnd.IntN(900)) * time.Millisecond)
	}
	clients.Wait()
	pl.heal()
	pl.awaitJobs()
	return append(pl.broken, pl.sr.Violations()...), nil
}

// setUp starts the platform and the instances.
func (pl *play) setUp() error {
	trace, err := os.Create(filepath.Join(pl.Dir, "workers.log"))
	if err != nil {
		return eris.Wrap(err, "cannot create the log of the workers")
	}
	pl.trace = trace
	pl.sr, err = fleet.Listen(fleet.Options{
		RunnerCount: runners, RunnersPerRack: 3, MaxLease: maxLease.Duration(), DrainTime: drainTime.Duration(), GangTimeout: gangTimeout.Duration(),
		Capacity: workload.Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
		Wrap: func(next http.Handler) http.Handler {
			re := relayer.New(next, pl.Seed+uint64(len(pl.workers)))
			pl.workers = append(pl.workers, re)
			return re
		},
	})
	if err != nil {
		return err
	}
	pl.sr.Trace = func(line string) { pl.log("%s", line) }
	pl.sr.Configure(config())
	base := int(pl.Seed*instances)%60_000 + os.Getpid()%7*60_000
	for i := 0; len(pl.instances) < instances; i++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 40+(base+i)/62_500, (base+i)/250%250, 2+(base+i)%250)
		if !launcher.Free(ip) {
			continue
		}
		if err := pl.addInstance(fmt.Sprintf("front-%d", len(pl.instances)), ip); err != nil {
			return err
		}
	}
	for _, in := range pl.instances {
		if err := in.AwaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime.Duration())
	return nil
}

// addInstance starts an instance, with a relayer of its own to the store.
func (pl *play) addInstance(name, ip string) error {
	re := relayer.New(pl.sr.Store, pl.Seed+uint64(len(pl.stores)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "cannot listen on the loopback interface")
	}
	go func() { _ = http.Serve(ln, re) }() //nolint:gosec // it ends with this process
	in, err := launcher.New(pl.Program, pl.Dir, name, ip, "z0", ln.Addr().String(), launcher.SmallMachine)
	if err != nil {
		return err
	}
	pl.stores, pl.instances = append(pl.stores, re), append(pl.instances, in)
	return in.Start()
}

func (pl *play) tearDown() {
	for _, in := range pl.instances {
		in.Kill()
	}
	pl.sr.Close()
	_ = pl.trace.Close()
}

func config() wire.Config {
	routes := make([]wire.Route, 0, len(queues))
	for at, name := range queues {
		routes = append(routes, wire.Route{
			Name: name, Host: fleet.Host, PathPrefix: "/" + name + "/", Service: fleet.Pool, TimeoutMs: 3000, ObjectiveMs: 1000, Stretch: 3, Priority: at, MaxAttempts: 3,
		})
	}
	return wire.Config{
		Version: 1, Routes: routes, Services: []wire.Service{{Name: fleet.Pool}},
		Tenants: []wire.Tenant{{Name: "soak", APIKeys: []string{key}, Guaranteed: wire.Guaranteed{Gpu: 8}}},
	}
}

// draw draws a job and announces it to the workers.
func (pl *play) draw() fleet.Job {
	st := wire.StepBody{Count: 1 + pl.rnd.IntN(6), CPU: 4000, MemMb: 4000, Gpu: int32(1 + pl.rnd.IntN(4)), EstimateMs: 2000, Checkpointing: pl.rnd.IntN(2) == 0}
	if pl.rnd.IntN(3) == 0 {
		st.Count, st.Gang = 2+pl.rnd.IntN(2), true
	}
	steps := []wire.StepBody{st}
	if pl.rnd.IntN(3) == 0 {
		steps = append(steps, wire.StepBody{Count: 1, CPU: 1000, MemMb: 1000, EstimateMs: 1000, DependsOn: []int{0}})
	}
	jo := fleet.Job{
		ID: fmt.Sprintf("%016x", pl.rnd.Uint64()), Queue: "/" + queues[pl.rnd.IntN(len(queues))] + "/", Key: key,
		Body: wire.JobBody{Spec: "soak", Steps: steps}, Behavior: fleet.Behavior{RunTime: time.Duration(200+pl.rnd.IntN(5000)) * time.Millisecond},
	}
	pl.sr.RegisterJob(jo)
	return jo
}

// call makes a call to an instance and returns the status, or 0 without an answer.
func (pl *play) call(at int, method string, jo fleet.Job, body, answer any) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	rq, err := http.NewRequestWithContext(context.Background(), method, pl.instances[at].URL()+jo.Queue+jo.ID, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	rq.Host = fleet.Host
	rq.Header.Set("Authorization", "Bearer "+jo.Key)
	rs, err := pl.client.Do(rq)
	if err != nil {
		return 0
	}
	defer func() { _ = rs.Body.Close() }()
	if answer != nil {
		_ = json.NewDecoder(rs.Body).Decode(answer) // an answer that is no JSON has an empty state
	}
	return rs.StatusCode
}

// submit submits a job as a client does, which repeats it at the next instance.
func (pl *play) submit(jo fleet.Job, at int) {
	refused := true
	for i := range submits {
		switch status := pl.call((at+i)%instances, http.MethodPost, jo, jo.Body, nil); status {
		case http.StatusOK:
			pl.mu.Lock()
			defer pl.mu.Unlock()
			pl.accepted = append(pl.accepted, jo)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			refused = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	if refused {
		pl.sr.RecordRefused(jo.ID)
	}
}

// awaitJobs waits until all accepted jobs have completed.
func (pl *play) awaitJobs() {
	left := pl.accepted
	states := map[string]string{}
	for end := time.Now().Add(healTime.Duration()); len(left) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var next []fleet.Job
		for _, jo := range left {
			var answer wire.StateBody
			status := pl.call(pl.rnd.IntN(instances), http.MethodGet, jo, struct{}{}, &answer)
			states[jo.ID] = fmt.Sprintf("%d %s", status, answer.State)
			if answer.State != "completed" {
				next = append(next, jo)
			}
		}
		left = next
	}
	for _, jo := range left {
		pl.broken = append(pl.broken, fmt.Sprintf("LOST: job %s was accepted, and is %q %v after the last fault", jo.ID, states[jo.ID], healTime.Duration()))
	}
	pl.log("%d jobs accepted, %d runs started", len(pl.accepted), pl.sr.StartCount())
}

func (pl *play) log(format string, args ...any) {
	_, _ = fmt.Fprintf(pl.trace, "time=%s "+format+"\n", append([]any{time.Now().UTC().Format("2006-01-02T15:04:05.000Z")}, args...)...) // a log line
}
