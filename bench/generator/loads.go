package generator

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/placer"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
)

const (
	noLimit         meter.Accelerators = 1 << 20
	teamsPerZone                       = 26 // teams in one of the five zones, out of 130 teams
	slicesPerWorker meter.Accelerators = 32 // accelerator slices per worker at the size expected in two years
)

func shape(members meter.Members, accelerators meter.Accelerators, adjacency placer.Adjacency) placer.Shape {
	return placer.Shape{Members: members, Accelerators: accelerators, Adjacency: adjacency}
}

func workspaces(names ...identifier.Workspace) []scheduler.Workspace {
	list := make([]scheduler.Workspace, 0, len(names))
	for _, name := range names {
		list = append(list, scheduler.Workspace{ID: name, Weight: 1, Limit: noLimit})
	}
	return list
}

// Thengola returns the load of one zone of the deployment in Kerala. Bursts of small jobs
// fragment the capacity that practice sets and certificate packs need. A hotel group submits
// batches that its guarantee covers.
func Thengola() Load {
	return Load{
		Name:       "Thengola",
		Size:       Size{Racks: 2, WorkersPerRack: 6, Accelerators: 8},
		Preset:     scheduler.Completion,
		Workspaces: workspaces("hotels", "studio", "online", "instructors"),
		Guarantees: []placer.Guarantee{{Workspace: "hotels", Count: 1, Shape: shape(4, 8, placer.OneRack)}},
		Length:     72 * clock.Hour,
		Streams: []Stream{
			{Workspace: "hotels", Kind: "practiceSet", Shapes: []placer.Shape{shape(4, 8, placer.OneRack)}, MedianRunTime: 20 * clock.Minute, Share: 0.15, Burst: 2, Large: true},
			{Workspace: "studio", Kind: "practiceSet", Shapes: []placer.Shape{shape(2, 8, placer.OneRack), shape(4, 8, placer.OneRack)}, MedianRunTime: 15 * clock.Minute, Share: 0.25, Burst: 1, Large: true},
			{Workspace: "instructors", Kind: "certificatePack", Shapes: []placer.Shape{shape(6, 4, placer.OneZone), shape(2, 8, placer.OneRack)}, MedianRunTime: 10 * clock.Minute, Share: 0.15, Burst: 2, Large: true},
			{Workspace: "online", Kind: "small", Shapes: []placer.Shape{shape(1, 1, placer.OneWorker), shape(1, 2, placer.OneWorker)}, MedianRunTime: 2 * clock.Minute, Share: 0.2, Burst: 24},
			{Workspace: "studio", Kind: "small", Shapes: []placer.Shape{shape(1, 1, placer.OneWorker)}, MedianRunTime: clock.Minute, Share: 0.08, Burst: 6},
			{Workspace: "online", Kind: "urgent", Shapes: []placer.Shape{shape(1, 1, placer.OneWorker)}, MedianRunTime: 20 * clock.Second, Share: 0.01, Burst: 4, Urgent: true},
		},
	}
}

