// Package generator generates workloads from a seed for the benchmarks of policies.
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
	minRun            = clock.Second // minimum run time
	maxEstimateFactor = 10.0         // maximum factor by which declared run times are too long or too short
	runSpread         = 0.8          // standard deviation of the logarithm of run times
)

type (
	// Size is the size of one availability zone.
	Size struct {
		Racks          int
		WorkersPerRack int
		Accelerators   meter.Accelerators
	}

	// Stream is the arrival of one kind of job in one workspace.
	Stream struct {
		Workspace identifier.Workspace
		Kind      string
		Shapes    []placer.Shape
		// MedianRunTime is the median run time.
		MedianRunTime clock.Millis
		// Share is the fraction of the zone's accelerators that the stream occupies on average.
		Share float64
		// Burst is the number of jobs that arrive together.
		Burst  int
		Urgent bool
		// Large marks jobs that are reported as large, to show whether they starve.
		Large bool
	}

	// Load describes a zone and the workload on it.
	Load struct {
		Name       string
		Size       Size
		Preset     scheduler.Preset
		Workspaces []scheduler.Workspace
		Guarantees []placer.Guarantee
		Streams    []Stream
		// Length is the period during which jobs arrive.
		Length clock.Millis
	}

	// Job is a job together with facts that the scheduler does not know.
	Job struct {
		scheduler.Job
		Kind string
		// RunTime is the true run time. Declared is the run time that the caller declares.
		RunTime  clock.Millis
		Declared clock.Millis
		Large    bool
	}
)

// Workers returns the workers of a zone of this size.
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

// Total returns the number of accelerators of a zone of this size.
func (si Size) Total() meter.Accelerators {
	return meter.Accelerators(si.Racks*si.WorkersPerRack) * si.Accelerators
}

// Jobs generates the jobs of a load, stream by stream. Equal seeds give equal jobs.
func (lo Load) Jobs(seed uint64) []Job {
	jobs := make([]Job, 0, len(lo.Streams))
	for number, st := range lo.Streams {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		jobs = append(jobs, st.jobs(random, lo, number)...)
	}
	return jobs
}

// jobs generates bursts of jobs at random times, so that the stream occupies its share of
// the accelerators on average.
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

// gap returns the mean time between two bursts.
func (st Stream) gap(lo Load) float64 {
	var work float64
	for _, sh := range st.Shapes {
		work += float64(sh.Total())
	}
	mean := float64(st.MedianRunTime) * math.Exp(runSpread*runSpread/2)
	perBurst := work / float64(len(st.Shapes)) * mean * float64(st.Burst)
	return perBurst / (st.Share * float64(lo.Size.Total()))
}

func (st Stream) job(random *rand.Rand, at clock.Millis, number, count int) Job {
	run := max(clock.Millis(float64(st.MedianRunTime)*math.Exp(runSpread*random.NormFloat64())), minRun)
	off := math.Exp((2*random.Float64() - 1) * math.Log(maxEstimateFactor))
	return Job{
		Job: scheduler.Job{
			ID:        identifier.Job(fmt.Sprintf("s%d-%06d", number, count)),
			Workspace: st.Workspace,
			Shape:     st.Shapes[random.IntN(len(st.Shapes))],
			Urgent:    st.Urgent,
			Submitted: at,
		},
		Kind:     st.Kind,
		RunTime:  run,
		Declared: max(clock.Millis(float64(run)*off), 1),
		Large:    st.Large,
	}
}
