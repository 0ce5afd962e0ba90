package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/runner"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/router"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
)

const (
	dialTimeout      = 500 * clock.Millis(1)
	idleTimeout      = 30 * clock.Second
	longestHeader    = 64 << 10 // bytes
	idleConnsPerHost = 8
)

// HTTPRunners calls runners over HTTP. A connection whose exchange was given up is closed,
// so that a late answer can never be taken for that of another request.
type HTTPRunners struct {
	client *http.Client
	tracer *tracer.Tracer

	// clients caches one *runner.ClientWithResponses for each address.
	clients sync.Map
}

// NewRunners returns a client that opens at most the given number of connections to each
// runner.
func NewRunners(tr *tracer.Tracer, connections meter.Connections) *HTTPRunners {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	return &HTTPRunners{tracer: tr, client: &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        int(connections),
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleTimeout.Duration(),
		MaxResponseHeaderBytes: longestHeader,
	}}}
}

// Run sends the call and checks that the answer is whole and its own.
func (hr *HTTPRunners) Run(ctx context.Context, address string, call Call) (Answer, error) {
	client, err := hr.clientFor(address)
	if err != nil {
		return Answer{}, &NotStartedError{Cause: err}
	}
	an, err := client.RunWithResponse(ctx, runner.RunCall{
		RequestID: call.ID,
		Workspace: call.Workspace,
		Key:       call.Key,
		Kind:      call.Kind,
		Payload:   call.Payload,
	})
	if err != nil {
		return Answer{}, dialProblem(err)
	}
	return checkAnswer(an, call)
}

func checkAnswer(an *runner.RunResponse, call Call) (Answer, error) {
	switch {
	case an.StatusCode() == http.StatusServiceUnavailable:
		return Answer{}, &NotStartedError{Cause: eris.New("no free slot")}
	case an.JSON200 == nil:
		return Answer{}, eris.Errorf("the runner answered %d", an.StatusCode())
	case an.JSON200.RequestID != call.ID:
		return Answer{}, eris.Errorf("the answer belongs to request %s", an.JSON200.RequestID)
	case meter.Bytes(len(an.JSON200.Payload)) != an.JSON200.PayloadBytes:
		return Answer{}, eris.Errorf("the answer has %d of %d bytes", len(an.JSON200.Payload), an.JSON200.PayloadBytes)
	}
	return Answer{Payload: an.JSON200.Payload, Failed: an.JSON200.Failed}, nil
}

// dialProblem tells errors before the connection was made from those after.
func dialProblem(err error) error {
	var op *net.OpError
	if eris.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{Cause: err}
	}
	return err
}

func (hr *HTTPRunners) clientFor(address string) (*runner.ClientWithResponses, error) {
	if known, found := hr.cached(address); found {
		return known, nil
	}
	client, err := runner.NewClientWithResponses("http://"+address, runner.WithHTTPClient(hr.client), runner.WithRequestEditorFn(hr.tracer.Inject))
	if err != nil {
		return nil, eris.Wrap(err, "the runner's address is not valid")
	}
	hr.clients.Store(address, client)
	return client, nil
}

func (hr *HTTPRunners) cached(address string) (*runner.ClientWithResponses, bool) {
	known, _ := hr.clients.Load(address)
	client, found := known.(*runner.ClientWithResponses)
	return client, found
}

// Close closes idle connections.
func (hr *HTTPRunners) Close() { hr.client.CloseIdleConnections() }

func notStarted(err error) bool {
	var ns *NotStartedError
	return eris.As(err, &ns)
}

// resultOf tells the router how a call went. A runner that refuses is healthy; one that
// cannot be reached is not.
func resultOf(err error) router.Result {
	var op *net.OpError
	switch {
	case err == nil:
		return router.Answered
	case notStarted(err) && !eris.As(err, &op):
		return router.Refused
	default:
		return router.Broken
	}
}
