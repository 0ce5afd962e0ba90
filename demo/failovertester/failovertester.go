// Package failovertester runs step jobs on loopback. It starts instances of the scheduler
// and the stand-in of the users' platform, submits the workload of a deployment, and kills
// the leader while the jobs run.
package failovertester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/instrumenter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/participant"
)

const (
	instances   = 3
	workers     = 12
	perRack     = 6
	memoryLimit = 256 << 20
	// leaderTimeout is the maximum time until an instance becomes the leader. It also limits
	// the time for reading the header of a call.
	leaderTimeout = 10 * time.Second
	// completionTimeout is the maximum time until all jobs have completed. It allows for
	// several rounds of the longest jobs, which run for 1.5 s.
	completionTimeout = 40 * time.Second
	pollPause         = 50 * time.Millisecond
)

type (
	// Job describes a kind of job and how many are submitted.
	Job struct {
		Queue   string
		Count   int
		Steps   []wire.StepBody
		RunTime time.Duration
	}

	// Workload is the workload of a deployment.
	Workload struct {
		Name string
		Jobs []Job
	}

	// Result is one line of the results: how many operations were attempted and how many of
	// them succeeded.
	Result struct {
		Operation            string
		Attempted, Succeeded int
		Detail               string
	}

	// cluster is a platform stand-in with instances of the scheduler.
	cluster struct {
		server    *fleet.Server
		instances []*instance
		client    *http.Client
		next      int
	}

	// instance stands for one process of the system. It runs within this process and serves
	// on its own ports.
	instance struct {
		name      string
		callers   string
		operators string
		listeners []net.Listener
		servers   []*http.Server
		cancel    context.CancelFunc
		exited    chan struct{}
	}
)

// Run submits the workload, kills the leader once all jobs are accepted, and waits until
// every job has completed. It returns an error if a job did not complete or a rule of the
// platform was broken.
func (wl Workload) Run(ctx context.Context, log io.Writer) ([]Result, error) {
	cl, err := newCluster(log)
	if err != nil {
		return nil, err
	}
	defer cl.close()
	cl.server.Configure(wl.config())
	if err := cl.awaitLeader(ctx); err != nil {
		return nil, err
	}
	sent, err := cl.submitAll(ctx, wl)
	if err != nil {
		return nil, err
	}
	results := []Result{{Operation: "accepted", Attempted: len(sent), Succeeded: len(sent)}}
	former, err := cl.leader(ctx)
	if err != nil {
		return results, err
	}
	cl.instances[former].kill()
	began := time.Now()
	took, err := cl.awaitNextLeader(ctx, former, began)
	results = append(results, Result{Operation: "new leader elected", Attempted: 1, Succeeded: successCount(err), Detail: fmt.Sprintf("%d ms after the leader was killed", took.Milliseconds())})
	if err != nil {
		return results, err
	}
	completed, err := cl.awaitCompleted(ctx, sent, (former+1)%instances)
	results = append(results, Result{Operation: "completed", Attempted: len(sent), Succeeded: completed, Detail: fmt.Sprintf("%d tasks started", cl.server.StartCount())})
	if broken := cl.server.Violations(); len(broken) > 0 {
		return results, eris.Errorf("broken rules: %v", broken)
	}
	return results, err
}

// successCount returns 1 if err is nil, and 0 otherwise.
func successCount(err error) int {
	if err != nil {
		return 0
	}
	return 1
}

// config returns a configuration with a queue for each kind of job. The first queue is
// urgent.
func (wl Workload) config() wire.Config {
	co := wire.Config{
		Version: 1, Services: []wire.Service{{Name: fleet.Pool}},
		Tenants: []wire.Tenant{{Name: "demo", APIKeys: []string{"key-of-demo"}, Guaranteed: wire.Guaranteed{Gpu: workers * 4}}},
	}
	for i, jo := range wl.Jobs {
		co.Routes = append(co.Routes, wire.Route{
			Name: jo.Queue, Host: fleet.Host, PathPrefix: "/" + jo.Queue + "/", Service: fleet.Pool, TimeoutMs: 3000,
			ObjectiveMs: 1000, Stretch: 3, Priority: i, MaxAttempts: 3,
		})
	}
	return co
}

