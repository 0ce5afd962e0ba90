package placer

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	mostDemands = 8    // shapes that damage is weighed by
	demandDecay = 0.99 // what is left of the weight of a shape when another is seen
	leastDemand = 1e-3 // weight below which a shape is forgotten
)

// demand is how often gangs of a shape have lately been asked for.
type demand struct {
	shape  Shape
	weight float64
}

// Saw records that a gang of the shape was asked for. Placements then avoid breaking
// blocks that such gangs could use.
func (zo *Zone) Saw(sh Shape) {
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
	zo.demands = zo.demands[:min(len(zo.demands), mostDemands)]
	zo.demands = slices.DeleteFunc(zo.demands, func(de demand) bool { return de.weight < leastDemand })
}

// rackSlots counts for each demanded shape the members that each rack has room for.
func (zo *Zone) rackSlots(ro room) [][]int {
	slots := make([][]int, len(zo.racks))
	flat := make([]int, len(zo.racks)*len(zo.demands))
	for ra := range slots {
		slots[ra] = flat[ra*len(zo.demands) : (ra+1)*len(zo.demands)]
	}
	for i := range zo.workers {
		wo := &zo.workers[i]
		if !wo.usable {
			continue
		}
		left := max(ro(wo), 0)
		for number, de := range zo.demands {
			slots[wo.rack][number] += int(left / de.shape.Accelerators)
		}
	}
	return slots
}

// damage is the demand that a rack can no longer serve once a worker of it has less room.
func (zo *Zone) damage(slots []int, room, taken meter.Accelerators) float64 {
	var sum float64
	for number, de := range zo.demands {
		members := int(de.shape.Members)
		lost := int(room/de.shape.Accelerators) - int((room-taken)/de.shape.Accelerators)
		gangs := slots[number]/members - (slots[number]-lost)/members
		sum += float64(gangs) * de.weight * float64(de.shape.Total())
	}
	return sum
}

// blockDamage is the demand that a rack can no longer serve once the block is taken.
func (zo *Zone) blockDamage(slots []int, bl Block, ro room) float64 {
	left := slices.Clone(slots)
	for _, sr := range bl.Shares {
		free := ro(&zo.workers[sr.Worker])
		taken := bl.Shape.accelerators(sr)
		for number, de := range zo.demands {
			left[number] -= int(free/de.shape.Accelerators) - int((free-taken)/de.shape.Accelerators)
		}
	}
	var sum float64
	for number, de := range zo.demands {
		gangs := slots[number]/int(de.shape.Members) - left[number]/int(de.shape.Members)
		sum += float64(gangs) * de.weight * float64(de.shape.Total())
	}
	return sum
}
