// Package maintainer carries out the waves of upkeep that operators ask for: machine after
// machine is emptied, recorded as begun, and ordered, with few down at once.
package maintainer

import (
	"context"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

const (
	// upkeepEvery is the time between two looks at the machines while a wave is open; it
	// keeps the readings of the list far below the rate that all instances share.
	upkeepEvery = 500 * clock.Millis(1)
	// upkeepTimeout bounds a call to the machine service.
	upkeepTimeout = 2000 * clock.Millis(1)
)

type (
	// Store is what the maintainer needs of the table service.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		Reset()
	}

	// Machines lists machines and has their upkeep begun.
	Machines interface {
		List(ctx context.Context) ([]fleet.Machine, error)
		Upkeep(ctx context.Context, machine identifier.Machine, wave int64, holder identifier.Instance, fence meter.LeaseEpoch) error
	}

	// Workers empties workers for the upkeep of their machines.
	Workers interface {
		// Empty keeps new work from a machine's worker and stops what runs there. It reports
		// whether nothing is left.
		Empty(ma fleet.Machine) bool
		// Emptied reports whether a worker that was emptied is still there.
		Emptied(id identifier.Worker) bool
		// Begun notes that the upkeep of the worker's machine begins.
		Begun(id identifier.Worker)
	}

	// Options are what a maintainer is made from.
	Options struct {
		Store    Store
		Machines Machines
		Workers  Workers
		// Waves lists the waves that operators ask for.
		Waves func() []fleet.Wave
		// WaveStatus encodes the row that tells operators how far a wave is.
		WaveStatus func(number int64, completed bool) (rowstore.Put, error)
		Clock      clock.Clock
		Log        zerolog.Logger
		Instance   identifier.Instance
		Fence      meter.LeaseEpoch
		// Settle is how long a new holder gives no orders to machines.
		Settle clock.Millis
	}

	// Maintainer carries out waves for one term of a holder.
	Maintainer struct{ Options }

	// wave is what this holder knows of a wave.
	wave struct {
		asked fleet.Wave
		// row is what the store holds of it.
		row rowstore.Row
		// begun holds the machines whose upkeep has begun, by the word of the store.
		begun map[identifier.Machine]bool
	}
)

// New returns a maintainer for one term of a holder.
func New(op Options) *Maintainer { return &Maintainer{op} }

// Run carries out waves until ctx ends, or the machine service obeys a newer holder; then the
// error is fleet.ErrFenced. A machine is emptied, its upkeep is recorded as begun, and then
// ordered; all may be repeated.
func (mt *Maintainer) Run(ctx context.Context) error {
	began := mt.Clock.Now()
	for clock.Sleep(ctx, mt.Clock, upkeepEvery) {
		waves := mt.Waves()
		if len(waves) == 0 || mt.Clock.Now()-began < mt.Settle {
			continue
		}
		err := mt.serveWaves(ctx, waves)
		if eris.Is(err, fleet.ErrFenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			mt.Log.Warn().Err(err).Msg("upkeepDelayed")
		}
	}
	return nil
}

func (mt *Maintainer) serveWaves(ctx context.Context, asked []fleet.Wave) error {
	rows, _, err := tailer.Whole(ctx, mt.Store, mt.Clock, recorder.Waves)
	if err != nil {
		return err
	}
	var open []*wave
	for _, wa := range asked {
		st := &wave{asked: wa, row: rowstore.Row{Key: recorder.WaveKey(wa.Number)}, begun: map[identifier.Machine]bool{}}
		completed, err := st.load(rows)
		if err != nil {
			return err
		}
		if !completed {
			open = append(open, st)
		}
	}
	if len(open) == 0 {
		return nil
	}
	bound, cancel := mt.Clock.Bound(ctx, upkeepTimeout)
	machines, err := mt.Machines.List(bound)
	cancel()
	if err != nil {
		return err
	}
	listed := make(map[identifier.Machine]fleet.Machine, len(machines))
	for _, ma := range machines {
		listed[ma.ID] = ma
	}
	for _, st := range open {
		if err := mt.serveWave(ctx, st, listed); err != nil {
			return err
		}
	}
	return nil
}

