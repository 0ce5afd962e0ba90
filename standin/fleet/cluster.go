package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// Pool is the name of the only pool.
	Pool = "workers"
	// Host is the host name of the pool's queues.
	Host = "jobs.example"
	// StoreAddress is the address of the store.
	StoreAddress = "store:1"
)

type (
	// Options configures a cluster.
	Options struct {
		// RunnerCount is the number of runners.
		RunnerCount int
		// RunnersPerRack is the number of runners per rack.
		RunnersPerRack int
		// Capacity is the capacity of each runner.
		Capacity workload.Resources
		// EnforcesCapacity means that the runners refuse tasks that exceed their free capacity.
		EnforcesCapacity bool
		// IgnoresFences means that runners and machines carry out commands whatever their fencing
		// token. The oracle then reports each command that starts, stops or takes down something
		// with a lower fencing token than an earlier one.
		IgnoresFences bool
		// MaxLease is the maximum length of a lease.
		MaxLease time.Duration
		// DrainTime is how long a draining runner stays up.
		DrainTime time.Duration
		// Addresses holds the addresses of the runners. A runner without one gets a made-up
		// address.
		Addresses []string
		// GangTimeout is how long a member of a gang waits for the other members.
		GangTimeout time.Duration
		// Wrap, if not nil, wraps the handler of each runner of a Server.
		Wrap func(next http.Handler) http.Handler
	}

	// Behavior determines how the simulated tasks of a job behave.
	Behavior struct {
		// RunTime is the run time of a task that starts without a checkpoint.
		RunTime time.Duration
		// FailedRuns is the number of runs that fail before one succeeds.
		FailedRuns int
		// Deadly means that each runner that starts one of the tasks crashes.
		Deadly bool
	}

	// Job is a job as submitted by a client, and how its tasks behave.
	Job struct {
		ID       string
		Queue    string
		Key      string
		Body     wire.JobBody
		Behavior Behavior
		// Advised means that the queue of the job requires placement advice.
		Advised bool
	}

	// Cluster is a simulated platform: the store, the other services and the runners. Its
	// oracle checks what the runners receive.
	Cluster struct {
		Store    *Store
		Advice   *Advice
		machines *machines
		op       Options

		mu      sync.Mutex
		runners []*Runner
		// jobs holds the submitted jobs by ID.
		jobs   map[string]Job
		gangs  map[string]*gang
		oracle *oracle
		// listingDelay is the time from the start of a runner until the store lists it.
		listingDelay time.Duration
		// Trace, if not nil, is called with a line for each action of a runner. It must be
		// set before any call.
		Trace func(line string)
		// faults holds the injected network and store faults.
		faults faults
	}
)

// New returns a cluster whose runners are up and listed in the store.
func New(op Options) *Cluster {
	cl := &Cluster{Store: NewStore(), op: op, jobs: map[string]Job{}, gangs: map[string]*gang{}}
	cl.oracle = &oracle{cluster: cl, evacuated: map[string]time.Time{}, startsIn: map[string]int{}, acknowledged: map[string]bool{}, failed: map[string]int{}, failedRun: map[string]int64{}, lastStart: map[string]start{}, cancelled: map[string]time.Time{}, refused: map[string]bool{}, crashes: map[workload.TaskKey]int{}, startsAfterCrashes: map[workload.TaskKey]int{}}
	cl.Advice = &Advice{cluster: cl, issued: map[string]time.Time{}}
	cl.machines = &machines{cluster: cl, fences: map[string]int64{}, maintenances: map[string]int{}, waves: map[int64]map[string]bool{}}
	cl.faults.init()
	for i := range op.RunnerCount {
		ru := &Runner{
			cluster: cl, id: fmt.Sprintf("w-%02d", i), name: fmt.Sprintf("w-%02d", i), address: fmt.Sprintf("runner-%02d:1", i),
			zone: fmt.Sprintf("z%d", i%2), rack: fmt.Sprintf("r-%d", i/max(op.RunnersPerRack, 1)), capacity: op.Capacity, enforcesCapacity: op.EnforcesCapacity,
		}
		if i < len(op.Addresses) {
			ru.address = op.Addresses[i]
		}
		cl.runners = append(cl.runners, ru)
		cl.mu.Lock()
		ru.start()
		cl.mu.Unlock()
	}
	return cl
}

