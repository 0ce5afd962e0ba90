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
	maxHeaderBytes   = 64 << 10
	idleConnsPerHost = 8
)

// HTTPRunners calls runners over HTTP. A connection is closed when its exchange is
// cancelled, so that a late answer is never mistaken for the answer to another request.
type HTTPRunners struct {
	client *http.Client
	tracer *tracer.Tracer

	// clients caches one *runner.ClientWithResponses per address.
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
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// Run sends the call and checks that the answer is complete and belongs to it.
func (hr *HTTPRunners) Run(ctx context.Context, address string, rr RunnerRequest) (Answer, error) {
	client, err := hr.clientFor(address)
	if err != nil {
		return Answer{}, &NotStartedError{Cause: err}
	}
	an, err := client.RunWithResponse(ctx, runner.RunCall{
		RequestID: rr.ID,
		Workspace: rr.Workspace,
		Key:       rr.Key,
		Kind:      rr.Kind,
		Payload:   rr.Payload,
	})
	if err != nil {
		return Answer{}, classifyError(err)
	}
	return checkAnswer(an, rr)
}

func checkAnswer(an *runner.RunResponse, rr RunnerRequest) (Answer, error) {
	switch {
	case an.StatusCode() == http.StatusServiceUnavailable:
		return Answer{}, &NotStartedError{Cause: eris.New("no free slot")}
	case an.JSON200 == nil:
		return Answer{}, eris.Errorf("the runner answered with HTTP status %d", an.StatusCode())
	case an.JSON200.RequestID != rr.ID:
		return Answer{}, eris.Errorf("the answer belongs to request %s", an.JSON200.RequestID)
	case meter.Bytes(len(an.JSON200.Payload)) != an.JSON200.PayloadBytes:
		return Answer{}, eris.Errorf("the answer is truncated: got %d of %d bytes", len(an.JSON200.Payload), an.JSON200.PayloadBytes)
	}
	return Answer{Payload: an.JSON200.Payload, Failed: an.JSON200.Failed}, nil
}

// classifyError wraps errors of opening the connection in NotStartedError; after any other
// error the runner may have received the call.
func classifyError(err error) error {
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
		return nil, eris.Wrap(err, "invalid runner address")
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

// resultOf maps the error of a call to a result for the router. A runner that refuses a
// call counts as healthy; one that cannot be reached does not.
func resultOf(err error) router.Result {
	var op *net.OpError
	switch {
	case err == nil:
		return router.Answered
	case notStarted(err) && !eris.As(err, &op):
		return router.Refused
	default:
		return router.Failed
	}
}
