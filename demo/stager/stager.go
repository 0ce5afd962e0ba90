// Package stager stages step jobs: instances of the scheduler and the stand-in of the users'
// platform on loopback, the work of a deployment, and the death of the holder in its midst.
package stager

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
	// servingWait is how long the instances may take until they serve.
	servingWait = 10 * time.Second
	// endWait is how long all jobs may take: several waves of the longest, of 1.5 s.
	endWait   = 40 * time.Second
	pollPause = 50 * time.Millisecond
)

type (
	// Job is a kind of job and how many of it are handed in.
	Job struct {
		Queue string
		Count int
		Steps []wire.StepBody
		Time  time.Duration
	}

	// Play is the work of a deployment.
	Play struct {
		Name string
		Jobs []Job
	}

	// Line is one line of what happened.
	Line struct {
		What        string
		Asked, Done int
		Detail      string
	}

	// Stage is a platform with instances on it.
	Stage struct {
		site      *fleet.Site
		instances []*instance
		client    *http.Client
		next      int
	}

	// instance is one process of the system, as far as loopback goes.
	instance struct {
		name      string
		callers   string
		operators string
		listeners []net.Listener
		servers   []*http.Server
		cancel    context.CancelFunc
		ended     chan struct{}
	}
)

// Play hands the work in, kills the holder once all is accepted, and waits until every job
// has completed. An error tells what was not whole.
func (pl Play) Play(ctx context.Context, log io.Writer) ([]Line, error) {
	st, err := open(log)
	if err != nil {
		return nil, err
	}
	defer st.close()
	st.site.Configure(pl.configuration())
	if err := st.serving(ctx); err != nil {
		return nil, err
	}
	sent, err := st.handIn(ctx, pl)
	if err != nil {
		return nil, err
	}
	lines := []Line{{What: "accepted", Asked: len(sent), Done: len(sent)}}
	former, err := st.holder(ctx)
	if err != nil {
		return lines, err
	}
	st.instances[former].end()
	began := time.Now()
	took, err := st.nextHolder(ctx, former, began)
	lines = append(lines, Line{What: "another instance decides", Asked: 1, Done: done(err), Detail: fmt.Sprintf("%d ms after the holder's death", took.Milliseconds())})
	if err != nil {
		return lines, err
	}
	completed, err := st.await(ctx, sent, (former+1)%instances)
	lines = append(lines, Line{What: "completed", Asked: len(sent), Done: completed, Detail: fmt.Sprintf("%d tasks were started", st.site.Runs())})
	if broken := st.site.Violations(); len(broken) > 0 {
		return lines, eris.Errorf("broken rules: %v", broken)
	}
	return lines, err
}

func done(err error) int {
	if err != nil {
		return 0
	}
	return 1
}

// configuration has a queue for each kind of job, the first of which is urgent.
func (pl Play) configuration() wire.Config {
	co := wire.Config{
		Version: 1, Services: []wire.Service{{Name: fleet.Pool}},
		Tenants: []wire.Tenant{{Name: "demo", APIKeys: []string{"key-of-demo"}, Guaranteed: wire.Guaranteed{Gpu: workers * 4}}},
	}
	for i, jo := range pl.Jobs {
		co.Routes = append(co.Routes, wire.Route{
			Name: jo.Queue, Host: fleet.Host, PathPrefix: "/" + jo.Queue + "/", Service: fleet.Pool, TimeoutMs: 3000,
			ObjectiveMs: 1000, Stretch: 3, Priority: i, MaxAttempts: 3,
		})
	}
	return co
}

func open(log io.Writer) (*Stage, error) {
	site, err := fleet.Listen(fleet.Options{
		Runners: workers, PerRack: perRack, MaxLease: 10 * time.Second, Drain: 2 * time.Second, GangTimeout: 3 * time.Second,
		Room: workload.Room{CPU: 64000, Memory: 128000, Accelerators: 8},
	})
	if err != nil {
		return nil, err
	}
	st := &Stage{site: site, client: &http.Client{Timeout: 3 * time.Second}}
	for i := range instances {
		in, err := st.begin(fmt.Sprintf("entry-%d", i), log)
		if err != nil {
			st.close()
			return nil, err
		}
		st.instances = append(st.instances, in)
	}
	return st, nil
}

