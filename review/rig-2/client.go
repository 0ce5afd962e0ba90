package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	host   = "nony24.example"
	apiKey = "key-of-tenant-one"
	// pool is the service, and the prefixes are those of the three queues by their priorities.
	pool    = "huvo11a"
	urgent  = "/pufi791/"
	normal  = "/lohu930/"
	patient = "/pule252/"
	advised = "/zofi118/"
)

type (
	client struct {
		re  *recorder
		das []*daemon
	}

	job struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}

	step struct {
		Count          int    `json:"count"`
		CPU            int    `json:"cpu,omitempty"`
		MemMb          int    `json:"memMb,omitempty"`
		Gpu            int    `json:"gpu,omitempty"`
		EstimateMs     int    `json:"estimateMs,omitempty"`
		Requires       string `json:"requires,omitempty"`
		Gang           bool   `json:"gang,omitempty"`
		Checkpointing  bool   `json:"checkpointing,omitempty"`
		AntiAffinity   int    `json:"antiAffinity,omitempty"`
		LongRunning    bool   `json:"longRunning,omitempty"`
		MaxUnavailable int    `json:"maxUnavailable,omitempty"`
	}
)

// writeConfig is the operator's first configuration.
func writeConfig(st *store) {
	route := func(name, prefix string, objective, priority, attempts int, stretch float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "objectiveMs": objective,
			"priority": priority, "service": pool, "maxAttempts": attempts, "stretch": stretch, "allowAnonymous": false,
		}
	}
	st.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			route("r-yyjsg3a", urgent, 250, 0, 4, 1.5), route("r-7ejsmzz", normal, 1000, 1, 3, 3), route("r-jwyy7yx", patient, 3000, 2, 4, 3), withAdvice(route("r-aa7yx", advised, 1000, 1, 4, 3)),
		},
		"services": []any{map[string]any{"name": pool, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "enforcesCapacity": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "t-one", "apiKeys": []string{apiKey}}},
	})
}

// withAdvice lets a queue need advice.
func withAdvice(route map[string]any) map[string]any {
	route["advice"] = map[string]any{"decisionMs": 100, "perWorkerMs": 5, "validityMs": 3000}
	return route
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func specOf(wo work) string {
	text, _ := json.Marshal(wo)
	return string(text)
}

// call makes one call at an instance; status 0 means that no answer came.
func (cl *client) call(da *daemon, method, path string, body any) (int, map[string]any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	rq, err := http.NewRequest(method, "http://"+da.front+path, bytes.NewReader(text))
	check(err)
	rq.Host = host
	rq.Header.Set("Authorization", "Bearer "+apiKey)
	rq.Header.Set("X-Wagtailcroft-Deadline-Ms", "3000")
	if body != nil {
		rq.Header.Set("Content-Type", "application/json")
	}
	hc := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := hc.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = rs.Body.Close() }()
	out := map[string]any{}
	answer, _ := io.ReadAll(rs.Body)
	_ = json.Unmarshal(answer, &out)
	return rs.StatusCode, out
}

// submit hands a job in, again at another instance where the answer was not final.
func (cl *client) submit(prefix string, jo job) (string, bool) {
	id := newID()
	for try := range 5 {
		status, _ := cl.call(cl.das[try%len(cl.das)], http.MethodPost, prefix+id, jo)
		cl.re.note("client POST %s%s spec %s -> %d", prefix, id, jo.Spec, status)
		if status == http.StatusOK {
			return id, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}

// state asks for the state of a job at any instance.
func (cl *client) state(prefix, id string) string {
	status, out := cl.call(cl.das[rand.IntN(len(cl.das))], http.MethodGet, prefix+id, nil)
	if status == http.StatusOK {
		text, _ := out["state"].(string)
		return text
	}
	return fmt.Sprintf("(%d)", status)
}
