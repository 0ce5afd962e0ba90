// Package policy holds the operators' configuration of queues, pools and workspaces, and
// resolves which queue and workspace a call belongs to.
package policy

import (
	"strings"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

type (
	// Policy is one version of the configuration. It must not be modified after it has been
	// shared.
	Policy struct {
		// Version is the version of the stored row.
		Version    meter.RowVersion
		Queues     []Queue
		Pools      map[identifier.Pool]Pool
		Workspaces []Workspace
		// BodyLimit is the maximum size of the body of a call, and HeadLimit that of its head; 0 means that
		// the configuration states none.
		BodyLimit meter.Bytes
		HeadLimit meter.Bytes
		// HeadTimeout is the maximum time from the first byte of a head to its end; 0 means that the
		// configuration states none.
		HeadTimeout clock.Millis

		// byName maps the name of each queue to its index in Queues; byHost maps each host
		// to the indexes of its queues.
		byName map[identifier.Queue]int
		byHost map[string][]int
		// owners maps each API key to its workspace.
		owners map[string]identifier.Workspace
	}

	// Queue is a queue of jobs and the routing and limits of the calls to it.
	Queue struct {
		Name identifier.Queue
		Host string
		// Prefix is the path prefix of the queue's calls.
		Prefix string
		Pool   identifier.Pool
		// Timeout is the maximum time to answer a call.
		Timeout clock.Millis
		// Objective and SlowdownFactor define the time objective of a job: SlowdownFactor
		// times the run time of its work, plus Objective.
		Objective      clock.Millis
		SlowdownFactor float64
		// Priority is the priority of the queue; 0 is the highest.
		Priority int
		// MaxAttempts is the maximum number of failed runs of a task.
		MaxAttempts int
		// AllowAnonymous means that calls need no API key.
		AllowAnonymous bool
		// NeedsAdvice means that an advice service decides which workers may run a step.
		NeedsAdvice bool
	}

	// Pool is a set of workers that serves one or more queues.
	Pool struct {
		// EnforcesCapacity means that the workers themselves refuse runs that exceed their
		// capacity.
		EnforcesCapacity bool
	}

	// Workspace is an owner of jobs, with its API keys and guaranteed resources.
	Workspace struct {
		Name    identifier.Workspace
		APIKeys []string
		// Guaranteed is the number of accelerators that are guaranteed to the workspace for
		// its jobs of priority 0.
		Guaranteed meter.Accelerators
	}

	// Access describes a call that the policy allows.
	Access struct {
		Queue *Queue
		// Workspace is the caller's workspace; empty for a call without an API key.
		Workspace identifier.Workspace
		// Rest is the path after the queue's prefix.
		Rest string
		// Version is the version of the configuration that allowed the call.
		Version meter.RowVersion
		// BodyLimit is the maximum size of the body; 0 means that the configuration states none.
		BodyLimit meter.Bytes
	}
)

// Index builds the lookup tables. It must be called once, before the policy is shared.
func (po *Policy) Index() *Policy {
	po.byName = make(map[identifier.Queue]int, len(po.Queues))
	po.byHost = map[string][]int{}
	po.owners = map[string]identifier.Workspace{}
	for i := range po.Queues {
		qu := &po.Queues[i]
		po.byName[qu.Name] = i
		po.byHost[qu.Host] = append(po.byHost[qu.Host], i)
	}
	for _, ws := range po.Workspaces {
		for _, key := range ws.APIKeys {
			po.owners[key] = ws.Name
		}
	}
	return po
}

// Route returns the queue for a call, which is the one with the call's host and the longest
// matching path prefix, and the rest of the path. It returns nil if no queue matches.
func (po *Policy) Route(host, path string) (*Queue, string) {
	var match *Queue
	for _, i := range po.byHost[host] {
		qu := &po.Queues[i]
		if strings.HasPrefix(path, qu.Prefix) && (match == nil || len(qu.Prefix) > len(match.Prefix)) {
			match = qu
		}
	}
	if match == nil {
		return nil, ""
	}
	return match, path[len(match.Prefix):]
}

// WorkspaceOf returns the workspace that an API key belongs to.
func (po *Policy) WorkspaceOf(key string) (identifier.Workspace, bool) {
	ws, known := po.owners[key]
	return ws, known
}

// Queue returns the queue with the given name, or nil if there is none.
func (po *Policy) Queue(name identifier.Queue) *Queue {
	i, known := po.byName[name]
	if !known {
		return nil
	}
	return &po.Queues[i]
}

// Terms returns the scheduling parameters of the queue.
func (qu *Queue) Terms() workload.Terms {
	return workload.Terms{
		Pool: qu.Pool, Priority: qu.Priority, MaxAttempts: qu.MaxAttempts, SlowdownFactor: qu.SlowdownFactor, Objective: qu.Objective, NeedsAdvice: qu.NeedsAdvice,
	}
}

// TermsOf returns the terms of a job: those of its queue or, once there is no queue of that name, those under
// which it was accepted. It returns false if neither are known.
func (po *Policy) TermsOf(jo *workload.Job) (workload.Terms, bool) {
	if qu := po.Queue(jo.Queue); qu != nil {
		return jo.TermsIn(qu.Terms(), true)
	}
	return jo.TermsIn(workload.Terms{}, false)
}

// Access authorizes a call and finds its queue. A call without an API key has an empty key; an unknown key
// is refused at each queue, because it may have been taken away. Errors are of the kinds NotFound and
// BadToken.
func (po *Policy) Access(host, path, key string) (Access, error) {
	qu, rest := po.Route(host, path)
	if qu == nil {
		return Access{}, problem.New(problem.NotFound, "no queue matches host %s and path %s", host, path)
	}
	owner, known := po.WorkspaceOf(key)
	if !known && (key != "" || !qu.AllowAnonymous) {
		return Access{}, problem.New(problem.BadToken, "the API key does not belong to any workspace")
	}
	return Access{Queue: qu, Workspace: owner, Rest: rest, Version: po.Version, BodyLimit: po.BodyLimit}, nil
}
