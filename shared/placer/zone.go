package placer

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// Worker describes a worker to the placer.
	Worker struct {
		ID           identifier.Worker
		Rack         identifier.Rack
		Accelerators meter.Accelerators
	}

	// Zone is the table of the accelerators of one availability zone. It is not safe for
	// concurrent use; its owner guards it.
	Zone struct {
		workers []worker
		racks   []rack
		byID    map[identifier.Worker]int
		gangs   map[identifier.Job]*Gang
		// reservations holds one entry for each guaranteed gang, used or not.
		reservations []*Reservation
		// holds keeps blocks free for waiting gangs; see Hold and Promise.
		holds map[identifier.Job]hold
		// usage sums the accelerators of the gangs of each workspace.
		usage map[identifier.Workspace]meter.Accelerators
		// demands lists the shapes asked for most, heaviest first.
		demands []demand
	}

	// worker keeps the sums of one worker. For a usable worker
	// fixed+reserved <= total and fixed+borrowed <= total.
	worker struct {
		id    identifier.Worker
		rack  int
		total meter.Accelerators
		// fixed is in use by gangs that may not be preempted.
		fixed meter.Accelerators
		// borrowed is in use by gangs that may be preempted.
		borrowed meter.Accelerators
		// reserved is set aside by reservations and not in use by their own gang.
		reserved meter.Accelerators
		// held is kept free for waiting gangs; promised is the part of it that gangs were
		// preempted for.
		held     meter.Accelerators
		promised meter.Accelerators
		// leaving is the part of fixed and borrowed that has been told to go.
		leaving meter.Accelerators
		// usable is false for a worker that gets no new work.
		usable bool
	}

	rack struct {
		id      identifier.Rack
		workers []int
	}

	// Gang is a gang that occupies accelerators.
	Gang struct {
		Job       identifier.Job
		Workspace identifier.Workspace
		Block     Block
		// Fixed means that the gang may not be preempted.
		Fixed bool
		// Reservation is what the gang uses; nil unless it was placed by a guarantee.
		Reservation *Reservation
		// Leaving means that the gang has been told to go; see Leave.
		Leaving bool
	}

	// hold is a block that is kept for a gang.
	hold struct {
		block Block
		// promised means that gangs were preempted for it.
		promised bool
	}

	// Reservation sets a block aside for one guaranteed gang.
	Reservation struct {
		Workspace identifier.Workspace
		Shape     Shape
		// Block is where the guarantee can be obtained; it has no shares while Short.
		Block Block
		// User is the gang that uses the reservation; its block lies within Block.
		User *Gang
		// Short means that too few accelerators are left for the reservation.
		Short bool
	}
)

// New returns a zone of empty workers, all usable.
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

// Add puts a worker into the zone; a known worker is left as it is.
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

// Gang returns the gang of a job, or nil.
func (zo *Zone) Gang(job identifier.Job) *Gang { return zo.gangs[job] }

// Gangs returns all gangs in the order of their jobs.
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

// WorkerIDs lists the worker of each member of a block.
func (zo *Zone) WorkerIDs(bl Block) []identifier.Worker {
	var ids []identifier.Worker
	for _, sr := range bl.Shares {
		for range sr.Members {
			ids = append(ids, zo.workers[sr.Worker].id)
		}
	}
	return ids
}

// BlockOf turns the workers of the members of a gang into a block. It reports false if a
// worker is not known.
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

// add puts members on a worker.
func (bl *Block) add(index, members int) {
	for i := range bl.Shares {
		if bl.Shares[i].Worker == index {
			bl.Shares[i].Members += members
			return
		}
	}
	bl.Shares = append(bl.Shares, Share{Worker: index, Members: members})
}

// Free is the number of accelerators of usable workers that no gang uses.
func (zo *Zone) Free() meter.Accelerators {
	var free meter.Accelerators
	for i := range zo.workers {
		if zo.workers[i].usable {
			free += zo.workers[i].free()
		}
	}
	return free
}

// FreeByWorker is what Free sums, worker by worker in the order in which they were added.
func (zo *Zone) FreeByWorker() []meter.Accelerators {
	free := make([]meter.Accelerators, len(zo.workers))
	for i := range zo.workers {
		if zo.workers[i].usable {
			free[i] = zo.workers[i].free()
		}
	}
	return free
}

// Total is the number of accelerators of usable workers.
func (zo *Zone) Total() meter.Accelerators {
	var total meter.Accelerators
	for i := range zo.workers {
		if zo.workers[i].usable {
			total += zo.workers[i].total
		}
	}
	return total
}

// Racks is the number of racks.
func (zo *Zone) Racks() int { return len(zo.racks) }

// InUse is the number of accelerators that the gangs of a workspace use.
func (zo *Zone) InUse(ws identifier.Workspace) meter.Accelerators { return zo.usage[ws] }

func (wo *worker) free() meter.Accelerators { return wo.total - wo.fixed - wo.borrowed }

// coming is what is free once those told to go have gone, beyond what is promised to
// others.
func (wo *worker) coming() meter.Accelerators { return wo.free() + wo.leaving - wo.promised }
