// Package examiner checks a configuration before it is sent: entries that can never match, limits that
// contradict each other, and what callers notice of a change. It knows no encoding.
package examiner

import (
	"fmt"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// Warning means that an entry probably does not do what was meant.
	Warning Severity = "warning"
	// Error means that an entry cannot work.
	Error Severity = "error"

	// Kinds of entries.

	// Queue is an entry of a queue.
	Queue Kind = "queue"
	// Pool is an entry of a pool.
	Pool Kind = "pool"
	// Workspace is an entry of a workspace.
	Workspace Kind = "workspace"
	// General is what belongs to no entry.
	General Kind = "general"

	// Fields that findings and changes point at.

	// Name is the name of an entry.
	Name Field = "name"
	// Host is the host of a queue's calls.
	Host Field = "host"
	// Prefix is the path prefix of a queue's calls.
	Prefix Field = "prefix"
	// PoolName is the pool of a queue.
	PoolName Field = "pool"
	// Timeout is the maximum time to answer a call.
	Timeout Field = "timeout"
	// Objective is the constant part of a time objective.
	Objective Field = "objective"
	// SlowdownFactor is the factor of a time objective.
	SlowdownFactor Field = "slowdownFactor"
	// Priority is the priority of a queue.
	Priority Field = "priority"
	// MaxAttempts is the maximum number of failed runs of a task.
	MaxAttempts Field = "maxAttempts"
	// Anonymous is whether calls need no key.
	Anonymous Field = "allowAnonymous"
	// Advice is whether an advice service chooses workers.
	Advice Field = "advice"
	// Enforces is whether workers refuse what does not fit.
	Enforces Field = "enforcesCapacity"
	// APIKeys is the keys of a workspace.
	APIKeys Field = "apiKeys"
	// Guaranteed is the guarantee of a workspace.
	Guaranteed Field = "guaranteed"
	// BodyLimit is the maximum size of a body.
	BodyLimit Field = "bodyLimit"
	// HeadLimit is the maximum size of a head.
	HeadLimit Field = "headLimit"
	// HeadTimeout is the maximum time from the first byte of a head to its end.
	HeadTimeout Field = "headTimeout"

	// idDigits is the number of hexadecimal digits of a job's id, which follows the prefix of its queue.
	idDigits    = 16
	hexadecimal = "0123456789abcdef"
)

type (
	// Severity is how bad a finding is.
	Severity string
	// Kind is a kind of entry.
	Kind string
	// Field is a field of an entry; empty means the whole entry.
	Field string

	// Place is where in a configuration something was found.
	Place struct {
		Kind Kind
		// Index is the position among the entries of the kind.
		Index int
		Field Field
	}

	// Finding is a mistake, or what is probably one.
	Finding struct {
		Place
		Severity Severity
		// Text says what is wrong, and Remedy what to do.
		Text, Remedy string
	}

	// Fleet is what the workers hold that are known at present.
	Fleet struct {
		// Workers is the number of workers of each pool.
		Workers map[identifier.Pool]int
		// Accelerators is the number of accelerators of each pool.
		Accelerators map[identifier.Pool]meter.Accelerators
	}

	// examination collects findings.
	examination struct {
		po       *policy.Policy
		findings []Finding
	}
)

// Examine returns what is wrong with a configuration, in the order of its entries. The fleet is nil if it is
// not known.
func Examine(po *policy.Policy, fleet *Fleet) []Finding {
	ex := &examination{po: po}
	if len(po.Queues) == 0 {
		ex.fail(Place{General, 0, ""}, "add the queues, or leave the version in force as it is", "the configuration has no queues, so that all calls get 404")
	}
	names := map[identifier.Queue]int{}
	for i := range po.Queues {
		qu := &po.Queues[i]
		if first, taken := names[qu.Name]; taken {
			ex.fail(Place{Queue, i, Name}, "choose another name", "queue %s has the name of entry %d, and only one of them is found by it", qu.Name, first+1)
		} else {
			names[qu.Name] = i
		}
		ex.reach(i, qu)
		ex.limits(i, qu)
	}
	for _, li := range []struct {
		field Field
		value int64
	}{{BodyLimit, int64(po.BodyLimit)}, {HeadLimit, int64(po.HeadLimit)}, {HeadTimeout, int64(po.HeadTimeout)}} {
		if li.value < 0 {
			ex.fail(Place{General, 0, li.field}, "give 0 or more; 0 leaves it to the instances", "the value %d of %s is negative", li.value, li.field)
		}
	}
	ex.pools(fleet)
	ex.workspaces()
	ex.guarantees(fleet)
	return ex.findings
}

