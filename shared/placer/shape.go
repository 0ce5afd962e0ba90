// Package placer decides where gangs run within one availability zone. It keeps for each
// guaranteed shape a reservation: a block of accelerators that no other work which may
// not be preempted can take. Borrowed work may run on reserved accelerators, so that a
// guarantee can always be obtained by preempting borrowed work alone.
package placer

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// How close the members of a gang must be, tightest first.
const (
	// OneWorker keeps all members on one worker.
	OneWorker Adjacency = iota
	// OneRack keeps all members on workers of one rack.
	OneRack
	// OneZone lets the members be anywhere in the availability zone.
	OneZone
)

type (
	// Adjacency tells how close the members of a gang must be.
	Adjacency int8

	// Shape is what a gang needs.
	Shape struct {
		// Members is at least 1.
		Members meter.Members
		// Accelerators is the number for each member, all on one worker; at least 1.
		Accelerators meter.Accelerators
		Adjacency    Adjacency
	}

	// Guarantee is a number of gangs of one shape that a workspace can always obtain.
	Guarantee struct {
		Workspace identifier.Workspace
		// Count is at least 1.
		Count int
		Shape Shape
	}

	// Share is the part of a block that lies on one worker.
	Share struct {
		// Worker is an index into the workers of the zone.
		Worker int
		// Members is at least 1.
		Members int
	}

	// Block is a place for a gang. No worker appears twice.
	Block struct {
		Shape  Shape
		Shares []Share
	}
)

// Total is the number of accelerators of the whole gang.
func (sh Shape) Total() meter.Accelerators {
	return meter.Accelerators(sh.Members) * sh.Accelerators
}

// Covers reports whether any block of the shape has room for a gang of the other shape.
func (sh Shape) Covers(other Shape) bool {
	if sh.Adjacency > other.Adjacency {
		return other.Total() <= sh.Accelerators // it fits into the place of one member
	}
	if other.Accelerators > sh.Accelerators {
		return false
	}
	perMember := sh.Accelerators / other.Accelerators
	return other.Members <= sh.Members*meter.Members(perMember)
}

// String gives the shape as members x accelerators / adjacency.
func (sh Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", sh.Members, sh.Accelerators, sh.Adjacency)
}

// String names the adjacency as the schema does.
func (ad Adjacency) String() string {
	return [...]string{"worker", "rack", "zone"}[ad]
}

// accelerators is the number that a share takes on its worker.
func (sh Shape) accelerators(sr Share) meter.Accelerators {
	return meter.Accelerators(sr.Members) * sh.Accelerators
}
