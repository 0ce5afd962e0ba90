package fleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

// Names of the one pool, and of the host of its queues.
const (
	Pool = "workers"
	Host = "jobs.example"
	// StoreAddress is where the store is.
	StoreAddress = "store:1"
)

type (
	// Options shape a cluster.
	Options struct {
		Runners int
		// PerRack is the number of runners in a rack.
		PerRack int
		Room    workload.Room
		Guarded bool
		// MaxLease is the longest lease.
		MaxLease time.Duration
		// Drain is how long a draining runner goes on.
		Drain time.Duration
		// Addresses holds the address of each runner; names stand for those that it lacks.
		Addresses []string
		// GangTimeout is how long a member waits for the others.
		GangTimeout time.Duration
	}

	// Work is what the tasks of a step really do.
	Work struct {
		// Time is the work of a task.
		Time time.Duration
		// Failing is the number of runs that fail before one succeeds.
		Failing int
	}

	// Job is a job as a client sends it, with what it really does.
	Job struct {
		ID    string
		Queue string
		Key   string
		Body  wire.JobBody
		Work  Work
		// Advised means that its queue needs advice.
		Advised bool
	}

	// Cluster is the store, the runners and the judge of what they see.
	Cluster struct {
		Store    *Store
		Advice   *Advice
		machines *machines
		op       Options

		mu      sync.Mutex
		runners []*Runner
		// jobs holds what clients have sent, by id.
		jobs  map[string]Job
		gangs map[string]*gang
		judge *judge
		// lag is how long after its start a runner is listed.
		lag time.Duration
		// Trace takes a line for what a runner does; nil drops it. It is set before any call.
		Trace func(line string)
		// faults holds what is wrong between machines.
		faults faults
	}
)

// New returns a cluster whose runners are up and listed.
func New(op Options) *Cluster {
	cl := &Cluster{Store: NewStore(), op: op, jobs: map[string]Job{}, gangs: map[string]*gang{}}
	cl.judge = &judge{cluster: cl, done: map[string]bool{}, failed: map[string]int{}, failedRun: map[string]int64{}, cancelled: map[string]time.Time{}, refused: map[string]bool{}}
	cl.Advice = &Advice{cluster: cl, issued: map[string]time.Time{}}
	cl.machines = &machines{cluster: cl, fences: map[string]string{}, upkeeps: map[string]int{}}
	cl.faults.init()
	for i := range op.Runners {
		ru := &Runner{
			cluster: cl, id: fmt.Sprintf("w-%02d", i), address: fmt.Sprintf("runner-%02d:1", i),
			zone: fmt.Sprintf("z%d", i%2), rack: fmt.Sprintf("r-%d", i/max(op.PerRack, 1)), room: op.Room, guarded: op.Guarded,
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

// start begins a life of a runner, which knows nothing of the one before.
func (ru *Runner) start() {
	ru.cluster.trace("%s begins", ru.id)
	ru.up, ru.draining, ru.born = true, false, time.Now()
	ru.fence, ru.leaseEnd, ru.last = 0, 0, 0
	ru.runs, ru.ends, ru.highest = map[string]*run{}, nil, map[string]int64{}
	if ru.changed != nil {
		close(ru.changed)
	}
	ru.changed = make(chan struct{})
	if ru.cluster.lag == 0 {
		ru.cluster.Store.Put("servers", ru.id, ru.entry())
		return
	}
	born := ru.born
	ru.cluster.after(ru.cluster.lag, func() {
		if ru.up && ru.born.Equal(born) {
			ru.cluster.Store.Put("servers", ru.id, ru.entry())
		}
	})
}

// Lag makes the list of runners late.
func (cl *Cluster) Lag(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lag = d
}

// after runs fn later, with the cluster's mutex held.
func (cl *Cluster) after(d time.Duration, fn func()) *time.Timer {
	return time.AfterFunc(d, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		fn()
	})
}

// Crash ends the life of a runner without a word, and begins another under the same id
// after a while; 0 means never.
func (cl *Cluster) Crash(at int, down time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	ru.die()
	if down > 0 {
		cl.after(down, func() {
			if !ru.up {
				ru.start()
			}
		})
	}
}

// die ends the life of a runner with all that it runs.
func (ru *Runner) die() {
	ru.cluster.trace("%s dies", ru.id)
	for _, rn := range ru.sorted() {
		if rn.timer != nil {
			rn.timer.Stop()
		}
		delete(ru.runs, rn.key.String())
		if rn.gang != nil {
			ru.cluster.leave(rn, "lost")
		}
	}
	if ru.lease != nil {
		ru.lease.Stop()
	}
	ru.up = false
	delete(ru.cluster.judge.drains, ru)
	ru.wake()
}

// Drain has a runner report that it leaves, and leave.
func (cl *Cluster) Drain(at int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	if !ru.up || ru.draining {
		return
	}
	ru.draining = true
	cl.Store.Put("servers", ru.id, ru.entry())
	cl.judge.drained(ru)
	born := ru.born
	cl.after(cl.op.Drain, func() {
		if ru.born.Equal(born) && ru.up {
			ru.die()
			cl.Store.Remove("servers", ru.id)
		}
	})
}

// Return begins a new life of a runner that has left.
func (cl *Cluster) Return(at int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if ru := cl.runners[at]; !ru.up {
		ru.start()
	}
}

// Sicken makes a runner fail all that it starts, or refuse all starts.
func (cl *Cluster) Sicken(at int, failing, refusing bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.runners[at].bad, cl.runners[at].unhealthy = failing, refusing
}

// Configure writes the operator's configuration and returns the version of its row.
func (cl *Cluster) Configure(co wire.Config) int64 { return cl.Store.Put("op", "config", co) }

// Violations lists what broke a rule, in order.
func (cl *Cluster) Violations() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]string(nil), cl.judge.violations...)
}

