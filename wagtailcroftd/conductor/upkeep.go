package conductor

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
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

// wave is what this holder knows of a wave.
type wave struct {
	asked fleet.Wave
	// row is what the store holds of it.
	row rowstore.Row
	// begun holds the machines whose upkeep has begun, by the word of the store.
	begun map[identifier.Machine]bool
}

// upkeep carries out the waves that operators ask for, until the term ends. A machine is
// emptied, its upkeep is recorded as begun, and then ordered; all may be repeated.
func (te *term) upkeep() {
	for clock.Sleep(te.ctx, te.Clock, upkeepEvery) {
		waves := te.Policies.Waves()
		if len(waves) == 0 || te.Clock.Now()-te.began < te.op.Settle {
			continue
		}
		if err := te.serveWaves(waves); err != nil && te.ctx.Err() == nil {
			te.log.Warn().Err(err).Msg("upkeepDelayed")
		}
	}
}

func (te *term) serveWaves(asked []fleet.Wave) error {
	rows, _, err := tailer.Whole(te.ctx, te.Store, te.Clock, recorder.Waves)
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
	ctx, cancel := te.Clock.Bound(te.ctx, upkeepTimeout)
	machines, err := te.Machines.List(ctx)
	cancel()
	if err != nil {
		return err
	}
	listed := make(map[identifier.Machine]fleet.Machine, len(machines))
	for _, ma := range machines {
		listed[ma.ID] = ma
	}
	for _, st := range open {
		if err := te.serveWave(st, listed); err != nil {
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
func (te *term) serveWave(wa *wave, listed map[identifier.Machine]fleet.Machine) error {
	down, left := 0, 0
	var next []fleet.Machine
	for _, id := range wa.asked.Machines {
		ma, there := listed[id]
		switch {
		case !there: // it has left for good
		case wa.begun[id] && !ma.Up:
			down++
			left++
		case wa.begun[id] && te.heldByMachine(ma):
			// The order may not have been carried out: the machine still has its old worker.
			down++
			left++
			if err := te.order(wa, ma); err != nil {
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
		return te.recordWave(wa, true)
	}
	for _, ma := range next[:min(len(next), max(wa.asked.Most-down, 0))] {
		if !te.empty(ma) {
			continue
		}
		wa.begun[ma.ID] = true
		if err := te.recordWave(wa, false); err != nil {
			return err
		}
		if err := te.order(wa, ma); err != nil {
			return err
		}
	}
	return nil
}

// heldByMachine reports whether the worker that was emptied is still there.
func (te *term) heldByMachine(ma fleet.Machine) bool {
	te.mu.Lock()
	defer te.mu.Unlock()
	wo := te.workers[ma.Worker]
	return wo != nil && wo.emptied
}

// empty keeps new work from a machine and stops what runs there. It reports whether
// nothing is left.
func (te *term) empty(ma fleet.Machine) bool {
	te.mu.Lock()
	defer te.mu.Unlock()
	wo := te.workers[ma.Worker]
	if wo == nil {
		return false // not reported yet
	}
	if !wo.emptied {
		wo.emptied = true
		te.log.Info().Str("worker", string(wo.id)).Str("machine", string(ma.ID)).Int("runs", len(wo.runs)).Msg("workerEmptied")
	}
	for key := range wo.runs {
		st, ta := te.jobs[key.Job].job.Task(key)
		if ta.Phase == workload.Starting || ta.Phase == workload.Running {
			if !te.maySpare(te.jobs[key.Job].job, st) {
				continue
			}
			te.stopTask(key)
		}
	}
	te.poke()
	return len(wo.runs)+len(wo.strays) == 0
}

// maySpare reports whether one more task of a lasting step may be away.
func (te *term) maySpare(jo *workload.Job, st *workload.Stage) bool {
	step := jo.StepOf(st)
	if !step.Lasting {
		return true
	}
	away := 0
	for i := range st.Tasks {
		if ta := &st.Tasks[i]; ta.Phase != workload.Running || ta.Progress < atWork {
			away++
		}
	}
	return away < max(step.MaxUnavailable, 1)
}

// atWork is the progress of a lasting task that is past its startup.
const atWork = 100

// order begins the upkeep of a machine. A refusal is tried again at the next look.
func (te *term) order(wa *wave, ma fleet.Machine) error {
	ctx, cancel := te.Clock.Bound(te.ctx, upkeepTimeout)
	err := te.Machines.Upkeep(ctx, ma.ID, wa.asked.Number, te.op.Instance, te.duty.Holder().Fence)
	cancel()
	te.log.Info().Str("machine", string(ma.ID)).Int64("wave", wa.asked.Number).AnErr("refusal", err).Msg("upkeepOrdered")
	if eris.Is(err, fleet.ErrFenced) {
		te.lose("the machine service obeys a newer holder")
		return err
	}
	if err == nil {
		te.mu.Lock()
		if wo := te.workers[ma.Worker]; wo != nil {
			wo.emptied = false // the next life starts anew
			wo.blocked = te.Clock.Now() + refusedBan
		}
		te.mu.Unlock()
	}
	return nil
}

// recordWave writes how far a wave is, under the condition that it is as it was read.
func (te *term) recordWave(wa *wave, completed bool) error {
	begun := make([]string, 0, len(wa.begun))
	for _, id := range slices.Sorted(maps.Keys(wa.begun)) {
		begun = append(begun, string(id))
	}
	status, err := te.WaveStatus(wa.asked.Number, completed)
	if err != nil {
		return err
	}
	ctx, cancel := te.Clock.Bound(te.ctx, elector.WriteTimeout)
	defer cancel()
	version, err := te.Store.Write(ctx, rowstore.Transaction{
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
		te.log.Info().Int64("wave", wa.asked.Number).Int("machines", len(begun)).Msg("waveCompleted")
	}
	return nil
}
