package daemon_test

import (
	"context"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// submitTo stores a gang of two members for a zone, through any instance.
func (sc *scene) submitTo(number int, zone identifier.Zone, key identifier.Key) identifier.Job {
	sc.t.Helper()
	row, err := sc.daemons[number].Jobs.Submit(context.Background(), "studio", caller.JobBody{
		Key: key, Kind: caller.JobBodyKindArchiveBatch, Class: types.ClassNormal, Zone: zone, ExpectedMillis: 60_000, Payload: shortWork,
		Shape: types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack},
	})
	asserter.OK(sc.t, err)
	return row.JobID
}

// TestZoneIsCutOff cuts one of two zones from the platform. Each goes on with what it can.
func TestZoneIsCutOff(t *testing.T) {
	sc := newScene(t, 1)
	sc.add(thrissur)
	sc.setRow("studio")
	running := sc.submitTo(0, kochi, "before the cut")
	sc.run(1)
	sc.platform.CutZones(kochi)
	sc.pass(2 * lease)
	t.Run("the cut zone serves idempotent requests and refuses the rest truthfully", func(t *testing.T) {
		re := sc.request("idempotent")
		re.Idempotent = true
		answer, err := sc.send(0, re)
		sc.answered(re, answer, err)
		re = sc.request("once")
		re.FirstAttempt = true
		_, err = sc.send(0, re)
		asserter.Outcome(t, err, problem.NotRun)
		asserter.Equal(t, sc.daemons[0].Table.Confirmed(), false)
	})
	var waiting identifier.Job
	t.Run("the other zone serves everything, and takes in edits and jobs for the cut one", func(t *testing.T) {
		re := sc.request("elsewhere")
		answer, err := sc.send(1, re)
		sc.answered(re, answer, err)
		_, err = sc.edit(1, "studio", sc.version(1, "studio"), 9)
		asserter.OK(t, err)
		here := sc.submitTo(1, thrissur, "here")
		waiting = sc.submitTo(1, kochi, "there")
		sc.pass(4 * clock.Second)
		row, err := sc.daemons[1].Jobs.Get(context.Background(), "studio", here)
		asserter.OK(t, err)
		asserter.Equal(t, row.State, rows.JobRowStateDone)
		sc.inForce(2, 1)
		sc.inForce(1, 0)
	})
	t.Run("healed, the cut zone catches up and finishes what waits", func(t *testing.T) {
		sc.platform.CutZones()
		sc.pass(2 * lease)
		sc.inForce(2, 0, 1)
		asserter.Equal(t, sc.daemons[0].Table.Confirmed(), true)
		sc.inState(running, rows.JobRowStateDone)
		sc.inState(waiting, rows.JobRowStateDone)
		sc.wholeGangs()
	})
}