func (ex *examination) fail(at Place, remedy, format string, args ...any) {
	ex.findings = append(ex.findings, Finding{at, Error, fmt.Sprintf(format, args...), remedy})
}

func (ex *examination) warn(at Place, remedy, format string, args ...any) {
	ex.findings = append(ex.findings, Finding{at, Warning, fmt.Sprintf(format, args...), remedy})
}

// reach finds queues that calls cannot reach, or not all of them.
func (ex *examination) reach(at int, qu *policy.Queue) {
	if qu.Name == "" {
		ex.fail(Place{Queue, at, Name}, "give it a name", "the queue has no name")
	}
	if qu.Host == "" {
		ex.fail(Place{Queue, at, Host}, "name the host that callers use", "queue %s has no host, so that no call matches it", qu.Name)
	}
	if !strings.HasPrefix(qu.Prefix, "/") {
		ex.fail(Place{Queue, at, Prefix}, "begin it with /", "the prefix %q of queue %s does not begin with /, so that no call to it names a job", qu.Prefix, qu.Name)
	}
	if _, known := ex.po.Pools[qu.Pool]; !known {
		ex.fail(Place{Queue, at, PoolName}, "add the pool or name another one", "the pool %q of queue %s does not exist, so that its jobs never start", qu.Pool, qu.Name)
	}
	for i := range ex.po.Queues {
		other := &ex.po.Queues[i]
		if i == at || other.Host != qu.Host {
			continue
		}
		rest, longer := strings.CutPrefix(other.Prefix, qu.Prefix)
		switch {
		case !longer:
		case rest == "" && i < at:
			ex.fail(Place{Queue, at, Prefix}, "change the prefix or remove one of the two", "no call reaches queue %s: queue %s, which comes first, has the same host and prefix", qu.Name, other.Name)
		case rest != "" && len(rest) <= idDigits && strings.Trim(rest, hexadecimal) == "":
			ex.warn(Place{Queue, at, Prefix}, "end the shorter prefix with /", "jobs whose ids begin with %s go to queue %s instead of %s, because its prefix is longer", rest, other.Name, qu.Name)
		}
	}
}

// limits finds limits of a queue that contradict each other.
func (ex *examination) limits(at int, qu *policy.Queue) {
	for _, li := range []struct {
		field Field
		value float64
	}{{Timeout, float64(qu.Timeout)}, {Objective, float64(qu.Objective)}, {SlowdownFactor, qu.SlowdownFactor}, {Priority, float64(qu.Priority)}, {MaxAttempts, float64(qu.MaxAttempts)}} {
		if li.value < 0 {
			ex.fail(Place{Queue, at, li.field}, "give 0 or more", "the value %v of %s of queue %s is negative", li.value, li.field, qu.Name)
		}
	}
	if qu.Timeout > 0 && qu.Timeout < qu.Objective {
		ex.warn(Place{Queue, at, Timeout}, "raise the timeout or lower the objective", "the timeout of queue %s, %d ms, is under its objective of %d ms: calls are given up that could still be answered in time", qu.Name, qu.Timeout, qu.Objective)
	}
	if qu.MaxAttempts == 0 {
		ex.warn(Place{Queue, at, MaxAttempts}, "give the number of runs after which a task has failed", "0 attempts of queue %s mean no limit: a task that always fails is run again without end", qu.Name)
	}
	if qu.SlowdownFactor > 0 && qu.SlowdownFactor < 1 {
		ex.warn(Place{Queue, at, SlowdownFactor}, "give 1 or more", "the factor %v of queue %s sets an objective below the run time of the work", qu.SlowdownFactor, qu.Name)
	}
	if qu.SlowdownFactor == 0 && qu.Objective > 0 {
		ex.warn(Place{Queue, at, SlowdownFactor}, "give 1 or more, or leave the objective out", "the objective of queue %s is not used, because its factor is 0", qu.Name)
	}
}

