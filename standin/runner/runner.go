// Package runner is a stand-in for a runner: it runs requests in a bounded number of
// slots, records what it really ran, and answers wrongly on command.
package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/runner"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const defaultRun clock.Millis = 5

type (
	// Work is what the payload of a request tells the stand-in to do.
	Work struct {
		RunMillis clock.Millis `json:"runMillis"`
		Fail      bool         `json:"fail"`
	}

	// Runner is one runner.
	Runner struct {
		clock clock.Clock
		slots meter.Slots

		mu locker.Mutex
		// log holds every run in order, guarded by mu.
		log []runner.RunCall
		// inFlight and most count runs at one time, guarded by mu.
		inFlight meter.Slots
		most     meter.Slots
		// faults is guarded by mu.
		faults runner.Faults
		// last is the answer before this one, for swapped answers; guarded by mu.
		last runner.RunAnswer
	}

	// refused says that no slot was free and nothing was started.
	refused struct{}

	// faultyAnswer is an answer that the faults have changed.
	faultyAnswer struct {
		answer runner.RunAnswer
		twice  bool
	}
)

// New returns a runner with a number of slots.
func New(cl clock.Clock, slots meter.Slots) *Runner {
	return &Runner{clock: cl, slots: slots, mu: locker.New(locker.RankPlatform)}
}

// Handler serves the runner API.
func (ru *Runner) Handler() http.Handler {
	return runner.HandlerFromMux(runner.NewStrictHandler(ru, nil), mux.NewRouter())
}

// Run runs one request.
func (ru *Runner) Run(ctx context.Context, req runner.RunRequestObject) (runner.RunResponseObject, error) {
	delay, ok := ru.begin(*req.Body)
	if !ok {
		return refused{}, nil
	}
	work := Work{RunMillis: defaultRun}
	_ = json.Unmarshal([]byte(req.Body.Payload), &work) // other payloads run for the default time
	// Work that was started goes on though the caller has left.
	clock.Sleep(context.WithoutCancel(ctx), ru.clock, work.RunMillis+delay)
	return ru.end(answerFor(*req.Body, work))
}

func answerFor(call runner.RunCall, work Work) runner.RunAnswer {
	payload := "answer to " + call.Payload
	return runner.RunAnswer{RequestID: call.RequestID, Failed: work.Fail, Payload: payload, PayloadBytes: meter.Bytes(len(payload))}
}

// begin takes a slot and records the run.
func (ru *Runner) begin(call runner.RunCall) (clock.Millis, bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.faults.Refusing || ru.inFlight >= ru.slots {
		return 0, false
	}
	ru.inFlight++
	ru.most = max(ru.most, ru.inFlight)
	ru.log = append(ru.log, call)
	return ru.faults.DelayMillis, true
}

// end frees the slot and applies the faults to the answer.
func (ru *Runner) end(answer runner.RunAnswer) (runner.RunResponseObject, error) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.inFlight--
	before := ru.last
	ru.last = answer
	if ru.faults.Failing {
		answer.Failed = true
	}
	fa := faultyAnswer{answer: answer}
	switch {
	case take(&ru.faults.Dropped):
		panic(http.ErrAbortHandler)
	case take(&ru.faults.Truncated):
		fa.answer.Payload = answer.Payload[:len(answer.Payload)/2]
	case take(&ru.faults.Doubled):
		fa.twice = true
	case before.RequestID != "" && take(&ru.faults.Swapped):
		fa.answer = before
	}
	return fa, nil
}

func take(count *int32) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// ListRuns returns what was really run.
func (ru *Runner) ListRuns(context.Context, runner.ListRunsRequestObject) (runner.ListRunsResponseObject, error) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	log := append([]runner.RunCall{}, ru.log...)
	return runner.ListRuns200JSONResponse{Runs: log, MostInFlight: ru.most}, nil
}

// Runs counts the runs of one idempotency key of a workspace.
func (ru *Runner) Runs(ws identifier.Workspace, key identifier.Key) int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	count := 0
	for _, call := range ru.log {
		if call.Workspace == ws && call.Key == key {
			count++
		}
	}
	return count
}

// SetFaults replaces the faults.
func (ru *Runner) SetFaults(_ context.Context, req runner.SetFaultsRequestObject) (runner.SetFaultsResponseObject, error) {
	ru.Break(*req.Body)
	return runner.SetFaults200JSONResponse(*req.Body), nil
}

// Break replaces the faults.
func (ru *Runner) Break(fa runner.Faults) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.faults = fa
}

// VisitRunResponse answers that nothing was started.
func (refused) VisitRunResponse(w http.ResponseWriter) error {
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
	return nil
}

// VisitRunResponse writes the answer, twice on the same connection if the faults say so.
func (fa faultyAnswer) VisitRunResponse(w http.ResponseWriter) error {
	text, err := json.Marshal(fa.answer)
	if err != nil {
		return err
	}
	if fa.twice {
		return writeTwice(w, string(text))
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(text)
	return err
}

func writeTwice(w http.ResponseWriter, text string) error {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	one := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	if _, err := buf.WriteString(strings.Repeat(one, 2)); err != nil {
		return err
	}
	return buf.Flush()
}
