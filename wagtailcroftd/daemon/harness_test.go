package daemon_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/admitter"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/loader"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/seeder"
	"github.com/wagtailcroft/wagtailcroft/standin/platform"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/daemon"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dispatcher"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/heartbeater"
)

const (
	tick      = 500 * clock.Millis(1)
	shortWait = 2 * clock.Second
	leaseTime = 6 * clock.Second

	kochi    = identifier.Zone("kochi")
	thrissur = identifier.Zone("thrissur")

	// fuzzChecks is the number of rapid checks in a normal run. It keeps the package within two
	// minutes under the race detector and the lock-order check; make fuzz runs many more.
	fuzzChecks = "20"
)

var _ heartbeater.Dialer = &fakePeers{}

type (
	// harness runs entry instances against a simulated platform, with a fake clock.
	harness struct {
		t        asserter.TB
		clock    *clock.Fake
		platform *platform.Platform
		handler  http.Handler
		runners  *fakeRunners
		peers    *fakePeers
		daemons  []*daemon.Daemon
		doers    []*directDoer
		// paused instances do not run and do not answer their peers.
		paused map[int]bool
	}

	// directDoer calls an HTTP handler directly. A handler that panics to abort the connection
	// gives no answer.
	directDoer struct {
		handler http.Handler
		// callsLeft is the number of calls until the instance is cut off; negative means never.
		callsLeft int
		// beforeTransact, if set, is called once before the next transaction is sent.
		beforeTransact func()
	}

	// fakePeers forwards calls between instances and can be cut off.
	fakePeers struct {
		harness  *harness
		services map[string]int
		cut      bool
	}

	// fakeRunners answers requests immediately and counts them.
	fakeRunners struct {
		mu sync.Mutex
		// calls counts the runs by key, and byAddress by runner address.
		calls     map[identifier.Key]int
		byAddress map[string]int
		// during, if set, is called once while the next request runs.
		during func(rr dispatcher.RunnerRequest)
		// answersToLose is the number of runs whose answer is lost after the work, and
		// callsToRefuse the number of calls refused before it.
		answersToLose int
		callsToRefuse int
	}
)

func TestMain(m *testing.M) { seeder.MainWith(m, fuzzChecks) }

// newHarness starts instances in a zone of two racks with two workers each. A second zone
// has no instance yet.
func newHarness(t asserter.TB, instances int) *harness {
	ha := &harness{t: t, clock: clock.NewFake(1_000_000), runners: newFakeRunners(), paused: map[int]bool{}}
	layout := platform.Layout{Zones: []platform.ZoneLayout{
		{Zone: kochi, Racks: 2, WorkersPerRack: 2, Accelerators: 8, Runners: []string{"runner-0", "runner-1"}},
		{Zone: thrissur, Racks: 1, WorkersPerRack: 2, Accelerators: 8, Runners: []string{"runner-2"}},
	}}
	ha.platform = platform.New(ha.clock, layout)
	ha.handler = ha.platform.Handler()
	ha.peers = &fakePeers{harness: ha, services: map[string]int{}}
	for range instances {
		ha.add(kochi)
	}
	ha.runTicks(4)
	return ha
}

// add starts another instance in a zone.
func (ha *harness) add(zone identifier.Zone) {
	number := len(ha.daemons)
	set, err := loader.Parse(fmt.Appendf(nil, `
instance = "%s-%d"
zone = %q
callerAddress = "127.0.0.1:1"
operatorAddress = "127.0.0.1:2"
peerAddress = "127.0.0.1:%d"
platformUrl = "http://platform"
operatorTokenDigests = [%q]
[runners]
seats = 4
dispatchers = 4
`, zone, number, zone, number+1000, identifier.Digest("operator")))
	asserter.NoError(ha.t, err)
	doer := &directDoer{handler: ha.handler, callsLeft: -1}
	ha.doers = append(ha.doers, doer)
	da, err := daemon.New(context.Background(), set, daemon.Dependencies{
		Clock:    ha.clock,
		Log:      io.Discard,
		Spans:    io.Discard,
		Random:   rand.New(rand.NewPCG(1, uint64(number))),
		Platform: doer,
		Peers:    ha.peers,
		Runners:  ha.runners,
	})
	asserter.NoError(ha.t, err)
	ha.peers.services[set.PeerAddress] = number
	ha.daemons = append(ha.daemons, da)
}

// runTicks repeats for a number of ticks: it steps every instance that is not paused and
// advances the clock by one tick.
func (ha *harness) runTicks(ticks int) {
	for range ticks {
		for number, da := range ha.daemons {
			if !ha.paused[number] {
				da.Step(context.Background())
			}
		}
		ha.clock.Advance(tick)
	}
}

// passTime runs the instances for a duration of the fake clock.
func (ha *harness) passTime(d clock.Millis) { ha.runTicks(int(d / tick)) }

// setRow edits a row through the first instance and gives it time to come into force
// everywhere.
func (ha *harness) setRow(ws identifier.Workspace, guarantees ...types.Guarantee) {
	ha.t.Helper()
	_, err := ha.daemons[0].Table.Apply(context.Background(), configurer.Edit{Workspace: ws, Expected: ha.version(0, ws), Cells: cells(guarantees...)})
	asserter.NoError(ha.t, err)
	ha.passTime(shortWait)
}

func (ha *harness) version(number int, ws identifier.Workspace) meter.RowVersion {
	row, _ := ha.daemons[number].Table.Row(ws)
	return row.Version
}

func cells(guarantees ...types.Guarantee) types.Cells {
	return types.Cells{
		Weight:        1,
		Guarantees:    append([]types.Guarantee{}, guarantees...),
		Limits:        types.Limits{Accelerators: 64, Requests: 16, UnconfirmedRequests: 2, QueuedJobs: 32},
		UrgentAllowed: true,
		TokenDigests:  []string{},
	}
}

