package daemon_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
)

const validRequest = `{"key":"k","kind":"signUp","class":"normal","idempotent":true,"timeoutMillis":1000,"payload":"p"}`

// serveHTTP sends one HTTP request to a handler.
func serveHTTP(handler http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	return recorder
}

// assertProblem checks that the answer is a problem document of a kind, with a remedy.
func assertProblem(t *testing.T, answer *httptest.ResponseRecorder, status int, kind string) {
	t.Helper()
	var doc types.Problem
	if err := json.Unmarshal(answer.Body.Bytes(), &doc); err != nil {
		t.Fatalf("not a problem document: %s", answer.Body)
	}
	asserter.Equal(t, answer.Header().Get("Content-Type"), "application/problem+json")
	asserter.Equal(t, answer.Code, status)
	asserter.Equal(t, doc.Kind, kind)
	asserter.Equal(t, doc.Remedy != "", true)
}

func newHarnessWithTokens(t *testing.T) *harness {
	ha := newHarness(t, 1)
	for _, ws := range []identifier.Workspace{"studio", "online"} {
		ce := cells()
		ce.TokenDigests = []string{identifier.Digest("token of " + string(ws))}
		_, err := ha.daemons[0].Table.Apply(t.Context(), configurer.Edit{Workspace: ws, Cells: ce})
		asserter.NoError(t, err)
	}
	ha.passTime(shortWait)
	return ha
}

func TestCallerAPI(t *testing.T) {
	ha := newHarnessWithTokens(t)
	handler := ha.daemons[0].CallerHandler()
	const token = "token of studio"
	t.Run("a valid request", func(t *testing.T) {
		answer := serveHTTP(handler, http.MethodPost, "/v1/requests", token, validRequest)
		asserter.Equal(t, answer.Code, http.StatusOK)
		asserter.Equal(t, strings.Contains(answer.Body.String(), "answer to p"), true)
	})
	for name, tc := range map[string]struct {
		path, token, body string
		status            int
		kind              string
	}{
		"wrong token":      {"/v1/requests", "unknown token", validRequest, http.StatusUnauthorized, "badToken"},
		"operator's token": {"/v1/requests", "operator", validRequest, http.StatusUnauthorized, "badToken"},
		"bad JSON":         {"/v1/requests", token, "{", http.StatusBadRequest, "badBody"},
		"unknown kind":     {"/v1/requests", token, strings.Replace(validRequest, "signUp", "dance", 1), http.StatusBadRequest, "badBody"},
		"no key":           {"/v1/requests", token, strings.Replace(validRequest, `"k"`, `""`, 1), http.StatusBadRequest, "badBody"},
		"oversized body":   {"/v1/requests", token, strings.Replace(validRequest, `"p"`, `"`+strings.Repeat("p", 2<<20)+`"`, 1), http.StatusRequestEntityTooLarge, "bodyTooLarge"},
		"no members":       {"/v1/jobs", token, `{"key":"k","kind":"reRender","class":"normal","expectedMillis":1,"shape":{"members":0,"accelerators":1,"adjacency":"rack"},"payload":""}`, http.StatusBadRequest, "badBody"},
		"impossible job":   {"/v1/jobs", token, `{"key":"k","kind":"reRender","class":"normal","expectedMillis":1,"shape":{"members":5,"accelerators":8,"adjacency":"rack"},"payload":""}`, http.StatusUnprocessableEntity, "impossibleJob"},
		"unknown job":      {"/v1/jobs/j-x/cancel", token, "", http.StatusNotFound, "notFound"},
		"unknown class":    {"/v1/requests", token, strings.Replace(validRequest, "normal", "hasty", 1), http.StatusBadRequest, "badBody"},
	} {
		t.Run(name, func(t *testing.T) {
			assertProblem(t, serveHTTP(handler, http.MethodPost, tc.path, tc.token, tc.body), tc.status, tc.kind)
		})
	}
	t.Run("the rejected requests ran nothing", func(*testing.T) { ha.assertRuns("k", 1) })
	t.Run("a job of another workspace cannot be read", func(t *testing.T) {
		id := ha.mustSubmit("mine", shortWork)
		assertProblem(t, serveHTTP(handler, http.MethodGet, "/v1/jobs/"+string(id), "token of online", ""), http.StatusNotFound, "notFound")
		assertProblem(t, serveHTTP(handler, http.MethodGet, "/v1/jobs/"+string(id)+"/result", "token of online", ""), http.StatusNotFound, "notFound")
		assertProblem(t, serveHTTP(handler, http.MethodGet, "/v1/jobs/"+string(id)+"/result", token, ""), http.StatusConflict, "jobNotEnded")
	})
}

