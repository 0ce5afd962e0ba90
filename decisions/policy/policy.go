// Package policy holds the operators' configuration of queues, pools and workspaces, and
// what it says about a call.
package policy

import (
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

type (
	// Policy is one version of the configuration. It is never changed once it is shared.
	Policy struct {
		// Version is that of the stored row.
		Version    meter.RowVersion
		Queues     []Queue
		Pools      map[identifier.Pool]Pool
		Workspaces []Workspace
		// BodyLimit bounds the body of a call.
		BodyLimit meter.Bytes

		// byName holds the place of each queue in Queues, byHost those of each host.
		byName map[identifier.Queue]int
		byHost map[string][]int
		// owners holds the workspace of each key.
		owners map[string]identifier.Workspace
		// advised means that some queue needs advice.
		advised bool
	}

	// Queue is a queue of jobs and the calls that reach it.
	Queue struct {
		Name identifier.Queue
		Host string
		// Prefix is the start of the path of the queue's calls.
		Prefix string
		Pool   identifier.Pool
		// Timeout bounds the answer to a call.
		Timeout clock.Millis
		// Objective is the time for a job beyond Stretch times its work.
		Objective clock.Millis
		Stretch   float64
		// Priority 0 comes first.
		Priority int
		// Attempts is the most failed runs of a task.
		Attempts int
		// Anonymous means that calls need no key.
		Anonymous bool
		// Advised means that an advice service decides which workers may run a step.
		Advised bool
	}

	// Pool is the workers that serve some queues.
	Pool struct {
		// Guarded means that its workers refuse what exceeds their capacity.
		Guarded bool
	}

	// Workspace owns jobs and guarantees.
	Workspace struct {
		Name identifier.Workspace
		Keys []string
		// Guaranteed belongs to the workspace for its jobs of priority 0.
		Guaranteed meter.Accelerators
	}
)

// Index prepares the lookups. It is called once, before the policy is shared.
func (po *Policy) Index() *Policy {
	po.byName = make(map[identifier.Queue]int, len(po.Queues))
	po.byHost = map[string][]int{}
	po.owners = map[string]identifier.Workspace{}
	for i := range po.Queues {
		qu := &po.Queues[i]
		po.byName[qu.Name] = i
		po.byHost[qu.Host] = append(po.byHost[qu.Host], i)
		po.advised = po.advised || qu.Advised
	}
	for _, ws := range po.Workspaces {
		for _, key := range ws.Keys {
			po.owners[key] = ws.Name
		}
	}
	return po
}

// Advised reports whether some queue needs advice.
func (po *Policy) Advised() bool { return po.advised }

// Route returns the queue of a call by its host and the longest prefix of its path, and
// the rest of the path; nil if there is none.
func (po *Policy) Route(host, path string) (*Queue, string) {
	var best *Queue
	for _, i := range po.byHost[host] {
		qu := &po.Queues[i]
		if strings.HasPrefix(path, qu.Prefix) && (best == nil || len(qu.Prefix) > len(best.Prefix)) {
			best = qu
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Owner returns the workspace that a key belongs to.
func (po *Policy) Owner(key string) (identifier.Workspace, bool) {
	ws, known := po.owners[key]
	return ws, known
}

// Queue returns the queue of a name, or nil.
func (po *Policy) Queue(name identifier.Queue) *Queue {
	i, known := po.byName[name]
	if !known {
		return nil
	}
	return &po.Queues[i]
}

// Access is what a call may reach.
type Access struct {
	Queue *Queue
	// Workspace is empty for a call without a key.
	Workspace identifier.Workspace
	// Rest is the path after the queue's prefix.
	Rest string
	// Version is that of the configuration which allows the call.
	Version meter.RowVersion
}

// Access resolves a call. Errors are of the kinds NotFound and BadToken.
func (po *Policy) Access(host, path, key string) (Access, error) {
	qu, rest := po.Route(host, path)
	if qu == nil {
		return Access{}, problem.New(problem.NotFound, "no queue has the host %s and the path %s", host, path)
	}
	owner, known := po.Owner(key)
	if !known && !qu.Anonymous {
		return Access{}, problem.New(problem.BadToken, "the key belongs to no workspace")
	}
	return Access{Queue: qu, Workspace: owner, Rest: rest, Version: po.Version}, nil
}
