package separator

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// moveGain is how many times its loss a move must gain, because both are estimates.
	moveGain = 2.0
	// moveMillis is what every move costs: the stop, the plan and the start elsewhere.
	moveMillis = 1000.0
)

type (
	// Run is a run that may be parted from its neighbours.
	Run struct {
		Key  workload.TaskKey
		Step *workload.Step
		// Left is the expected time until it ends, and Lost what it has to do again if it is moved.
		Left, Lost clock.Millis
		// Movable means that it may be stopped and started elsewhere.
		Movable bool
	}

	// Host is a worker with its runs.
	Host struct {
		ID     identifier.Worker
		Pool   identifier.Pool
		Labels []identifier.Label
		Rack   identifier.Rack
		// Usable means that it may get new runs, for which Free is left.
		Usable bool
		Free   workload.Resources
		Runs   []Run
	}

	// Move is a run to stop, so that it starts on another worker.
	Move struct {
		Task     workload.TaskKey
		From, To identifier.Worker
		// Gain and Loss are in milliseconds of all runs concerned.
		Gain, Loss float64
	}
)

// BestMove returns the move that gains most beyond its loss, among those that gain moveGain times as much
// as they lose; false if there is none.
func (sn *Separation) BestMove(hosts []Host) (Move, bool) {
	var best Move
	found := false
	for i := range hosts {
		for k := range hosts[i].Runs {
			ru := &hosts[i].Runs[k]
			here := sn.disturbance(ru, &hosts[i])
			loss := float64(ru.Lost) + moveMillis
			if !ru.Movable || here <= moveGain*loss {
				continue
			}
			to, there := sn.destination(ru, hosts, i)
			mo := Move{Task: ru.Key, From: hosts[i].ID, Gain: here - there, Loss: loss}
			if to == nil || mo.Gain <= moveGain*loss || found && mo.Gain-mo.Loss <= best.Gain-best.Loss {
				continue
			}
			mo.To = to.ID
			best, found = mo, true
		}
	}
	return best, found
}

// disturbance returns how much longer a run and the others of a worker take because of each other.
func (sn *Separation) disturbance(ru *Run, on *Host) float64 {
	image, millis := identifier.Image(ru.Step.Image), 0.0
	if image == "" {
		return 0
	}
	for i := range on.Runs {
		if other := &on.Runs[i]; other.Key != ru.Key && other.Step.Image != "" {
			millis += sn.mutual(image, identifier.Image(other.Step.Image), ru.Left, other.Left)
		}
	}
	return millis
}

// destination returns the worker with the least disturbance among those that have room for a run, and
// that disturbance.
func (sn *Separation) destination(ru *Run, hosts []Host, from int) (*Host, float64) {
	var best *Host
	least := 0.0
	for i := range hosts {
		if ho := &hosts[i]; i != from && ho.takes(ru.Step, &hosts[from]) {
			if millis := sn.disturbance(ru, ho); best == nil || millis < least {
				best, least = ho, millis
			}
		}
	}
	return best, least
}

// takes reports whether a run of a step that is on another worker would be as well off here, apart from its
// neighbours.
func (ho *Host) takes(step *workload.Step, from *Host) bool {
	return ho.Usable && ho.Pool == from.Pool && ho.Free.Fits(step.Reserved()) &&
		(step.Requires == "" || slices.Contains(ho.Labels, step.Requires)) &&
		(step.DataRack == "" || ho.Rack == from.Rack || ho.Rack == step.DataRack)
}
