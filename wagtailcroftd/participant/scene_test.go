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
	// advisedPrefix is that of a queue whose steps need advice.
	advisedPrefix = "/advised/"
	aliceKey      = "alice-key"
	bobKey        = "bob-key"
	// leaseTime and takeoverTime are those of the larger deployment.
	leaseTime    = 10 * time.Second
	takeoverTime = 2250 * time.Millisecond
)

type (
	// scene is a cluster with some instances, in a bubble of testing/synctest.
	scene struct {
		t     asserter.Test
		peers *peers
		// yields holds how long instances let others go first; most do not.
		yields    map[string]clock.Millis
		cluster   *fleet.Cluster
		instances []*instance
		config    wire.Config
		next      int
	}

	// instance is one process of the system.
	instance struct {
		name   string
		pa     *participant.Participant
		cancel context.CancelFunc
		stop   chan struct{}
		ended  chan struct{}
	}
)

// play runs fn on a scene with some instances and workers. Everything has ended when it
// returns, and no rule was broken.
func play(t *testing.T, instances, runners int, fn func(sc *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { playIn(t, instances, runners, fn) })
}

func playIn(t asserter.Test, instances, runners int, fn func(sc *scene)) {
	sc := &scene{t: t, peers: newPeers(), yields: map[string]clock.Millis{}, cluster: fleet.New(fleet.Options{
		Runners: runners, PerRack: 4, MaxLease: leaseTime, Drain: 6 * time.Second, GangTimeout: 3 * time.Second,
		Room: workload.Room{CPU: 64000, Memory: 128000, Accelerators: 8},
	})}
	sc.config = wire.Config{
		Version: 1,
		Routes: []wire.Route{
			route("urgent", urgentPrefix, 0), route("normal", normalPrefix, 1), route("batch", batchPrefix, 2),
			advised(route("advised", advisedPrefix, 1)),
		},
		Services: []wire.Service{{Name: fleet.Pool}},
		Tenants: []wire.Tenant{
			{Name: "alice", APIKeys: []string{aliceKey}, Guaranteed: wire.Guaranteed{Gpu: int32(8 * runners / 2)}},
			{Name: "bob", APIKeys: []string{bobKey}},
		},
	}
	sc.cluster.Configure(sc.config)
	story.Reset()
	if os.Getenv("SCENE_LOG") != "" {
		sc.cluster.Trace = func(line string) {
			_, _ = fmt.Fprintf(&story, "ms=%d RUNNER %s\n", time.Now().UnixMilli()%1_000_000, line) // a buffer takes all
		}
	}
	for i := range instances {
		sc.instances = append(sc.instances, sc.begin(fmt.Sprintf("i-%d", i)))
	}
	defer sc.end()
	sc.sleep(3 * time.Second)
	fn(sc)
	for _, broken := range sc.cluster.Violations() {
		t.Fatalf("broken rule: %s", broken)
	}
}

func route(name, prefix string, priority int) wire.Route {
	return wire.Route{
		Name: name, Host: fleet.Host, PathPrefix: prefix, Service: fleet.Pool, TimeoutMs: 3000, ObjectiveMs: 1000,
		Stretch: 3, Priority: priority, MaxAttempts: 3,
	}
}

func advised(ro wire.Route) wire.Route {
	ro.Advice = &wire.RouteAdvice{DecisionMs: 40, PerWorkerMs: 2, ValidityMs: 3000}
	return ro
}

// begin starts a process.
func (sc *scene) begin(name string) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{name: name, cancel: cancel, stop: make(chan struct{}), ended: make(chan struct{})}
	in.pa = participant.New(member.Settings{
		Instance: identifier.Instance(name), StoreAddress: fleet.StoreAddress, MemoryLimit: meter.Bytes(1 << 28),
		AdviceAddress: fleet.AdviceAddress, MachinesAddress: fleet.MachinesAddress, LeaseOfDutyMillis: 3000,
		PeerAddress: name, YieldMillis: sc.yields[name], LeaseMillis: clock.FromDuration(leaseTime), TakeoverMillis: clock.FromDuration(takeoverTime),
		UnconfirmedMillis: 3750, GraceMillis: 4800, RetentionMillis: 240_000, StopGraceMillis: 900,
	}, participant.Outside{Clock: clock.NewRuntime(), Log: sceneLog(name), Meters: instrumenter.New(), Transport: sc.cluster.Transport(name), Tracer: tracer.Nop(), Dial: sc.peers.dial})
	ln := sc.peers.listen(name)
	go func() {
		<-ctx.Done()
		_ = ln.Close() // cannot fail
	}()
	go func() { asserter.OK(sc.t, in.pa.ServePeers(ln)) }()
	go func() {
		defer close(in.ended)
		in.pa.Run(ctx, in.stop)
	}()
	return in
}

// story is what the instances of the present play log; it is kept when the variable
// SCENE_LOG is set.
var story log

// log is a buffer that many goroutines write.
type log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends.
func (lo *log) Write(line []byte) (int, error) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.text.Write(line)
}

// String returns what was written.
func (lo *log) String() string {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.text.String()
}

// Reset forgets what was written.
func (lo *log) Reset() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.text.Reset()
}