// Runs counts the starts of a job's tasks.
func (cl *Cluster) Runs() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.judge.starts
}

// At lists the runners that run a task of the job.
func (cl *Cluster) At(job string) []int {
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

// Expect tells the cluster of a job that a client sends.
func (cl *Cluster) Expect(jo Job) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.jobs[jo.ID] = jo
}

// Cancelled tells the cluster that a cancellation was acknowledged.
func (cl *Cluster) Cancelled(job string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.judge.cancelled[job] = time.Now()
}

// Refused tells the cluster that every try to hand a job in was refused.
func (cl *Cluster) Refused(job string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.judge.refused[job] = true
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

func (cl *Cluster) need(key workload.TaskKey) workload.Room {
	st := cl.step(key)
	return roomOf(st)
}

// advised reports whether starts of the task need a ticket.
func (cl *Cluster) advised(key workload.TaskKey) bool { return cl.jobs[string(key.Job)].Advised }

func (cl *Cluster) ganged(key workload.TaskKey) bool { return cl.step(key).Gang }

func (cl *Cluster) saves(key workload.TaskKey) bool { return cl.step(key).Checkpointing }

func (cl *Cluster) work(key workload.TaskKey) Work { return cl.jobs[string(key.Job)].Work }

func gangName(key workload.TaskKey, run int64) string {
	return fmt.Sprintf("%s.%d.%d/%d", key.Job, key.Occurrence, key.Step, run)
}

// join adds a member to its gang, which begins to work once it is whole.
func (cl *Cluster) join(ru *Runner, rn *run) {
	name := gangName(rn.key, rn.number)
	ga := cl.gangs[name]
	if ga == nil {
		ga = &gang{members: map[string]*Runner{}}
		cl.gangs[name] = ga
		ga.alone = cl.after(cl.op.GangTimeout, func() {
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
	ga.alone.Stop()
	for task, member := range ga.members {
		member.work(member.runs[task])
	}
}

// leave ends the other members of a gang: as done with it, or as broken.
func (cl *Cluster) leave(rn *run, how string) {
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
			member.finish(rn, how)
		}
	}
}
