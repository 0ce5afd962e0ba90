// Package replayer replays the generated jobs of a load under a policy, event by event, and
// measures their completion.
package replayer

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/bench/generator"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
)

const (
	roundPeriod = 500 * clock.Millis(1) // interval between scheduling rounds, as in the daemon
	stopLatency = 2 * clock.Second      // from the decision to preempt a gang until it has stopped
	restartCost = 10 * clock.Second     // run time that a preempted gang loses
	sampleEvery = 20                    // rounds between two samples of the stranded accelerators
)

type (
	// Policy decides which jobs start and which are preempted.
	Policy interface {
		Submit(jo generator.Job)
		Complete(id identifier.Job, now clock.Millis)
		Requeue(id identifier.Job)
		// Round returns the jobs to start and the running jobs to preempt.
		Round(now clock.Millis) (starts, preempts []identifier.Job)
		// Free returns the number of free accelerators of each worker.
		Free() []meter.Accelerators
		// Guaranteed reports whether an unused guarantee covers the job.
		Guaranteed(jo generator.Job) bool
	}

	// simulation holds the state of one simulation.
	simulation struct {
		load   generator.Load
		policy Policy
		now    clock.Millis
		events events
		jobs   map[identifier.Job]*state
		// waiting holds the jobs that have arrived and are not running.
		waiting map[identifier.Job]*state
		result  Result
	}

	// state is the progress of one job.
	state struct {
		job       generator.Job
		remaining clock.Millis
		started   clock.Millis
		// run counts the runs of the job that have ended. Events of earlier runs are ignored.
		run        int
		firstStart clock.Millis
		hasStarted bool
		stopping   bool
		// guaranteed means that an unused guarantee covered the job when it arrived.
		guaranteed bool
	}

	event struct {
		at    clock.Millis
		order int
		job   identifier.Job
		kind  eventKind
		run   int
	}

	eventKind int

	events []event
)

const (
	arrival eventKind = iota
	completion
	preempted
)

// Run simulates the load under the policy until every job has ended.
func Run(lo generator.Load, seed uint64, po Policy) Result {
	si := &simulation{load: lo, policy: po, jobs: map[identifier.Job]*state{}, waiting: map[identifier.Job]*state{}}
	for _, jo := range lo.Jobs(seed) {
		si.jobs[jo.ID] = &state{job: jo, remaining: jo.RunTime}
		si.add(event{at: jo.Submitted, job: jo.ID, kind: arrival})
	}
	for rounds := 0; len(si.events) > 0; rounds++ {
		si.skipIdle()
		si.processEvents()
		si.round()
		if rounds%sampleEvery == 0 {
			si.sample()
		}
		si.now += roundPeriod
	}
	si.result.Makespan = si.now
	return si.result
}

func (si *simulation) add(ev event) {
	ev.order = len(si.events)
	heap.Push(&si.events, ev)
}

// skipIdle advances the time to the round of the next event if no job is waiting.
func (si *simulation) skipIdle() {
	if len(si.waiting) > 0 || si.events[0].at <= si.now {
		return
	}
	rounds := (si.events[0].at - si.now + roundPeriod - 1) / roundPeriod
	si.now += rounds * roundPeriod
}

// processEvents handles the events that are due.
func (si *simulation) processEvents() {
	for len(si.events) > 0 && si.events[0].at <= si.now {
		ev, _ := heap.Pop(&si.events).(event)
		st := si.jobs[ev.job]
		switch {
		case ev.kind == arrival:
			si.waiting[ev.job] = st
			st.guaranteed = si.policy.Guaranteed(st.job)
			si.policy.Submit(st.job)
		case ev.run != st.run:
		case ev.kind == completion:
			si.end(ev, st)
		default:
			si.requeue(st)
		}
	}
}

func (si *simulation) end(ev event, st *state) {
	st.run++
	si.policy.Complete(ev.job, ev.at)
	si.result.recordEnd(st, ev.at)
}

