package controller

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/accountant"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/maintainer"
)

// startupDone is the progress that a long-running task reports after its startup.
const startupDone = 100

// drainer drains workers for the maintenance of their machines.
type drainer struct{ te *term }

// runMaintenance carries out maintenance waves until the term ends.
func (te *term) runMaintenance() {
	err := maintainer.New(maintainer.Options{
		Store: te.Store, Machines: te.Machines, Workers: drainer{te}, Waves: te.Policies.Waves, WaveStatus: te.WaveStatus,
		Clock: te.Clock, Log: te.log, Instance: te.op.Instance, Fence: te.fence, SendBy: te.maintenanceBy, StartDelay: te.op.MaintenanceDelay,
	}).Run(te.ctx)
	if err != nil {
		te.loseLeadership("the machine service obeys a newer leader")
	}
}

// Drain keeps new work from a machine's worker and stops its runs. It reports whether no run is
// left.
func (dr drainer) Drain(ma fleet.Machine) bool {
	te := dr.te
	te.mu.Lock()
	defer te.mu.Unlock()
	wo := te.workers[ma.Worker]
	if wo == nil {
		return false // the worker has not been reported yet
	}
	if !wo.inMaintenance {
		wo.inMaintenance = true
		te.log.Info().Str("worker", string(wo.id)).Str("machine", string(ma.ID)).Int("runs", len(wo.runs)).Msg("workerDrainStarted")
	}
	for key := range wo.runs {
		st, ta := te.jobs[key.Job].job.Task(key)
		if ta.Phase == workload.Starting || ta.Phase == workload.Running {
			if !te.mayInterrupt(te.jobs[key.Job].job, st) {
				continue
			}
			te.interrupt(key, accountant.Maintenance)
		}
	}
	te.trigger()
	return len(wo.runs)+len(wo.orphans) == 0
}

// MaintenanceBegun ends the maintenance state of the worker, and blocks new work for a short time
// because the machine is about to go down.
func (dr drainer) MaintenanceBegun(id identifier.Worker) {
	dr.te.mu.Lock()
	defer dr.te.mu.Unlock()
	if wo := dr.te.workers[id]; wo != nil {
		wo.inMaintenance = false // the next incarnation is not in maintenance
		wo.blockedUntil = dr.te.Clock.Now() + refusalBlock
	}
}

// mayInterrupt reports whether one more task of a step may be stopped; long-running steps limit
// how many of their tasks may be unavailable.
func (te *term) mayInterrupt(jo *workload.Job, st *workload.Stage) bool {
	step := jo.StepOf(st)
	if !step.LongRunning {
		return true
	}
	unavailable := 0
	for i := range st.Tasks {
		if ta := &st.Tasks[i]; ta.Phase != workload.Running || ta.Progress < startupDone {
			unavailable++
		}
	}
	return unavailable < max(step.MaxUnavailable, 1)
}
