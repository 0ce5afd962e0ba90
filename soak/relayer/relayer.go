// Package relayer disturbs the calls to a server: it delays them, executes them late, loses their answers
// and resets their connections.
package relayer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/standin/fleet"
)

const (
	// Sound forwards each call.
	Sound Mode = iota
	// Rough disturbs a part of the calls, each in its own way.
	Rough
	// Busy answers that nothing was done.
	Busy
	// Silent never answers.
	Silent

	// The shares of the calls that a rough relayer disturbs, in percent.
	delayedPercent       = 12
	delayedAnswerPercent = 8
	lostPercent          = 3
	latePercent          = 3
	resetPercent         = 3
	percent              = 100

	// The longest delays of a call, of its answer, and of a call that is executed late.
	maxDelay       = 300 * clock.Millis(1)
	maxAnswerDelay = 900 * clock.Millis(1)
	maxLateDelay   = 6 * clock.Second
)

type (
	// Mode is how a relayer treats calls.
	Mode int

	// Relayer wraps a handler.
	Relayer struct {
		next http.Handler

		mu locker.Mutex
		// mode and rnd are guarded by mu.
		mode Mode
		rnd  *rand.Rand
	}

	// treatment is what happens to one call. At most one of lost, late and reset is set.
	treatment struct {
		mode Mode
		// before and after are the delays of the call and of its answer.
		before, after     clock.Millis
		lost, late, reset bool
	}
)

// New returns a relayer that forwards each call to next.
func New(next http.Handler, seed uint64) *Relayer {
	return &Relayer{next: next, mu: locker.New(locker.RankPool), rnd: rand.New(rand.NewPCG(seed, 0))} //nolint:gosec // disturbs tests, not security
}

// Set changes how calls are treated from now on.
func (re *Relayer) Set(mode Mode) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.mode = mode
}

func (re *Relayer) treat() treatment {
	re.mu.Lock()
	defer re.mu.Unlock()
	tr := treatment{mode: re.mode}
	if re.mode != Rough {
		return tr
	}
	if re.rnd.IntN(percent) < delayedPercent {
		tr.before = clock.Millis(re.rnd.Int64N(int64(maxDelay)))
	}
	if re.rnd.IntN(percent) < delayedAnswerPercent {
		tr.after = clock.Millis(re.rnd.Int64N(int64(maxAnswerDelay)))
	}
	switch at := re.rnd.IntN(percent); {
	case at < lostPercent:
		tr.lost = true
	case at < lostPercent+latePercent:
		tr.late, tr.before = true, clock.Millis(re.rnd.Int64N(int64(maxLateDelay)))
	case at < lostPercent+latePercent+resetPercent:
		tr.reset = true
	}
	return tr
}

// ServeHTTP relays one call.
func (re *Relayer) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body) // the server notices the end of a connection only after the body
	if err != nil {
		return
	}
	rq.Body = io.NopCloser(bytes.NewReader(body))
	tr := re.treat()
	switch {
	case tr.mode == Busy:
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	case tr.mode == Silent:
		<-rq.Context().Done()
		return
	case tr.reset:
		panic(http.ErrAbortHandler)
	case tr.late:
		re.executeLater(rq, body, tr.before)
		<-rq.Context().Done()
		return
	}
	if !pause(rq.Context(), tr.before) {
		return // the call was given up before it arrived
	}
	if tr.lost {
		re.next.ServeHTTP(httptest.NewRecorder(), rq)
		panic(http.ErrAbortHandler)
	}
	if tr.after == 0 {
		re.next.ServeHTTP(wr, rq)
		return
	}
	answer := httptest.NewRecorder()
	re.next.ServeHTTP(answer, rq)
	if pause(rq.Context(), tr.after) {
		wr.WriteHeader(answer.Code)
		_, _ = wr.Write(answer.Body.Bytes()) // the caller may have given up
	}
}

// executeLater executes a call that gets no answer, also if the caller gives it up.
func (re *Relayer) executeLater(rq *http.Request, body []byte, delay clock.Millis) {
	later := rq.Clone(fleet.WithLateDelivery(context.Background()))
	later.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay.Duration(), func() {
		defer func() { _ = recover() }() // the server may close the connection instead of answering
		re.next.ServeHTTP(httptest.NewRecorder(), later)
	})
}

// pause waits, and reports false if ctx is done first.
func pause(ctx context.Context, d clock.Millis) bool {
	if d == 0 {
		return true
	}
	ti := time.NewTimer(d.Duration())
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}