// start begins a new incarnation of a runner, without any state of the previous one.
func (ru *Runner) start() {
	ru.cluster.trace("%s starts up", ru.id)
	ru.up, ru.draining, ru.born = true, false, time.Now()
	ru.fence, ru.leaseEnd, ru.lastCompletion = 0, 0, 0
	ru.runs, ru.completions, ru.highestRun = map[string]*run{}, nil, map[string]int64{}
	if ru.changed != nil {
		close(ru.changed)
	}
	ru.changed = make(chan struct{})
	if ru.cluster.listingDelay == 0 {
		ru.cluster.Store.Put("servers", ru.id, ru.entry())
		return
	}
	born := ru.born
	ru.cluster.afterFunc(ru.cluster.listingDelay, func() {
		if ru.up && ru.born.Equal(born) {
			ru.cluster.Store.Put("servers", ru.id, ru.entry())
		}
	})
}

// SetListingDelay sets the delay until a started runner is listed in the store.
func (cl *Cluster) SetListingDelay(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.listingDelay = d
}

// afterFunc calls fn after d, with the cluster's mutex held.
func (cl *Cluster) afterFunc(d time.Duration, fn func()) *time.Timer {
	return time.AfterFunc(d, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		fn()
	})
}

// Crash ends the incarnation of a runner without notice. The runner starts again under the
// same ID after the down time; 0 means never.
func (cl *Cluster) Crash(at int, down time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	ru.terminate()
	if down > 0 {
		cl.afterFunc(down, func() {
			if !ru.up {
				ru.start()
			}
		})
	}
}

// terminate ends the incarnation of a runner and with it all its runs.
func (ru *Runner) terminate() {
	ru.cluster.trace("%s terminates", ru.id)
	for _, rn := range ru.sortedRuns() {
		if rn.timer != nil {
			rn.timer.Stop()
		}
		delete(ru.runs, rn.key.String())
		if rn.gang != nil {
			ru.cluster.leaveGang(rn, "lost")
		}
	}
	if ru.leaseTimer != nil {
		ru.leaseTimer.Stop()
	}
	ru.up = false
	delete(ru.cluster.oracle.drainingSince, ru)
	ru.notify()
}

// Drain makes a runner report that it is draining, and terminate after Options.DrainTime.
func (cl *Cluster) Drain(at int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	if !ru.up || ru.draining {
		return
	}
	ru.draining = true
	cl.Store.Put("servers", ru.id, ru.entry())
	cl.oracle.recordDrain(ru)
	born := ru.born
	cl.afterFunc(cl.op.DrainTime, func() {
		if ru.born.Equal(born) && ru.up {
			ru.terminate()
			cl.Store.Remove("servers", ru.id)
		}
	})
}

// Restart starts a runner that is down.
func (cl *Cluster) Restart(at int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if ru := cl.runners[at]; !ru.up {
		ru.start()
	}
}

// SetAccelerators changes the number of accelerators of a runner while it runs.
func (cl *Cluster) SetAccelerators(at int, count meter.Accelerators) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	ru.capacity.Accelerators = count
	cl.Store.Put("servers", ru.id, ru.entry())
}

// SetRunnerFaults sets whether a runner fails all runs that it starts, and whether it
// refuses all starts.
func (cl *Cluster) SetRunnerFaults(at int, failing, refusing bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.runners[at].failing, cl.runners[at].unhealthy = failing, refusing
}

// Configure writes the operator's configuration and returns the version of the row.
func (cl *Cluster) Configure(co wire.Config) int64 { return cl.Store.Put("op", "config", co) }

// Violations returns a description of each rule violation so far, in order.
func (cl *Cluster) Violations() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]string(nil), cl.oracle.violations...)
}

