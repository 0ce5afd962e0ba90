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

const goodRequest = `{"key":"k","kind":"signUp","class":"normal","idempotent":true,"timeoutMillis":1000,"payload":"p"}`

// ask sends one HTTP request to a handler.
func ask(handler http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	return recorder
}

// refuses checks that the answer is a problem document of a kind, with a remedy.
func refuses(t *testing.T, answer *httptest.ResponseRecorder, status int, kind string) {
	t.Helper()
	var doc types.Problem
	if err := json.Unmarshal(answer.Body.Bytes(), &doc); err != nil {
		t.Fatalf("no problem document: %s", answer.Body)
	}
	asserter.Equal(t, answer.Header().Get("Content-Type"), "application/problem+json")
	asserter.Equal(t, answer.Code, status)
	asserter.Equal(t, doc.Kind, kind)
	asserter.Equal(t, doc.Remedy != "", true)
}

func withTokens(t *testing.T) *scene {
	sc := newScene(t, 1)
	for _, ws := range []identifier.Workspace{"studio", "online"} {
		ce := cells()
		ce.TokenDigests = []string{identifier.Digest("token of " + string(ws))}
		_, err := sc.daemons[0].Table.Apply(t.Context(), configurer.Edit{Workspace: ws, Cells: ce})
		asserter.OK(t, err)
	}
	sc.pass(soon)
	return sc
}

func TestCallerAPI(t *testing.T) {
	sc := withTokens(t)
	handler := sc.daemons[0].CallerHandler()
	const token = "token of studio"
	t.Run("a good request", func(t *testing.T) {
		answer := ask(handler, http.MethodPost, "/v1/requests", token, goodRequest)
		asserter.Equal(t, answer.Code, http.StatusOK)
		asserter.Equal(t, strings.Contains(answer.Body.String(), "answer to p"), true)
	})
	for name, tc := range map[string]struct {
		path, token, body string
		status            int
		kind              string
	}{
		"wrong token":        {"/v1/requests", "nobody's", goodRequest, http.StatusUnauthorized, "badToken"},
		"operator's token":   {"/v1/requests", "operator", goodRequest, http.StatusUnauthorized, "badToken"},
		"bad JSON":           {"/v1/requests", token, "{", http.StatusBadRequest, "badBody"},
		"unknown kind":       {"/v1/requests", token, strings.Replace(goodRequest, "signUp", "dance", 1), http.StatusBadRequest, "badBody"},
		"no key":             {"/v1/requests", token, strings.Replace(goodRequest, `"k"`, `""`, 1), http.StatusBadRequest, "badBody"},
		"oversized body":     {"/v1/requests", token, strings.Replace(goodRequest, `"p"`, `"`+strings.Repeat("p", 2<<20)+`"`, 1), http.StatusRequestEntityTooLarge, "bodyTooLarge"},
		"no members":         {"/v1/jobs", token, `{"key":"k","kind":"reRender","class":"normal","expectedMillis":1,"shape":{"members":0,"accelerators":1,"adjacency":"rack"},"payload":""}`, http.StatusBadRequest, "badBody"},
		"impossible job":     {"/v1/jobs", token, `{"key":"k","kind":"reRender","class":"normal","expectedMillis":1,"shape":{"members":5,"accelerators":8,"adjacency":"rack"},"payload":""}`, http.StatusUnprocessableEntity, "impossibleJob"},
		"result of no job":   {"/v1/jobs/j-x/cancel", token, "", http.StatusNotFound, "notFound"},
		"urgent by mistake ": {"/v1/requests", token, strings.Replace(goodRequest, "normal", "hasty", 1), http.StatusBadRequest, "badBody"},
	} {
		t.Run(name, func(t *testing.T) {
			refuses(t, ask(handler, http.MethodPost, tc.path, tc.token, tc.body), tc.status, tc.kind)
		})
	}
	t.Run("nothing was run by the refused ones", func(*testing.T) { sc.ran("k", 1) })
	t.Run("another workspace's job cannot be read", func(t *testing.T) {
		id := sc.mustSubmit("mine", shortWork)
		refuses(t, ask(handler, http.MethodGet, "/v1/jobs/"+string(id), "token of online", ""), http.StatusNotFound, "notFound")
		refuses(t, ask(handler, http.MethodGet, "/v1/jobs/"+string(id)+"/result", "token of online", ""), http.StatusNotFound, "notFound")
		refuses(t, ask(handler, http.MethodGet, "/v1/jobs/"+string(id)+"/result", token, ""), http.StatusConflict, "jobNotEnded")
	})
}

