package placer

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// candidate is a block for a gang, with the victims that must be preempted to free it.
type candidate struct {
	reserved Block
	block    Block
	victims  []*Gang
	loss     int64
}

// cheapest selects the block for a reservation whose victims lose the least work. It returns
// that block, the block of the gang within it, and the victims. The caller must unreserve the
// reservation first. There is always such a block, because the block of the reservation itself
// can be freed by preempting borrowed gangs.
func (zo *Zone) cheapest(re *Reservation, sh Shape, loss LossFunc) (Block, Block, []*Gang) {
	byWorker := zo.borrowers()
	best := zo.evaluate(re.Block, sh, byWorker, loss)
	for _, bl := range zo.candidates(re.Shape) {
		if ca := zo.evaluate(bl, sh, byWorker, loss); ca.loss < best.loss {
			best = ca
		}
	}
	return best.reserved, best.block, best.victims
}

// candidates returns blocks that can be freed by preempting borrowed gangs only: one for each
// worker or rack with enough capacity, or one for the zone.
func (zo *Zone) candidates(sh Shape) []Block {
	var blocks []Block
	switch sh.Adjacency {
	case OneWorker:
		for i := range zo.workers {
			if zo.fits(i, sh, reclaimableCapacity) >= int(sh.Members) {
				blocks = append(blocks, Block{Shape: sh, Shares: []Share{{Worker: i, Members: int(sh.Members)}}})
			}
		}
	case OneRack:
		for ra := range zo.racks {
			if zo.rackFits(ra, sh, reclaimableCapacity) >= int(sh.Members) {
				blocks = append(blocks, zo.leastBorrowed(sh, zo.racks[ra].workers))
			}
		}
	default:
		if _, found := zo.findZone(sh, reclaimableCapacity); found {
			all := make([]int, len(zo.workers))
			for i := range all {
				all[i] = i
			}
			blocks = append(blocks, zo.leastBorrowed(sh, all))
		}
	}
	return blocks
}

// leastBorrowed places the members on the workers with the fewest borrowed accelerators first.
func (zo *Zone) leastBorrowed(sh Shape, workers []int) Block {
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return int(zo.workers[a].borrowed - zo.workers[b].borrowed)
	})
	bl, _ := fillInOrder(sh, order, func(index int) int { return zo.fits(index, sh, reclaimableCapacity) })
	return bl
}

// borrowers returns for each worker the borrowed gangs on it that are not stopping, sorted by
// job id.
func (zo *Zone) borrowers() [][]*Gang {
	byWorker := make([][]*Gang, len(zo.workers))
	for _, ga := range zo.Gangs() {
		if ga.Fixed || ga.Stopping {
			continue
		}
		for _, sr := range ga.Block.Shares {
			byWorker[sr.Worker] = append(byWorker[sr.Worker], ga)
		}
	}
	return byWorker
}

// evaluate selects the borrowed gangs that must be preempted so that a gang of the shape can
// start within the block, and computes the lost work.
func (zo *Zone) evaluate(reserved Block, sh Shape, byWorker [][]*Gang, loss LossFunc) candidate {
	ca := candidate{reserved: reserved, block: zo.withinFreestFirst(reserved, sh)}
	evicted := map[*Gang]bool{}
	for _, sr := range ca.block.Shares {
		deficit := sh.accelerators(sr) - zo.workers[sr.Worker].freeAfterStops()
		for ga := range evicted {
			deficit -= ga.onWorker(sr.Worker)
		}
		for _, ga := range sortedByLoss(byWorker[sr.Worker], loss) {
			if deficit <= 0 {
				break
			}
			if !evicted[ga] {
				evicted[ga] = true
				deficit -= ga.onWorker(sr.Worker)
			}
		}
	}
	ca.victims = zo.prune(ca.block, evicted, loss)
	for _, ga := range ca.victims {
		ca.loss += loss(ga) + 1 // add 1 per victim, so that fewer victims are preferred if nothing is lost
	}
	return ca
}

// withinFreestFirst places a covered shape within the block, on the workers with the most free
// accelerators first.
func (zo *Zone) withinFreestFirst(bl Block, sh Shape) Block {
	shares := slices.Clone(bl.Shares)
	slices.SortStableFunc(shares, func(a, b Share) int {
		return int(zo.workers[b.Worker].freeAfterStops() - zo.workers[a.Worker].freeAfterStops())
	})
	return Block{Shape: bl.Shape, Shares: shares}.withinInOrder(sh)
}

// prune removes the victims that are not needed, those with the highest loss first.
func (zo *Zone) prune(bl Block, evicted map[*Gang]bool, loss LossFunc) []*Gang {
	victims := make([]*Gang, 0, len(evicted))
	for ga := range evicted {
		victims = append(victims, ga)
	}
	slices.SortFunc(victims, func(a, b *Gang) int { return cmp.Compare(a.Job, b.Job) })
	costliest := sortedByLoss(victims, loss)
	slices.Reverse(costliest)
	for _, ga := range costliest {
		rest := slices.DeleteFunc(slices.Clone(victims), func(other *Gang) bool { return other == ga })
		if zo.suffices(bl, rest) {
			victims = rest
		}
	}
	return victims
}

// suffices reports whether the block is free once the victims and the stopping gangs have
// stopped.
func (zo *Zone) suffices(bl Block, victims []*Gang) bool {
	for _, sr := range bl.Shares {
		free := zo.workers[sr.Worker].freeAfterStops()
		for _, ga := range victims {
			free += ga.onWorker(sr.Worker)
		}
		if free < bl.Shape.accelerators(sr) {
			return false
		}
	}
	return true
}

// onWorker returns the number of accelerators that the gang uses on a worker.
func (ga *Gang) onWorker(index int) meter.Accelerators {
	for _, sr := range ga.Block.Shares {
		if sr.Worker == index {
			return ga.Block.Shape.accelerators(sr)
		}
	}
	return 0
}

// sortedByLoss returns the gangs in the order of the work they would lose, least first.
func sortedByLoss(gangs []*Gang, loss LossFunc) []*Gang {
	list := slices.Clone(gangs)
	slices.SortStableFunc(list, func(a, b *Gang) int {
		return cmp.Compare(loss(a), loss(b))
	})
	return list
}

// IsFree reports whether a block is free now.
func (zo *Zone) IsFree(bl Block) bool {
	for _, sr := range bl.Shares {
		if zo.workers[sr.Worker].free() < bl.Shape.accelerators(sr) {
			return false
		}
	}
	return true
}
