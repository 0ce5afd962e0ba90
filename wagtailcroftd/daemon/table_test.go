package daemon_test

import (
	"context"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
)

// propagationBound is the time within which an edit must be in force on every instance.
const propagationBound = 4 * clock.Second

// edit sets the weight of a row that has the expected version.
func (ha *harness) edit(number int, ws identifier.Workspace, expected meter.RowVersion, weight meter.Weight) (configurer.Plan, error) {
	ce := cells()
	ce.Weight = weight
	return ha.daemons[number].Table.Apply(context.Background(), configurer.Edit{Workspace: ws, Expected: expected, Cells: ce, Author: "test"})
}

// assertTableVersion checks the version of the table in force on instances.
func (ha *harness) assertTableVersion(want meter.TableVersion, numbers ...int) {
	ha.t.Helper()
	for _, number := range numbers {
		asserter.Equal(ha.t, ha.daemons[number].Table.Version(), want)
	}
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	ha := newHarness(t, 3)
	ha.setRow("studio")
	_, err := ha.edit(1, "studio", ha.version(1, "studio"), 5)
	asserter.NoError(t, err)
	ha.passTime(propagationBound)
	ha.assertTableVersion(2, 0, 1, 2)
	t.Run("an instance that learns of a newer version is unconfirmed until it has read it", func(t *testing.T) {
		asserter.Equal(t, ha.daemons[1].Table.Confirmed(), true)
		ha.daemons[1].Table.ReportVersion(3)
		asserter.Equal(t, ha.daemons[1].Table.Confirmed(), false)
		_, err := ha.edit(0, "studio", ha.version(0, "studio"), 5)
		asserter.NoError(t, err)
		ha.runTicks(1)
		asserter.Equal(t, ha.daemons[1].Table.Confirmed(), true)
	})
	t.Run("an instance that starts later gets the newest version", func(*testing.T) {
		ha.add(kochi)
		ha.runTicks(1)
		ha.assertTableVersion(3, 3)
	})
	t.Run("an instance that is cut off becomes unconfirmed", func(t *testing.T) {
		ha.doers[2].callsLeft = 0
		ha.peers.cut = true
		_, err := ha.edit(0, "studio", ha.version(0, "studio"), 6)
		asserter.NoError(t, err)
		ha.passTime(propagationBound)
		ha.assertTableVersion(4, 0, 1)
		ha.assertTableVersion(3, 2)
		asserter.Equal(t, ha.daemons[2].Table.Confirmed(), false)
	})
}

func TestStaleReadsChangeNothing(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	ha.platform.EditFaults(func(fa *platform.Faults) { fa.StaleReads = true })
	version := ha.version(0, "studio")
	_, err := ha.edit(0, "studio", version, 7)
	asserter.NoError(t, err)
	ha.passTime(propagationBound)
	t.Run("an instance that cannot read the change is unconfirmed", func(t *testing.T) {
		asserter.Equal(t, ha.daemons[1].Table.Confirmed(), false)
	})
	ha.platform.EditFaults(func(fa *platform.Faults) { fa.StaleReads = false })
	ha.passTime(propagationBound)
	ha.assertTableVersion(2, 0, 1)
	t.Run("nothing reverts when reads are stale again", func(t *testing.T) {
		ha.platform.EditFaults(func(fa *platform.Faults) { fa.StaleReads = true })
		ha.passTime(propagationBound)
		ha.assertTableVersion(2, 0, 1)
		row, _ := ha.daemons[1].Table.Row("studio")
		asserter.Equal(t, row.Cells.Weight, 7)
	})
}

func TestConcurrentEdits(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	version := ha.version(0, "studio")
	_, err := ha.edit(0, "studio", version, 2)
	asserter.NoError(t, err)
	_, err = ha.edit(1, "studio", version, 3)
	t.Run("the second editor is told what changed", func(t *testing.T) {
		asserter.Kind(t, err, problem.StaleRow)
		changes := problem.From(err).Changes
		asserter.Equal(t, len(changes), 1)
		asserter.Equal(t, changes[0].Cell, "weight")
		asserter.Equal(t, changes[0].After, "2")
	})
	t.Run("the rejected edit changes nothing", func(t *testing.T) {
		ha.passTime(propagationBound)
		row, _ := ha.daemons[1].Table.Row("studio")
		asserter.Equal(t, row.Cells.Weight, 2)
	})
	t.Run("an accepted edit whose answer was lost is applied once", func(t *testing.T) {
		ha.platform.EditFaults(loseAnswers(1))
		plan, err := ha.edit(0, "studio", ha.version(0, "studio"), 4)
		asserter.NoError(t, err)
		asserter.Equal(t, plan.TableVersion, 3)
		history, err := ha.daemons[0].Table.History(context.Background(), "studio")
		asserter.NoError(t, err)
		asserter.Equal(t, len(history), 3)
	})
}

