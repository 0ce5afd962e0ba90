package fleet

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform"
)

// oneWayLatency is the network latency of a request. Responses have none.
const oneWayLatency = time.Millisecond

// lateAnswerTimeout bounds the wait for the answer to a call that left after a pause.
const lateAnswerTimeout = 100 * time.Millisecond

type (
	// faults holds the injected network and store faults.
	faults struct {
		mu sync.Mutex
		// storeOutage is the outage of the store for all machines, and storeOutages holds
		// its outages for single machines.
		storeOutage  Outage
		storeOutages map[string]Outage
		// runnerOutages holds the outages of runners, by machine and by address of the
		// runner. The empty machine name means all machines.
		runnerOutages map[string]map[string]Outage
		// loseShare is the fraction of the writes that the store applies but does not
		// answer.
		loseShare float64
		// loseNext is how many of the next writes the store applies but does not answer.
		loseNext int
		// delayShare is the fraction of the commands that get no answer and are executed
		// later.
		delayShare float64
		rnd        *rand.Rand
		// paused holds the machines whose process is paused, and armed what pauses the process on a
		// machine when it is about to send a call to a path.
		paused map[string]*processPause
		armed  map[string]armedPause
		// faultFreeSince is the end of the last store fault. During a store fault it is in
		// the future.
		faultFreeSince time.Time
	}

	// Outage is the way in which a machine fails to answer.
	Outage int

	// PausePoint is where a pause of a process catches the calls that it is about to send.
	PausePoint int

	processPause struct {
		point PausePoint
		// resumed is closed when the process runs again.
		resumed chan struct{}
	}

	armedPause struct {
		path string
		fn   func()
	}

	// inGap marks the context of a call that left in time and was carried out later, because of a
	// pause at AfterCheck or because it was delayed on its way.
	inGap struct{}

	transport struct {
		cluster *Cluster
		from    string
	}
)

const (
	// NoOutage means no outage.
	NoOutage Outage = iota
	// Unresponsive means that calls get no answer.
	Unresponsive
	// Busy means that every call is answered with status 503.
	Busy
	// Reset means that connections are refused.
	Reset
)

const (
	// BeforeCheck means that the process still checks, when it runs again, whether the command
	// may leave.
	BeforeCheck PausePoint = iota
	// AfterCheck means that the process has made this check, and writes the command when it runs
	// again.
	AfterCheck
)

// Seeds of the random faults, fixed so that runs are repeatable.
const (
	seed1 = 7
	seed2 = 11
)

func (fa *faults) init() {
	fa.storeOutages = map[string]Outage{}
	fa.runnerOutages = map[string]map[string]Outage{}
	fa.paused = map[string]*processPause{}
	fa.armed = map[string]armedPause{}
	fa.rnd = rand.New(rand.NewPCG(seed1, seed2)) //nolint:gosec // simulation, not security
}

// Transport returns the transport for the calls of one machine of the product.
func (cl *Cluster) Transport(from string) http.RoundTripper {
	return &transport{cluster: cl, from: from}
}

// StoreOutage sets the outage of the store for a machine, or for all if from is empty.
func (cl *Cluster) StoreOutage(from string, how Outage) {
	cl.faults.setStoreFault(how != NoOutage)
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	if from == "" {
		cl.faults.storeOutage = how
		return
	}
	cl.faults.storeOutages[from] = how
}

// SlowStore makes each call to the store take x times as long; 1 restores the normal
// duration.
func (cl *Cluster) SlowStore(x int) {
	cl.faults.setStoreFault(x > 1)
	cl.Store.mu.Lock()
	defer cl.Store.mu.Unlock()
	cl.Store.latencyFactor = x
}

// setStoreFault records that a store fault begins or ends now.
func (fa *faults) setStoreFault(on bool) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.faultFreeSince = time.Now()
	if on {
		fa.faultFreeSince = time.Now().Add(time.Hour)
	}
}

// RunnerOutage sets the outage of a runner for a machine, or for all if from is empty.
func (cl *Cluster) RunnerOutage(from string, at int, how Outage) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	if cl.faults.runnerOutages[from] == nil {
		cl.faults.runnerOutages[from] = map[string]Outage{}
	}
	cl.faults.runnerOutages[from][cl.runners[at].address] = how
}

