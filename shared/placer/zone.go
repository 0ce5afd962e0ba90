package placer

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Worker describes a worker.
	Worker struct {
		ID           identifier.Worker
		Rack         identifier.Rack
		Accelerators meter.Accelerators
	}

	// Zone tracks the accelerators of one availability zone. It is not safe for concurrent
	// use; the caller must serialize access.
	Zone struct {
		workers []worker
		racks   []rack
		byID    map[identifier.Worker]int
		gangs   map[identifier.Job]*Gang
		// reservations holds one entry for each guaranteed gang, whether used or not.
		reservations []*Reservation
		// holds maps the jobs of waiting gangs to the blocks kept for them; see Hold and Promise.
		holds map[identifier.Job]hold
		// usage is the number of accelerators in use by the gangs of each workspace.
		usage map[identifier.Workspace]meter.Accelerators
		// demands lists the most requested shapes, highest weight first.
		demands []demand
	}

	// worker holds the accelerator counts of one worker. For a usable worker,
	// fixed+reserved <= total and fixed+borrowed <= total.
	worker struct {
		id    identifier.Worker
		rack  int
		total meter.Accelerators
		// fixed is in use by gangs that cannot be preempted.
		fixed meter.Accelerators
		// borrowed is in use by gangs that can be preempted.
		borrowed meter.Accelerators
		// reserved is set aside by reservations and not in use by the gangs of those
		// reservations.
		reserved meter.Accelerators
		// held is kept for waiting gangs. promised is the part of held for which other gangs
		// were preempted.
		held     meter.Accelerators
		promised meter.Accelerators
		// stopping is the part of fixed and borrowed that is used by stopping gangs.
		stopping meter.Accelerators
		// usable is false for a worker that gets no new gangs.
		usable bool
	}

	rack struct {
		id      identifier.Rack
		workers []int
	}

	// Gang is a gang that uses accelerators.
	Gang struct {
		Job       identifier.Job
		Workspace identifier.Workspace
		Block     Block
		// Fixed means that the gang cannot be preempted.
		Fixed bool
		// Reservation is the reservation that the gang uses; nil if it was not placed by a
		// guarantee.
		Reservation *Reservation
		// Stopping means that the gang is stopping; see MarkStopping.
		Stopping bool
	}

	// hold is a block that is kept for a waiting gang.
	hold struct {
		block Block
		// promised means that other gangs were preempted for the block.
		promised bool
	}

	// Reservation is a block that is set aside for one guaranteed gang.
	Reservation struct {
		Workspace identifier.Workspace
		Shape     Shape
		// Block is where the guaranteed gang can run. It has no shares while Short is set.
		Block Block
		// Gang is the gang that uses the reservation, or nil. Its block lies within Block.
		Gang *Gang
		// Short means that no block could be found for the reservation.
		Short bool
	}
)

// New returns a zone with the given workers, all usable and without gangs.
func New(workers []Worker) *Zone {
	zo := &Zone{
		byID:  map[identifier.Worker]int{},
		gangs: map[identifier.Job]*Gang{},
		holds: map[identifier.Job]hold{},
		usage: map[identifier.Workspace]meter.Accelerators{},
	}
	for _, wo := range workers {
		zo.Add(wo)
	}
	return zo
}

// Add adds a worker to the zone. It does nothing if the worker is already known.
func (zo *Zone) Add(wo Worker) {
	if _, known := zo.byID[wo.ID]; known {
		return
	}
	ra := zo.rackIndex(wo.Rack)
	index := len(zo.workers)
	zo.workers = append(zo.workers, worker{id: wo.ID, rack: ra, total: wo.Accelerators, usable: true})
	zo.racks[ra].workers = append(zo.racks[ra].workers, index)
	zo.byID[wo.ID] = index
}

func (zo *Zone) rackIndex(id identifier.Rack) int {
	for i := range zo.racks {
		if zo.racks[i].id == id {
			return i
		}
	}
	zo.racks = append(zo.racks, rack{id: id})
	return len(zo.racks) - 1
}

// Gang returns the gang of a job, or nil if the job is not placed.
func (zo *Zone) Gang(job identifier.Job) *Gang { return zo.gangs[job] }

// Gangs returns all gangs, sorted by job id.
func (zo *Zone) Gangs() []*Gang {
	all := make([]*Gang, 0, len(zo.gangs))
	for _, ga := range zo.gangs {
		all = append(all, ga)
	}
	slices.SortFunc(all, func(a, b *Gang) int { return cmp.Compare(a.Job, b.Job) })
	return all
}

// Reservations returns the reservations of all guarantees.
func (zo *Zone) Reservations() []*Reservation { return zo.reservations }

// WorkerIDs returns the worker of each member of a block.
func (zo *Zone) WorkerIDs(bl Block) []identifier.Worker {
	var ids []identifier.Worker
	for _, sr := range bl.Shares {
		for range sr.Members {
			ids = append(ids, zo.workers[sr.Worker].id)
		}
	}
	return ids
}

// BlockOf returns the block for the given workers, one for each member of a gang. It returns
// false if a worker is unknown.
func (zo *Zone) BlockOf(sh Shape, ids []identifier.Worker) (Block, bool) {
	bl := Block{Shape: sh}
	for _, id := range ids {
		index, known := zo.byID[id]
		if !known {
			return bl, false
		}
		bl.add(index, 1)
	}
	return bl, true
}

// add adds members to the share of a worker.
func (bl *Block) add(index, members int) {
	for i := range bl.Shares {
		if bl.Shares[i].Worker == index {
			bl.Shares[i].Members += members
			return
		}
	}
	bl.Shares = append(bl.Shares, Share{Worker: index, Members: members})
}

// Free returns the number of accelerators of usable workers that no gang uses.
func (zo *Zone) Free() meter.Accelerators {
	var free meter.Accelerators
	for i := range zo.workers {
		if zo.workers[i].usable {
			free += zo.workers[i].free()
		}
	}
	return free
}

// FreeByWorker returns the number of accelerators that no gang uses for each worker, in the
// order in which the workers were added; 0 for workers that are not usable.
func (zo *Zone) FreeByWorker() []meter.Accelerators {
	free := make([]meter.Accelerators, len(zo.workers))
	for i := range zo.workers {
		if zo.workers[i].usable {
			free[i] = zo.workers[i].free()
		}
	}
	return free
}

// Total returns the number of accelerators of usable workers.
func (zo *Zone) Total() meter.Accelerators {
	var total meter.Accelerators
	for i := range zo.workers {
		if zo.workers[i].usable {
			total += zo.workers[i].total
		}
	}
	return total
}

// Racks returns the number of racks.
func (zo *Zone) Racks() int { return len(zo.racks) }

// InUse returns the number of accelerators that the gangs of a workspace use.
func (zo *Zone) InUse(ws identifier.Workspace) meter.Accelerators { return zo.usage[ws] }

func (wo *worker) free() meter.Accelerators { return wo.total - wo.fixed - wo.borrowed }

// freeAfterStops returns the number of accelerators that will be free after the stopping gangs
// have stopped, without those that are promised to waiting gangs.
func (wo *worker) freeAfterStops() meter.Accelerators { return wo.free() + wo.stopping - wo.promised }