func TestGuaranteesThatCannotBeHonoured(t *testing.T) {
	ha := newHarness(t, 1)
	shape := types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack}
	ha.setRow("hotels", types.Guarantee{Zone: kochi, Count: 1, Shape: shape})
	plan := func(gu types.Guarantee) error {
		_, err := ha.daemons[0].Table.Plan(context.Background(), configurer.Edit{Workspace: "studio", Cells: cells(gu)})
		return err
	}
	t.Run("together with the guarantee of another workspace", func(t *testing.T) {
		asserter.Kind(t, plan(types.Guarantee{Zone: kochi, Count: 2, Shape: shape}), problem.GuaranteeTooLarge)
		asserter.NoError(t, plan(types.Guarantee{Zone: kochi, Count: 1, Shape: shape}))
	})
	t.Run("in a zone without workers", func(t *testing.T) {
		asserter.Kind(t, plan(types.Guarantee{Zone: "atlantis", Count: 1, Shape: shape}), problem.GuaranteeTooLarge)
	})
	t.Run("together with a gang that may not be preempted", func(t *testing.T) {
		_, err := ha.submit(0, "hotels", "fixed", 2, longWork)
		asserter.NoError(t, err)
		ha.passTime(shortWait)
		asserter.Kind(t, plan(types.Guarantee{Zone: kochi, Count: 2, Shape: shape}), problem.GuaranteeTooLarge)
	})
	t.Run("together with a gang that is placed while the edit is being checked", func(t *testing.T) {
		ha := newHarness(t, 1)
		ha.setRow("hotels", types.Guarantee{Zone: kochi, Count: 1, Shape: shape})
		_, err := ha.submit(0, "hotels", "fixed", 2, longWork)
		asserter.NoError(t, err)
		ha.doers[0].beforeTransact = func() { ha.runTicks(1) }
		_, err = ha.daemons[0].Table.Apply(context.Background(), configurer.Edit{Workspace: "studio", Cells: cells(types.Guarantee{Zone: kochi, Count: 1, Shape: shape})})
		asserter.Kind(t, err, problem.Conflict)
	})
	t.Run("cells out of their range", func(t *testing.T) {
		ce := cells()
		ce.Weight = 0
		_, err := ha.daemons[0].Table.Plan(context.Background(), configurer.Edit{Workspace: "studio", Cells: ce})
		asserter.Kind(t, err, problem.BadRow)
	})
}

func TestDrainingTargets(t *testing.T) {
	ha := newHarness(t, 2)
	ha.setRow("studio")
	t.Run("an instance with an outdated inventory learns of a draining target from its peer", func(t *testing.T) {
		ha.platform.EditFaults(func(fa *platform.Faults) { fa.Leaving = []identifier.Target{"kochi-runner-00"} })
		ha.doers[1].callsLeft = 0
		ha.passTime(3 * clock.Second)
		for i := range 8 {
			re := ha.request(identifier.Key(rune('a' + i)))
			re.Idempotent = true
			_, err := ha.send(1, re)
			asserter.NoError(t, err)
		}
		asserter.Equal(t, ha.runners.byAddress["runner-0"], 0)
		asserter.Equal(t, ha.runners.byAddress["runner-1"], 8)
	})
	t.Run("a drain by an operator is in force on every instance", func(t *testing.T) {
		ha.doers[1].callsLeft = -1
		ha.platform.EditFaults(func(fa *platform.Faults) { fa.Leaving = nil })
		asserter.NoError(t, ha.daemons[0].Table.Drain(context.Background(), "kochi-runner-01", false))
		ha.passTime(3 * clock.Second)
		for number := range ha.daemons {
			re := ha.request(identifier.Key(rune('k' + number)))
			re.Idempotent = true
			_, err := ha.send(number, re)
			asserter.NoError(t, err)
		}
		asserter.Equal(t, ha.runners.byAddress["runner-0"], 2)
	})
}