// LoseResponses sets the fraction of the writes that the store applies but does not answer.
func (cl *Cluster) LoseResponses(share float64) {
	cl.faults.setStoreFault(share > 0)
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.loseShare = share
}

// storeFaultFree reports whether the store has been free of faults for longer than d.
func (fa *faults) storeFaultFree(d time.Duration) bool {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return time.Since(fa.faultFreeSince) > d
}

// LoseNextResponses makes the store apply the next count writes without answering them.
func (cl *Cluster) LoseNextResponses(count int) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.loseNext = count
}

// DelayCommands sets the fraction of the commands that get no answer and are executed seconds
// later. Polls are not affected.
func (cl *Cluster) DelayCommands(share float64) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.delayShare = share
}

// Pause pauses the process on a machine: its calls and the answers to them wait until Resume,
// whatever their contexts say, since a paused process does not see that they end. A process that is
// paused already stays so.
func (cl *Cluster) Pause(from string, point PausePoint) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	if cl.faults.paused[from] == nil {
		cl.faults.paused[from] = &processPause{point: point, resumed: make(chan struct{})}
	}
}

// BeforeNext calls fn once, when the process on a machine is about to send a call to a path.
func (cl *Cluster) BeforeNext(from, path string, fn func()) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.armed[from] = armedPause{path: path, fn: fn}
}

// Resume ends the pause of the process on a machine.
func (cl *Cluster) Resume(from string) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	if pa := cl.faults.paused[from]; pa != nil {
		close(pa.resumed)
		delete(cl.faults.paused, from)
	}
}

// trigger calls the function that waits for a call from a machine to a path, if there is one.
func (fa *faults) trigger(from, path string) {
	fa.mu.Lock()
	armed := fa.armed[from]
	if armed.fn == nil || armed.path != path {
		fa.mu.Unlock()
		return
	}
	delete(fa.armed, from)
	fa.mu.Unlock()
	armed.fn()
}

// awaitResume waits while the process on a machine is paused. It returns false if the process was
// not paused.
func (fa *faults) awaitResume(from string) (PausePoint, bool) {
	fa.mu.Lock()
	pa := fa.paused[from]
	fa.mu.Unlock()
	if pa == nil {
		return BeforeCheck, false
	}
	<-pa.resumed
	return pa.point, true
}

func (fa *faults) outageOfStore(from string) Outage {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if fa.storeOutage != NoOutage {
		return fa.storeOutage
	}
	return fa.storeOutages[from]
}

func (fa *faults) outageOfRunner(from, address string) Outage {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if how := fa.runnerOutages[""][address]; how != NoOutage {
		return how
	}
	return fa.runnerOutages[from][address]
}

// losesResponse reports whether the response to the current write is lost.
func (fa *faults) losesResponse() bool {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if fa.loseNext > 0 {
		fa.loseNext--
		return true
	}
	return fa.rnd.Float64() < fa.loseShare
}

// delaysCommand reports whether the current command is delayed, and by how long.
func (fa *faults) delaysCommand() (bool, time.Duration) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.rnd.Float64() < fa.delayShare, 2*time.Second + time.Duration(fa.rnd.IntN(10_000))*time.Millisecond
}

// RoundTrip delivers one call to the simulated service or runner at its host.
func (tr *transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, err
	}
	rq = tr.leave(rq)
	if gap, _ := rq.Context().Value(inGap{}).(bool); !gap {
		if err := platform.CheckPermit(rq.Context()); err != nil {
			return nil, err
		}
	}
	rs, err := tr.send(rq, body)
	tr.cluster.faults.awaitResume(tr.from) // a paused process does not read the answer either
	return rs, err
}

// leave returns the request as it leaves the process, after a pause of the process if there is
// one. A call that a pause caught goes out even if its context has ended, because the process
// learns that only after it has run again.
func (tr *transport) leave(rq *http.Request) *http.Request {
	tr.cluster.faults.trigger(tr.from, rq.URL.Path)
	point, waited := tr.cluster.faults.awaitResume(tr.from)
	if !waited {
		return rq
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(rq.Context()), lateAnswerTimeout)
	context.AfterFunc(ctx, cancel)
	return rq.WithContext(context.WithValue(ctx, inGap{}, point == AfterCheck))
}

