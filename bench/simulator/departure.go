package simulator

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

type (
	// Departure withdraws a part of the workers. Each announces it Notice before it leaves, and another
	// worker takes its place later.
	Departure struct {
		At, Notice clock.Millis
		// Away is the time between the departure and the arrival of the next worker.
		Away clock.Millis
		// Fraction is the fraction of all workers that leave.
		Fraction float64
	}

	// Evacuator is a Policy that also decides when the runs on departing workers are stopped.
	Evacuator interface {
		StopsBeforeDeparture(de planner.Departing) bool
	}
)

// scheduleDepartures draws the workers that leave. The draws do not depend on the policy.
func (da *day) scheduleDepartures(so source) {
	for _, de := range da.load.Departures {
		for _, index := range so.Perm(len(da.workers))[:int(de.Fraction*float64(len(da.workers)))] {
			wo := &da.workers[index]
			da.schedule(de.At, func() {
				wo.Usable = false
				da.leaving[wo.ID] = de.At + de.Notice
				da.requestRound()
			})
			da.schedule(de.At+de.Notice, func() { da.leave(wo) })
			da.schedule(de.At+de.Notice+de.Away, func() {
				wo.Usable = true
				wo.Incarnation++
				da.requestRound()
			})
		}
	}
}

// leave ends all runs on a worker.
func (da *day) leave(wo *planner.Worker) {
	delete(da.leaving, wo.ID)
	for _, jo := range da.input.Jobs {
		jo.EachHeld(func(st *workload.Stage, index int, ta *workload.Task) {
			if ta.Worker != wo.ID {
				return
			}
			if ru := da.runs[jo.Key(st, index)]; ru != nil {
				ru.markLost(lostWithWorker)
				da.schedule(da.now, func() { da.endRun(da.byID[jo.ID], jo.Key(st, index), ru, workload.OutcomeWorkerLost) })
			}
		})
	}
}

// evacuate stops the runs on departing workers that the policy does not let run on.
func (da *day) evacuate() {
	if len(da.leaving) == 0 {
		return
	}
	stops := planner.New(planner.Completion).StopsBeforeDeparture
	if ev, decides := da.policy.(Evacuator); decides {
		stops = ev.StopsBeforeDeparture
	}
	for _, jo := range da.input.Jobs {
		jo.EachHeld(func(st *workload.Stage, index int, ta *workload.Task) {
			at, leaves := da.leaving[ta.Worker]
			if !leaves || ta.Phase == workload.Stopping {
				return
			}
			if stops(planner.Departing{Now: da.now, LeavesAt: at, StopGrace: da.load.StopGrace, Step: jo.StepOf(st), Remaining: da.remaining(jo, st, index)}) {
				jo.StopTask(st, ta)
				da.scheduleStops(jo, lostWithWorker)
			}
		})
	}
}

// remaining returns the time until a run ends, as its worker would report it in whole percents.
func (da *day) remaining(jo *workload.Job, st *workload.Stage, index int) clock.Millis {
	ru := da.runs[jo.Key(st, index)]
	if ru == nil {
		return 0
	}
	percent := max(ru.duration/100, 1)
	return (max(ru.started+ru.duration-da.now, 0)/percent + 1) * percent
}

func (ru *run) markLost(cause lossCause) {
	if ru.cause == notLost {
		ru.cause = cause
	}
}