func TestOperatorAPI(t *testing.T) {
	sc := withTokens(t)
	handler := sc.daemons[0].OperatorHandler()
	t.Run("a caller's token is no operator's", func(t *testing.T) {
		refuses(t, ask(handler, http.MethodGet, "/v1/table", "token of studio", ""), http.StatusUnauthorized, "badToken")
	})
	t.Run("a stale row version changes nothing", func(t *testing.T) {
		body := `{"expectedVersion":1,"cells":{"weight":9,"guarantees":[],"limits":{"accelerators":1,"requests":1,"unconfirmedRequests":0,"queuedJobs":0},"urgentAllowed":false,"tokenDigests":[]}}`
		refuses(t, ask(handler, http.MethodPut, "/v1/table/studio", "operator", body), http.StatusConflict, "staleRow")
		row, _ := sc.daemons[0].Table.Row("studio")
		asserter.Equal(t, row.Cells.Weight, meter.Weight(1))
	})
	t.Run("a row that is not valid", func(t *testing.T) {
		refuses(t, ask(handler, http.MethodPut, "/v1/table/studio", "operator", `{"expectedVersion":1,"cells":{}}`), http.StatusBadRequest, "badRow")
	})
	t.Run("readiness and metrics need no token", func(t *testing.T) {
		asserter.Equal(t, ask(handler, http.MethodGet, "/ready", "", "").Code, http.StatusOK)
		asserter.Equal(t, strings.Contains(ask(handler, http.MethodGet, "/debug/vars", "", "").Body.String(), "tableVersion"), true)
	})
}

// FuzzBodies sends any body to the caller and operator APIs: each is answered, none breaks
// anything, and nothing that is refused is run.
func FuzzBodies(f *testing.F) {
	f.Add(goodRequest)
	f.Add(`{"key":"j","kind":"reRender","class":"normal","expectedMillis":1,"shape":{"members":1,"accelerators":8,"adjacency":"rack"},"payload":""}`)
	f.Add(`{"expectedVersion":0,"cells":{"weight":1,"guarantees":[{"zone":"kochi","count":1,"shape":{"members":1,"accelerators":8,"adjacency":"rack"}}],"limits":{"accelerators":1,"requests":1,"unconfirmedRequests":0,"queuedJobs":0},"urgentAllowed":false,"tokenDigests":[]}}`)
	f.Fuzz(func(t *testing.T, body string) {
		sc := newScene(t, 1)
		ce := cells()
		ce.TokenDigests = []string{identifier.Digest("token")}
		_, err := sc.daemons[0].Table.Apply(t.Context(), configurer.Edit{Workspace: "studio", Cells: ce})
		asserter.OK(t, err)
		for _, path := range []string{"/v1/requests", "/v1/jobs"} {
			if answer := ask(sc.daemons[0].CallerHandler(), http.MethodPost, path, "token", body); answer.Code == http.StatusInternalServerError {
				t.Fatalf("%s answered %s", path, answer.Body)
			}
		}
		if answer := ask(sc.daemons[0].OperatorHandler(), http.MethodPut, "/v1/table/other", "operator", body); answer.Code == http.StatusInternalServerError {
			t.Fatalf("the row was answered %s", answer.Body)
		}
	})
}
