package separator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	queue identifier.Queue = "queue"
	pool  identifier.Pool  = "pool"
	// minGain is the share of the callers' time that is to be gained where a third of the pairs disturb.
	minGain = 0.1
	// maxSearchMillis is what a search for a move may take, also under the race detector.
	maxSearchMillis = 250
)

// planned is a fleet whose runs are placed by the planner.
type planned struct {
	*generated
	in   planner.Input
	jobs map[*workload.Job]*run
	// names are the pairs that operators have named.
	names separator.Names
	// spent is the time from the arrival to the end of the jobs that have ended, and ended their number.
	spent clock.Millis
	ended int
}

func newPlanned(seed uint64, hosts, images int, share float64) *planned {
	pl := &planned{generated: generate(seed, hosts, images, share), jobs: map[*workload.Job]*run{}}
	pl.in = planner.Input{
		Queues:   map[identifier.Queue]workload.Terms{queue: {Pool: pool, Priority: 1, MaxAttempts: 3, SlowdownFactor: 2, Objective: 1000}},
		WaitTime: func(identifier.Job) clock.Millis { return 0 },
	}
	for _, ho := range pl.hosts {
		ho.speed = 1
		pl.in.Workers = append(pl.in.Workers, planner.Worker{ID: ho.id, Incarnation: 1, Pool: pool, Rack: "rack", Capacity: workload.Resources{CPU: 4000, Memory: 4000}, Usable: true})
	}
	return pl
}

// submit adds a job of one task.
func (pl *planned) submit(image identifier.Image, work float64) *workload.Job {
	jo := &workload.Job{ID: identifier.Job(fmt.Sprintf("%016x", len(pl.jobs))), Queue: queue, Occurrences: 1, Due: 1, AcceptedAt: pl.now}
	jo.Steps = []workload.Step{{Count: 1, Request: workload.Resources{CPU: 1000, Memory: 1000}, Image: string(image), Estimate: clock.Millis(work)}}
	jo.Stages = []*workload.Stage{{Tasks: make([]workload.Task, 1)}}
	pl.in.Jobs = append(pl.in.Jobs, jo)
	pl.jobs[jo] = &run{image: image, work: work}
	return jo
}

// plan places the waiting tasks, with what is known of the pairs if separate is set.
func (pl *planned) plan(separate bool) planner.Plan {
	pl.in.Now, pl.in.Costs = pl.now, nil
	if sn := pl.se.Separation(pl.names, nil); separate && sn != nil {
		pl.in.Costs = []planner.Cost{sn}
	}
	return planner.New(planner.Completion).Plan(pl.in)
}

// start carries a plan out.
func (pl *planned) start(plan planner.Plan) {
	for _, st := range plan.Starts {
		for _, place := range st.Placements {
			st.Stage.Tasks[place.Index] = workload.Task{Phase: workload.Running, Run: 1, Worker: place.Worker, Incarnation: 1, PlacedAt: pl.now}
			for _, ho := range pl.hosts {
				if ho.id == place.Worker {
					ru := pl.jobs[st.Job]
					ru.seenAt = pl.now
					ho.runs = append(ho.runs, ru)
				}
			}
		}
	}
}

// day plays arrivals for a time and returns the mean time that jobs took.
func (pl *planned) day(duration clock.Millis, perTick float64, separate bool) float64 {
	for end := pl.now + duration; pl.now < end; pl.now += tick {
		for due := perTick; pl.rnd.Float64() < due; due-- {
			pl.submit(pl.images[pl.rnd.IntN(len(pl.images))], 3000+9000*pl.rnd.Float64())
		}
		pl.start(pl.plan(separate))
		for _, ho := range pl.hosts {
			pl.work(ho)
		}
		left := pl.in.Jobs[:0]
		for _, jo := range pl.in.Jobs {
			if ru := pl.jobs[jo]; ru.done < ru.work {
				left = append(left, jo)
				continue
			}
			pl.spent += pl.now + tick - jo.AcceptedAt
			pl.ended++
		}
		pl.in.Jobs = left
	}
	return float64(pl.spent) / float64(pl.ended)
}