// newCluster starts the platform stand-in and the instances.
func newCluster(log io.Writer) (*cluster, error) {
	server, err := fleet.Listen(fleet.Options{
		RunnerCount: workers, RunnersPerRack: perRack, MaxLease: 10 * time.Second, DrainTime: 2 * time.Second, GangTimeout: 3 * time.Second,
		Capacity: workload.Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
	})
	if err != nil {
		return nil, err
	}
	cl := &cluster{server: server, client: &http.Client{Timeout: 3 * time.Second}}
	for i := range instances {
		in, err := cl.startInstance(fmt.Sprintf("entry-%d", i), log)
		if err != nil {
			cl.close()
			return nil, err
		}
		cl.instances = append(cl.instances, in)
	}
	return cl, nil
}

// startInstance starts an instance on its own ports.
func (cl *cluster) startInstance(name string, log io.Writer) (*instance, error) {
	in := &instance{name: name, exited: make(chan struct{})}
	var addresses []string
	for range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "listen on loopback; free some ports")
		}
		in.listeners = append(in.listeners, ln)
		addresses = append(addresses, ln.Addr().String())
	}
	in.callers, in.operators = addresses[0], addresses[2]
	pa := participant.New(member.Settings{
		Instance: identifier.Instance(name), Zone: "demo", CallerAddress: addresses[0], ReadinessAddress: addresses[1],
		MetricsAddress: addresses[2], PeerAddress: addresses[3], StoreAddress: cl.server.StoreAddress, AdviceAddress: cl.server.AdviceAddress,
		MachinesAddress: cl.server.MachinesAddress, MemoryLimit: memoryLimit, LeaseMillis: 10_000, LeadershipLeaseMillis: 3000,
		TakeoverTimeoutMillis: 2250, UnconfirmedMillis: 3750, GraceMillis: 4800, RetentionMillis: 240_000, StopGraceMillis: 900, GangTimeoutMillis: 3000, MaxPolls: 256, RowLimit: 65_536,
	}, participant.Dependencies{
		Clock: clock.New(), Log: zerolog.New(log), Metrics: instrumenter.New(), Tracer: tracer.Nop(), Dial: (&net.Dialer{}).DialContext,
	})
	for i, handler := range []http.Handler{pa.ClientHandler(), pa.ReadinessHandler(), pa.OperatorHandler()} {
		sv := &http.Server{Handler: handler, ReadHeaderTimeout: leaderTimeout}
		in.servers = append(in.servers, sv)
		go func() { _ = sv.Serve(in.listeners[i]) }() // ends with the instance
	}
	go func() { _ = pa.ServePeers(&closingListener{Listener: in.listeners[3]}) }() // ends with the instance
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	go func() {
		defer close(in.exited)
		pa.Run(ctx, nil)
	}()
	return in, nil
}

// kill ends an instance as a kill of its process does: it closes all connections at once.
func (in *instance) kill() {
	for _, sv := range in.servers {
		_ = sv.Close() // nothing is left to do if this fails
	}
	_ = in.listeners[3].Close()
	in.cancel()
	<-in.exited
}

func (cl *cluster) close() {
	for _, in := range cl.instances {
		in.kill()
	}
	cl.server.Close()
}

// awaitLeader waits until an instance is the leader.
func (cl *cluster) awaitLeader(ctx context.Context) error {
	return poll(ctx, leaderTimeout, "no instance became the leader", func() bool {
		_, err := cl.leader(ctx)
		return err == nil
	})
}

