package separator

import (
	"cmp"
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
	// maxTried is the number of runs for which a search looks for another worker, because each look is at the whole fleet.
	maxTried = 8
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

	// disturbedRun is a run that would gain by a move to a worker without disturbance.
	disturbedRun struct {
		run        *Run
		host       int
		here, loss float64
	}
)

// BestMove returns the move that gains most beyond its loss, among those that gain moveGain times as much
// as they lose; false if there is none. Only the runs with most to gain are tried.
func (sn *Separation) BestMove(hosts []Host) (Move, bool) {
	var best Move
	found := false
	for _, di := range sn.mostDisturbed(hosts) {
		if found && di.here-di.loss <= best.Gain-best.Loss {
			break
		}
		to, there := sn.destination(di.run, hosts, di.host)
		mo := Move{Task: di.run.Key, From: hosts[di.host].ID, Gain: di.here - there, Loss: di.loss}
		if to == nil || !mo.pays() || found && mo.Gain-mo.Loss <= best.Gain-best.Loss {
			continue
		}
		mo.To = to.ID
		best, found = mo, true
	}
	return best, found
}

// Elsewhere returns a move with another destination, and whether it pays there too.
func (sn *Separation) Elsewhere(mo Move, hosts []Host, to identifier.Worker) (Move, bool) {
	from := slices.IndexFunc(hosts, func(ho Host) bool { return ho.ID == mo.From })
	at := slices.IndexFunc(hosts, func(ho Host) bool { return ho.ID == to })
	if from < 0 || at < 0 || from == at {
		return mo, false
	}
	ru := slices.IndexFunc(hosts[from].Runs, func(ru Run) bool { return ru.Key == mo.Task })
	if ru < 0 {
		return mo, false
	}
	moved := &hosts[from].Runs[ru]
	mo.To, mo.Gain = to, sn.disturbance(moved, &hosts[from])-sn.disturbance(moved, &hosts[at])
	return mo, mo.pays()
}

func (mo *Move) pays() bool { return mo.Gain > moveGain*mo.Loss }

// mostDisturbed returns the movable runs with most to gain, at most maxTried, in the order of what they gain.
func (sn *Separation) mostDisturbed(hosts []Host) []disturbedRun {
	var runs []disturbedRun
	for i := range hosts {
		for k := range hosts[i].Runs {
			ru := &hosts[i].Runs[k]
			if !ru.Movable {
				continue
			}
			here, loss := sn.disturbance(ru, &hosts[i]), float64(ru.Lost)+moveMillis
			if here > moveGain*loss {
				runs = append(runs, disturbedRun{run: ru, host: i, here: here, loss: loss})
			}
		}
	}
	slices.SortStableFunc(runs, func(a, b disturbedRun) int { return cmp.Compare(b.here-b.loss, a.here-a.loss) })
	return runs[:min(len(runs), maxTried)]
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
			if least == 0 {
				break
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