func TestOperatorAPI(t *testing.T) {
	ha := newHarnessWithTokens(t)
	handler := ha.daemons[0].OperatorHandler()
	t.Run("a caller's token does not authorize operator calls", func(t *testing.T) {
		assertProblem(t, serveHTTP(handler, http.MethodGet, "/v1/table", "token of studio", ""), http.StatusUnauthorized, "badToken")
	})
	t.Run("a stale row version changes nothing", func(t *testing.T) {
		body := `{"expectedVersion":1,"cells":{"weight":9,"guarantees":[],"limits":{"accelerators":1,"requests":1,"unconfirmedRequests":0,"queuedJobs":0},"urgentAllowed":false,"tokenDigests":[]}}`
		assertProblem(t, serveHTTP(handler, http.MethodPut, "/v1/table/studio", "operator", body), http.StatusConflict, "staleRow")
		row, _ := ha.daemons[0].Table.Row("studio")
		asserter.Equal(t, row.Cells.Weight, meter.Weight(1))
	})
	t.Run("an invalid row is rejected", func(t *testing.T) {
		assertProblem(t, serveHTTP(handler, http.MethodPut, "/v1/table/studio", "operator", `{"expectedVersion":1,"cells":{}}`), http.StatusBadRequest, "badRow")
	})
	t.Run("readiness and metrics need no token", func(t *testing.T) {
		asserter.Equal(t, serveHTTP(handler, http.MethodGet, "/ready", "", "").Code, http.StatusOK)
		asserter.Equal(t, strings.Contains(serveHTTP(handler, http.MethodGet, "/debug/vars", "", "").Body.String(), "tableVersion"), true)
	})
}

// FuzzBodies sends arbitrary bodies to the caller and operator APIs, which must never answer
// with an internal error.
func FuzzBodies(f *testing.F) {
	f.Add(validRequest)
	f.Add(`{"key":"j","kind":"reRender","class":"normal","expectedMillis":1,"shape":{"members":1,"accelerators":8,"adjacency":"rack"},"payload":""}`)
	f.Add(`{"expectedVersion":0,"cells":{"weight":1,"guarantees":[{"zone":"kochi","count":1,"shape":{"members":1,"accelerators":8,"adjacency":"rack"}}],"limits":{"accelerators":1,"requests":1,"unconfirmedRequests":0,"queuedJobs":0},"urgentAllowed":false,"tokenDigests":[]}}`)
	f.Fuzz(func(t *testing.T, body string) {
		ha := newHarness(t, 1)
		ce := cells()
		ce.TokenDigests = []string{identifier.Digest("token")}
		_, err := ha.daemons[0].Table.Apply(t.Context(), configurer.Edit{Workspace: "studio", Cells: ce})
		asserter.NoError(t, err)
		for _, path := range []string{"/v1/requests", "/v1/jobs"} {
			if answer := serveHTTP(ha.daemons[0].CallerHandler(), http.MethodPost, path, "token", body); answer.Code == http.StatusInternalServerError {
				t.Fatalf("%s answered %s", path, answer.Body)
			}
		}
		if answer := serveHTTP(ha.daemons[0].OperatorHandler(), http.MethodPut, "/v1/table/other", "operator", body); answer.Code == http.StatusInternalServerError {
			t.Fatalf("the row edit answered %s", answer.Body)
		}
	})
}
