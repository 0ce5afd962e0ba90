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

// submitTo submits a gang of two members for a zone through an instance.
func (ha *harness) submitTo(number int, zone identifier.Zone, key identifier.Key) identifier.Job {
	ha.t.Helper()
	row, err := ha.daemons[number].Jobs.Submit(context.Background(), "studio", caller.JobBody{
		Key: key, Kind: caller.JobBodyKindArchiveBatch, Class: types.ClassNormal, Zone: zone, ExpectedMillis: 60_000, Payload: shortWork,
		Shape: types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack},
	})
	asserter.NoError(ha.t, err)
	return row.JobID
}

// TestZoneIsCutOff cuts one of two zones off from the platform. The cut-off zone must serve
// what needs no store, and the other zone everything.
func TestZoneIsCutOff(t *testing.T) {
	ha := newHarness(t, 1)
	ha.add(thrissur)
	ha.setRow("studio")
	running := ha.submitTo(0, kochi, "before the cut")
	ha.runTicks(1)
	ha.platform.CutZones(kochi)
	ha.passTime(2 * leaseTime)
	t.Run("the cut-off zone serves idempotent requests and reports the others as not run", func(t *testing.T) {
		re := ha.request("idempotent")
		re.Idempotent = true
		answer, err := ha.send(0, re)
		ha.assertAnswered(re, answer, err)
		re = ha.request("once")
		re.FirstAttempt = true
		_, err = ha.send(0, re)
		asserter.Outcome(t, err, problem.NotRun)
		asserter.Equal(t, ha.daemons[0].Table.Confirmed(), false)
	})
	var waiting identifier.Job
	t.Run("the other zone serves everything and accepts edits and jobs for the cut-off zone", func(t *testing.T) {
		re := ha.request("elsewhere")
		answer, err := ha.send(1, re)
		ha.assertAnswered(re, answer, err)
		_, err = ha.edit(1, "studio", ha.version(1, "studio"), 9)
		asserter.NoError(t, err)
		here := ha.submitTo(1, thrissur, "here")
		waiting = ha.submitTo(1, kochi, "there")
		ha.passTime(4 * clock.Second)
		row, err := ha.daemons[1].Jobs.Get(context.Background(), "studio", here)
		asserter.NoError(t, err)
		asserter.Equal(t, row.State, rows.JobRowStateDone)
		ha.assertTableVersion(2, 1)
		ha.assertTableVersion(1, 0)
	})
	t.Run("after the cut, the zone catches up and completes the waiting jobs", func(t *testing.T) {
		ha.platform.CutZones()
		ha.passTime(2 * leaseTime)
		ha.assertTableVersion(2, 0, 1)
		asserter.Equal(t, ha.daemons[0].Table.Confirmed(), true)
		ha.assertState(running, rows.JobRowStateDone)
		ha.assertState(waiting, rows.JobRowStateDone)
		ha.assertGangsConsistent()
	})
}