func (wa *wave) load(rows []rowstore.Row) (completed bool, err error) {
	for _, ro := range rows {
		if ro.Key != wa.row.Key {
			continue
		}
		row, err := recorder.Decode[ledger.Wave](ro)
		if err != nil {
			return false, err
		}
		wa.row = ro
		for _, id := range row.Begun {
			wa.begun[identifier.Machine(id)] = true
		}
		return row.Completed, nil
	}
	return false, nil
}

// serveWave takes a wave one step on: the next machine, or its completion.
func (mt *Maintainer) serveWave(ctx context.Context, wa *wave, listed map[identifier.Machine]fleet.Machine) error {
	down, left := 0, 0
	var next []fleet.Machine
	for _, id := range wa.asked.Machines {
		ma, there := listed[id]
		switch {
		case !there: // it has left for good
		case wa.begun[id] && !ma.Up:
			down++
			left++
		case wa.begun[id] && mt.Workers.Emptied(ma.Worker):
			// The order may not have been carried out: the machine still has its old worker.
			down++
			left++
			if err := mt.order(ctx, wa, ma); err != nil {
				return err
			}
		case wa.begun[id]:
		default:
			left++
			if !ma.Up {
				down++
			} else {
				next = append(next, ma)
			}
		}
	}
	if left == 0 {
		return mt.recordWave(ctx, wa, true)
	}
	for _, ma := range next[:min(len(next), max(wa.asked.Most-down, 0))] {
		if !mt.Workers.Empty(ma) {
			continue
		}
		wa.begun[ma.ID] = true
		if err := mt.recordWave(ctx, wa, false); err != nil {
			return err
		}
		if err := mt.order(ctx, wa, ma); err != nil {
			return err
		}
	}
	return nil
}

// order begins the upkeep of a machine. A refusal is tried again at the next look.
func (mt *Maintainer) order(ctx context.Context, wa *wave, ma fleet.Machine) error {
	bound, cancel := mt.Clock.Bound(ctx, upkeepTimeout)
	err := mt.Machines.Upkeep(bound, ma.ID, wa.asked.Number, mt.Instance, mt.Fence)
	cancel()
	mt.Log.Info().Str("machine", string(ma.ID)).Int64("wave", wa.asked.Number).AnErr("refusal", err).Msg("upkeepOrdered")
	switch {
	case err == nil:
		mt.Workers.Begun(ma.Worker)
	case eris.Is(err, fleet.ErrFenced):
		return err
	}
	return nil
}

// recordWave writes how far a wave is, under the condition that it is as it was read.
func (mt *Maintainer) recordWave(ctx context.Context, wa *wave, completed bool) error {
	begun := make([]string, 0, len(wa.begun))
	for _, id := range slices.Sorted(maps.Keys(wa.begun)) {
		begun = append(begun, string(id))
	}
	status, err := mt.WaveStatus(wa.asked.Number, completed)
	if err != nil {
		return err
	}
	ctx, cancel := mt.Clock.Bound(ctx, elector.WriteTimeout)
	defer cancel()
	version, err := mt.Store.Write(ctx, rowstore.Transaction{
		Expect: []rowstore.Expectation{{Key: wa.row.Key, Version: wa.row.Version}},
		Puts: []rowstore.Put{
			{Key: wa.row.Key, Value: recorder.Encode(ledger.Wave{Begun: begun, Completed: completed})}, status,
		},
	})
	if err != nil {
		return err
	}
	wa.row.Version = version
	if completed {
		mt.Log.Info().Int64("wave", wa.asked.Number).Int("machines", len(begun)).Msg("waveCompleted")
	}
	return nil
}