// requeue returns a preempted job that has stopped to the waiting jobs. The job keeps its
// progress, except for the cost of the restart.
func (si *simulation) requeue(st *state) {
	st.run++
	ran := si.now - st.started
	st.remaining = max(st.remaining-ran, 0) + restartCost
	st.stopping = false
	si.result.recordPreemption(st)
	si.waiting[st.job.ID] = st
	si.policy.Requeue(st.job.ID)
}

func (si *simulation) round() {
	starts, preempts := si.policy.Round(si.now)
	for _, id := range starts {
		si.start(id)
	}
	for _, id := range preempts {
		st := si.jobs[id]
		if !st.stopping {
			st.stopping = true
			si.add(event{at: si.now + stopLatency, job: id, kind: preempted, run: st.run})
		}
	}
	si.result.Decisions += int64(len(starts) + len(preempts))
}

func (si *simulation) start(id identifier.Job) {
	st := si.jobs[id]
	delete(si.waiting, id)
	st.started = si.now
	if !st.hasStarted {
		st.hasStarted, st.firstStart = true, si.now
	}
	si.add(event{at: si.now + st.remaining, job: id, kind: completion, run: st.run})
}

// sample measures the stranded accelerators, which are free but of no use to any waiting
// gang: those that are left after the waiting gangs are placed, smallest first.
func (si *simulation) sample() {
	if si.now > si.load.Length {
		return
	}
	si.result.Samples++
	if len(si.waiting) == 0 {
		return
	}
	free := slices.Clone(si.policy.Free())
	counts := map[placer.Shape]int{}
	for _, st := range si.waiting {
		counts[st.job.Shape]++
	}
	shapes := slices.SortedFunc(maps.Keys(counts), func(a, b placer.Shape) int {
		return cmp.Or(cmp.Compare(a.Total(), b.Total()), cmp.Compare(a.Members, b.Members), cmp.Compare(a.Adjacency, b.Adjacency))
	})
	si.result.StrandedSum += float64(stranded(free, shapes, counts, si.load.Size.WorkersPerRack))
}

// stranded places each shape as often as counts says, or as often as it fits, and returns
// the number of accelerators that are left.
func stranded(free []meter.Accelerators, shapes []placer.Shape, counts map[placer.Shape]int, perRack int) meter.Accelerators {
	for _, sh := range shapes {
		for range counts[sh] {
			if !placeGang(free, sh, perRack) {
				break
			}
		}
	}
	var left meter.Accelerators
	for _, number := range free {
		left += number
	}
	return left
}

// placeGang places one gang in the first worker, rack or zone in which it fits, as its
// adjacency demands, and reports whether it fits.
func placeGang(free []meter.Accelerators, sh placer.Shape, perRack int) bool {
	size := len(free)
	switch sh.Adjacency {
	case placer.OneWorker:
		size = 1
	case placer.OneRack:
		size = perRack
	}
	for from := 0; from < len(free); from += size {
		part := free[from : from+size]
		fits := 0
		for _, number := range part {
			fits += int(number / sh.Accelerators)
		}
		if fits >= int(sh.Members) {
			allocate(part, sh)
			return true
		}
	}
	return false
}

func allocate(part []meter.Accelerators, sh placer.Shape) {
	missing := int(sh.Members)
	for i := range part {
		take := min(missing, int(part[i]/sh.Accelerators))
		part[i] -= meter.Accelerators(take) * sh.Accelerators
		missing -= take
	}
}

// Len implements heap.Interface.
func (ev events) Len() int { return len(ev) }

// Less orders events by time, and events of the same time by the number of pending events
// when they were added.
func (ev events) Less(i, j int) bool {
	if ev[i].at != ev[j].at {
		return ev[i].at < ev[j].at
	}
	return ev[i].order < ev[j].order
}

// Swap implements heap.Interface.
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }

// Push implements heap.Interface.
func (ev *events) Push(x any) {
	if one, ok := x.(event); ok {
		*ev = append(*ev, one)
	}
}

// Pop implements heap.Interface.
func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}
