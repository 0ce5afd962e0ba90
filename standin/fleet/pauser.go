package fleet

import (
	"context"
	"net/http"
	"time"
)

const (
	// BeforeCheck means that the process still checks, when it runs again, whether the command
	// may leave.
	BeforeCheck PausePoint = iota
	// AfterCheck means that the process has made this check, and writes the command when it runs
	// again.
	AfterCheck

	// lateAnswerTimeout bounds the wait for the answer to a call that left after a pause.
	lateAnswerTimeout = 100 * time.Millisecond
)

type (
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
)

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