// sceneLog is silent unless the variable SCENE_LOG is set.
func sceneLog(name string) zerolog.Logger {
	if os.Getenv("SCENE_LOG") == "" {
		return zerolog.Nop()
	}
	lg, err := logger.New(&story, "debug", identifier.Instance(name))
	if err != nil {
		panic(err)
	}
	return lg.Hook(zerolog.HookFunc(func(ev *zerolog.Event, _ zerolog.Level, _ string) {
		ev.Int64("ms", time.Now().UnixMilli()%1_000_000)
	}))
}

// kill ends a process without a word.
func (sc *scene) kill(at int) {
	in := sc.instances[at]
	in.cancel()
	sc.cluster.StoreOutage(in.name, fleet.Reset) // what it still says is not heard
	<-in.ended
	sc.cluster.StoreOutage(in.name, fleet.Reachable)
}

// powerOff ends a process without a sign to the others.
func (sc *scene) powerOff(at int) {
	sc.peers.silence(sc.instances[at].name)
	sc.kill(at)
}

// restart begins the process anew.
func (sc *scene) restart(at int) { sc.instances[at] = sc.begin(sc.instances[at].name) }

func (sc *scene) end() {
	for _, in := range sc.instances {
		in.cancel()
		<-in.ended
	}
}

func (sc *scene) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// call makes a client's call at an instance.
func (sc *scene) call(at int, method, path, key string, body any) (int, []byte, http.Header) {
	text, err := json.Marshal(body)
	asserter.OK(sc.t, err)
	rq := httptest.NewRequest(method, path, bytes.NewReader(text))
	rq.GetBody = nil
	rq.Host = fleet.Host
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("X-Wagtailcroft-Deadline-Ms", "3000")
	re := httptest.NewRecorder()
	sc.instances[at].pa.Callers().ServeHTTP(re, rq)
	answer, err := io.ReadAll(re.Result().Body)
	asserter.OK(sc.t, err)
	return re.Code, answer, re.Header()
}

// job makes a job that is not submitted yet.
func (sc *scene) job(prefix string, work fleet.Work, steps ...wire.StepBody) fleet.Job {
	sc.next++
	jo := fleet.Job{
		ID: fmt.Sprintf("%016x", sc.next), Queue: prefix, Key: aliceKey, Work: work,
		Body: wire.JobBody{Spec: fmt.Sprintf("payload %d", sc.next), Steps: steps},
	}
	jo.Advised = prefix == advisedPrefix
	sc.cluster.Expect(jo)
	return jo
}

func (sc *scene) submit(at int, jo fleet.Job) int {
	status, _, _ := sc.call(at, http.MethodPost, jo.Queue+jo.ID, jo.Key, jo.Body)
	return status
}

// accepted submits a job that must be accepted.
func (sc *scene) accepted(at int, jo fleet.Job) fleet.Job {
	asserter.Equal(sc.t, sc.submit(at, jo), http.StatusOK)
	return jo
}

// state asks an instance for the state of a job.
func (sc *scene) state(at int, jo fleet.Job) (int, string) {
	status, answer, _ := sc.call(at, http.MethodGet, jo.Queue+jo.ID, jo.Key, struct{}{})
	var body wire.StateBody
	if status == http.StatusOK {
		asserter.OK(sc.t, json.Unmarshal(answer, &body))
	}
	return status, body.State
}

// becomes waits for a state of a job, at most so long.
func (sc *scene) becomes(at int, jo fleet.Job, want string, within time.Duration) time.Duration {
	began := time.Now()
	for {
		_, got := sc.state(at, jo)
		if got == want {
			return time.Since(began)
		}
		if time.Since(began) > within {
			sc.t.Fatalf("job %s is %q after %v, not %q", jo.ID, got, within, want)
		}
		sc.sleep(50 * time.Millisecond)
	}
}

// holder is the place of the instance that holds the duty.
func (sc *scene) holder() int {
	name := sc.holderName()
	for i, in := range sc.instances {
		if in.name == name {
			return i
		}
	}
	sc.t.Fatalf("nobody holds the duty")
	return -1
}

func (sc *scene) holderName() string {
	var holder struct {
		Instance string `json:"instance"`
	}
	if value := sc.cluster.Store.Value("duty", "scheduler"); value != nil {
		asserter.OK(sc.t, json.Unmarshal(value, &holder))
	}
	return holder.Instance
}

// renewed waits until the holder has just renewed the duty.
func (sc *scene) renewed() {
	before := string(sc.cluster.Store.Value("duty", "scheduler"))
	for string(sc.cluster.Store.Value("duty", "scheduler")) == before {
		sc.sleep(10 * time.Millisecond)
	}
}

// other is the place of an instance that does not hold the duty.
func (sc *scene) other() int { return (sc.holder() + 1) % len(sc.instances) }

// tasks is a step of equal tasks.
func tasks(count int, gpu int32) wire.StepBody {
	return wire.StepBody{Count: count, CPU: 4000, MemMb: 4000, Gpu: gpu, EstimateMs: 2000}
}

// ganged makes a step a gang.
func ganged(st wire.StepBody) wire.StepBody {
	st.Gang, st.SameRack = true, true
	return st
}

// seconds is work without failures.
func seconds(s float64) fleet.Work { return fleet.Work{Time: time.Duration(s * float64(time.Second))} }
