package placer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// newZone returns a zone with racks of workers that have the same number of accelerators.
func newZone(racks, perRack int, accelerators meter.Accelerators) *Zone {
	var workers []Worker
	for ra := range racks {
		for wo := range perRack {
			workers = append(workers, Worker{
				ID:           identifier.Worker(fmt.Sprintf("r%d-w%d", ra, wo)),
				Rack:         identifier.Rack(fmt.Sprintf("r%d", ra)),
				Accelerators: accelerators,
			})
		}
	}
	return New(workers)
}

func unitLoss(*Gang) int64 { return 1 }

// mustBorrow places and commits a borrowed gang.
func mustBorrow(t *testing.T, zo *Zone, job identifier.Job, sh Shape) *Gang {
	t.Helper()
	pl, found := zo.PlaceBorrowed(job, "borrower", sh)
	is.New(t).True(found)
	return zo.Commit(pl)
}

// racksOf returns the number of racks that a block uses.
func racksOf(zo *Zone, bl Block) int {
	racks := map[int]bool{}
	for _, sr := range bl.Shares {
		racks[zo.workers[sr.Worker].rack] = true
	}
	return len(racks)
}

func TestShapeCovers(t *testing.T) {
	for name, tc := range map[string]struct {
		outer, inner Shape
		want         bool
	}{
		"same":             {Shape{4, 8, OneRack}, Shape{4, 8, OneRack}, true},
		"looser adjacency": {Shape{4, 8, OneRack}, Shape{4, 8, OneZone}, true},
		"tighter":          {Shape{4, 8, OneRack}, Shape{2, 8, OneWorker}, false},
		"into one member":  {Shape{4, 8, OneZone}, Shape{4, 2, OneWorker}, true},
		"smaller members":  {Shape{4, 8, OneRack}, Shape{8, 4, OneRack}, true},
		"larger members":   {Shape{8, 4, OneRack}, Shape{4, 8, OneRack}, false},
		"too many":         {Shape{4, 8, OneRack}, Shape{9, 4, OneRack}, false},
		"uneven":           {Shape{2, 8, OneRack}, Shape{2, 5, OneRack}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.outer.Covers(tc.inner), tc.want)
		})
	}
}

func TestAdjacency(t *testing.T) {
	t.Run("one rack", func(t *testing.T) {
		zo := newZone(3, 2, 8)
		mustBorrow(t, zo, "small", Shape{1, 1, OneWorker})
		ga := mustBorrow(t, zo, "gang", Shape{2, 8, OneRack})
		is.New(t).Equal(racksOf(zo, ga.Block), 1)
	})
	t.Run("one worker", func(t *testing.T) {
		zo := newZone(2, 2, 8)
		ga := mustBorrow(t, zo, "gang", Shape{4, 2, OneWorker})
		is.New(t).Equal(len(ga.Block.Shares), 1)
	})
	t.Run("no rack is large enough", func(t *testing.T) {
		zo := newZone(3, 2, 8)
		_, found := zo.PlaceBorrowed("gang", "borrower", Shape{3, 8, OneRack})
		is.New(t).True(!found)
		is.New(t).True(!zo.CanPlace("borrower", Shape{3, 8, OneRack}))
		is.New(t).True(zo.CanPlace("borrower", Shape{3, 8, OneZone}))
	})
	t.Run("across racks", func(t *testing.T) {
		zo := newZone(3, 2, 8)
		ga := mustBorrow(t, zo, "gang", Shape{6, 8, OneZone})
		is.New(t).Equal(racksOf(zo, ga.Block), 3)
	})
}

func TestSmallGangsFillFragmentedRacks(t *testing.T) {
	zo := newZone(4, 2, 8)
	for i := range 16 {
		mustBorrow(t, zo, identifier.Job(fmt.Sprintf("small-%02d", i)), Shape{1, 1, OneWorker})
	}
	_, found := zo.PlaceBorrowed("large", "borrower", Shape{2, 8, OneRack})
	is.New(t).True(found)
	ga := mustBorrow(t, zo, "across", Shape{6, 8, OneZone})
	is.New(t).Equal(racksOf(zo, ga.Block), 3) // the small gangs filled exactly one rack
}

