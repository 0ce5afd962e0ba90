package participant_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/member"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/logger"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/instrumenter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/participant"
)

const (
	urgentPrefix = "/urgent/"
	normalPrefix = "/normal/"
	batchPrefix  = "/batch/"
	// advisedPrefix is the path of a queue whose steps need placement advice.
	advisedPrefix = "/advised/"
	aliceKey      = "alice-key"
	bobKey        = "bob-key"
	// leaseTime and takeoverTimeout are the values of the larger deployment.
	leaseTime       = 10 * time.Second
	takeoverTimeout = 2250 * time.Millisecond
	// maxPolls is what the smallest machine of the deployments may poll at the same time.
	maxPolls = 2944
)

var (
	// zones are the availability zones of the stand-in.
	zones = []string{"z0", "z1"}

	// scenarioLog collects the log of the instances of the current scenario if the environment
	// variable SCENE_LOG is set.
	scenarioLog syncBuffer
)

type (
	// harness runs instances against a simulated cluster in a testing/synctest bubble.
	harness struct {
		t     asserter.TB
		peers *peers
		// electionDelays holds the election delays of instances by name; 0 if not set.
		electionDelays map[string]clock.Millis
		// maxPolls is how many workers an instance that starts may poll at the same time.
		maxPolls  int
		cluster   *fleet.Cluster
		instances []*instance
		// leads holds the instances that were told that they are the leader, by name.
		leads       sync.Map
		config      wire.Config
		jobsCreated int
	}

	// instance is one process of the scheduler.
	instance struct {
		name   string
		pa     *participant.Participant
		cancel context.CancelFunc
		stop   chan struct{}
		ended  chan struct{}
	}

	// syncBuffer is a buffer that is safe for concurrent use.
	syncBuffer struct {
		mu      sync.Mutex
		content bytes.Buffer
	}
)

// runScenario runs fn on a harness with the given number of instances and workers. It stops
// all instances before it returns, and fails the test if the cluster reports a violation.
func runScenario(t *testing.T, instances, runners int, fn func(ha *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { runScenarioInBubble(t, instances, runners, false, fn) })
}

// runUnfencedScenario is like runScenario with workers and machines that check no fencing tokens.
func runUnfencedScenario(t *testing.T, instances, runners int, fn func(ha *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { runScenarioInBubble(t, instances, runners, true, fn) })
}

func runScenarioInBubble(t asserter.TB, instances, runners int, ignoresFences bool, fn func(ha *harness)) {
	ha := &harness{t: t, peers: newPeers(), maxPolls: maxPolls, electionDelays: map[string]clock.Millis{}, cluster: fleet.New(fleet.Options{
		RunnerCount: runners, RunnersPerRack: 4, IgnoresFences: ignoresFences, MaxLease: leaseTime, DrainTime: 6 * time.Second, GangTimeout: 3 * time.Second,
		Capacity: workload.Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
	})}
	ha.config = wire.Config{
		Version: 1,
		Routes: []wire.Route{
			route("urgent", urgentPrefix, 0), route("normal", normalPrefix, 1), route("batch", batchPrefix, 2),
			withAdvice(route("advised", advisedPrefix, 1)),
		},
		Services: []wire.Service{{Name: fleet.Pool}},
		Tenants: []wire.Tenant{
			{Name: "alice", APIKeys: []string{aliceKey}, Guaranteed: wire.Guaranteed{Gpu: int32(8 * runners / 2)}},
			{Name: "bob", APIKeys: []string{bobKey}},
		},
	}
	ha.cluster.Configure(ha.config)
	scenarioLog.Reset()
	if os.Getenv("SCENE_LOG") != "" {
		ha.cluster.Trace = func(line string) {
			_, _ = fmt.Fprintf(&scenarioLog, "ms=%d RUNNER %s\n", time.Now().UnixMilli()%1_000_000, line) // a buffer cannot fail
		}
	}
	for i := range instances {
		ha.instances = append(ha.instances, ha.startInstance(fmt.Sprintf("i-%d", i)))
	}
	defer ha.stopAll()
	if tt, ok := t.(*testing.T); ok {
		defer func() {
			if tt.Failed() || os.Getenv("SCENE_LOG") == "all" {
				_, _ = os.Stderr.WriteString(scenarioLog.String()) // for debugging
			}
		}()
	}
	ha.sleep(3 * time.Second)
	fn(ha)
	for _, violation := range ha.cluster.Violations() {
		t.Fatalf("violation: %s", violation)
	}
}

