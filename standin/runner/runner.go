// Package runner simulates a runner for tests: it runs requests in a limited number of
// slots, records every run, and injects faults on request.
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

const defaultRunTime clock.Millis = 5

type (
	// Behavior is the payload of a request, which determines how its simulated run behaves.
	Behavior struct {
		RunMillis clock.Millis `json:"runMillis"`
		Fail      bool         `json:"fail"`
	}

	// Runner is a simulated runner.
	Runner struct {
		clock clock.Clock
		slots meter.Slots

		mu locker.Mutex
		// log holds every run in the order of the starts; guarded by mu.
		log []runner.RunCall
		// inFlight is the current number of concurrent runs and mostInFlight the highest
		// one so far; guarded by mu.
		inFlight     meter.Slots
		mostInFlight meter.Slots
		// faults is guarded by mu.
		faults runner.Faults
		// lastAnswer is the previous answer, which is sent in place of a swapped one;
		// guarded by mu.
		lastAnswer runner.RunAnswer
	}

	// noFreeSlot is the response to a request that was not started because no slot was
	// free or the faults refuse all requests.
	noFreeSlot struct{}

	// faultyAnswer is an answer after the injected faults have been applied to it.
	faultyAnswer struct {
		answer runner.RunAnswer
		// twice means that the answer is sent twice on the same connection.
		twice bool
	}
)

// New returns a runner with the given number of slots.
func New(cl clock.Clock, slots meter.Slots) *Runner {
	return &Runner{clock: cl, slots: slots, mu: locker.New(locker.RankPlatform)}
}

// Handler serves the runner API.
func (ru *Runner) Handler() http.Handler {
	return runner.HandlerFromMux(runner.NewStrictHandler(ru, nil), mux.NewRouter())
}

// Run executes a request, unless it is refused.
func (ru *Runner) Run(ctx context.Context, req runner.RunRequestObject) (runner.RunResponseObject, error) {
	delay, ok := ru.begin(*req.Body)
	if !ok {
		return noFreeSlot{}, nil
	}
	be := Behavior{RunMillis: defaultRunTime}
	_ = json.Unmarshal([]byte(req.Body.Payload), &be) // a payload of another format runs for the default time
	// A run that has started continues even if the caller disconnects.
	clock.Sleep(context.WithoutCancel(ctx), ru.clock, be.RunMillis+delay)
	return ru.end(answerFor(*req.Body, be))
}

func answerFor(call runner.RunCall, be Behavior) runner.RunAnswer {
	payload := "answer to " + call.Payload
	return runner.RunAnswer{RequestID: call.RequestID, Failed: be.Fail, Payload: payload, PayloadBytes: meter.Bytes(len(payload))}
}

// begin occupies a slot and records the run. It returns the injected delay of the answer,
// and false if no slot is free or the faults refuse all requests.
func (ru *Runner) begin(call runner.RunCall) (clock.Millis, bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.faults.Refusing || ru.inFlight >= ru.slots {
		return 0, false
	}
	ru.inFlight++
	ru.mostInFlight = max(ru.mostInFlight, ru.inFlight)
	ru.log = append(ru.log, call)
	return ru.faults.DelayMillis, true
}

// end frees the slot and applies the injected faults to the answer.
func (ru *Runner) end(answer runner.RunAnswer) (runner.RunResponseObject, error) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.inFlight--
	before := ru.lastAnswer
	ru.lastAnswer = answer
	if ru.faults.Failing {
		answer.Failed = true
	}
	fa := faultyAnswer{answer: answer}
	switch {
	case consume(&ru.faults.Dropped):
		panic(http.ErrAbortHandler)
	case consume(&ru.faults.Truncated):
		fa.answer.Payload = answer.Payload[:len(answer.Payload)/2]
	case consume(&ru.faults.Doubled):
		fa.twice = true
	case before.RequestID != "" && consume(&ru.faults.Swapped):
		fa.answer = before
	}
	return fa, nil
}

func consume(count *int32) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// ListRuns returns every run so far and the highest number of concurrent runs.
func (ru *Runner) ListRuns(context.Context, runner.ListRunsRequestObject) (runner.ListRunsResponseObject, error) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	log := append([]runner.RunCall{}, ru.log...)
	return runner.ListRuns200JSONResponse{Runs: log, MostInFlight: ru.mostInFlight}, nil
}

// RunCount returns the number of runs that had an idempotency key of a workspace.
func (ru *Runner) RunCount(ws identifier.Workspace, key identifier.Key) int {
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

// SetFaults replaces the injected faults; it serves the API operation.
func (ru *Runner) SetFaults(_ context.Context, req runner.SetFaultsRequestObject) (runner.SetFaultsResponseObject, error) {
	ru.InjectFaults(*req.Body)
	return runner.SetFaults200JSONResponse(*req.Body), nil
}

// InjectFaults replaces the injected faults.
func (ru *Runner) InjectFaults(fa runner.Faults) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.faults = fa
}

// VisitRunResponse writes a response which says that the request was not started.
func (noFreeSlot) VisitRunResponse(w http.ResponseWriter) error {
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
	return nil
}

// VisitRunResponse writes the answer, and writes it twice on the same connection if that
// fault is injected.
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
	response := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	if _, err := buf.WriteString(strings.Repeat(response, 2)); err != nil {
		return err
	}
	return buf.Flush()
}
