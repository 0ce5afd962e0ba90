package verifier

import (
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const requestCount = 200

// Thengola returns a workload of sign-ups, practice sets and certificate packs. A hotel group
// has a guarantee.
func Thengola(zones []identifier.Zone) Workload {
	return Workload{
		Name:        "Thengola",
		RequestKind: caller.RequestBodyKindSignUp,
		JobKinds:    []caller.JobBodyKind{caller.JobBodyKindPracticeSet, caller.JobBodyKindCertificatePack},
		Requests:    requestCount,
		Workspaces: []Workspace{
			workspace("hotel-group", guarantee(zones, 1, rack(4, 8)), rack(4, 8), rack(2, 8), rack(4, 8)),
			workspace("studio", nil, rack(2, 4), worker(1, 2), worker(1, 1), rack(4, 2)),
			workspace("online", nil, worker(1, 1), worker(1, 1), worker(2, 2), rack(3, 4)),
			workspace("instructors", nil, zone(6, 4), worker(1, 4)),
		},
	}
}

// Derwent returns a workload of proofs, re-renders and archive batches. Two newspapers have
// guarantees.
func Derwent(zones []identifier.Zone) Workload {
	return Workload{
		Name:        "Derwent",
		RequestKind: caller.RequestBodyKindProofLettering,
		JobKinds:    []caller.JobBodyKind{caller.JobBodyKindReRender, caller.JobBodyKindArchiveBatch},
		Requests:    requestCount,
		Workspaces: []Workspace{
			workspace("mercury", guarantee(zones, 1, rack(6, 8)), rack(6, 8), rack(6, 8)),
			workspace("examiner", guarantee(zones, 1, rack(4, 8)), rack(4, 8), worker(1, 8)),
			workspace("advocate", nil, rack(8, 4), zone(10, 4), worker(1, 1)),
			workspace("archive", nil, zone(12, 2), rack(2, 2), worker(1, 1)),
		},
	}
}

// workspace returns a workspace with the given guarantees and jobs.
func workspace(id identifier.Workspace, guarantees []types.Guarantee, jobs ...types.Shape) Workspace {
	return Workspace{
		ID:   id,
		Jobs: jobs,
		Cells: types.Cells{
			Weight:        1,
			Guarantees:    append([]types.Guarantee{}, guarantees...),
			Limits:        types.Limits{Accelerators: 512, Requests: 256, UnconfirmedRequests: 16, QueuedJobs: 64},
			UrgentAllowed: true,
			TokenDigests:  []string{identifier.Digest(Token(id))},
		},
	}
}

// guarantee returns guarantees for a number of gangs of a shape in each zone.
func guarantee(zones []identifier.Zone, count int32, shape types.Shape) []types.Guarantee {
	list := make([]types.Guarantee, 0, len(zones))
	for _, id := range zones {
		list = append(list, types.Guarantee{Zone: id, Count: count, Shape: shape})
	}
	return list
}

// worker returns the shape of a gang on one worker.
func worker(members meter.Members, accelerators meter.Accelerators) types.Shape {
	return types.Shape{Members: members, Accelerators: accelerators, Adjacency: types.AdjacencyWorker}
}

// rack returns the shape of a gang on one rack.
func rack(members meter.Members, accelerators meter.Accelerators) types.Shape {
	return types.Shape{Members: members, Accelerators: accelerators, Adjacency: types.AdjacencyRack}
}

// zone returns the shape of a gang anywhere in one zone.
func zone(members meter.Members, accelerators meter.Accelerators) types.Shape {
	return types.Shape{Members: members, Accelerators: accelerators, Adjacency: types.AdjacencyZone}
}
