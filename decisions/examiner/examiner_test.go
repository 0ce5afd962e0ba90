package examiner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/examiner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// sound returns a configuration in which nothing is to be found.
func sound() *policy.Policy {
	return &policy.Policy{
		Queues: []policy.Queue{
			{Name: "urgent", Host: "a.example", Prefix: "/urgent/", Pool: "pool", Timeout: 3000, Objective: 250, SlowdownFactor: 1.5, MaxAttempts: 3},
			{Name: "batch", Host: "a.example", Prefix: "/batch/", Pool: "pool", Timeout: 3000, Objective: 3000, SlowdownFactor: 3, Priority: 2, MaxAttempts: 3},
		},
		Pools:      map[identifier.Pool]policy.Pool{"pool": {}},
		Workspaces: []policy.Workspace{{Name: "alice", APIKeys: []string{"k1", "k2"}, Guaranteed: 16}, {Name: "bob", APIKeys: []string{"k3"}}},
		BodyLimit:  1000,
	}
}

func fleet(accelerators meter.Accelerators) *examiner.Fleet {
	return &examiner.Fleet{
		Workers:      map[identifier.Pool]int{"pool": int((accelerators + 7) / 8)},
		Accelerators: map[identifier.Pool]meter.Accelerators{"pool": accelerators},
	}
}

// expectFinding checks that a change of the sound configuration gives exactly one finding.
func expectFinding(t *testing.T, fl *examiner.Fleet, severity examiner.Severity, at examiner.Place, text string, change func(po *policy.Policy)) {
	t.Helper()
	po := sound()
	change(po)
	found := examiner.Examine(po.Index(), fl)
	if len(found) != 1 || found[0].Severity != severity || found[0].Place != at || !strings.Contains(found[0].Text, text) || found[0].Remedy == "" {
		t.Fatalf("got %+v, want one %s at %v with %q", found, severity, at, text)
	}
}

func TestExamine(t *testing.T) {
	queue := func(field examiner.Field) examiner.Place {
		return examiner.Place{Kind: examiner.Queue, Index: 1, Field: field}
	}
	workspace := func(index int, field examiner.Field) examiner.Place {
		return examiner.Place{Kind: examiner.Workspace, Index: index, Field: field}
	}
	general := examiner.Place{Kind: examiner.General}
	t.Run("a sound configuration gives nothing", func(t *testing.T) {
		asserter.Equal(t, len(examiner.Examine(sound().Index(), nil)), 0)
		asserter.Equal(t, len(examiner.Examine(sound().Index(), fleet(16))), 0)
	})
	for _, tc := range []struct {
		name     string
		fleet    *examiner.Fleet
		severity examiner.Severity
		at       examiner.Place
		text     string
		change   func(po *policy.Policy)
	}{
		{"a queue that an earlier one hides", nil, examiner.Error, queue(examiner.Prefix), "no call reaches queue batch", func(po *policy.Policy) { po.Queues[1].Prefix = "/urgent/" }},
		{"a queue that loses jobs to a longer prefix", nil, examiner.Warning, queue(examiner.Prefix), "ids begin with 7f", func(po *policy.Policy) { po.Queues[0].Prefix = "/batch/7f" }},
		{"a pool that does not exist", nil, examiner.Error, queue(examiner.PoolName), "does not exist", func(po *policy.Policy) { po.Queues[1].Pool = "none" }},
		{"a name that is taken", nil, examiner.Error, queue(examiner.Name), "has the name of entry 1", func(po *policy.Policy) { po.Queues[1].Name = "urgent" }},
		{"no name", nil, examiner.Error, queue(examiner.Name), "no name", func(po *policy.Policy) { po.Queues[1].Name = "" }},
		{"no host", nil, examiner.Error, queue(examiner.Host), "no host", func(po *policy.Policy) { po.Queues[1].Host = "" }},
		{"a prefix that cannot match", nil, examiner.Error, queue(examiner.Prefix), "does not begin with /", func(po *policy.Policy) { po.Queues[1].Prefix = "batch/" }},
		{"a timeout under the objective", nil, examiner.Warning, queue(examiner.Timeout), "under its objective", func(po *policy.Policy) { po.Queues[1].Timeout = 2000 }},
		{"attempts without a limit", nil, examiner.Warning, queue(examiner.MaxAttempts), "without end", func(po *policy.Policy) { po.Queues[1].MaxAttempts = 0 }},
		{"a negative limit", nil, examiner.Error, queue(examiner.MaxAttempts), "negative", func(po *policy.Policy) { po.Queues[1].MaxAttempts = -1 }},
		{"a factor under 1", nil, examiner.Warning, queue(examiner.SlowdownFactor), "below the run time", func(po *policy.Policy) { po.Queues[1].SlowdownFactor = 0.5 }},
		{"an objective that is not used", nil, examiner.Warning, queue(examiner.SlowdownFactor), "not used", func(po *policy.Policy) { po.Queues[1].SlowdownFactor = 0 }},
		{"a pool that no queue uses", nil, examiner.Warning, general, "no queue uses the pool spare", func(po *policy.Policy) { po.Pools["spare"] = policy.Pool{} }},
		{"a workspace without keys", nil, examiner.Warning, workspace(1, examiner.APIKeys), "no key", func(po *policy.Policy) { po.Workspaces[1].APIKeys = nil }},
		{"a key of two workspaces", nil, examiner.Error, workspace(1, examiner.APIKeys), "also a key of bob", func(po *policy.Policy) { po.Workspaces[1].APIKeys = []string{"k2"} }},
		{"an empty key", nil, examiner.Error, workspace(1, examiner.APIKeys), "empty key", func(po *policy.Policy) { po.Workspaces[1].APIKeys = []string{""} }},
		{"a workspace of another's name", nil, examiner.Error, workspace(1, examiner.Name), "no name of its own", func(po *policy.Policy) { po.Workspaces[1].Name = "alice" }},
		{"a guarantee that nothing can use", nil, examiner.Warning, workspace(0, examiner.Guaranteed), "no queue has that", func(po *policy.Policy) { po.Queues[0].Priority = 1 }},
		{"a negative guarantee", nil, examiner.Error, workspace(0, examiner.Guaranteed), "negative", func(po *policy.Policy) { po.Workspaces[0].Guaranteed = -1 }},
		{"a negative size", nil, examiner.Error, examiner.Place{Kind: examiner.General, Field: examiner.HeadLimit}, "negative", func(po *policy.Policy) { po.HeadLimit = -1 }},
		{"guarantees over what the fleet holds", fleet(15), examiner.Warning, general, "add up to 16 accelerators", func(*policy.Policy) {}},
	} {
		t.Run(tc.name, func(t *testing.T) { expectFinding(t, tc.fleet, tc.severity, tc.at, tc.text, tc.change) })
	}
	t.Run("a pool without workers", func(t *testing.T) {
		found := examiner.Examine(sound().Index(), fleet(0))
		asserter.Equal(t, len(found), 2)
		asserter.Equal(t, found[0].Place, examiner.Place{Kind: examiner.Queue, Field: examiner.PoolName})
	})
	t.Run("a pool whose workers have no accelerators", func(t *testing.T) {
		po := sound()
		po.Workspaces[0].Guaranteed = 0
		fl := fleet(0)
		fl.Workers["pool"] = 2
		asserter.Equal(t, len(examiner.Examine(po.Index(), fl)), 0)
	})
	t.Run("no queues", func(t *testing.T) {
		found := examiner.Examine((&policy.Policy{}).Index(), nil)
		asserter.Equal(t, len(found), 1)
		asserter.Equal(t, found[0].Severity, examiner.Error)
	})
	t.Run("no key is printed", func(t *testing.T) {
		po := sound()
		po.Workspaces[0].APIKeys, po.Workspaces[1].APIKeys = []string{"secret"}, []string{"secret"}
		asserter.Equal(t, strings.Contains(fmt.Sprint(examiner.Examine(po.Index(), nil)), "secret"), false)
	})
}

