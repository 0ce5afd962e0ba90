// Package timer measures what one decision costs at several sizes.
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

// Cost is what one kind of decision costs at one size.
type Cost struct {
	Workers  int
	Decision string
	// Nanos, Bytes and Allocations are those of one decision.
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
			measure(workers, "place a gang of 16 in a rack", place(workers)),
			measure(workers, "reclaim a guarantee", reclaim(workers)),
			measure(workers, fmt.Sprintf("round with %d waiting", waitingJobs), round(workers)))
	}
	return costs
}

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

// zone is nine tenths full of borrowed gangs, with one guarantee for every 20 workers.
func zone(workers int) *placer.Zone {
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
	zo.Saw(gu.Shape)
	return zo
}

func fillUp(sc func(number int, sh placer.Shape) bool, workers int) {
	target := meter.Accelerators(workers*accelerators) * 9 / 10
	shapes := []placer.Shape{
		{Members: 1, Accelerators: 4, Adjacency: placer.OneWorker},
		{Members: 16, Accelerators: 2, Adjacency: placer.OneRack},
		{Members: 32, Accelerators: 1, Adjacency: placer.OneZone},
	}
	used := meter.Accelerators(0)
	for number := 0; used < target; number++ {
		sh := shapes[number%len(shapes)]
		if !sc(number, sh) {
			return
		}
		used += sh.Total()
	}
}

func full(workers int) *placer.Zone {
	zo := zone(workers)
	fillUp(func(number int, sh placer.Shape) bool {
		pl, found := zo.Borrow(identifier.Job(fmt.Sprintf("j%05d", number)), "borrower", sh)
		if found {
			zo.Commit(pl)
		}
		return found
	}, workers)
	return zo
}

func place(workers int) func(*testing.B) {
	return func(b *testing.B) {
		zo := full(workers)
		sh := placer.Shape{Members: 16, Accelerators: 1, Adjacency: placer.OneRack}
		b.ReportAllocs()
		for b.Loop() {
			if pl, found := zo.Borrow("gang", "borrower", sh); found {
				zo.Commit(pl)
				zo.Release("gang")
			}
		}
	}
}

func reclaim(workers int) func(*testing.B) {
	return func(b *testing.B) {
		zo := full(workers)
		re := zo.Reservations()[0]
		lost := func(ga *placer.Gang) int64 { return int64(ga.Block.Shape.Total()) }
		b.ReportAllocs()
		for b.Loop() {
			zo.Guaranteed("own", re, re.Shape, lost)
		}
	}
}

// round plays rounds in which nothing can start, the dearest kind.
func round(workers int) func(*testing.B) {
	return func(b *testing.B) {
		zo := zone(workers)
		sc := scheduler.New(scheduler.For(scheduler.Completion), zo)
		sc.SetWorkspace(scheduler.Workspace{ID: "borrower", Weight: 1, Limit: 1 << 20})
		fillUp(func(number int, sh placer.Shape) bool {
			sc.Wait(scheduler.Job{ID: identifier.Job(fmt.Sprintf("j%05d", number)), Workspace: "borrower", Shape: sh, Expected: expectedRun})
			return len(sc.Round(0)) > 0
		}, workers)
		for number := range waitingJobs {
			sh := placer.Shape{Members: 128, Accelerators: 2, Adjacency: placer.OneRack}
			sc.Wait(scheduler.Job{ID: identifier.Job(fmt.Sprintf("wait%03d", number)), Workspace: "borrower", Shape: sh, Expected: expectedRun})
		}
		b.ReportAllocs()
		now := clock.Second
		for b.Loop() {
			now += 3 * clock.Second
			sc.Round(now)
		}
	}
}
