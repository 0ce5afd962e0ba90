package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// goodConfig is a configuration in which nothing is to be found.
const goodConfig = `{
 "version": 7,
 "routes": [
  {"name": "urgent", "host": "a.example", "pathPrefix": "/urgent/", "kind": "unsafe", "service": "pool",
   "timeoutMs": 3000, "objectiveMs": 250, "stretch": 1.5, "priority": 0, "maxAttempts": 3},
  {"name": "batch", "host": "a.example", "pathPrefix": "/batch/", "kind": "unsafe", "service": "pool",
   "timeoutMs": 3000, "objectiveMs": 1000, "stretch": 3, "priority": 2, "maxAttempts": 3}
 ],
 "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 64, "protocol": "h1"}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
 "tenants": [{"name": "alice", "apiKeys": ["first-key", "second-key"], "guaranteed": {"gpu": 8}}]
}
`

// configFile writes the good configuration with some texts replaced, and returns the path.
func configFile(t *testing.T, replacements ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	asserter.NoError(t, os.WriteFile(path, []byte(strings.NewReplacer(replacements...).Replace(goodConfig)), 0o600))
	return path
}

// newStubStore returns the address of a store that holds the good configuration and one worker.
func newStubStore(t *testing.T) string {
	t.Helper()
	rows := map[string]wire.Row{
		"op":      {Table: "op", Key: "config", Value: []byte(goodConfig), RowVersion: 3},
		"servers": {Table: "servers", Key: "w1", Value: []byte(`{"service":"pool","address":"10.0.0.1:1","zone":"z","state":"ready","born":5,"labels":["a","r1"],"capacity":{"cpu":1000,"memMb":1000,"gpu":8}}`), RowVersion: 4},
	}
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		row := rows[rq.URL.Query().Get("table")]
		asserter.NoError(t, json.NewEncoder(wr).Encode(wire.RowsReply{Rows: []wire.Row{row}, RowVersion: 9}))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestConfigCheck(t *testing.T) {
	cli := &cliRunner{t: t, url: "http://127.0.0.1:1"} // no instance is asked
	t.Run("a good configuration", func(t *testing.T) {
		cli.t = t
		cli.exec("config check " + configFile(t)).expectOutput("no errors and no warnings").expectCode(0)
	})
	t.Run("errors have a line and a key, and give exit code 3", func(t *testing.T) {
		cli.t = t
		cli.exec("config check "+configFile(t, "/batch/", "/urgent/")).expectOutput("error", "6", "routes[1].pathPrefix", "no call reaches queue batch", "1 errors").expectCode(3)
		cli.exec("config check "+configFile(t, `"version": 7,`, `"version": 7;`)).expectOutput("error", "2", "invalid character ';'", "keep the one in force").expectCode(3)
	})
	t.Run("warnings give exit code 0", func(t *testing.T) {
		cli.t = t
		cli.exec("config check "+configFile(t, `"maxAttempts": 3}`, `"maxAttempt": 3}`)).expectOutput("warning", "did you mean maxAttempts?", "without end").expectCode(0)
	})
	t.Run("keys of the platform are no mistake", func(t *testing.T) {
		cli.t = t
		cli.exec("config check " + configFile(t))
		asserter.Equal(t, strings.Contains(cli.output, "healthPath"), false)
	})
	t.Run("JSON output", func(t *testing.T) {
		cli.t = t
		cli.exec("config check -o json "+configFile(t, `"stretch": 3`, `"stretch": 0.5`)).expectOutput(`"severity": "warning"`, `"key": "routes[1].stretch"`, `"errors": 0`).expectCode(0)
	})
	t.Run("against the version in force", func(t *testing.T) {
		cli.t = t
		store := newStubStore(t)
		check := "config check --in-force --store " + store + " "
		cli.exec(check + configFile(t)).expectOutput("the version 7 is not above 7").expectCode(3)
		cli.exec(check + configFile(t, `"version": 7`, `"version": 8`)).expectOutput("no errors").expectCode(0)
		cli.exec(check+configFile(t, `"version": 7`, `"version": 8`, `, "second-key"`, ``, `"name": "batch"`, `"name": "nightly"`)).
			expectOutput("change", "queue batch", "calls get 404", "queue nightly", "calls with 1 removed keys get 401").expectCode(0)
		asserter.Equal(t, strings.Contains(cli.output, "first-key"), false)
		cli.exec(check+configFile(t, `"version": 7`, `"version": 8`, `{"gpu": 8}`, `{"gpu": 9}`)).expectOutput("add up to 9 accelerators", "hold 8").expectCode(3)
	})
	t.Run("the store is needed and must answer", func(t *testing.T) {
		cli.t = t
		cli.exec("config check --in-force " + configFile(t)).expectOutput("--store").expectCode(1)
		cli.exec("config check --in-force --store 127.0.0.1:1 "+configFile(t)).expectOutput("The store did not answer", "without --in-force").expectCode(5)
		cli.exec("config check no-such-file").expectOutput("no-such-file").expectCode(2)
	})
}
