// Package generator makes the seeded workloads that the benchmarks feed to policies.
package generator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
)

const (
	smallest    = clock.Second // shortest run
	estimateOff = 10.0         // declared run times are off by up to this factor either way
	spread      = 0.8          // deviation of the logarithm of run times
)

type (
	// Size is the size of one availability zone.
	Size struct {
		Racks          int
		WorkersPerRack int
		Accelerators   meter.Accelerators
	}

	// Stream is one kind of work of one workspace.
	Stream struct {
		Workspace identifier.Workspace
		Kind      string
		Shapes    []placer.Shape
		// Run is the median run time.
		Run clock.Millis
		// Share is the part of the zone's accelerators that the stream keeps busy.
		Share float64
		// Burst is the number of jobs that arrive together.
		Burst  int
		Urgent bool
		// Large marks the work whose starvation is measured.
		Large bool
	}

	// Load is a workload on one zone.
	Load struct {
		Name       string
		Size       Size
		Preset     scheduler.Preset
		Workspaces []scheduler.Workspace
		Guarantees []placer.Guarantee
		Streams    []Stream
		// Length is how long jobs arrive.
		Length clock.Millis
	}

	// Job is one job with what only the generator knows of it.
	Job struct {
		scheduler.Job
		Kind string
		// Run is the real run time, Declared what the caller says.
		Run      clock.Millis
		Declared clock.Millis
		Large    bool
	}
)

// Workers lists the workers of a zone of the size.
func (si Size) Workers() []placer.Worker {
	workers := make([]placer.Worker, 0, si.Racks*si.WorkersPerRack)
	for ra := range si.Racks {
		for wo := range si.WorkersPerRack {
			workers = append(workers, placer.Worker{
				ID:           identifier.Worker(fmt.Sprintf("r%03d-w%02d", ra, wo)),
				Rack:         identifier.Rack(fmt.Sprintf("r%03d", ra)),
				Accelerators: si.Accelerators,
			})
		}
	}
	return workers
}

// Total is the number of accelerators of a zone of the size.
func (si Size) Total() meter.Accelerators {
	return meter.Accelerators(si.Racks*si.WorkersPerRack) * si.Accelerators
}

// Jobs makes the jobs of a load, the same for the same seed.
func (lo Load) Jobs(seed uint64) []Job {
	jobs := make([]Job, 0, len(lo.Streams))
	for number, st := range lo.Streams {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		jobs = append(jobs, st.jobs(random, lo, number)...)
	}
	return jobs
}

// jobs makes bursts whose times are drawn so that the stream keeps its share busy.
func (st Stream) jobs(random *rand.Rand, lo Load, number int) []Job {
	var jobs []Job
	gap := st.gap(lo)
	at := random.ExpFloat64() * gap
	for at < float64(lo.Length) {
		for range st.Burst {
			jobs = append(jobs, st.job(random, clock.Millis(at), number, len(jobs)))
		}
		at += random.ExpFloat64() * gap
	}
	return jobs
}

// gap is the mean time between two bursts.
func (st Stream) gap(lo Load) float64 {
	var work float64
	for _, sh := range st.Shapes {
		work += float64(sh.Total())
	}
	mean := float64(st.Run) * math.Exp(spread*spread/2)
	perBurst := work / float64(len(st.Shapes)) * mean * float64(st.Burst)
	return perBurst / (st.Share * float64(lo.Size.Total()))
}

func (st Stream) job(random *rand.Rand, at clock.Millis, number, count int) Job {
	run := max(clock.Millis(float64(st.Run)*math.Exp(spread*random.NormFloat64())), smallest)
	off := math.Exp((2*random.Float64() - 1) * math.Log(estimateOff))
	return Job{
		Job: scheduler.Job{
			ID:        identifier.Job(fmt.Sprintf("s%d-%06d", number, count)),
			Workspace: st.Workspace,
			Shape:     st.Shapes[random.IntN(len(st.Shapes))],
			Urgent:    st.Urgent,
			Submitted: at,
		},
		Kind:     st.Kind,
		Run:      run,
		Declared: max(clock.Millis(float64(run)*off), 1),
		Large:    st.Large,
	}
}