// workerOf returns the worker on which a plan starts a job.
func workerOf(pl planner.Plan, jo *workload.Job) identifier.Worker {
	for _, st := range pl.Starts {
		if st.Job == jo {
			return st.Placements[0].Worker
		}
	}
	return ""
}

func TestPlans(t *testing.T) {
	t.Run("callers gain time where tasks disturb each other and there is room", func(t *testing.T) {
		var without, with float64
		for seed := range uint64(5) {
			without += newPlanned(seed, 12, 6, 0.33).day(200*clock.Second, 1, false)
			with += newPlanned(seed, 12, 6, 0.33).day(200*clock.Second, 1, true)
		}
		t.Logf("mean time of a job: %.0f ms without, %.0f ms with", without/5, with/5)
		expectAtLeast(t, "share of the callers' time that is gained", 1-with/without, minGain)
	})
	t.Run("a full fleet starts as many tasks as before", func(t *testing.T) {
		pl := newPlanned(1, 3, 2, 0)
		alternateImages(pl.se)
		for range 20 {
			pl.submit("a", 5000)
			pl.submit("b", 5000)
		}
		asserter.Equal(t, len(pl.plan(true).Starts), len(pl.plan(false).Starts))
	})
	t.Run("without evidence nothing is known that would change a plan", func(t *testing.T) {
		pl := newPlanned(1, 12, 6, 0)
		pl.day(100*clock.Second, 1, true)
		asserter.Equal(t, pl.se.Separation(separator.Names{}, nil) == nil, true)
		pl.names.Ignored = []separator.ImagePair{{A: "a", B: "b"}}
		asserter.Equal(t, pl.se.Separation(pl.names, nil) == nil, true)
	})
	t.Run("what is known of some images leaves the plans of others as they are", func(t *testing.T) {
		pl := newPlanned(1, 6, 2, 0)
		alternateImages(pl.se)
		for i := range 12 {
			pl.submit(identifier.Image(fmt.Sprintf("other%d", i%3)), 5000)
		}
		asserter.Equal(t, fmt.Sprint(pl.plan(true).Starts), fmt.Sprint(pl.plan(false).Starts))
	})
	t.Run("a pair that an operator names is kept apart, and one to ignore is not", func(t *testing.T) {
		pl := newPlanned(1, 2, 2, 0)
		pl.submit("c", 5000)
		pl.start(pl.plan(true))
		jo := pl.submit("d", 5000)
		beside := workerOf(pl.plan(true), jo)
		asserter.Equal(t, beside, pl.hostOf("c"))
		pl.names.Apart = []separator.ImagePair{{A: "d", B: "c"}}
		asserter.Equal(t, workerOf(pl.plan(true), jo) != beside, true)

		pl = newPlanned(1, 2, 2, 0)
		alternateImages(pl.se)
		pl.submit("b", 5000)
		pl.start(pl.plan(true))
		jo = pl.submit("a", 5000)
		asserter.Equal(t, workerOf(pl.plan(true), jo) != pl.hostOf("b"), true)
		pl.names.Ignored = []separator.ImagePair{{A: "b", B: "a"}}
		asserter.Equal(t, workerOf(pl.plan(true), jo), pl.hostOf("b"))
	})
	t.Run("where there is room on one worker only, the pair runs there", func(t *testing.T) {
		pl := newPlanned(1, 1, 2, 0)
		alternateImages(pl.se)
		pl.submit("b", 5000)
		pl.start(pl.plan(true))
		jo := pl.submit("a", 5000)
		asserter.Equal(t, workerOf(pl.plan(true), jo), pl.hostOf("b"))
	})
}