// pools finds pools that no queue uses, or that have no workers.
func (ex *examination) pools(fleet *Fleet) {
	used := map[identifier.Pool]bool{}
	for i := range ex.po.Queues {
		qu := &ex.po.Queues[i]
		if _, known := ex.po.Pools[qu.Pool]; fleet != nil && known && !used[qu.Pool] && fleet.Workers[qu.Pool] == 0 {
			ex.warn(Place{Queue, i, PoolName}, "check the name, or wait until its workers are listed", "the pool %s of queue %s has no workers at present", qu.Pool, qu.Name)
		}
		used[qu.Pool] = true
	}
	for _, name := range sortedPools(ex.po) {
		if !used[name] {
			ex.warn(Place{General, 0, ""}, "remove the pool or add a queue", "no queue uses the pool %s", name)
		}
	}
}

// workspaces finds workspaces whose callers cannot be distinguished or cannot call.
func (ex *examination) workspaces() {
	names, owners := map[identifier.Workspace]bool{}, map[string]identifier.Workspace{}
	for i, ws := range ex.po.Workspaces {
		if names[ws.Name] || ws.Name == "" {
			ex.fail(Place{Workspace, i, Name}, "choose another name", "the workspace has no name of its own: %q", ws.Name)
		}
		names[ws.Name] = true
		if len(ws.APIKeys) == 0 {
			ex.warn(Place{Workspace, i, APIKeys}, "add a key or remove the workspace", "workspace %s has no key, so that nobody can call for it", ws.Name)
		}
		for _, key := range ws.APIKeys {
			owner, taken := owners[key]
			switch {
			case key == "":
				ex.fail(Place{Workspace, i, APIKeys}, "remove it", "workspace %s has an empty key, with which all calls without a key would be its own", ws.Name)
			case taken && owner != ws.Name:
				ex.fail(Place{Workspace, i, APIKeys}, "give each workspace keys of its own", "a key of workspace %s is also a key of %s; calls with it count for %s", owner, ws.Name, ws.Name)
			}
			owners[key] = ws.Name
		}
	}
}

// guarantees finds guarantees that nothing can use, or that the fleet cannot hold together.
func (ex *examination) guarantees(fleet *Fleet) {
	urgent := map[identifier.Pool]bool{}
	for i := range ex.po.Queues {
		if ex.po.Queues[i].Priority == 0 {
			urgent[ex.po.Queues[i].Pool] = true
		}
	}
	var sum, held meter.Accelerators
	for i, ws := range ex.po.Workspaces {
		switch {
		case ws.Guaranteed < 0:
			ex.fail(Place{Workspace, i, Guaranteed}, "give 0 or more", "the guarantee of workspace %s is negative", ws.Name)
		case ws.Guaranteed > 0 && len(urgent) == 0:
			ex.warn(Place{Workspace, i, Guaranteed}, "give a queue priority 0 or remove the guarantee", "the guarantee of workspace %s is for work of priority 0, and no queue has that", ws.Name)
		}
		sum += max(ws.Guaranteed, 0)
	}
	if fleet == nil || len(urgent) == 0 {
		return
	}
	for pool := range urgent {
		held += fleet.Accelerators[pool]
	}
	if sum > held {
		ex.warn(Place{General, 0, ""}, "lower guarantees or add workers, unless some are only drained or cut off", "the guarantees add up to %d accelerators, and the pools of urgent queues hold %d at present", sum, held)
	}
}
