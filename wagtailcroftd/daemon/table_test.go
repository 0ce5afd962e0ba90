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

const inForceBound = 4 * clock.Second

// edit sets the weight of a row that has a version.
func (sc *scene) edit(number int, ws identifier.Workspace, expected meter.RowVersion, weight meter.Weight) (configurer.Plan, error) {
	ce := cells()
	ce.Weight = weight
	return sc.daemons[number].Table.Apply(context.Background(), configurer.Edit{Workspace: ws, Expected: expected, Cells: ce, Author: "test"})
}

// inForce checks the version of the table on instances.
func (sc *scene) inForce(want meter.TableVersion, numbers ...int) {
	sc.t.Helper()
	for _, number := range numbers {
		asserter.Equal(sc.t, sc.daemons[number].Table.Version(), want)
	}
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	sc := newScene(t, 3)
	sc.setRow("studio")
	_, err := sc.edit(1, "studio", sc.version(1, "studio"), 5)
	asserter.OK(t, err)
	sc.pass(inForceBound)
	sc.inForce(2, 0, 1, 2)
	t.Run("one that hears of a newer version is not confirmed until it has it", func(t *testing.T) {
		asserter.Equal(t, sc.daemons[1].Table.Confirmed(), true)
		sc.daemons[1].Table.Hint(3)
		asserter.Equal(t, sc.daemons[1].Table.Confirmed(), false)
		_, err := sc.edit(0, "studio", sc.version(0, "studio"), 5)
		asserter.OK(t, err)
		sc.run(1)
		asserter.Equal(t, sc.daemons[1].Table.Confirmed(), true)
	})
	t.Run("also on an instance that starts later", func(*testing.T) {
		sc.add(kochi)
		sc.run(1)
		sc.inForce(3, 3)
	})
	t.Run("an instance that is cut off stops calling it confirmed", func(t *testing.T) {
		sc.doers[2].left = 0
		sc.peers.cut = true
		_, err := sc.edit(0, "studio", sc.version(0, "studio"), 6)
		asserter.OK(t, err)
		sc.pass(inForceBound)
		sc.inForce(4, 0, 1)
		sc.inForce(3, 2)
		asserter.Equal(t, sc.daemons[2].Table.Confirmed(), false)
	})
}

func TestStaleReadsChangeNothing(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	sc.platform.Change(func(fa *platform.Faults) { fa.StaleReads = true })
	version := sc.version(0, "studio")
	_, err := sc.edit(0, "studio", version, 7)
	asserter.OK(t, err)
	sc.pass(inForceBound)
	t.Run("an instance that cannot read the change is not confirmed", func(t *testing.T) {
		asserter.Equal(t, sc.daemons[1].Table.Confirmed(), false)
	})
	sc.platform.Change(func(fa *platform.Faults) { fa.StaleReads = false })
	sc.pass(inForceBound)
	sc.inForce(2, 0, 1)
	t.Run("nothing reverts when reads are stale again", func(t *testing.T) {
		sc.platform.Change(func(fa *platform.Faults) { fa.StaleReads = true })
		sc.pass(inForceBound)
		sc.inForce(2, 0, 1)
		row, _ := sc.daemons[1].Table.Row("studio")
		asserter.Equal(t, row.Cells.Weight, 7)
	})
}

func TestOperatorsRace(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	version := sc.version(0, "studio")
	_, err := sc.edit(0, "studio", version, 2)
	asserter.OK(t, err)
	_, err = sc.edit(1, "studio", version, 3)
	t.Run("the second is told what changed", func(t *testing.T) {
		asserter.Kind(t, err, problem.StaleRow)
		changes := problem.From(err).Changes
		asserter.Equal(t, len(changes), 1)
		asserter.Equal(t, changes[0].Cell, "weight")
		asserter.Equal(t, changes[0].After, "2")
	})
	t.Run("and changed nothing", func(t *testing.T) {
		sc.pass(inForceBound)
		row, _ := sc.daemons[1].Table.Row("studio")
		asserter.Equal(t, row.Cells.Weight, 2)
	})
	t.Run("an accepted edit whose answer was lost is accepted once", func(t *testing.T) {
		sc.platform.Change(loseAnswers(1))
		plan, err := sc.edit(0, "studio", sc.version(0, "studio"), 4)
		asserter.OK(t, err)
		asserter.Equal(t, plan.TableVersion, 3)
		history, err := sc.daemons[0].Table.History(context.Background(), "studio")
		asserter.OK(t, err)
		asserter.Equal(t, len(history), 3)
	})
}