func TestCompare(t *testing.T) {
	// expectChanges checks the changes by kind, name, field and effect.
	expectChanges := func(t *testing.T, change func(po *policy.Policy), want ...string) {
		t.Helper()
		po := sound()
		change(po)
		var got []string
		for _, ch := range examiner.Compare(sound().Index(), po.Index()) {
			got = append(got, fmt.Sprintf("%s %s %s: %s", ch.Kind, ch.Name, ch.Field, ch.Effect))
		}
		asserter.Equal(t, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	t.Run("the same configuration changes nothing", func(t *testing.T) {
		expectChanges(t, func(*policy.Policy) {})
	})
	t.Run("queues are added and removed", func(t *testing.T) {
		expectChanges(t, func(po *policy.Policy) { po.Queues[1].Name = "nightly" },
			"queue batch : calls get 404; accepted jobs that have not ended go on under the terms of their acceptance", "queue nightly : calls are accepted")
	})
	t.Run("fields of a queue", func(t *testing.T) {
		expectChanges(t, func(po *policy.Policy) { po.Queues[0].Priority, po.Queues[0].AllowAnonymous = 1, true },
			"queue urgent priority: its jobs no longer preempt others, may be preempted, and use no guarantee", "queue urgent allowAnonymous: calls without a key are accepted")
		expectChanges(t, func(po *policy.Policy) { po.Queues[1].MaxAttempts, po.Queues[1].Prefix = 2, "/b/" },
			"queue batch prefix: calls to the former path get 404", "queue batch maxAttempts: jobs whose tasks have failed that often already fail at once")
	})
	t.Run("keys and guarantees of a workspace", func(t *testing.T) {
		expectChanges(t, func(po *policy.Policy) {
			po.Workspaces[0].APIKeys, po.Workspaces[0].Guaranteed = []string{"k1", "k4", "k5"}, 8
		}, "workspace alice apiKeys: calls with 1 removed keys get 401", "workspace alice apiKeys: calls with 2 new keys are accepted",
			"workspace alice guaranteed: less of its urgent work starts at once")
	})
	t.Run("pools and the body limit", func(t *testing.T) {
		expectChanges(t, func(po *policy.Policy) {
			po.Pools["spare"], po.BodyLimit = policy.Pool{}, 500
		}, "pool spare : queues may use its workers", "general limits bodyLimit: requests with larger bodies are refused")
	})
}
