// Package feeder feeds a list of arrivals and finishes to a policy and measures what
// becomes of the jobs.
package feeder

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
	roundPeriod = 500 * clock.Millis(1) // as the daemon's scheduling rounds
	stopLatency = 2 * clock.Second      // from a decision to preempt until the gang is gone
	restartCost = 10 * clock.Second     // run time a preempted gang loses
	sampleEvery = 20                    // rounds between two samples of stranded accelerators
)

type (
	// Policy decides what runs.
	Policy interface {
		Submit(jo generator.Job)
		Finished(id identifier.Job, now clock.Millis)
		Stopped(id identifier.Job)
		// Round returns the jobs that start now and those that are to stop.
		Round(now clock.Millis) (starts, preempts []identifier.Job)
		// Free is what no gang uses, worker by worker.
		Free() []meter.Accelerators
		// Guaranteed reports whether an unused guarantee covers the job.
		Guaranteed(jo generator.Job) bool
	}

	// Feeder holds the event list of one run.
	Feeder struct {
		load   generator.Load
		policy Policy
		now    clock.Millis
		events events
		jobs   map[identifier.Job]*state
		// waiting holds the jobs that do not run.
		waiting map[identifier.Job]*state
		result  Result
	}

	state struct {
		job     generator.Job
		left    clock.Millis
		started clock.Millis
		// run numbers the starts, so that the end of an earlier one is ignored.
		run     int
		first   clock.Millis
		ran     bool
		stopped bool
		// guaranteed means that a guarantee was unused when the job arrived.
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
	arrives eventKind = iota
	ends
	isGone
)

// Run feeds the load to the policy until every job has ended.
func Run(lo generator.Load, seed uint64, po Policy) Result {
	fe := &Feeder{load: lo, policy: po, jobs: map[identifier.Job]*state{}, waiting: map[identifier.Job]*state{}}
	for _, jo := range lo.Jobs(seed) {
		fe.jobs[jo.ID] = &state{job: jo, left: jo.Run}
		fe.add(event{at: jo.Submitted, job: jo.ID, kind: arrives})
	}
	for rounds := 0; len(fe.events) > 0; rounds++ {
		fe.skipIdle()
		fe.play()
		fe.round()
		if rounds%sampleEvery == 0 {
			fe.sample()
		}
		fe.now += roundPeriod
	}
	fe.result.Makespan = fe.now
	return fe.result
}

func (fe *Feeder) add(ev event) {
	ev.order = len(fe.events)
	heap.Push(&fe.events, ev)
}

// skipIdle moves on to the round of the next event when nothing waits.
func (fe *Feeder) skipIdle() {
	if len(fe.waiting) > 0 || fe.events[0].at <= fe.now {
		return
	}
	rounds := (fe.events[0].at - fe.now + roundPeriod - 1) / roundPeriod
	fe.now += rounds * roundPeriod
}

func (fe *Feeder) play() {
	for len(fe.events) > 0 && fe.events[0].at <= fe.now {
		ev, _ := heap.Pop(&fe.events).(event)
		st := fe.jobs[ev.job]
		switch {
		case ev.kind == arrives:
			fe.waiting[ev.job] = st
			st.guaranteed = fe.policy.Guaranteed(st.job)
			fe.policy.Submit(st.job)
		case ev.run != st.run:
		case ev.kind == ends:
			fe.end(ev, st)
		default:
			fe.gone(st)
		}
	}
}

func (fe *Feeder) end(ev event, st *state) {
	st.run++
	fe.policy.Finished(ev.job, ev.at)
	fe.result.take(st, ev.at)
}

// gone puts a preempted job back; it keeps what it has done, but for the cost of the
// restart.
func (fe *Feeder) gone(st *state) {
	st.run++
	ran := fe.now - st.started
	st.left = max(st.left-ran, 0) + restartCost
	st.stopped = false
	fe.result.lose(st)
	fe.waiting[st.job.ID] = st
	fe.policy.Stopped(st.job.ID)
}

func (fe *Feeder) round() {
	starts, preempts := fe.policy.Round(fe.now)
	for _, id := range starts {
		fe.start(id)
	}
	for _, id := range preempts {
		st := fe.jobs[id]
		if !st.stopped {
			st.stopped = true
			fe.add(event{at: fe.now + stopLatency, job: id, kind: isGone, run: st.run})
		}
	}
	fe.result.Decisions += int64(len(starts) + len(preempts))
}

func (fe *Feeder) start(id identifier.Job) {
	st := fe.jobs[id]
	delete(fe.waiting, id)
	st.started = fe.now
	if !st.ran {
		st.ran, st.first = true, fe.now
	}
	fe.add(event{at: fe.now + st.left, job: id, kind: ends, run: st.run})
}

// sample measures the accelerators that are free but of no use to any waiting gang: what
// is left when the waiting gangs are put into the free room, smallest first.
func (fe *Feeder) sample() {
	if fe.now > fe.load.Length {
		return
	}
	fe.result.Samples++
	if len(fe.waiting) == 0 {
		return
	}
	free := slices.Clone(fe.policy.Free())
	counts := map[placer.Shape]int{}
	for _, st := range fe.waiting {
		counts[st.job.Shape]++
	}
	shapes := slices.SortedFunc(maps.Keys(counts), func(a, b placer.Shape) int {
		return cmp.Or(cmp.Compare(a.Total(), b.Total()), cmp.Compare(a.Members, b.Members), cmp.Compare(a.Adjacency, b.Adjacency))
	})
	fe.result.Stranded += float64(stranded(free, shapes, counts, fe.load.Size.WorkersPerRack))
}

// stranded fills the free room with the shapes, each as often as it waits, and returns
// what is left.
func stranded(free []meter.Accelerators, shapes []placer.Shape, counts map[placer.Shape]int, perRack int) meter.Accelerators {
	for _, sh := range shapes {
		for range counts[sh] {
			if !fill(free, sh, perRack) {
				break
			}
		}
	}
	var left meter.Accelerators
	for _, room := range free {
		left += room
	}
	return left
}

func fill(free []meter.Accelerators, sh placer.Shape, perRack int) bool {
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
		for _, room := range part {
			fits += int(room / sh.Accelerators)
		}
		if fits >= int(sh.Members) {
			takeFrom(part, sh)
			return true
		}
	}
	return false
}

func takeFrom(part []meter.Accelerators, sh placer.Shape) {
	missing := int(sh.Members)
	for i := range part {
		take := min(missing, int(part[i]/sh.Accelerators))
		part[i] -= meter.Accelerators(take) * sh.Accelerators
		missing -= take
	}
}

// Len, Less, Swap, Push and Pop make the events a heap by time.
func (ev events) Len() int { return len(ev) }

// Less orders by time, then by the order of adding.
func (ev events) Less(i, j int) bool {
	if ev[i].at != ev[j].at {
		return ev[i].at < ev[j].at
	}
	return ev[i].order < ev[j].order
}

// Swap exchanges two events.
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }

// Push adds an event at the end.
func (ev *events) Push(x any) {
	if one, ok := x.(event); ok {
		*ev = append(*ev, one)
	}
}

// Pop takes the event at the end.
func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}