// begin starts an instance on ports of its own.
func (st *Stage) begin(name string, log io.Writer) (*instance, error) {
	in := &instance{name: name, ended: make(chan struct{})}
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
		MetricsAddress: addresses[2], PeerAddress: addresses[3], StoreAddress: st.site.StoreAt, AdviceAddress: st.site.AdviceAt,
		MachinesAddress: st.site.MachinesAt, MemoryLimit: memoryLimit, LeaseMillis: 10_000, LeaseOfDutyMillis: 3000,
		TakeoverMillis: 2250, UnconfirmedMillis: 3750, GraceMillis: 4800, RetentionMillis: 240_000, StopGraceMillis: 900,
	}, participant.Outside{
		Clock: clock.New(), Log: zerolog.New(log), Meters: instrumenter.New(), Tracer: tracer.Nop(), Dial: (&net.Dialer{}).DialContext,
	})
	for i, handler := range []http.Handler{pa.Callers(), pa.Readiness(), pa.Operators()} {
		sv := &http.Server{Handler: handler, ReadHeaderTimeout: servingWait}
		in.servers = append(in.servers, sv)
		go func() { _ = sv.Serve(in.listeners[i]) }() // ends with the instance
	}
	go func() { _ = pa.ServePeers(&severer{Listener: in.listeners[3]}) }() // ends with the instance
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	go func() {
		defer close(in.ended)
		pa.Run(ctx, nil)
	}()
	return in, nil
}

// end is the death of an instance: all that it served breaks off.
func (in *instance) end() {
	for _, sv := range in.servers {
		_ = sv.Close() // nothing is left to do where that fails
	}
	_ = in.listeners[3].Close()
	in.cancel()
	<-in.ended
}

func (st *Stage) close() {
	for _, in := range st.instances {
		in.end()
	}
	st.site.Close()
}

// serving waits until an instance decides.
func (st *Stage) serving(ctx context.Context) error {
	return until(ctx, servingWait, "no instance decides", func() bool {
		_, err := st.holder(ctx)
		return err == nil
	})
}

// holder asks who decides.
func (st *Stage) holder(ctx context.Context) (int, error) {
	for at, in := range st.instances {
		var status operator.Status
		if code, err := st.get(ctx, in.operators, "/v1/status", &status); err != nil || code != http.StatusOK {
			continue
		}
		for _, view := range status.Instances {
			if view.Scheduler && view.Instance == identifier.Instance(in.name) {
				return at, nil
			}
		}
	}
	return 0, eris.New("no instance decides; look at its log with --verbose")
}

func (st *Stage) nextHolder(ctx context.Context, former int, began time.Time) (time.Duration, error) {
	err := until(ctx, servingWait, "no other instance decides", func() bool {
		at, err := st.holder(ctx)
		return err == nil && at != former
	})
	return time.Since(began), err
}

// handIn submits every job, each to another instance.
func (st *Stage) handIn(ctx context.Context, pl Play) ([]fleet.Job, error) {
	var sent []fleet.Job
	for _, kind := range pl.Jobs {
		for range kind.Count {
			st.next++
			jo := fleet.Job{
				ID: fmt.Sprintf("%016x", st.next), Queue: "/" + kind.Queue + "/", Key: "key-of-demo", Work: fleet.Work{Time: kind.Time},
				Body: wire.JobBody{Spec: kind.Queue, Steps: kind.Steps},
			}
			st.site.Expect(jo)
			if err := st.submit(ctx, st.instances[st.next%instances], jo); err != nil {
				return sent, err
			}
			sent = append(sent, jo)
		}
	}
	return sent, nil
}

func (st *Stage) submit(ctx context.Context, in *instance, jo fleet.Job) error {
	body, err := json.Marshal(jo.Body)
	if err != nil {
		return err
	}
	rs, err := st.call(ctx, http.MethodPost, in.callers, jo.Queue+jo.ID, jo.Key, body)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }() // the status says all
	if rs.StatusCode != http.StatusOK {
		return eris.Errorf("job %s was answered with %s", jo.ID, rs.Status)
	}
	return nil
}

// await counts the jobs that complete in time, by the word of one instance.
func (st *Stage) await(ctx context.Context, sent []fleet.Job, at int) (int, error) {
	completed := 0
	err := until(ctx, endWait, "not all jobs have completed", func() bool {
		completed = 0
		for _, jo := range sent {
			if st.state(ctx, st.instances[at], jo) == "completed" {
				completed++
			}
		}
		return completed == len(sent)
	})
	return completed, err
}

func (st *Stage) state(ctx context.Context, in *instance, jo fleet.Job) string {
	rs, err := st.call(ctx, http.MethodGet, in.callers, jo.Queue+jo.ID, jo.Key, nil)
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

func (st *Stage) get(ctx context.Context, address, path string, into any) (int, error) {
	rs, err := st.call(ctx, http.MethodGet, address, path, "", nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = rs.Body.Close() }() // the body has been read
	return rs.StatusCode, json.NewDecoder(rs.Body).Decode(into)
}

func (st *Stage) call(ctx context.Context, method, address, path, key string, body []byte) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		rq.Host = fleet.Host
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	return st.client.Do(rq)
}

// until asks again and again, with a pause, until it is so.
func until(ctx context.Context, most time.Duration, otherwise string, so func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !so() {
		if !clock.Sleep(ctx, clock.New(), clock.FromDuration(pollPause)) {
			return eris.Errorf("%s within %v; look at the log with --verbose", otherwise, most)
		}
	}
	return nil
}