// Derwent returns the load of one zone of the deployment in Tasmania: large gangs on adjacent
// accelerators, small urgent proofs, and guarantees for the large newspapers.
func Derwent() Load {
	return Load{
		Name:       "Derwent",
		Size:       Size{Racks: 2, WorkersPerRack: 8, Accelerators: 8},
		Preset:     scheduler.Fragmentation,
		Workspaces: workspaces("mercury", "examiner", "advocate", "archive"),
		Guarantees: []placer.Guarantee{
			{Workspace: "mercury", Count: 1, Shape: shape(6, 8, placer.OneRack)},
			{Workspace: "examiner", Count: 1, Shape: shape(4, 8, placer.OneRack)},
		},
		Length: 72 * clock.Hour,
		Streams: []Stream{
			{Workspace: "mercury", Kind: "reRender", Shapes: []placer.Shape{shape(6, 8, placer.OneRack)}, MedianRunTime: 30 * clock.Minute, Share: 0.15, Burst: 1, Large: true},
			{Workspace: "examiner", Kind: "reRender", Shapes: []placer.Shape{shape(4, 8, placer.OneRack)}, MedianRunTime: 20 * clock.Minute, Share: 0.12, Burst: 1, Large: true},
			{Workspace: "advocate", Kind: "reRender", Shapes: []placer.Shape{shape(5, 8, placer.OneRack)}, MedianRunTime: 20 * clock.Minute, Share: 0.12, Burst: 1, Large: true},
			{Workspace: "archive", Kind: "archiveBatch", Shapes: []placer.Shape{shape(8, 4, placer.OneRack), shape(12, 2, placer.OneZone)}, MedianRunTime: 25 * clock.Minute, Share: 0.12, Burst: 2, Large: true},
			{Workspace: "advocate", Kind: "small", Shapes: []placer.Shape{shape(1, 1, placer.OneWorker), shape(1, 2, placer.OneWorker)}, MedianRunTime: 5 * clock.Minute, Share: 0.12, Burst: 12},
			{Workspace: "archive", Kind: "proof", Shapes: []placer.Shape{shape(1, 1, placer.OneWorker)}, MedianRunTime: 20 * clock.Second, Share: 0.01, Burst: 4, Urgent: true},
		},
	}
}

// TwoYears returns the load of one of five zones at the size expected in two years: 220
// workers with 32 accelerator slices each, on which about 4,400 tasks run at a time.
func TwoYears() Load {
	lo := Load{
		Name:   "Two years",
		Size:   Size{Racks: 28, WorkersPerRack: 8, Accelerators: slicesPerWorker},
		Preset: scheduler.Completion,
		Length: 6 * clock.Hour,
	}
	for i := range teamsPerZone {
		ws := identifier.Workspace(fmt.Sprintf("team-%02d", i))
		lo.Workspaces = append(lo.Workspaces, workspaces(ws)...)
		lo.Streams = append(lo.Streams, teamStreams(ws, i)...)
		if i%4 == 0 {
			lo.Guarantees = append(lo.Guarantees, placer.Guarantee{Workspace: ws, Count: 1, Shape: shape(16, 8, placer.OneRack)})
		}
	}
	urgent := Stream{Workspace: "team-00", Kind: "urgent", Shapes: []placer.Shape{shape(1, 2, placer.OneWorker), shape(4, 4, placer.OneRack)}, MedianRunTime: 30 * clock.Second, Share: 0.005, Burst: 32, Urgent: true}
	lo.Streams = append(lo.Streams, urgent)
	return lo
}

// teamStreams returns the streams of a team: small jobs and gangs for each team, and also
// large gangs of up to 128 members for every third team.
func teamStreams(ws identifier.Workspace, number int) []Stream {
	small := Stream{Workspace: ws, Kind: "small", Shapes: []placer.Shape{shape(1, 1, placer.OneWorker), shape(2, 1, placer.OneWorker), shape(1, 4, placer.OneWorker)}, MedianRunTime: 8 * clock.Minute, Share: 0.3 / teamsPerZone, Burst: 8}
	medium := Stream{Workspace: ws, Kind: "gang", Shapes: []placer.Shape{shape(16, 1, placer.OneRack), shape(16, 8, placer.OneRack), shape(32, 2, placer.OneZone)}, MedianRunTime: 40 * clock.Minute, Share: 0.4 / teamsPerZone, Burst: 1, Large: true}
	list := []Stream{small, medium}
	if number%3 == 0 {
		large := Stream{Workspace: ws, Kind: "largeGang", Shapes: []placer.Shape{shape(64, 2, placer.OneRack), shape(128, 2, placer.OneZone)}, MedianRunTime: 90 * clock.Minute, Share: 0.25 / (teamsPerZone / 3.0), Burst: 1, Large: true}
		list = append(list, large)
	}
	return list
}
