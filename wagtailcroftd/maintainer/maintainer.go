// Package maintainer carries out the maintenance waves that operators request. For each machine
// it drains the worker, records the maintenance as begun, and sends the command to the machine
// service. The number of machines that are down at the same time is limited.
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
	// pollInterval is the time between two reads of the list of machines while a wave is open.
	// It keeps the reads far below the rate limit that all instances share.
	pollInterval = 500 * clock.Millis(1)
	// callTimeout bounds a call to the machine service.
	callTimeout = 2000 * clock.Millis(1)
)

type (
	// Store is the part of the table service that the maintainer uses.
	Store interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Watch(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		CloseIdleConnections()
	}

	// Machines lists machines and starts their maintenance.
	Machines interface {
		List(ctx context.Context) ([]fleet.Machine, error)
		BeginMaintenance(ctx context.Context, co fleet.MaintenanceCommand) error
	}

	// Workers drains workers for the maintenance of their machines.
	Workers interface {
		// Drain keeps new work from a machine's worker and stops its runs. It reports whether no
		// run is left.
		Drain(ma fleet.Machine) bool
		// MaintenanceBegun is called when the maintenance of the worker's machine begins.
		MaintenanceBegun(id identifier.Worker)
	}

	// Options are the dependencies and settings of a maintainer.
	Options struct {
		Store    Store
		Machines Machines
		Workers  Workers
		// Waves lists the waves that operators have requested.
		Waves func() []fleet.MaintenanceWave
		// WaveStatus encodes the row that shows operators the progress of a wave.
		WaveStatus func(number int64, completed bool) (rowstore.Put, error)
		Clock      clock.Clock
		Log        zerolog.Logger
		Instance   identifier.Instance
		Fence      meter.LeaseEpoch
		// SendBy returns the latest moment at which a command may leave this process.
		SendBy func() clock.Millis
		// StartDelay is how long a new leader waits before it sends commands to machines, so that
		// those of a former leader have arrived.
		StartDelay clock.Millis
	}

	// Maintainer carries out waves during one leader term.
	Maintainer struct {
		Options
		// accepted holds, for each wave, the machines whose maintenance certainly took place. It
		// goes into the wave's row with the next write, so that the rows may lack the last ones.
		accepted map[int64]map[identifier.Machine]bool
	}

	// wave is this leader's state of a wave.
	wave struct {
		request fleet.MaintenanceWave
		// row is the wave's row in the store.
		row rowstore.Row
		// begun holds the machines whose maintenance is recorded as begun, accepted those of
		// which it is known that it took place. Only the latter can be finished.
		begun, accepted map[identifier.Machine]bool
		// begunByOthers reports whether another open wave has begun the maintenance of a machine too, so
		// that its being in maintenance does not tell for which wave it is.
		begunByOthers func(id identifier.Machine) bool
	}
)

// New returns a maintainer for one leader term.
func New(op Options) *Maintainer {
	return &Maintainer{Options: op, accepted: map[int64]map[identifier.Machine]bool{}}
}

// Run carries out waves until ctx ends, or until the machine service obeys a newer leader; then
// it returns fleet.ErrFenced. A machine is drained, its maintenance is recorded as begun, and
// then the command is sent. Each of these steps may be repeated. A command of a former leader may
// have been lost or may still arrive, so that it is sent again until one is answered; the machine
// service carries it out once.
func (mt *Maintainer) Run(ctx context.Context) error {
	started := mt.Clock.Now()
	for clock.Sleep(ctx, mt.Clock, pollInterval) {
		waves := mt.Waves()
		if len(waves) == 0 {
			continue
		}
		err := mt.advanceWaves(ctx, waves, mt.Clock.Now()-started >= mt.StartDelay)
		if eris.Is(err, fleet.ErrFenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			mt.Log.Warn().Err(err).Msg("maintenanceDelayed")
		}
	}
	return nil
}

