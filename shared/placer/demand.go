package placer

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	maxDemands      = 8    // maximum number of shapes for which demand is tracked
	demandDecay     = 0.99 // factor applied to the weights of all known shapes at each recorded request
	minDemandWeight = 1e-3 // shapes with a lower weight are discarded
)

// demand is the exponentially decayed number of requests for gangs of a shape.
type demand struct {
	shape  Shape
	weight float64
}

// RecordDemand records a request for a gang of the shape. Placements then avoid breaking up
// blocks that such gangs could use. Shapes with one member or with adjacency OneZone are not
// tracked.
func (zo *Zone) RecordDemand(sh Shape) {
	if sh.Members == 1 || sh.Adjacency == OneZone {
		return
	}
	known := false
	for i := range zo.demands {
		zo.demands[i].weight *= demandDecay
		if zo.demands[i].shape == sh {
			zo.demands[i].weight++
			known = true
		}
	}
	if !known {
		zo.demands = append(zo.demands, demand{shape: sh, weight: 1})
	}
	slices.SortStableFunc(zo.demands, func(a, b demand) int {
		return cmp.Compare(b.weight, a.weight)
	})
	zo.demands = zo.demands[:min(len(zo.demands), maxDemands)]
	zo.demands = slices.DeleteFunc(zo.demands, func(de demand) bool { return de.weight < minDemandWeight })
}

// rackSlots returns for each rack how many members of each tracked shape fit into it.
func (zo *Zone) rackSlots(cf capacityFunc) [][]int {
	slots := make([][]int, len(zo.racks))
	backing := make([]int, len(zo.racks)*len(zo.demands))
	for ra := range slots {
		slots[ra] = backing[ra*len(zo.demands) : (ra+1)*len(zo.demands)]
	}
	for i := range zo.workers {
		wo := &zo.workers[i]
		if !wo.usable {
			continue
		}
		left := max(cf(wo), 0)
		for index, de := range zo.demands {
			slots[wo.rack][index] += int(left / de.shape.Accelerators)
		}
	}
	return slots
}

// lostDemand returns the weighted demand that a rack can no longer serve after accelerators of
// one of its workers are taken.
func (zo *Zone) lostDemand(slots []int, free, taken meter.Accelerators) float64 {
	var sum float64
	for index, de := range zo.demands {
		members := int(de.shape.Members)
		lostMembers := int(free/de.shape.Accelerators) - int((free-taken)/de.shape.Accelerators)
		gangs := slots[index]/members - (slots[index]-lostMembers)/members
		sum += float64(gangs) * de.weight * float64(de.shape.Total())
	}
	return sum
}

// lostDemandOfBlock returns the weighted demand that a rack can no longer serve after the block
// is taken.
func (zo *Zone) lostDemandOfBlock(slots []int, bl Block, cf capacityFunc) float64 {
	left := slices.Clone(slots)
	for _, sr := range bl.Shares {
		free := cf(&zo.workers[sr.Worker])
		taken := bl.Shape.accelerators(sr)
		for index, de := range zo.demands {
			left[index] -= int(free/de.shape.Accelerators) - int((free-taken)/de.shape.Accelerators)
		}
	}
	var sum float64
	for index, de := range zo.demands {
		gangs := slots[index]/int(de.shape.Members) - left[index]/int(de.shape.Members)
		sum += float64(gangs) * de.weight * float64(de.shape.Total())
	}
	return sum
}