// request returns a sign-up request that is not idempotent.
func (ha *harness) request(key identifier.Key) dispatcher.Request {
	return dispatcher.Request{
		ID:        identifier.NewRequest(),
		Workspace: "studio",
		Key:       key,
		Kind:      "signUp",
		Deadline:  ha.clock.Now() + 1, // a fake exchange takes no time
		Payload:   "for " + string(key),
	}
}

func (ha *harness) send(number int, re dispatcher.Request) (dispatcher.Answer, error) {
	limits := admitter.Limits{Requests: 16, UrgentAllowed: true, Confirmed: true}
	return ha.daemons[number].Requests.Send(context.Background(), re, limits)
}

// assertAnswered checks that the answer is complete and belongs to the request.
func (ha *harness) assertAnswered(re dispatcher.Request, answer dispatcher.Answer, err error) {
	ha.t.Helper()
	asserter.NoError(ha.t, err)
	asserter.Equal(ha.t, answer.Payload, "answer to "+re.Payload)
}

// assertRuns checks how often the runners have run a key.
func (ha *harness) assertRuns(key identifier.Key, want int) {
	ha.t.Helper()
	asserter.Equal(ha.t, ha.runners.count(key), want)
}

// submit submits a gang job.
func (ha *harness) submit(number int, ws identifier.Workspace, key identifier.Key, members meter.Members, work string) (identifier.Job, error) {
	row, err := ha.daemons[number].Jobs.Submit(context.Background(), ws, caller.JobBody{
		Key:            key,
		Kind:           caller.JobBodyKindPracticeSet,
		Class:          types.ClassNormal,
		Shape:          types.Shape{Members: members, Accelerators: 8, Adjacency: types.AdjacencyRack},
		ExpectedMillis: 60_000,
		Payload:        work,
	})
	return row.JobID, err
}

// mustSubmit submits a gang job of two members, which fills a rack.
func (ha *harness) mustSubmit(key identifier.Key, work string) identifier.Job {
	ha.t.Helper()
	id, err := ha.submit(0, "studio", key, 2, work)
	asserter.NoError(ha.t, err)
	return id
}

func (ha *harness) job(id identifier.Job) rows.JobRow {
	ha.t.Helper()
	row, err := ha.daemons[0].Jobs.Get(context.Background(), "", id)
	asserter.NoError(ha.t, err)
	return row
}

// assertState checks the state of a job.
func (ha *harness) assertState(id identifier.Job, want rows.JobRowState) {
	ha.t.Helper()
	if row := ha.job(id); row.State != want {
		ha.t.Fatalf("job %s is in state %s, not %s: %s", id, row.State, want, row.Reason)
	}
}

// assertGangsConsistent checks that no gang runs with only some of its members and that no
// job runs twice at the same time.
func (ha *harness) assertGangsConsistent() {
	ha.t.Helper()
	audit := ha.platform.Audit()
	asserter.Equal(ha.t, audit.HalfRunning, 0)
	asserter.Equal(ha.t, audit.Overlapping, 0)
}

// scheduler returns the index of the instance that schedules the zone, or -1 if there is
// none.
func (ha *harness) scheduler() int {
	return slices.IndexFunc(ha.daemons, func(da *daemon.Daemon) bool {
		_, held := da.Leases.SchedulerGrant()
		return held
	})
}

func (dd *directDoer) Do(req *http.Request) (answer *http.Response, err error) {
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	if dd.callsLeft == 0 {
		return nil, eris.New("the instance is cut off")
	}
	dd.callsLeft--
	if hook := dd.beforeTransact; hook != nil && req.URL.Path == "/v1/transact" {
		dd.beforeTransact = nil
		hook()
	}
	defer func() {
		if recover() != nil {
			answer, err = nil, eris.New("the connection was cut")
		}
	}()
	recorder := httptest.NewRecorder()
	dd.handler.ServeHTTP(recorder, req)
	return recorder.Result(), nil
}

func (fp *fakePeers) Call(_ context.Context, address, method string, args, reply any) error {
	number, known := fp.services[address]
	if !known || fp.cut || fp.harness.paused[number] {
		return eris.New("no answer")
	}
	service := fp.harness.daemons[number].Peers.Service()
	switch message := args.(type) {
	case peer.Heartbeat:
		out, _ := reply.(*peer.HeartbeatReply)
		return service.Heartbeat(message, out)
	case peer.WhyQuery:
		out, _ := reply.(*peer.WhyReply)
		return service.Why(message, out)
	default:
		return eris.Errorf("unknown method %s", method)
	}
}

func newFakeRunners() *fakeRunners {
	return &fakeRunners{calls: map[identifier.Key]int{}, byAddress: map[string]int{}}
}

func (fr *fakeRunners) Run(_ context.Context, address string, rr dispatcher.RunnerRequest) (dispatcher.Answer, error) {
	fr.mu.Lock()
	if fr.callsToRefuse > 0 {
		fr.callsToRefuse--
		fr.mu.Unlock()
		return dispatcher.Answer{}, &dispatcher.NotStartedError{Cause: eris.New("refused")}
	}
	fr.calls[rr.Key]++
	fr.byAddress[address]++
	during := fr.during
	fr.during = nil
	lost := fr.answersToLose > 0
	if lost {
		fr.answersToLose--
	}
	fr.mu.Unlock()
	if during != nil {
		during(rr)
	}
	if lost {
		return dispatcher.Answer{}, eris.New("the answer was lost")
	}
	return dispatcher.Answer{Payload: "answer to " + rr.Payload}, nil
}

func (fr *fakeRunners) count(key identifier.Key) int {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.calls[key]
}
