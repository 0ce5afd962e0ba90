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
		// delaySurvives means that a delayed command is executed by the next incarnation of its runner, if
		// the one that it was sent to has ended.
		delaySurvives bool
		rnd           *rand.Rand
		// paused holds the machines whose process is paused, and armed what pauses the process on a
		// machine when it is about to send a call to a path.
		paused map[string]*processPause
		armed  map[string]armedPause
		// processors holds the processors of machines that are too small for what they send.
		processors map[string]*processor
		// links holds the links of machines that are slow.
		links map[string]*link
		// faultFreeSince is the end of the last store fault. During a store fault it is in
		// the future.
		faultFreeSince time.Time
	}

	// Outage is the way in which a machine fails to answer.
	Outage int

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
	fa.processors = map[string]*processor{}
	fa.links = map[string]*link{}
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

// RecordStoreFault records that a fault of the store that others inject begins or ends now.
func (cl *Cluster) RecordStoreFault(on bool) { cl.faults.setStoreFault(on) }

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

// LetDelayedCommandsSurvive makes commands that are delayed from now on outlive the incarnation of their
// runner.
func (cl *Cluster) LetDelayedCommandsSurvive() {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.delaySurvives = true
}

func (fa *faults) commandsSurvive() bool {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.delaySurvives
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
	if !tr.cluster.faults.processorOf(tr.from).use(rq.Context()) {
		return nil, rq.Context().Err()
	}
	rq = tr.leave(rq)
	if gap, _ := rq.Context().Value(inGap{}).(bool); !gap {
		if err := platform.CheckPermit(rq.Context()); err != nil {
			return nil, err
		}
	}
	rs, err := tr.send(rq, body)
	if err == nil {
		rs, err = tr.cluster.faults.linkOf(tr.from).receive(rq.Context(), rs)
	}
	tr.cluster.faults.awaitResume(tr.from) // a paused process does not read the answer either
	return rs, err
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
		survives := tr.cluster.faults.commandsSurvive()
		time.AfterFunc(delay, func() {
			// A delayed command is lost if the incarnation that it was sent to has ended, unless it survives.
			if present := ru.incarnation(); present == born || survives && present != 0 {
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
