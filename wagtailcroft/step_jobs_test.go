package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
)

// answering returns a terminal whose instance answers each path with a message.
func answering(t *testing.T, answers map[string]any) *terminal {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set("Content-Type", "application/json")
		asserter.OK(t, json.NewEncoder(wr).Encode(answers[rq.URL.Path]))
	}))
	t.Cleanup(server.Close)
	return &terminal{t: t, url: server.URL}
}

func TestStepJobs(t *testing.T) {
	jo := operator.JobView{
		JobID: "5c0e7a21d94b36f8", Workspace: "studio", Queue: "sign-ups", Class: types.ClassUrgent, State: "running",
		Steps: []operator.StepView{{Tasks: 4, Accelerators: 8, Done: 1, Running: 2, Waiting: 1}},
		Why:   []string{"step 0 of occurrence 0: 2 tasks run, 1 are done, 1 wait for room"},
	}
	te := answering(t, map[string]any{
		"/v1/jobs":                              operator.JobList{Jobs: []operator.JobView{jo}},
		"/v1/jobs/" + string(jo.JobID):          jo,
		"/v1/jobs/" + string(jo.JobID) + "/why": operator.Why{JobID: jo.JobID, State: jo.State, Lines: jo.Why},
		"/v1/targets": operator.TargetList{Targets: []operator.TargetView{
			{TargetID: "w1", Kind: operator.TargetViewKindWorker, Pool: "desk", Accelerators: 8, FreeAccelerators: 3, FreeMilliCores: 12000, Tasks: []string{"a", "b"}, State: operator.TargetViewStateSilent},
		}},
		"/v1/workspaces": operator.WorkspaceList{Workspaces: []operator.WorkspaceView{{Workspace: "studio", Guaranteed: 72, Used: 16, Borrowed: 8, Waiting: 32, Jobs: 5}}},
	})
	t.Run("jobs show their queue, steps and what they wait for", func(t *testing.T) {
		te.t = t
		te.types("jobs list").sees("5c0e7a21d94b36f8", "sign-ups", "4x8:1/2/1", "1 wait for room").exits(0)
		te.types("jobs show 5c0e7a21d94b36f8").sees("sign-ups", "urgent").exits(0)
		te.types("why 5c0e7a21d94b36f8").sees("running", "1 wait for room").exits(0)
	})
	t.Run("workers show their room and tasks", func(t *testing.T) {
		te.t = t
		te.types("workers list").sees("w1", "3, 12 cores", "2", "silent").exits(0)
	})
	t.Run("workspaces show what is guaranteed and borrowed", func(t *testing.T) {
		te.t = t
		te.types("workspaces list").sees("studio", "72", "16", "8", "32", "5").exits(0)
		te.types("workspaces list --output json").sees(`"guaranteed": 72`).exits(0)
	})
}
