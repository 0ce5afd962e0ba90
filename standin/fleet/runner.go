package fleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

const (
	// maxCompletionsPerReply is the maximum number of completions in a reply.
	maxCompletionsPerReply = 500
	// stopDuration is the time from a stop command until the run has stopped.
	stopDuration = 80 * time.Millisecond
	// checkpointInterval is the amount of work between two checkpoints.
	checkpointInterval = 500 * time.Millisecond
)

type (
	// Runner is a simulated runner. All runners of a cluster share the mutex of the cluster.
	Runner struct {
		cluster *Cluster
		// id is that of the present life; it is name until the runner has crashed under a task, lives
		// times.
		id, name string
		lives    int
		address  string
		zone     string
		rack     string
		capacity workload.Resources
		// enforcesCapacity means that the runner refuses tasks that exceed its free capacity.
		enforcesCapacity bool
		// up is false between a crash and the next start.
		up       bool
		draining bool
		// born is the start of the current incarnation.
		born time.Time
		// coldUntil is when the runner no longer reports that it is slow.
		coldUntil time.Time
		// fence is the highest fencing token seen by this incarnation.
		fence int64
		// leaseEnd is when the lease of all runs expires, on the runner's clock. leaseTimer
		// fires at that time.
		leaseEnd   int64
		leaseTimer *time.Timer
		// runs holds the runs in progress by task.
		runs map[string]*run
		// completions holds the completed runs that have not been acknowledged.
		completions []completion
		// lastCompletion is the number of the latest completion.
		lastCompletion int64
		// highestRun maps each task to the highest number of its runs that were stopped or
		// have completed in this incarnation.
		highestRun map[string]int64
		// changed is closed and replaced when a run completes or the incarnation ends.
		changed chan struct{}
		// slowness multiplies the run times of runs that start; 0 counts as 1.
		slowness float64
		// failing makes every new run fail, and unhealthy refuses every start.
		failing, unhealthy bool
	}

	run struct {
		key    workload.TaskKey
		number int64
		spec   string
		// checkpoint is the amount of work in the checkpoint that the run resumed from.
		checkpoint time.Duration
		startedAt  time.Time
		gang       *gang
		// timer fires when the run completes by itself.
		timer *time.Timer
		// slowness is that of the runner when the run started to work.
		slowness float64
		// working is false for a run that waits for the other members of its gang.
		working bool
		// speed is the percentage of full speed to which the run is throttled. It affects
		// the tail latency of other tasks on the runner, but not the run time.
		speed int
	}

	completion struct {
		number     int64
		task       string
		run        int64
		how        string
		checkpoint string
		// at is when the run completed.
		at time.Time
		// leaseExpired means that the lease of the runner expired before the completion was
		// acknowledged. The oracle ignores such a completion.
		leaseExpired bool
	}

	// gang holds the members of one run of a gang that have started.
	gang struct {
		// members maps the task of each member to its runner.
		members map[string]*Runner
		// working means that all members have started.
		working bool
		// startTimer fires when the other members have not started in time.
		startTimer *time.Timer
	}
)

// ServeHTTP serves the calls of the runner protocol.
func (ru *Runner) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	ru.cluster.mu.Lock()
	defer ru.cluster.mu.Unlock()
	if expected := rq.Header.Get("X-Wagtailcroft-Expect-Instance"); expected != ru.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/v1/run-start":
		var rs wire.RunStart
		if decode(wr, rq, &rs) {
			ru.serveStart(wr, rq, rs)
		}
	case "/v1/run-stop":
		var rs wire.RunStop
		if decode(wr, rq, &rs) {
			ru.serveStop(wr, rq, rs)
		}
	case "/v1/pace":
		var pa wire.Pace
		if decode(wr, rq, &pa) {
			ru.servePace(wr, rq, pa)
		}
	case "/v1/hold":
		var ho wire.Hold
		if decode(wr, rq, &ho) {
			ru.serveHold(wr, rq, ho)
		}
	default:
		http.Error(wr, "unknown method or path", http.StatusNotFound)
	}
}