func TestReclaim(t *testing.T) {
	guarantee := Guarantee{Workspace: "owner", Count: 1, Shape: Shape{2, 8, OneRack}}
	t.Run("the borrowed gangs with the least loss are preempted", func(t *testing.T) {
		zo := newZone(2, 2, 8)
		is.New(t).Equal(len(zo.SetGuarantees([]Guarantee{guarantee})), 0)
		for i := range 4 {
			mustBorrow(t, zo, identifier.Job(fmt.Sprintf("b%d", i)), Shape{1, 8, OneWorker})
		}
		costly := zo.Gang("b0").Block.Shares[0].Worker
		loss := func(ga *Gang) int64 {
			if zo.workers[ga.Block.Shares[0].Worker].rack == zo.workers[costly].rack {
				return 100
			}
			return 1
		}
		pl := zo.PlaceGuaranteed("own", zo.UnusedReservation("owner", guarantee.Shape), guarantee.Shape, loss)
		is.New(t).Equal(len(pl.Victims), 2)
		is.New(t).True(zo.workers[pl.Block.Shares[0].Worker].rack != zo.workers[costly].rack)
	})
	t.Run("a free block is used in preference to preemption", func(t *testing.T) {
		zo := newZone(2, 2, 8)
		zo.SetGuarantees([]Guarantee{guarantee})
		zo.Commit(Placement{Job: "b", Workspace: "borrower", Block: zo.Reservations()[0].Block})
		pl := zo.PlaceGuaranteed("own", zo.UnusedReservation("owner", guarantee.Shape), guarantee.Shape, unitLoss)
		is.New(t).Equal(len(pl.Victims), 0)
	})
	t.Run("a gang that cannot be preempted is not placed on reservations", func(t *testing.T) {
		zo := newZone(1, 2, 8)
		zo.SetGuarantees([]Guarantee{guarantee})
		_, found := zo.PlaceFixed("fixed", "other", Shape{1, 1, OneWorker})
		is.New(t).True(!found)
	})
	t.Run("borrowed gangs may use the rest of a reservation with a small gang", func(t *testing.T) {
		zo := newZone(1, 2, 8)
		zo.SetGuarantees([]Guarantee{guarantee})
		pl := zo.PlaceGuaranteed("own", zo.UnusedReservation("owner", Shape{1, 4, OneWorker}), Shape{1, 4, OneWorker}, unitLoss)
		zo.Commit(pl)
		mustBorrow(t, zo, "b", Shape{1, 8, OneWorker})
		zo.Release("own")
		is.New(t).True(zo.UnusedReservation("owner", guarantee.Shape) != nil)
	})
}

func TestHold(t *testing.T) {
	zo := newZone(1, 2, 8)
	zo.Hold("head", Block{Shape: Shape{2, 8, OneRack}, Shares: []Share{{0, 1}, {1, 1}}})
	_, found := zo.PlaceBorrowed("other", "borrower", Shape{1, 1, OneWorker})
	is.New(t).True(!found)
	_, found = zo.PlaceBorrowed("head", "borrower", Shape{2, 8, OneRack})
	is.New(t).True(found)
	_, found = zo.PlaceBackfill("other", "borrower", Shape{1, 1, OneWorker})
	is.New(t).True(found)
}

func TestUnusableWorker(t *testing.T) {
	zo := newZone(2, 2, 8)
	zo.SetGuarantees([]Guarantee{{Workspace: "owner", Count: 1, Shape: Shape{2, 8, OneRack}}})
	first := zo.WorkerIDs(zo.Reservations()[0].Block)[0]
	t.Run("its reservation moves to other workers", func(t *testing.T) {
		is.New(t).Equal(len(zo.SetUsable(first, false)), 0)
		is.New(t).True(zo.WorkerIDs(zo.Reservations()[0].Block)[0] != first)
	})
	t.Run("with too few workers the guarantee is reported as short", func(t *testing.T) {
		second := zo.WorkerIDs(zo.Reservations()[0].Block)[0]
		is.New(t).Equal(len(zo.SetUsable(second, false)), 1)
		is.New(t).True(zo.UnusedReservation("owner", Shape{2, 8, OneRack}) == nil)
	})
	t.Run("the guarantee is met again when the worker returns", func(t *testing.T) {
		is.New(t).Equal(len(zo.SetUsable(first, true)), 0)
		is.New(t).True(zo.UnusedReservation("owner", Shape{2, 8, OneRack}) != nil)
	})
}
