// Package placer decides where gangs run within one availability zone. For each guaranteed
// gang it keeps a reservation: a block of accelerators on which it places no other gang that
// cannot be preempted. Borrowed gangs, which can be preempted, may run on reserved
// accelerators. A guarantee can therefore always be met by preempting borrowed gangs only.
package placer

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Adjacency constraints of gangs, strictest first.
const (
	// OneWorker requires all members on one worker.
	OneWorker Adjacency = iota
	// OneRack requires all members on workers of one rack.
	OneRack
	// OneZone allows members on any worker of the availability zone.
	OneZone
)

type (
	// Adjacency is the constraint on how close the members of a gang must be placed.
	Adjacency int8

	// Shape is the resource request of a gang.
	Shape struct {
		// Members is at least 1.
		Members meter.Members
		// Accelerators is the number of accelerators for each member, all on one worker; at
		// least 1.
		Accelerators meter.Accelerators
		Adjacency    Adjacency
	}

	// Guarantee is a number of gangs of one shape that a workspace can always run.
	Guarantee struct {
		Workspace identifier.Workspace
		// Count is at least 1.
		Count int
		Shape Shape
	}

	// Share is the part of a block on one worker.
	Share struct {
		// Worker is an index into the workers of the zone.
		Worker int
		// Members is at least 1.
		Members int
	}

	// Block is a set of accelerators for a gang. Each worker appears in at most one share.
	Block struct {
		Shape  Shape
		Shares []Share
	}
)

// Total returns the number of accelerators of all members.
func (sh Shape) Total() meter.Accelerators {
	return meter.Accelerators(sh.Members) * sh.Accelerators
}

// Covers reports whether a gang of the other shape fits into every block of this shape.
func (sh Shape) Covers(other Shape) bool {
	if sh.Adjacency > other.Adjacency {
		return other.Total() <= sh.Accelerators // it must fit into the accelerators of one member
	}
	if other.Accelerators > sh.Accelerators {
		return false
	}
	perMember := sh.Accelerators / other.Accelerators
	return other.Members <= sh.Members*meter.Members(perMember)
}

// String returns the shape in the form MEMBERSxACCELERATORS/ADJACENCY.
func (sh Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", sh.Members, sh.Accelerators, sh.Adjacency)
}

// String returns the name of the adjacency in the schema.
func (ad Adjacency) String() string {
	return [...]string{"worker", "rack", "zone"}[ad]
}

// accelerators returns the number of accelerators of a share.
func (sh Shape) accelerators(sr Share) meter.Accelerators {
	return meter.Accelerators(sr.Members) * sh.Accelerators
}