// advanceWaves takes the next steps of all waves. Unless commands may be sent, it only drains the
// machines to which a former leader may have sent one.
func (mt *Maintainer) advanceWaves(ctx context.Context, requested []fleet.MaintenanceWave, commands bool) error {
	rows, _, err := tailer.ReadTable(ctx, mt.Store, mt.Clock, recorder.Waves)
	if err != nil {
		return err
	}
	var open []*wave
	for _, req := range requested {
		if mt.accepted[req.Number] == nil {
			mt.accepted[req.Number] = map[identifier.Machine]bool{}
		}
		wa := &wave{request: req, row: rowstore.Row{Key: recorder.WaveKey(req.Number)}, begun: map[identifier.Machine]bool{}, accepted: mt.accepted[req.Number]}
		completed, err := wa.load(rows)
		if err != nil {
			return err
		}
		if !completed {
			open = append(open, wa)
		}
	}
	if len(open) == 0 {
		return nil
	}
	callCtx, cancel := mt.Clock.WithTimeout(ctx, callTimeout)
	machines, err := mt.Machines.List(callCtx)
	cancel()
	if err != nil {
		return err
	}
	listed := make(map[identifier.Machine]fleet.Machine, len(machines))
	for _, ma := range machines {
		listed[ma.ID] = ma
	}
	begunBy := map[identifier.Machine]int{}
	for _, wa := range open {
		for id := range wa.begun {
			begunBy[id]++
		}
	}
	for _, wa := range open {
		wa.begunByOthers = func(id identifier.Machine) bool { return begunBy[id] > 1 }
		if !commands {
			mt.drainBegun(wa, listed)
			continue
		}
		if err := mt.advanceWave(ctx, wa, listed); err != nil {
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
		for _, id := range row.Accepted {
			wa.accepted[identifier.Machine(id)] = true
		}
		return row.Completed, nil
	}
	return false, nil
}

// drainBegun drains the machines to which a former leader may have sent the command.
func (mt *Maintainer) drainBegun(wa *wave, listed map[identifier.Machine]fleet.Machine) {
	for id := range wa.begun {
		if ma, exists := listed[id]; exists && ma.Up && !wa.accepted[id] {
			mt.Workers.Drain(ma)
		}
	}
}

// advanceWave takes the next steps of a wave: it starts the maintenance of machines as far as
// the limit allows, or records the wave as completed.
func (mt *Maintainer) advanceWave(ctx context.Context, wa *wave, listed map[identifier.Machine]fleet.Machine) error {
	down, left := 0, 0
	var next []fleet.Machine
	for _, id := range wa.request.Machines {
		ma, exists := listed[id]
		if wa.begun[id] && ma.InMaintenance && !wa.begunByOthers(id) {
			wa.accepted[id] = true
		}
		switch {
		case !exists: // the machine has been removed
		case wa.begun[id] && !ma.Up:
			down++
			left++
		case wa.begun[id] && !wa.accepted[id]:
			down++
			left++
			if !mt.Workers.Drain(ma) {
				continue
			}
			if err := mt.beginMaintenance(ctx, wa, ma); err != nil {
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
	for _, ma := range next[:min(len(next), max(wa.request.MaxDown-down, 0))] {
		if !mt.Workers.Drain(ma) {
			continue
		}
		wa.begun[ma.ID] = true
		if err := mt.recordWave(ctx, wa, false); err != nil {
			return err
		}
		if err := mt.beginMaintenance(ctx, wa, ma); err != nil {
			return err
		}
	}
	return nil
}

// beginMaintenance sends the maintenance command for a machine. A refused command is retried at
// the next read of the list.
func (mt *Maintainer) beginMaintenance(ctx context.Context, wa *wave, ma fleet.Machine) error {
	callCtx, cancel := mt.Clock.WithTimeout(ctx, callTimeout)
	err := mt.Machines.BeginMaintenance(callCtx, fleet.MaintenanceCommand{
		Machine: ma.ID, Wave: wa.request.Number, Leader: mt.Instance, Fence: mt.Fence, SendBy: mt.SendBy(),
	})
	cancel()
	mt.Log.Info().Str("machine", string(ma.ID)).Int64("wave", wa.request.Number).AnErr("refusal", err).Msg("maintenanceCommandSent")
	switch {
	case err == nil:
		wa.accepted[ma.ID] = true
		mt.Workers.MaintenanceBegun(ma.Worker)
	case eris.Is(err, fleet.ErrFenced):
		return err
	}
	return nil
}

// recordWave writes the progress of a wave, on the condition that its row has not changed since
// it was read.
func (mt *Maintainer) recordWave(ctx context.Context, wa *wave, completed bool) error {
	begun, accepted := sorted(wa.begun), sorted(wa.accepted)
	status, err := mt.WaveStatus(wa.request.Number, completed)
	if err != nil {
		return err
	}
	ctx, cancel := mt.Clock.WithTimeout(ctx, elector.WriteTimeout)
	defer cancel()
	version, err := mt.Store.Write(ctx, rowstore.Transaction{
		Preconditions: []rowstore.Precondition{{Key: wa.row.Key, Version: wa.row.Version}},
		Puts: []rowstore.Put{
			{Key: wa.row.Key, Value: recorder.Encode(ledger.Wave{Begun: begun, Accepted: accepted, Completed: completed})}, status,
		},
	})
	if err != nil {
		return err
	}
	wa.row.Version = version
	if completed {
		mt.Log.Info().Int64("wave", wa.request.Number).Int("machines", len(begun)).Msg("maintenanceWaveCompleted")
	}
	return nil
}

// sorted returns the names of machines in order.
func sorted(machines map[identifier.Machine]bool) []string {
	names := make([]string, 0, len(machines))
	for _, id := range slices.Sorted(maps.Keys(machines)) {
		names = append(names, string(id))
	}
	return names
}