func decode(wr http.ResponseWriter, rq *http.Request, into any) bool {
	if err := json.NewDecoder(rq.Body).Decode(into); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// clock returns the time on the runner's own clock, in milliseconds. It is 1% slow.
func (ru *Runner) clock() int64 { return 1000 + time.Since(ru.born).Milliseconds()*99/100 }

func (ru *Runner) refuse(wr http.ResponseWriter, reason string) {
	reply(wr, http.StatusConflict, wire.RunnerReply{ClockMs: ru.clock(), Reason: reason})
}

// acceptFence records a fencing token. It refuses the call if a higher one has been seen.
func (ru *Runner) acceptFence(wr http.ResponseWriter, rq *http.Request, fence int64) bool {
	if fence < ru.fence && ru.cluster.op.IgnoresFences {
		ru.cluster.oracle.checkFence(rq, ru.id, fence, ru.fence)
		return true
	}
	if fence < ru.fence {
		ru.refuse(wr, "fence")
		return false
	}
	ru.fence = fence
	return true
}

// extendLease extends the lease of all runs to the given time on the runner's clock, but by
// no more than the maximum lease. It never shortens the lease.
func (ru *Runner) extendLease(until int64) {
	limit := ru.clock() + ru.cluster.op.MaxLease.Milliseconds()
	ru.leaseEnd = max(ru.leaseEnd, min(until, limit))
	if ru.leaseTimer != nil {
		ru.leaseTimer.Stop()
	}
	left := time.Duration(ru.leaseEnd-ru.clock()) * time.Millisecond * 100 / 99
	ru.leaseTimer = ru.cluster.afterFunc(left, func() {
		ru.completeAll("lapsed")
		for i := range ru.completions {
			ru.completions[i].leaseExpired = true
		}
	})
}

func (ru *Runner) serveStart(wr http.ResponseWriter, rq *http.Request, rs wire.RunStart) {
	if !ru.acceptFence(wr, rq, rs.Fence) {
		return
	}
	if rs.DeadlineMs <= ru.clock() {
		ru.refuse(wr, "late")
		return
	}
	ru.extendLease(rs.DeadlineMs)
	current := ru.runs[rs.Task]
	switch {
	case current != nil && current.number == rs.Run:
		reply(wr, http.StatusOK, wire.RunnerReply{ClockMs: ru.clock()})
		return
	case ru.highestRun[rs.Task] >= rs.Run || current != nil && current.number > rs.Run:
		ru.refuse(wr, "old")
		return
	case ru.unhealthy:
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	key, ok := workload.ParseTaskKey(rs.Task)
	if !ok {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if ru.cluster.advised(key) && !ru.cluster.Advice.valid(key, ru.id, rs.Ticket) {
		ru.refuse(wr, "ticket")
		return
	}
	if request := ru.cluster.requestOf(key); ru.enforcesCapacity && !ru.free().Fits(request) {
		ru.refuse(wr, "room")
		return
	}
	ru.cluster.trace("%s starts %s run %d", ru.id, rs.Task, rs.Run)
	ru.cluster.oracle.checkEvacuation(rq, ru, rs.Task)
	ru.cluster.oracle.checkStart(ru, key, rs)
	ru.startRun(key, rs)
	reply(wr, http.StatusOK, wire.RunnerReply{ClockMs: ru.clock()})
}

func (ru *Runner) startRun(key workload.TaskKey, rs wire.RunStart) {
	rn := &run{key: key, number: rs.Run, spec: rs.Spec, startedAt: time.Now(), speed: 100}
	if rs.Checkpoint != "" {
		if millis, err := strconv.ParseInt(rs.Checkpoint, 10, 64); err == nil {
			rn.checkpoint = time.Duration(millis) * time.Millisecond
		}
	}
	ru.runs[rs.Task] = rn
	if ru.cluster.behavior(key).Deadly {
		ru.crashSoon(key)
	}
	if ru.cluster.inGang(key) {
		ru.cluster.joinGang(ru, rn)
		return
	}
	ru.startWork(rn)
}

// startWork starts the work of a run and schedules its completion.
func (ru *Runner) startWork(rn *run) {
	rn.working, rn.startedAt, rn.slowness = true, time.Now(), ru.slowness
	if rn.slowness == 0 {
		rn.slowness = 1
	}
	be := ru.cluster.behavior(rn.key)
	how, left := "done", be.RunTime-rn.checkpoint
	if int(rn.number) <= be.FailedRuns || ru.failing {
		how, left = "failed", left/4
	}
	left = time.Duration(float64(left) * rn.slowness)
	rn.timer = ru.cluster.afterFunc(max(left, 0), func() { ru.complete(rn, how) })
}

// progress returns the amount of work done, including that of the initial checkpoint.
func (rn *run) progress() time.Duration {
	if !rn.working {
		return rn.checkpoint
	}
	return rn.checkpoint + time.Duration(float64(time.Since(rn.startedAt))/rn.slowness)
}

// percent returns the progress of a run in percent.
func (ru *Runner) percent(rn *run) int {
	whole := ru.cluster.behavior(rn.key).RunTime
	if whole <= 0 {
		return 0
	}
	return int(min(100*rn.progress()/whole, 100))
}

// checkpoint returns the checkpoint of a run, or an empty string if it has none. Unless exact
// is set, it covers the work up to the last regular checkpoint only.
func (ru *Runner) checkpoint(rn *run, exact bool) string {
	if !ru.cluster.checkpoints(rn.key) {
		return ""
	}
	done := rn.progress()
	if !exact {
		done = done.Truncate(checkpointInterval)
	}
	if done <= 0 {
		return ""
	}
	return strconv.FormatInt(done.Milliseconds(), 10)
}

// complete completes a run and the other runs of its gang.
func (ru *Runner) complete(rn *run, how string) {
	name := rn.key.String()
	if ru.runs[name] != rn {
		return
	}
	checkpoint := ru.checkpoint(rn, how == "stopped")
	delete(ru.runs, name)
	if rn.timer != nil {
		rn.timer.Stop()
	}
	ru.highestRun[name] = max(ru.highestRun[name], rn.number)
	ru.lastCompletion++
	ru.cluster.trace("%s completes %s run %d: %s", ru.id, name, rn.number, how)
	ru.completions = append(ru.completions, completion{number: ru.lastCompletion, task: name, run: rn.number, how: how, checkpoint: checkpoint, at: time.Now()})
	ru.cluster.oracle.recordCompletion(rn.key, rn.number, how)
	ru.notify()
	if rn.gang != nil {
		ru.cluster.leaveGang(rn, how)
	}
}

func (ru *Runner) completeAll(how string) {
	for _, rn := range ru.sortedRuns() {
		ru.complete(rn, how)
	}
}

func (ru *Runner) sortedRuns() []*run {
	all := make([]*run, 0, len(ru.runs))
	for _, rn := range ru.runs {
		all = append(all, rn)
	}
	slices.SortFunc(all, func(a, b *run) int {
		if a.key.String() < b.key.String() {
			return -1
		}
		return 1
	})
	return all
}

func (ru *Runner) notify() {
	close(ru.changed)
	ru.changed = make(chan struct{})
}

// free returns the free capacity.
func (ru *Runner) free() workload.Resources {
	left := ru.capacity
	for _, rn := range ru.runs {
		left = left.Sub(ru.cluster.requestOf(rn.key))
	}
	return left
}

func (ru *Runner) serveStop(wr http.ResponseWriter, rq *http.Request, rs wire.RunStop) {
	if !ru.acceptFence(wr, rq, rs.Fence) {
		return
	}
	ru.highestRun[rs.Task] = max(ru.highestRun[rs.Task], rs.Run)
	if rn := ru.runs[rs.Task]; rn != nil && rn.number <= rs.Run {
		ru.cluster.afterFunc(stopDuration, func() { ru.complete(rn, "stopped") })
	}
	reply(wr, http.StatusOK, wire.RunnerReply{ClockMs: ru.clock()})
}

func (ru *Runner) serveHold(wr http.ResponseWriter, rq *http.Request, ho wire.Hold) {
	if !ru.acceptFence(wr, rq, ho.Fence) {
		return
	}
	if ho.DeadlineMs > 0 {
		ru.extendLease(ho.DeadlineMs)
	}
	ru.discardCompletions(ho.LastSeen)
	born := ru.born
	timeout := time.After(time.Duration(ho.WaitMs) * time.Millisecond)
	for len(ru.completions) == 0 && ho.WaitMs > 0 {
		changed := ru.changed
		ru.cluster.mu.Unlock()
		finished := false
		select {
		case <-changed:
		case <-timeout:
			finished = true
		case <-rq.Context().Done():
			finished = true
		}
		ru.cluster.mu.Lock()
		if !ru.up || !ru.born.Equal(born) {
			panic(http.ErrAbortHandler) // the connection ended with the incarnation
		}
		if finished {
			break
		}
	}
	reply(wr, http.StatusOK, ru.status())
}
