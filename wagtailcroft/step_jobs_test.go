package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// newStubRunner returns a runner for a stub server that responds to each path with the given
// message.
func newStubRunner(t *testing.T, responses map[string]any) *cliRunner {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set("Content-Type", "application/json")
		asserter.NoError(t, json.NewEncoder(wr).Encode(responses[rq.URL.Path]))
	}))
	t.Cleanup(server.Close)
	return &cliRunner{t: t, url: server.URL}
}

func TestStepJobs(t *testing.T) {
	jo := operator.JobView{
		JobID: "5c0e7a21d94b36f8", Workspace: "studio", Queue: "sign-ups", Class: types.ClassUrgent, State: "running",
		Steps: []operator.StepView{{Tasks: 4, Accelerators: 8, Done: 1, Running: 2, Waiting: 1}},
		Why:   []string{"step 0 of occurrence 0: 2 tasks running, 1 done, 1 waiting for capacity: each requests 4000 millicores, 4000 MiB and 8 accelerators; 0 of 4 usable workers have enough free; 6 accelerators are free, at most 4 on one worker"},
	}
	cli := newStubRunner(t, map[string]any{
		"/v1/jobs":                              operator.JobList{Jobs: []operator.JobView{jo}},
		"/v1/jobs/" + string(jo.JobID):          jo,
		"/v1/jobs/" + string(jo.JobID) + "/why": operator.Why{JobID: jo.JobID, State: jo.State, Lines: jo.Why},
		"/v1/targets": operator.TargetList{Targets: []operator.TargetView{
			{TargetID: "w1", Kind: operator.TargetViewKindWorker, Pool: "desk", Accelerators: 8, FreeAccelerators: 3, FreeMilliCores: 12000, Tasks: []string{"a", "b"}, RunTimePercent: 160, SpeedRuns: 7, SpeedAgeMillis: 4000, State: operator.TargetViewStateSilent},
		}},
		"/v1/workspaces": operator.WorkspaceList{Workspaces: []operator.WorkspaceView{{Workspace: "studio", Guaranteed: 72, Used: 16, Borrowed: 8, Waiting: 32, Jobs: 5, Unreclaimable: 7}}},
		"/v1/zones": operator.ZoneList{Zones: []operator.ZoneView{
			{Zone: "kochi", Evacuated: true, RowVersion: 41, Workers: 12, Accelerators: 96, FreeAccelerators: 90, Tasks: []string{"a", "b"}, Jobs: []identifier.Job{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8", "j9"}},
			{Zone: "tvm", Workers: 13, Accelerators: 104, FreeAccelerators: 5, Tasks: []string{}, Jobs: []identifier.Job{}},
		}},
		"/v1/interference": operator.InterferenceList{
			Pairs: []operator.ImagePairView{
				{Disturbed: "web", Disturbing: "index", Verdict: operator.ImagePairViewVerdictDisturbs, Named: operator.ImagePairViewNamedNone, Factor: 1.5, LowFactor: 1.4, HighFactor: 1.6, Contrasts: 31, Workers: 8},
				{Disturbed: "web", Disturbing: "backup", Verdict: operator.ImagePairViewVerdictHarmless, Named: operator.ImagePairViewNamedNone, Factor: 1, LowFactor: 1, HighFactor: 1},
			},
			Workers: []operator.WorkerPaceView{{Worker: "w7", Cause: operator.WorkerPaceViewCauseWorker, OwnFactor: 2, NeighborFactor: 1, Runs: 16}},
		},
	})
	t.Run("jobs show their queue, steps and reason for waiting", func(t *testing.T) {
		cli.t = t
		cli.exec("jobs list").expectOutput("5c0e7a21d94b36f8", "sign-ups", "4x8:1/2/1", "1 waiting for capacity: each requests 4000 millicores").expectCode(0)
		cli.exec("jobs show 5c0e7a21d94b36f8").expectOutput("sign-ups", "urgent").expectCode(0)
		cli.exec("why 5c0e7a21d94b36f8").expectOutput("running", "1 waiting for capacity: each requests 4000 millicores").expectCode(0)
	})
	t.Run("workers show their free capacity and tasks", func(t *testing.T) {
		cli.t = t
		cli.exec("workers list").expectOutput("w1", "3, 12 cores", "2", "160%, 7 runs, 4 s ago", "silent").expectCode(0)
	})
	t.Run("zones show whether they are evacuated and what runs there", func(t *testing.T) {
		cli.t = t
		cli.exec("zones list").expectOutput("kochi", "evacuated by row version 41", "12", "90", "j1 j2", "j8 and 1 more", "tvm", "in use").expectCode(0)
		cli.exec("zones list --output json").expectOutput(`"rowVersion": 41`, `"j9"`).expectCode(0)
	})
	t.Run("interference shows pairs that disturb each other with their evidence, and slow workers", func(t *testing.T) {
		cli.t = t
		cli.exec("interference list").expectOutput("web", "index", "disturbs", "1.50", "1.40 to 1.60", "31", "8", "worker w7", "2.00").expectCode(0)
		cli.exec("interference list --all").expectOutput("backup", "harmless").expectCode(0)
		cli.exec("interference list --output json").expectOutput(`"disturbing": "backup"`).expectCode(0)
	})
	t.Run("workspaces show guaranteed and borrowed accelerators", func(t *testing.T) {
		cli.t = t
		cli.exec("workspaces list").expectOutput("studio", "72", "16", "8", "32", "5", "UNRECLAIMABLE", "7").expectCode(0)
		cli.exec("workspaces list --output json").expectOutput(`"guaranteed": 72`).expectCode(0)
	})
}