func route(name, prefix string, priority int) wire.Route {
	return wire.Route{
		Name: name, Host: fleet.Host, PathPrefix: prefix, Service: fleet.Pool, TimeoutMs: 3000, ObjectiveMs: 1000,
		Stretch: 3, Priority: priority, MaxAttempts: 3,
	}
}

func withAdvice(ro wire.Route) wire.Route {
	ro.Advice = &wire.RouteAdvice{DecisionMs: 40, PerWorkerMs: 2, ValidityMs: 3000}
	return ro
}

// startInstance creates an instance and runs it until its cancel function is called.
func (ha *harness) startInstance(name string) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{name: name, cancel: cancel, stop: make(chan struct{}), ended: make(chan struct{})}
	in.pa = participant.New(member.Settings{
		Instance: identifier.Instance(name), StoreAddress: fleet.StoreAddress, MemoryLimit: meter.Bytes(1 << 28),
		AdviceAddress: fleet.AdviceAddress, MachinesAddress: fleet.MachinesAddress, LeadershipLeaseMillis: 3000,
		PeerAddress: name, ElectionDelayMillis: ha.electionDelays[name], LeaseMillis: clock.FromDuration(leaseTime), TakeoverTimeoutMillis: clock.FromDuration(takeoverTimeout),
		UnconfirmedMillis: 3750, GraceMillis: 4800, RetentionMillis: 240_000, StopGraceMillis: 900, GangTimeoutMillis: 3000, MaxPolls: ha.maxPolls, RowLimit: 65_536,
		EvacuateMillis: 4000, Zones: []identifier.Zone{identifier.Zone(zones[0]), identifier.Zone(zones[1])},
	}, participant.Dependencies{Clock: clock.NewRuntime(), Log: instanceLogger(name), Metrics: instrumenter.New(), Transport: ha.cluster.Transport(name), Tracer: tracer.Nop(), Dial: ha.peers.dial,
		LeadershipChanged: func(leading bool) { ha.leads.Store(name, leading) }})
	ln := ha.peers.listen(name)
	go func() {
		<-ctx.Done()
		_ = ln.Close() // cannot fail
	}()
	go func() { asserter.NoError(ha.t, in.pa.ServePeers(ln)) }()
	go func() {
		defer close(in.ended)
		in.pa.Run(ctx, in.stop)
	}()
	return in
}

// Write appends a line.
func (sb *syncBuffer) Write(line []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.content.Write(line)
}

// String returns the content.
func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.content.String()
}

// Reset discards the content.
func (sb *syncBuffer) Reset() {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.content.Reset()
}

// instanceLogger returns a logger that writes to scenarioLog if the environment variable
// SCENE_LOG is set, and discards everything otherwise.
func instanceLogger(name string) zerolog.Logger {
	if os.Getenv("SCENE_LOG") == "" {
		return zerolog.Nop()
	}
	lg, err := logger.New(&scenarioLog, "debug", identifier.Instance(name))
	if err != nil {
		panic(err)
	}
	return lg.Hook(zerolog.HookFunc(func(ev *zerolog.Event, _ zerolog.Level, _ string) {
		ev.Int64("ms", time.Now().UnixMilli()%1_000_000)
	}))
}

// kill stops an instance without a graceful shutdown.
func (ha *harness) kill(at int) {
	in := ha.instances[at]
	in.cancel()
	ha.cluster.StoreOutage(in.name, fleet.Reset) // rejects the calls that it still makes to the store
	<-in.ended
	ha.cluster.StoreOutage(in.name, fleet.NoOutage)
}

// powerOff kills an instance such that the others do not see its connections close.
func (ha *harness) powerOff(at int) {
	ha.peers.makeUnreachable(ha.instances[at].name)
	ha.kill(at)
}

// pause stands an instance's process still for d, from the next call on that it sends.
func (ha *harness) pause(at int, d time.Duration, point fleet.PausePoint) {
	name := ha.instances[at].name
	ha.cluster.Pause(name, point)
	ha.peers.setPaused(name, true)
	time.AfterFunc(d, func() {
		ha.peers.setPaused(name, false)
		ha.cluster.Resume(name)
	})
}

// restart starts a stopped instance again.
func (ha *harness) restart(at int) { ha.instances[at] = ha.startInstance(ha.instances[at].name) }

func (ha *harness) stopAll() {
	for _, in := range ha.instances {
		in.cancel()
		<-in.ended
	}
}

