package placer

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// candidate is one way to obtain a block.
type candidate struct {
	reserved Block
	block    Block
	victims  []*Gang
	lost     int64
}

// cheapest finds the block for a reservation whose victims lose the least work. The
// reservation itself must not be counted at the time. It always finds one, for the block
// that was set aside has room.
func (zo *Zone) cheapest(re *Reservation, sh Shape, lost Lost) (Block, Block, []*Gang) {
	users := zo.borrowers()
	best := zo.weigh(re.Block, sh, users, lost)
	for _, bl := range zo.candidates(re.Shape) {
		if ca := zo.weigh(bl, sh, users, lost); ca.lost < best.lost {
			best = ca
		}
	}
	return best.reserved, best.block, best.victims
}

// candidates returns blocks that borrowed work alone stands in the way of: one for each
// worker or rack that has the room, or one for the zone.
func (zo *Zone) candidates(sh Shape) []Block {
	var blocks []Block
	switch sh.Adjacency {
	case OneWorker:
		for i := range zo.workers {
			if zo.fits(i, sh, roomReclaimable) >= int(sh.Members) {
				blocks = append(blocks, Block{Shape: sh, Shares: []Share{{Worker: i, Members: int(sh.Members)}}})
			}
		}
	case OneRack:
		for ra := range zo.racks {
			if zo.rackFits(ra, sh, roomReclaimable) >= int(sh.Members) {
				blocks = append(blocks, zo.emptiest(sh, zo.racks[ra].workers))
			}
		}
	default:
		if _, found := zo.findZone(sh, roomReclaimable); found {
			all := make([]int, len(zo.workers))
			for i := range all {
				all[i] = i
			}
			blocks = append(blocks, zo.emptiest(sh, all))
		}
	}
	return blocks
}

// emptiest fills the workers with the least borrowed work first.
func (zo *Zone) emptiest(sh Shape, workers []int) Block {
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return int(zo.workers[a].borrowed - zo.workers[b].borrowed)
	})
	bl, _ := takeInOrder(sh, order, func(index int) int { return zo.fits(index, sh, roomReclaimable) })
	return bl
}

// borrowers lists for each worker the borrowed gangs on it that have not been told to go,
// in the order of their jobs.
func (zo *Zone) borrowers() [][]*Gang {
	users := make([][]*Gang, len(zo.workers))
	for _, ga := range zo.Gangs() {
		if ga.Fixed || ga.Leaving {
			continue
		}
		for _, sr := range ga.Block.Shares {
			users[sr.Worker] = append(users[sr.Worker], ga)
		}
	}
	return users
}

// weigh works out which borrowed gangs must go so that a gang of the shape can start
// within the block, and what that loses.
func (zo *Zone) weigh(reserved Block, sh Shape, users [][]*Gang, lost Lost) candidate {
	ca := candidate{reserved: reserved, block: zo.innerFreest(reserved, sh)}
	gone := map[*Gang]bool{}
	for _, sr := range ca.block.Shares {
		need := sh.accelerators(sr) - zo.workers[sr.Worker].coming()
		for ga := range gone {
			need -= ga.on(sr.Worker)
		}
		for _, ga := range byLost(users[sr.Worker], lost) {
			if need <= 0 {
				break
			}
			if !gone[ga] {
				gone[ga] = true
				need -= ga.on(sr.Worker)
			}
		}
	}
	ca.victims = zo.prune(ca.block, gone, lost)
	for _, ga := range ca.victims {
		ca.lost += lost(ga) + 1 // of two ways that lose nothing, the one with fewer victims
	}
	return ca
}

// innerFreest places a covered shape within the block, on the freest workers first.
func (zo *Zone) innerFreest(bl Block, sh Shape) Block {
	shares := slices.Clone(bl.Shares)
	slices.SortStableFunc(shares, func(a, b Share) int {
		return int(zo.workers[b.Worker].coming() - zo.workers[a.Worker].coming())
	})
	return Block{Shape: bl.Shape, Shares: shares}.innerInOrder(sh)
}

// prune spares the victims that are not needed, dearest first.
func (zo *Zone) prune(bl Block, gone map[*Gang]bool, lost Lost) []*Gang {
	victims := make([]*Gang, 0, len(gone))
	for ga := range gone {
		victims = append(victims, ga)
	}
	slices.SortFunc(victims, func(a, b *Gang) int { return cmp.Compare(a.Job, b.Job) })
	dearest := byLost(victims, lost)
	slices.Reverse(dearest)
	for _, ga := range dearest {
		rest := slices.DeleteFunc(slices.Clone(victims), func(other *Gang) bool { return other == ga })
		if zo.suffices(bl, rest) {
			victims = rest
		}
	}
	return victims
}

// suffices reports whether the block is free once the victims, and those told to go
// before, are gone.
func (zo *Zone) suffices(bl Block, victims []*Gang) bool {
	for _, sr := range bl.Shares {
		free := zo.workers[sr.Worker].coming()
		for _, ga := range victims {
			free += ga.on(sr.Worker)
		}
		if free < bl.Shape.accelerators(sr) {
			return false
		}
	}
	return true
}

// on is the number of accelerators that the gang uses on a worker.
func (ga *Gang) on(index int) meter.Accelerators {
	for _, sr := range ga.Block.Shares {
		if sr.Worker == index {
			return ga.Block.Shape.accelerators(sr)
		}
	}
	return 0
}

// byLost returns the gangs that lose the least first.
func byLost(gangs []*Gang, lost Lost) []*Gang {
	list := slices.Clone(gangs)
	slices.SortStableFunc(list, func(a, b *Gang) int {
		return cmp.Compare(lost(a), lost(b))
	})
	return list
}

// Clear reports whether a block is free now.
func (zo *Zone) Clear(bl Block) bool {
	for _, sr := range bl.Shares {
		if zo.workers[sr.Worker].free() < bl.Shape.accelerators(sr) {
			return false
		}
	}
	return true
}