func TestGuaranteesThatCannotBeHonoured(t *testing.T) {
	sc := newScene(t, 1)
	shape := types.Shape{Members: 2, Accelerators: 8, Adjacency: types.AdjacencyRack}
	sc.setRow("hotels", types.Guarantee{Zone: kochi, Count: 1, Shape: shape})
	plan := func(gu types.Guarantee) error {
		_, err := sc.daemons[0].Table.Plan(context.Background(), configurer.Edit{Workspace: "studio", Cells: cells(gu)})
		return err
	}
	t.Run("beside another's", func(t *testing.T) {
		asserter.Kind(t, plan(types.Guarantee{Zone: kochi, Count: 2, Shape: shape}), problem.GuaranteeTooLarge)
		asserter.OK(t, plan(types.Guarantee{Zone: kochi, Count: 1, Shape: shape}))
	})
	t.Run("in a zone without workers", func(t *testing.T) {
		asserter.Kind(t, plan(types.Guarantee{Zone: "atlantis", Count: 1, Shape: shape}), problem.GuaranteeTooLarge)
	})
	t.Run("beside a gang that may not be preempted", func(t *testing.T) {
		_, err := sc.submit(0, "hotels", "fixed", 2, longWork)
		asserter.OK(t, err)
		sc.pass(soon)
		asserter.Kind(t, plan(types.Guarantee{Zone: kochi, Count: 2, Shape: shape}), problem.GuaranteeTooLarge)
	})
	t.Run("beside a gang that is placed while the edit is being checked", func(t *testing.T) {
		sc := newScene(t, 1)
		sc.setRow("hotels", types.Guarantee{Zone: kochi, Count: 1, Shape: shape})
		_, err := sc.submit(0, "hotels", "fixed", 2, longWork)
		asserter.OK(t, err)
		sc.doers[0].before = func() { sc.run(1) }
		_, err = sc.daemons[0].Table.Apply(context.Background(), configurer.Edit{Workspace: "studio", Cells: cells(types.Guarantee{Zone: kochi, Count: 1, Shape: shape})})
		asserter.Kind(t, err, problem.Conflict)
	})
	t.Run("cells out of their range", func(t *testing.T) {
		ce := cells()
		ce.Weight = 0
		_, err := sc.daemons[0].Table.Plan(context.Background(), configurer.Edit{Workspace: "studio", Cells: ce})
		asserter.Kind(t, err, problem.BadRow)
	})
}

func TestLeavingTargets(t *testing.T) {
	sc := newScene(t, 2)
	sc.setRow("studio")
	t.Run("an instance whose list lags learns it from its peer", func(t *testing.T) {
		sc.platform.Change(func(fa *platform.Faults) { fa.Leaving = []identifier.Target{"kochi-runner-00"} })
		sc.doers[1].left = 0
		sc.pass(3 * clock.Second)
		for i := range 8 {
			re := sc.request(identifier.Key(rune('a' + i)))
			re.Idempotent = true
			_, err := sc.send(1, re)
			asserter.OK(t, err)
		}
		asserter.Equal(t, sc.runners.by["runner-0"], 0)
		asserter.Equal(t, sc.runners.by["runner-1"], 8)
	})
	t.Run("a drain by an operator is in force on every instance", func(t *testing.T) {
		sc.doers[1].left = -1
		sc.platform.Change(func(fa *platform.Faults) { fa.Leaving = nil })
		asserter.OK(t, sc.daemons[0].Table.Drain(context.Background(), "kochi-runner-01", false))
		sc.pass(3 * clock.Second)
		for number := range sc.daemons {
			re := sc.request(identifier.Key(rune('k' + number)))
			re.Idempotent = true
			_, err := sc.send(number, re)
			asserter.OK(t, err)
		}
		asserter.Equal(t, sc.runners.by["runner-0"], 2)
	})
}
