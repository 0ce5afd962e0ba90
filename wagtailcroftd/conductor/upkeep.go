package conductor

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/maintainer"
)

// emptier empties workers for the upkeep of their machines.
type emptier struct{ te *term }

// upkeep carries out waves until the term ends.
func (te *term) upkeep() {
	err := maintainer.New(maintainer.Options{
		Store: te.Store, Machines: te.Machines, Workers: emptier{te}, Waves: te.Policies.Waves, WaveStatus: te.WaveStatus,
		Clock: te.Clock, Log: te.log, Instance: te.op.Instance, Fence: te.duty.Holder().Fence, Settle: te.op.Settle,
	}).Run(te.ctx)
	if err != nil {
		te.lose("the machine service obeys a newer holder")
	}
}

// Empty keeps new work from a machine and stops what runs there. It reports whether
// nothing is left.
func (em emptier) Empty(ma fleet.Machine) bool {
	te := em.te
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

// Emptied reports whether a worker that was emptied is still there.
func (em emptier) Emptied(id identifier.Worker) bool {
	em.te.mu.Lock()
	defer em.te.mu.Unlock()
	wo := em.te.workers[id]
	return wo != nil && wo.emptied
}

// Begun holds new work back until the worker's next life has come.
func (em emptier) Begun(id identifier.Worker) {
	em.te.mu.Lock()
	defer em.te.mu.Unlock()
	if wo := em.te.workers[id]; wo != nil {
		wo.emptied = false // the next life starts anew
		wo.blocked = em.te.Clock.Now() + refusedBan
	}
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