func (tr *transport) send(rq *http.Request, body []byte) (*http.Response, error) {
	switch rq.URL.Host {
	case StoreAddress:
		return tr.toStore(rq, body)
	case AdviceAddress:
		return deliver(rq, body, tr.cluster.Advice)
	case MachinesAddress:
		return deliver(rq, body, tr.cluster.machines)
	}
	return tr.toRunner(rq, body)
}

func (tr *transport) toStore(rq *http.Request, body []byte) (*http.Response, error) {
	if rs, err, failed := applyOutage(rq, tr.cluster.faults.outageOfStore(tr.from)); failed {
		return rs, err
	}
	rs, err := deliver(rq, body, tr.cluster.Store)
	if err == nil && rq.Method == http.MethodPost && tr.cluster.faults.losesResponse() {
		return neverAnswer(rq)
	}
	return rs, err
}

func (tr *transport) toRunner(rq *http.Request, body []byte) (*http.Response, error) {
	if rs, err, failed := applyOutage(rq, tr.cluster.faults.outageOfRunner(tr.from, rq.URL.Host)); failed {
		return rs, err
	}
	ru := tr.cluster.runnerUpAt(rq.URL.Host)
	if ru == nil {
		rs, err, _ := applyOutage(rq, Reset)
		return rs, err
	}
	delayed, delay := tr.cluster.faults.delaysCommand()
	if delayed && rq.URL.Path != "/v1/hold" {
		later, born := rq.Clone(context.WithValue(context.Background(), inGap{}, true)), ru.incarnation()
		time.AfterFunc(delay, func() {
			// A delayed command is lost if the incarnation that it was sent to has ended.
			if ru.incarnation() == born {
				if rs, err := deliver(later, body, ru); err == nil {
					_ = rs.Body.Close() // the caller does not wait for the response
				}
			}
		})
		return neverAnswer(rq)
	}
	return deliver(rq, body, ru)
}

// runnerUpAt returns the runner that is up at an address, or nil.
func (cl *Cluster) runnerUpAt(address string) *Runner {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, ru := range cl.runners {
		if ru.address == address && ru.up {
			return ru
		}
	}
	return nil
}

// incarnation identifies the current incarnation of a runner; 0 means that the runner is
// down.
func (ru *Runner) incarnation() int64 {
	ru.cluster.mu.Lock()
	defer ru.cluster.mu.Unlock()
	if !ru.up {
		return 0
	}
	return ru.born.UnixNano()
}

// applyOutage returns the result of a call during an outage. The last result is false if
// there is no outage.
func applyOutage(rq *http.Request, how Outage) (*http.Response, error, bool) {
	switch how {
	case Unresponsive:
		rs, err := neverAnswer(rq)
		return rs, err, true
	case Busy:
		re := httptest.NewRecorder()
		re.WriteHeader(http.StatusServiceUnavailable)
		return re.Result(), nil, true
	case Reset:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true
	default:
		return nil, nil, false
	}
}

// neverAnswer blocks until the context of the request is done.
func neverAnswer(rq *http.Request) (*http.Response, error) {
	<-rq.Context().Done()
	return nil, rq.Context().Err()
}

// deliver calls a handler and returns its response. It returns early when the context of the
// request is done, while the handler continues.
func deliver(rq *http.Request, body []byte, to http.Handler) (*http.Response, error) {
	if !pause(rq, oneWayLatency) {
		return nil, rq.Context().Err()
	}
	inner := rq.Clone(rq.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	answered := make(chan *http.Response, 1)
	go func() {
		defer func() {
			if recover() != nil { // the handler closed the connection
				answered <- nil
			}
		}()
		re := httptest.NewRecorder()
		to.ServeHTTP(re, inner)
		answered <- re.Result()
	}()
	select {
	case rs := <-answered:
		if rs == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return rs, nil
	case <-rq.Context().Done():
		return nil, rq.Context().Err()
	}
}