// StartCount returns the number of runs that have been started, for all jobs.
func (cl *Cluster) StartCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.oracle.starts
}

// HasStarted reports whether a runner has started a task of a job.
func (cl *Cluster) HasStarted(job string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for unit := range cl.oracle.lastStart {
		if strings.HasPrefix(unit, job+".") {
			return true
		}
	}
	return false
}

// AloneCount returns how many runs have ended because the other members of their gang did not start in
// time.
func (cl *Cluster) AloneCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.oracle.alone
}

// RunnersOf returns, for each running task of the job, the index of its runner.
func (cl *Cluster) RunnersOf(job string) []int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var at []int
	for i, ru := range cl.runners {
		for _, rn := range ru.runs {
			if string(rn.key.Job) == job {
				at = append(at, i)
			}
		}
	}
	return at
}

// RegisterJob registers a job that a client is about to submit.
func (cl *Cluster) RegisterJob(jo Job) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.jobs[jo.ID] = jo
}

// RecordCancelled records that the cancellation of a job was acknowledged to its client.
func (cl *Cluster) RecordCancelled(job string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.oracle.cancelled[job] = time.Now()
}

// RecordRefused records that all attempts to submit a job were refused.
func (cl *Cluster) RecordRefused(job string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.oracle.refused[job] = true
}

func (cl *Cluster) trace(format string, args ...any) {
	if cl.Trace != nil {
		cl.Trace(fmt.Sprintf(format, args...))
	}
}

func (cl *Cluster) step(key workload.TaskKey) wire.StepBody {
	steps := cl.jobs[string(key.Job)].Body.Steps
	if key.Step >= len(steps) {
		return wire.StepBody{}
	}
	return steps[key.Step]
}

func (cl *Cluster) requestOf(key workload.TaskKey) workload.Resources {
	st := cl.step(key)
	return resourceRequest(st)
}

// advised reports whether the start of the task requires a ticket.
func (cl *Cluster) advised(key workload.TaskKey) bool { return cl.jobs[string(key.Job)].Advised }

func (cl *Cluster) inGang(key workload.TaskKey) bool { return cl.step(key).Gang }

func (cl *Cluster) checkpoints(key workload.TaskKey) bool { return cl.step(key).Checkpointing }

func (cl *Cluster) behavior(key workload.TaskKey) Behavior { return cl.jobs[string(key.Job)].Behavior }

func gangName(key workload.TaskKey, run int64) string {
	return fmt.Sprintf("%s.%d.%d/%d", key.Job, key.Occurrence, key.Step, run)
}

// joinGang adds a run to its gang. The gang starts to work once it is complete.
func (cl *Cluster) joinGang(ru *Runner, rn *run) {
	name := gangName(rn.key, rn.number)
	ga := cl.gangs[name]
	if ga == nil {
		ga = &gang{members: map[string]*Runner{}}
		cl.gangs[name] = ga
		ga.startTimer = cl.afterFunc(cl.op.GangTimeout, func() {
			if !ga.working {
				cl.endGang(ga, rn.number, "alone")
			}
		})
	}
	ga.members[rn.key.String()] = ru
	rn.gang = ga
	if len(ga.members) < cl.step(rn.key).Count {
		return
	}
	ga.working = true
	ga.startTimer.Stop()
	for task, member := range ga.members {
		member.startWork(member.runs[task])
	}
}

// leaveGang removes a completed run from its gang and completes the other members, with the
// same outcome if it is "done" or "alone", and otherwise as "broken".
func (cl *Cluster) leaveGang(rn *run, how string) {
	ga := rn.gang
	delete(ga.members, rn.key.String())
	if how != "done" && how != "alone" {
		how = "broken"
	}
	cl.endGang(ga, rn.number, how)
}

func (cl *Cluster) endGang(ga *gang, number int64, how string) {
	for task, member := range ga.members {
		delete(ga.members, task)
		if rn := member.runs[task]; rn != nil && rn.number == number {
			rn.gang = nil
			member.complete(rn, how)
		}
	}
}