func (ha *harness) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// call makes a client call to an instance.
func (ha *harness) call(at int, method, path, key string, body any) (int, []byte, http.Header) {
	text, err := json.Marshal(body)
	asserter.NoError(ha.t, err)
	rq := httptest.NewRequest(method, path, bytes.NewReader(text))
	rq.GetBody = nil
	rq.Host = fleet.Host
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("X-Wagtailcroft-Deadline-Ms", "3000")
	re := httptest.NewRecorder()
	ha.instances[at].pa.ClientHandler().ServeHTTP(re, rq)
	answer, err := io.ReadAll(re.Result().Body)
	asserter.NoError(ha.t, err)
	return re.Code, answer, re.Header()
}

// job creates a job and announces it to the cluster, but does not submit it.
func (ha *harness) job(prefix string, be fleet.Behavior, steps ...wire.StepBody) fleet.Job {
	ha.jobsCreated++
	jo := fleet.Job{
		ID: fmt.Sprintf("%016x", ha.jobsCreated), Queue: prefix, Key: aliceKey, Behavior: be,
		Body: wire.JobBody{Spec: fmt.Sprintf("payload %d", ha.jobsCreated), Steps: steps},
	}
	jo.Advised = prefix == advisedPrefix
	ha.cluster.RegisterJob(jo)
	return jo
}

func (ha *harness) submit(at int, jo fleet.Job) int {
	status, _, _ := ha.call(at, http.MethodPost, jo.Queue+jo.ID, jo.Key, jo.Body)
	return status
}

// mustSubmit submits a job, which must be accepted.
func (ha *harness) mustSubmit(at int, jo fleet.Job) fleet.Job {
	asserter.Equal(ha.t, ha.submit(at, jo), http.StatusOK)
	return jo
}

// state asks an instance for the state of a job.
func (ha *harness) state(at int, jo fleet.Job) (int, string) {
	status, answer, _ := ha.call(at, http.MethodGet, jo.Queue+jo.ID, jo.Key, struct{}{})
	var body wire.StateBody
	if status == http.StatusOK {
		asserter.NoError(ha.t, json.Unmarshal(answer, &body))
	}
	return status, body.State
}

// awaitState waits until a job is in a state, and returns how long it took.
func (ha *harness) awaitState(at int, jo fleet.Job, want string, within time.Duration) time.Duration {
	began := time.Now()
	for {
		_, got := ha.state(at, jo)
		if got == want {
			return time.Since(began)
		}
		if time.Since(began) > within {
			ha.t.Fatalf("job %s is in state %q after %v, not %q", jo.ID, got, within, want)
		}
		ha.sleep(50 * time.Millisecond)
	}
}

// leader returns the index of the leader.
func (ha *harness) leader() int {
	name := ha.leaderName()
	for i, in := range ha.instances {
		if in.name == name {
			return i
		}
	}
	ha.t.Fatalf("there is no leader")
	return -1
}

func (ha *harness) leaderName() string {
	var leader struct {
		Instance string `json:"instance"`
	}
	if value := ha.cluster.Store.Get("duty", "scheduler"); value != nil {
		asserter.NoError(ha.t, json.Unmarshal(value, &leader))
	}
	return leader.Instance
}

// awaitLeaderOtherThan waits until the store names another leader, and returns its name.
func (ha *harness) awaitLeaderOtherThan(name string) string {
	for ha.leaderName() == name {
		ha.sleep(time.Millisecond)
	}
	return ha.leaderName()
}

// renewals returns how often the leader has renewed its leadership.
func (ha *harness) renewals() int64 {
	var leader struct {
		Renewals int64 `json:"renewals"`
	}
	asserter.NoError(ha.t, json.Unmarshal(ha.cluster.Store.Get("duty", "scheduler"), &leader))
	return leader.Renewals
}

// awaitRenewal waits until the leader has just renewed its leadership.
func (ha *harness) awaitRenewal() {
	before := string(ha.cluster.Store.Get("duty", "scheduler"))
	for string(ha.cluster.Store.Get("duty", "scheduler")) == before {
		ha.sleep(10 * time.Millisecond)
	}
}

// nonLeader returns the index of an instance that is not the leader.
func (ha *harness) nonLeader() int { return (ha.leader() + 1) % len(ha.instances) }

// tasks returns a step of identical tasks.
func tasks(count int, gpu int32) wire.StepBody {
	return wire.StepBody{Count: count, CPU: 4000, MemMb: 4000, Gpu: gpu, EstimateMs: 2000}
}

// asGang returns the step as a gang on one rack.
func asGang(st wire.StepBody) wire.StepBody {
	st.Gang, st.SameRack = true, true
	return st
}

// seconds returns the behavior of tasks that run for s seconds and never fail.
func seconds(s float64) fleet.Behavior {
	return fleet.Behavior{RunTime: time.Duration(s * float64(time.Second))}
}
