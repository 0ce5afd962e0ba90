package examiner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

type (
	// Change is a difference between two configurations.
	Change struct {
		Kind Kind
		// Name is the name of the entry.
		Name string
		// Field is empty if the whole entry was added or removed.
		Field         Field
		Before, After string
		// Effect is what callers notice.
		Effect string
	}

	// comparison collects the changes.
	comparison struct{ changes []Change }
)

// Compare returns what a new configuration changes, queue by queue, workspace by workspace, pool by pool.
func Compare(before, after *policy.Policy) []Change {
	co := &comparison{}
	for i := range before.Queues {
		old := &before.Queues[i]
		if changed := after.Queue(old.Name); changed == nil {
			co.add(Change{Kind: Queue, Name: string(old.Name), Before: old.Host + old.Prefix, Effect: "calls get 404; accepted jobs that have not ended go on under the terms of their acceptance"})
		} else {
			co.queue(old, changed)
		}
	}
	for i := range after.Queues {
		if qu := &after.Queues[i]; before.Queue(qu.Name) == nil {
			co.add(Change{Kind: Queue, Name: string(qu.Name), After: qu.Host + qu.Prefix, Effect: "calls are accepted"})
		}
	}
	co.workspaces(before, after)
	co.pools(before, after)
	co.field(General, "limits", BodyLimit, before.BodyLimit, after.BodyLimit, "requests with larger bodies are refused")
	co.field(General, "limits", HeadLimit, before.HeadLimit, after.HeadLimit, "requests with larger heads are answered 431")
	co.field(General, "limits", HeadTimeout, before.HeadTimeout, after.HeadTimeout, "connections whose heads take longer are closed")
	return co.changes
}

func (co *comparison) add(ch Change) { co.changes = append(co.changes, ch) }

// field adds a change if the values differ.
func (co *comparison) field(kind Kind, name string, field Field, before, after any, effect string) {
	if before != after {
		co.add(Change{kind, name, field, fmt.Sprint(before), fmt.Sprint(after), effect})
	}
}

func (co *comparison) queue(old, qu *policy.Queue) {
	name := string(qu.Name)
	co.field(Queue, name, Host, old.Host, qu.Host, "calls to the former host get 404")
	co.field(Queue, name, Prefix, old.Prefix, qu.Prefix, "calls to the former path get 404")
	co.field(Queue, name, PoolName, old.Pool, qu.Pool, "waiting tasks start on workers of the other pool; what runs stays")
	co.field(Queue, name, Timeout, old.Timeout, qu.Timeout, "calls are given up after the new time")
	co.field(Queue, name, Objective, old.Objective, qu.Objective, "jobs are ordered by the new objective")
	co.field(Queue, name, SlowdownFactor, old.SlowdownFactor, qu.SlowdownFactor, "jobs are ordered by the new objective")
	co.field(Queue, name, Priority, old.Priority, qu.Priority, priorityEffect(old.Priority, qu.Priority))
	co.field(Queue, name, MaxAttempts, old.MaxAttempts, qu.MaxAttempts, attemptsEffect(old.MaxAttempts, qu.MaxAttempts))
	anonymous := "calls without a key get 401"
	if qu.AllowAnonymous {
		anonymous = "calls without a key are accepted"
	}
	co.field(Queue, name, Anonymous, old.AllowAnonymous, qu.AllowAnonymous, anonymous)
	advice := "tasks start on any worker"
	if qu.NeedsAdvice {
		advice = "tasks wait for the advice service"
	}
	co.field(Queue, name, Advice, old.NeedsAdvice, qu.NeedsAdvice, advice)
}

func priorityEffect(before, after int) string {
	switch {
	case after == 0:
		return "its jobs may preempt others and use guarantees"
	case before == 0:
		return "its jobs no longer preempt others, may be preempted, and use no guarantee"
	case after < before:
		return "its jobs start earlier than before"
	}
	return "its jobs start later than before"
}

func attemptsEffect(before, after int) string {
	if after > 0 && (before == 0 || after < before) {
		return "jobs whose tasks have failed that often already fail at once"
	}
	return "tasks are tried more often before their job fails"
}

func (co *comparison) workspaces(before, after *policy.Policy) {
	former, present := byName(before), byName(after)
	for _, ws := range before.Workspaces {
		if _, kept := present[ws.Name]; !kept {
			co.add(Change{Kind: Workspace, Name: string(ws.Name), Before: fmt.Sprintf("%d keys", len(ws.APIKeys)), Effect: "calls with its keys get 401"})
		}
	}
	for _, ws := range after.Workspaces {
		old, known := former[ws.Name]
		if !known {
			co.add(Change{Kind: Workspace, Name: string(ws.Name), After: fmt.Sprintf("%d keys", len(ws.APIKeys)), Effect: "calls with its keys are accepted"})
			continue
		}
		// Keys are secrets, so that only their numbers are shown.
		if removed := missing(old.APIKeys, ws.APIKeys); removed > 0 {
			co.add(Change{Workspace, string(ws.Name), APIKeys, fmt.Sprintf("%d keys", len(old.APIKeys)), fmt.Sprintf("%d keys", len(ws.APIKeys)), fmt.Sprintf("calls with %d removed keys get 401", removed)})
		}
		if added := missing(ws.APIKeys, old.APIKeys); added > 0 {
			co.add(Change{Workspace, string(ws.Name), APIKeys, fmt.Sprintf("%d keys", len(old.APIKeys)), fmt.Sprintf("%d keys", len(ws.APIKeys)), fmt.Sprintf("calls with %d new keys are accepted", added)})
		}
		effect := "more of its urgent work starts at once, by preemption if need be"
		if ws.Guaranteed < old.Guaranteed {
			effect = "less of its urgent work starts at once"
		}
		co.field(Workspace, string(ws.Name), Guaranteed, old.Guaranteed, ws.Guaranteed, effect)
	}
}

// missing counts the keys that are not among others.
func missing(keys, others []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

func byName(po *policy.Policy) map[identifier.Workspace]policy.Workspace {
	all := make(map[identifier.Workspace]policy.Workspace, len(po.Workspaces))
	for _, ws := range po.Workspaces {
		all[ws.Name] = ws
	}
	return all
}

func sortedPools(po *policy.Policy) []identifier.Pool {
	return slices.Sorted(maps.Keys(po.Pools))
}

func (co *comparison) pools(before, after *policy.Policy) {
	for _, name := range sortedPools(before) {
		if _, kept := after.Pools[name]; !kept {
			co.add(Change{Kind: Pool, Name: string(name), Before: "present", Effect: "its workers get no new work"})
		}
	}
	for _, name := range sortedPools(after) {
		old, known := before.Pools[name]
		if !known {
			co.add(Change{Kind: Pool, Name: string(name), After: "present", Effect: "queues may use its workers"})
			continue
		}
		co.field(Pool, string(name), Enforces, old.EnforcesCapacity, after.Pools[name].EnforcesCapacity, "none; workers refuse what does not fit, or no longer do")
	}
}