func TestBestMove(t *testing.T) {
	se := separator.New()
	alternateImages(se)
	sn := se.Separation(separator.Names{}, nil)
	task := func(image string, left, lost clock.Millis) separator.Run {
		step := &workload.Step{Count: 1, Image: image, Request: workload.Resources{CPU: 1000}}
		return separator.Run{Key: workload.TaskKey{Job: identifier.Job(image)}, Step: step, Left: left, Lost: lost, Movable: true}
	}
	fleet := func(free workload.Resources, runs ...separator.Run) []separator.Host {
		return []separator.Host{{ID: "here", Pool: pool, Usable: true, Runs: runs}, {ID: "there", Pool: pool, Usable: true, Free: free}}
	}
	room := workload.Resources{CPU: 1000}
	t.Run("a pair that runs for long is parted", func(t *testing.T) {
		mo, found := sn.BestMove(fleet(room, task("a", 60_000, 5000), task("b", 60_000, 100)))
		asserter.Equal(t, found, true)
		asserter.Equal(t, mo.Task.Job, "b")
		asserter.Equal(t, mo.To, "there")
	})
	t.Run("not if the move loses more than it gains", func(t *testing.T) {
		_, found := sn.BestMove(fleet(room, task("a", 60_000, 50_000), task("b", 60_000, 50_000)))
		asserter.Equal(t, found, false)
		_, found = sn.BestMove(fleet(room, task("a", 1000, 0), task("b", 60_000, 0)))
		asserter.Equal(t, found, false)
	})
	t.Run("not where there is no room", func(t *testing.T) {
		_, found := sn.BestMove(fleet(workload.Resources{}, task("a", 60_000, 0), task("b", 60_000, 0)))
		asserter.Equal(t, found, false)
	})
	t.Run("not to a place that is as bad", func(t *testing.T) {
		hosts := fleet(room, task("a", 60_000, 0), task("b", 60_000, 0))
		hosts[1].Runs = []separator.Run{task("a", 60_000, 0), task("b", 60_000, 0)}
		hosts[1].Runs[0].Key.Index, hosts[1].Runs[1].Key.Index = 1, 1
		_, found := sn.BestMove(hosts)
		asserter.Equal(t, found, false)
	})
	t.Run("the search of a fleet of 3,000 workers takes little time, with and without room", func(t *testing.T) {
		for _, free := range []workload.Resources{{}, room} {
			hosts := make([]separator.Host, 3000)
			for i := range hosts {
				hosts[i] = separator.Host{ID: workerName(i), Pool: pool, Usable: true, Free: free}
				for k, image := range []string{"a", "b", "a", "b"} {
					ru := task(image, 60_000, 100)
					ru.Key.Index, ru.Key.Step = i, k
					hosts[i].Runs = append(hosts[i].Runs, ru)
				}
			}
			began := time.Now()
			_, found := sn.BestMove(hosts)
			asserter.Equal(t, found, false)
			expectAtMost(t, "milliseconds of a search", float64(time.Since(began).Milliseconds()), maxSearchMillis)
		}
	})
	t.Run("where the planner chooses another worker, the move pays only if it does there", func(t *testing.T) {
		hosts := fleet(room, task("a", 60_000, 100), task("b", 60_000, 100))
		hosts = append(hosts, separator.Host{ID: "third", Pool: pool, Usable: true, Runs: []separator.Run{task("b", 60_000, 100)}})
		mo, _ := sn.BestMove(hosts)
		_, pays := sn.Elsewhere(mo, hosts, "third")
		asserter.Equal(t, pays, mo.Task.Job != "a")
		_, pays = sn.Elsewhere(mo, hosts, "here")
		asserter.Equal(t, pays, false)
		mo, pays = sn.Elsewhere(mo, hosts, "there")
		asserter.Equal(t, pays, true)
		asserter.Equal(t, mo.To, "there")
	})
}

// alternateImages gives a separator the evidence that b disturbs a, and nothing else.
func alternateImages(se *separator.Separator) {
	alternate(se, 6, separator.Amounts{"b": 1}, 0.5)
}

// hostOf returns the worker on which the only run of an image is.
func (ge *generated) hostOf(image identifier.Image) identifier.Worker {
	for _, ho := range ge.hosts {
		for _, ru := range ho.runs {
			if ru.image == image {
				return ho.id
			}
		}
	}
	return ""
}
