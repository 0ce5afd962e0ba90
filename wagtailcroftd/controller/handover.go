package controller

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/assessor"
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
)

// maxHandover bounds the ended runs that are handed over, so that they fit through a slow link within the
// time of a ping. Each takes about 100 bytes.
const maxHandover = 300

// noteEnd notes an ended run until the row of its job holds it. A worker that leaves before it is asked
// again takes the end with it.
func (te *term) noteEnd(wo *worker, key workload.TaskKey, co workload.Completion) {
	te.ends = append(te.ends, fleet.EndedRun{Worker: wo.id, Task: key, Completion: co})
}

// pruneEnds forgets the ended runs of jobs whose rows are up to date.
func (te *term) pruneEnds() {
	te.ends = slices.DeleteFunc(te.ends, func(end fleet.EndedRun) bool {
		en := te.jobs[end.Task.Job]
		return en == nil || !en.dirty && len(en.unrecorded) == 0
	})
}

// endsToHandOver returns the ended runs that may not be recorded, those that are done first.
func (te *term) endsToHandOver() []fleet.EndedRun {
	te.mu.Lock()
	defer te.mu.Unlock()
	ends := slices.Clone(te.ends)
	slices.SortStableFunc(ends, func(a, b fleet.EndedRun) int { return int(a.Completion.Outcome) - int(b.Completion.Outcome) })
	return ends[:min(len(ends), maxHandover)]
}

// takeOver notes the ended runs that a former leader knew, and applies them once the jobs are known.
func (te *term) takeOver(ends []fleet.EndedRun) {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.handedOver = append(te.handedOver, ends...)
	te.applyHandover()
}

// applyHandover applies the ended runs that former leaders knew. An end that is known already, or that its
// worker lists again, changes nothing.
func (te *term) applyHandover() {
	if !te.loaded || len(te.handedOver) == 0 {
		return
	}
	ends := te.handedOver
	te.handedOver = nil
	te.log.Info().Int("ends", len(ends)).Msg("endsTakenOver")
	for _, end := range ends {
		wo := te.ensureWorker(end.Worker)
		te.completeRun(wo, end.Task, end.Completion, assessor.ToldByLeader)
		if en := te.jobs[end.Task.Job]; en != nil && en.dirty {
			te.noteEnd(wo, end.Task, end.Completion)
		}
	}
	te.trigger()
}
