// Package timer measures the cost of single scheduling decisions at several zone sizes.
package timer

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
)

const (
	workersPerRack = 8
	accelerators   = 32
	waitingJobs    = 200
	expectedRun    = clock.Hour
)

// Cost is the cost of one kind of decision at one zone size.
type Cost struct {
	Workers  int
	Decision string
	// Nanos, Bytes and Allocations are the run time, allocated memory and number of
	// allocations per decision.
	Nanos       int64
	Bytes       int64
	Allocations int64
}

// Measure measures every kind of decision at 50, 220 and 1,100 workers.
func Measure() []Cost {
	sizes := []int{50, 220, 1100}
	costs := make([]Cost, 0, len(sizes))
	for _, workers := range sizes {
		costs = append(costs,
			measure(workers, "place a gang of 16 in a rack", benchmarkPlace(workers)),
			measure(workers, "reclaim a guarantee", benchmarkReclaim(workers)),
			measure(workers, fmt.Sprintf("round with %d waiting", waitingJobs), benchmarkRound(workers)))
	}
	return costs
}

// measure runs a benchmark of one kind of decision.
func measure(workers int, decision string, fn func(*testing.B)) Cost {
	re := testing.Benchmark(fn)
	return Cost{
		Workers:     workers,
		Decision:    decision,
		Nanos:       re.NsPerOp(),
		Bytes:       re.AllocedBytesPerOp(),
		Allocations: re.AllocsPerOp(),
	}
}

// newZone returns an empty zone with one guarantee for every 20 workers.
func newZone(workers int) *placer.Zone {
	list := make([]placer.Worker, 0, workers)
	for i := range workers {
		list = append(list, placer.Worker{
			ID:           identifier.Worker(fmt.Sprintf("w%04d", i)),
			Rack:         identifier.Rack(fmt.Sprintf("r%03d", i/workersPerRack)),
			Accelerators: accelerators,
		})
	}
	zo := placer.New(list)
	gu := placer.Guarantee{Workspace: "owner", Count: workers / 20, Shape: placer.Shape{Members: 16, Accelerators: 8, Adjacency: placer.OneRack}}
	zo.SetGuarantees([]placer.Guarantee{gu})
	zo.RecordDemand(gu.Shape)
	return zo
}

// fillZone calls start for numbered gangs of several shapes, until they occupy nine tenths of
// the accelerators or start reports that one does not fit.
func fillZone(start func(number int, sh placer.Shape) bool, workers int) {
	target := meter.Accelerators(workers*accelerators) * 9 / 10
	shapes := []placer.Shape{
		{Members: 1, Accelerators: 4, Adjacency: placer.OneWorker},
		{Members: 16, Accelerators: 2, Adjacency: placer.OneRack},
		{Members: 32, Accelerators: 1, Adjacency: placer.OneZone},
	}
	used := meter.Accelerators(0)
	for number := 0; used < target; number++ {
		sh := shapes[number%len(shapes)]
		if !start(number, sh) {
			return
		}
		used += sh.Total()
	}
}

// fullZone returns a zone that fillZone has filled with borrowed gangs.
func fullZone(workers int) *placer.Zone {
	zo := newZone(workers)
	fillZone(func(number int, sh placer.Shape) bool {
		pl, found := zo.PlaceBorrowed(identifier.Job(fmt.Sprintf("j%05d", number)), "borrower", sh)
		if found {
			zo.Commit(pl)
		}
		return found
	}, workers)
	return zo
}

// benchmarkPlace measures the placement of a gang of 16 in a rack.
func benchmarkPlace(workers int) func(*testing.B) {
	return func(b *testing.B) {
		zo := fullZone(workers)
		sh := placer.Shape{Members: 16, Accelerators: 1, Adjacency: placer.OneRack}
		b.ReportAllocs()
		for b.Loop() {
			if pl, found := zo.PlaceBorrowed("gang", "borrower", sh); found {
				zo.Commit(pl)
				zo.Release("gang")
			}
		}
	}
}

// benchmarkReclaim measures the search for gangs to preempt so that a guarantee can be used.
func benchmarkReclaim(workers int) func(*testing.B) {
	return func(b *testing.B) {
		zo := fullZone(workers)
		re := zo.Reservations()[0]
		cost := func(ga *placer.Gang) int64 { return int64(ga.Block.Shape.Total()) }
		b.ReportAllocs()
		for b.Loop() {
			zo.PlaceGuaranteed("own", re, re.Shape, cost)
		}
	}
}

// benchmarkRound measures scheduling rounds in which no job can start, which cost the most.
func benchmarkRound(workers int) func(*testing.B) {
	return func(b *testing.B) {
		zo := newZone(workers)
		sc := scheduler.New(scheduler.PolicyFor(scheduler.Completion), zo)
		sc.SetWorkspace(scheduler.Workspace{ID: "borrower", Weight: 1, Limit: 1 << 20})
		fillZone(func(number int, sh placer.Shape) bool {
			sc.Enqueue(scheduler.Job{ID: identifier.Job(fmt.Sprintf("j%05d", number)), Workspace: "borrower", Shape: sh, Expected: expectedRun})
			return len(sc.Round(0)) > 0
		}, workers)
		for number := range waitingJobs {
			sh := placer.Shape{Members: 128, Accelerators: 2, Adjacency: placer.OneRack}
			sc.Enqueue(scheduler.Job{ID: identifier.Job(fmt.Sprintf("wait%03d", number)), Workspace: "borrower", Shape: sh, Expected: expectedRun})
		}
		b.ReportAllocs()
		now := clock.Second
		for b.Loop() {
			now += 3 * clock.Second
			sc.Round(now)
		}
	}
}