// leader returns the index of the instance that is the leader, according to its own status.
func (cl *cluster) leader(ctx context.Context) (int, error) {
	for at, in := range cl.instances {
		var status operator.Status
		if code, err := cl.get(ctx, in.operators, "/v1/status", &status); err != nil || code != http.StatusOK {
			continue
		}
		for _, view := range status.Instances {
			if view.Scheduler && view.Instance == identifier.Instance(in.name) {
				return at, nil
			}
		}
	}
	return 0, eris.New("no instance is the leader; see the log with --verbose")
}

// awaitNextLeader waits until an instance other than the former leader is the leader, and
// returns the time since began.
func (cl *cluster) awaitNextLeader(ctx context.Context, former int, began time.Time) (time.Duration, error) {
	err := poll(ctx, leaderTimeout, "no other instance became the leader", func() bool {
		at, err := cl.leader(ctx)
		return err == nil && at != former
	})
	return time.Since(began), err
}

// submitAll submits all jobs, to the instances in turn.
func (cl *cluster) submitAll(ctx context.Context, wl Workload) ([]fleet.Job, error) {
	var sent []fleet.Job
	for _, kind := range wl.Jobs {
		for range kind.Count {
			cl.next++
			jo := fleet.Job{
				ID: fmt.Sprintf("%016x", cl.next), Queue: "/" + kind.Queue + "/", Key: "key-of-demo", Behavior: fleet.Behavior{RunTime: kind.RunTime},
				Body: wire.JobBody{Spec: kind.Queue, Steps: kind.Steps},
			}
			cl.server.RegisterJob(jo)
			if err := cl.submit(ctx, cl.instances[cl.next%instances], jo); err != nil {
				return sent, err
			}
			sent = append(sent, jo)
		}
	}
	return sent, nil
}

func (cl *cluster) submit(ctx context.Context, in *instance, jo fleet.Job) error {
	body, err := json.Marshal(jo.Body)
	if err != nil {
		return err
	}
	rs, err := cl.call(ctx, http.MethodPost, in.callers, jo.Queue+jo.ID, jo.Key, body)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }() // only the status is used
	if rs.StatusCode != http.StatusOK {
		return eris.Errorf("submit job %s: status %s", jo.ID, rs.Status)
	}
	return nil
}

// awaitCompleted waits until all jobs have completed, according to one instance, and
// returns how many did in time.
func (cl *cluster) awaitCompleted(ctx context.Context, sent []fleet.Job, at int) (int, error) {
	completed := 0
	err := poll(ctx, completionTimeout, "not all jobs completed", func() bool {
		completed = 0
		for _, jo := range sent {
			if cl.state(ctx, cl.instances[at], jo) == "completed" {
				completed++
			}
		}
		return completed == len(sent)
	})
	return completed, err
}

// state returns the state of a job according to an instance, or the empty string if it did
// not answer.
func (cl *cluster) state(ctx context.Context, in *instance, jo fleet.Job) string {
	rs, err := cl.call(ctx, http.MethodGet, in.callers, jo.Queue+jo.ID, jo.Key, nil)
	if err != nil {
		return ""
	}
	defer func() { _ = rs.Body.Close() }() // the body has been read
	var body wire.StateBody
	if json.NewDecoder(rs.Body).Decode(&body) != nil {
		return ""
	}
	return body.State
}

// get decodes the JSON answer of a call into a value, and returns the status code.
func (cl *cluster) get(ctx context.Context, address, path string, into any) (int, error) {
	rs, err := cl.call(ctx, http.MethodGet, address, path, "", nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rs.Body.Close() }() // the body has been read
	return rs.StatusCode, json.NewDecoder(rs.Body).Decode(into)
}

func (cl *cluster) call(ctx context.Context, method, address, path, key string, body []byte) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		rq.Host = fleet.Host
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	return cl.client.Do(rq)
}

// poll calls condition repeatedly until it returns true. It returns an error with the text
// failure if that takes longer than timeout.
func poll(ctx context.Context, timeout time.Duration, failure string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if !clock.Sleep(ctx, clock.New(), clock.FromDuration(pollPause)) {
			return eris.Errorf("%s within %v; see the log with --verbose", failure, timeout)
		}
	}
	return nil
}
