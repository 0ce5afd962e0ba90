package controller

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// adviceTimeout limits a call to the advice service, which processes the calls of one instance
// one after the other.
const adviceTimeout = 2500 * clock.Millis(1)

// advise requests advice for the steps that need it before they can start. It is called with mu
// held.
func (te *term) advise(in planner.Input, now clock.Millis) {
	if te.Advisers == nil {
		return
	}
	for _, jo := range in.Jobs {
		if terms, _ := in.TermsOf(jo); !terms.NeedsAdvice || jo.State.Final() {
			continue
		}
		for _, st := range jo.Stages {
			if jo.Ready(st) && st.HasWaiting() {
				te.adviseStage(in, jo, st, now)
			}
		}
	}
}

func (te *term) adviseStage(in planner.Input, jo *workload.Job, st *workload.Stage, now clock.Millis) {
	key := adviser.KeyOf(jo, st)
	ids := te.advice.WorkersToAsk(key, te.candidates(in, jo, st), len(st.Tasks), now)
	if len(ids) == 0 {
		return
	}
	if err := te.commands.Submit(false, func() { te.requestAdvice(key, ids) }); err != nil {
		te.advice.Failed(key, now)
		te.log.Warn().Err(err).Str("step", key.String()).Msg("commandDelayed")
	}
}

// candidates lists the workers that could run a stage if the advice service approves them.
func (te *term) candidates(in planner.Input, jo *workload.Job, st *workload.Stage) []adviser.Candidate {
	step := jo.StepOf(st)
	terms, _ := in.TermsOf(jo)
	var all []adviser.Candidate
	for i := range in.Workers {
		wo := &in.Workers[i]
		if !wo.Usable || wo.Pool != terms.Pool || !wo.Capacity.Fits(step.Reserved()) ||
			step.Requires != "" && !slices.Contains(wo.Labels, step.Requires) {
			continue
		}
		all = append(all, adviser.Candidate{ID: wo.ID, Incarnation: wo.Incarnation, Runs: len(te.workers[wo.ID].runs)})
	}
	return all
}

func (te *term) requestAdvice(key adviser.Key, ids []identifier.Worker) {
	ctx, cancel := te.Clock.WithTimeout(te.ctx, adviceTimeout)
	sent := te.Clock.Now()
	out, err := te.Advisers.Advise(ctx, key.String(), ids)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	te.log.Info().Str("step", key.String()).Int("asked", len(ids)).Int("approved", len(out.Tickets)).
		Int64("tookMillis", int64(now-sent)).AnErr("refusal", err).Msg("adviceReceived")
	if err != nil {
		te.advice.Failed(key, now)
		return
	}
	incarnations := make(map[identifier.Worker]workload.Incarnation, len(ids))
	for _, id := range ids {
		if wo := te.workers[id]; wo != nil {
			incarnations[id] = wo.report.Incarnation
		}
	}
	te.advice.Answered(key, incarnations, out, sent)
	te.trigger()
}

// workerFilter returns the planner's filter of the workers that may run a step; nil means that
// all may.
func (te *term) workerFilter(in planner.Input, now clock.Millis) func(jo *workload.Job, st *workload.Stage, id identifier.Worker) bool {
	if te.Advisers == nil {
		return nil
	}
	advised := map[identifier.Job]bool{}
	for _, jo := range in.Jobs {
		if terms, _ := in.TermsOf(jo); terms.NeedsAdvice {
			advised[jo.ID] = true
		}
	}
	if len(advised) == 0 {
		return nil
	}
	return func(jo *workload.Job, st *workload.Stage, id identifier.Worker) bool {
		return !advised[jo.ID] || te.advice.Ticket(adviser.KeyOf(jo, st), id, te.workers[id].report.Incarnation, now) != ""
	}
}
