package overseer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/controller"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/overseer"
)

// leader is the instance that an operator asks: it leads, and has no jobs.
type leader struct{}

func (leader) View() (controller.View, bool) { return controller.View{}, true }

func (leader) Leader(context.Context) (ledger.Leader, error) {
	return ledger.Leader{Instance: "a"}, nil
}

func (leader) Find(_ context.Context, id identifier.Job) (workload.State, string, error) {
	return 0, "", problem.New(problem.UnknownJob, "the store has no job %s", id)
}

func (leader) Current() *policy.Policy { return (&policy.Policy{Version: 1}).Index() }

func (leader) Call(context.Context, string, string, any, any) error { return nil }

func (leader) ServeHTTP(http.ResponseWriter, *http.Request) {}

func newHandler(t testing.TB) http.Handler {
	t.Helper()
	spans, err := tracer.New(t.Context(), settings.Trace{Exporter: "none"}, "a", &strings.Builder{})
	asserter.NoError(t, err)
	le := leader{}
	return overseer.New(overseer.Options{
		Instance: "a", Zone: "z", Controller: le, Leadership: le, Jobs: le, Policies: le, Caller: le, Metrics: le, Tracer: spans, Log: zerolog.Nop(),
	}).Handler()
}

// FuzzOperatorCalls sends arbitrary calls to the operator API, which must never answer with an internal error.
func FuzzOperatorCalls(f *testing.F) {
	for _, call := range [][3]string{
		{http.MethodGet, "/v1/jobs", ""}, {http.MethodGet, "/v1/jobs/0123456789abcdef", ""}, {http.MethodGet, "/v1/jobs/0123456789abcdef/why", ""},
		{http.MethodGet, "/v1/jobs/%ff%00", ""}, {http.MethodGet, "/v1/jobs/" + strings.Repeat("a", 300), ""}, {http.MethodGet, "/v1/targets", ""},
		{http.MethodGet, "/v1/workspaces", ""}, {http.MethodGet, "/v1/status", ""}, {http.MethodGet, "/v1/table", ""}, {http.MethodGet, "/v1/table/a/history?limit=-1", ""},
		{http.MethodPut, "/v1/table/a", `{"expectedVersion":0,"cells":{"weight":1}}`}, {http.MethodPut, "/v1/table/a", `{"cells":[]}`}, {http.MethodPut, "/v1/table/a", strings.Repeat("[", 20_000)},
		{http.MethodPost, "/v1/targets/a/drain", `{"undo":1}`}, {http.MethodDelete, "/v1/jobs/a", ""}, {http.MethodGet, "/metrics", ""}, {http.MethodGet, "/debug/vars", ""},
	} {
		f.Add(call[0], call[1], call[2])
	}
	handler := newHandler(f)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		rq, err := http.NewRequest(method, path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		re := httptest.NewRecorder()
		handler.ServeHTTP(re, rq)
		if re.Code == http.StatusInternalServerError {
			t.Fatalf("%s %s answers %s", method, path, re.Body)
		}
	})
}
