package conductor

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/adviser"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// adviceTimeout bounds a call: the service takes calls of one instance in turn.
const adviceTimeout = 2500 * clock.Millis(1)

// advise asks for advice on the steps that wait for it. It is called with mu held.
func (te *term) advise(in planner.Input, po *policy.Policy, now clock.Millis) {
	if te.Advisers == nil || !po.Advised() {
		return
	}
	for _, jo := range in.Jobs {
		if qu := po.Queue(jo.Queue); qu == nil || !qu.Advised || jo.State.Final() {
			continue
		}
		for _, st := range jo.Stages {
			if jo.Ready(st) && st.Waits() {
				te.adviseStage(in, jo, st, now)
			}
		}
	}
}

func (te *term) adviseStage(in planner.Input, jo *workload.Job, st *workload.Stage, now clock.Millis) {
	key := adviser.KeyOf(jo, st)
	ask := te.advices.Questions(key, te.candidates(in, jo, st), len(st.Tasks), now)
	if len(ask) == 0 {
		return
	}
	if err := te.orders.Submit(false, func() { te.ask(key, ask) }); err != nil {
		te.advices.Failed(key, now)
		te.log.Warn().Err(err).Str("step", key.String()).Msg("orderDelayed")
	}
}

// candidates lists the workers that could run a stage if they are approved.
func (te *term) candidates(in planner.Input, jo *workload.Job, st *workload.Stage) []adviser.Candidate {
	step, pool := jo.StepOf(st), in.Queues[jo.Queue].Pool
	var all []adviser.Candidate
	for i := range in.Workers {
		wo := &in.Workers[i]
		if !wo.Usable || wo.Pool != pool || !wo.Capacity.Fits(step.Reserved()) ||
			step.Requires != "" && !slices.Contains(wo.Labels, step.Requires) {
			continue
		}
		all = append(all, adviser.Candidate{ID: wo.ID, Life: wo.Life, Busy: len(te.workers[wo.ID].runs)})
	}
	return all
}

func (te *term) ask(key adviser.Key, ask []identifier.Worker) {
	ctx, cancel := te.Clock.Bound(te.ctx, adviceTimeout)
	sent := te.Clock.Now()
	out, err := te.Advisers.Advise(ctx, key.String(), ask)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	te.log.Info().Str("step", key.String()).Int("asked", len(ask)).Int("approved", len(out.Tickets)).
		Int64("tookMillis", int64(now-sent)).AnErr("refusal", err).Msg("adviceTaken")
	if err != nil {
		te.advices.Failed(key, now)
		return
	}
	lives := make(map[identifier.Worker]workload.Life, len(ask))
	for _, id := range ask {
		if wo := te.workers[id]; wo != nil {
			lives[id] = wo.report.Life
		}
	}
	te.advices.Answered(key, lives, out, sent)
	te.poke()
}

// allowed tells the planner which workers may run a step; nil means all.
func (te *term) allowed(po *policy.Policy, now clock.Millis) func(jo *workload.Job, st *workload.Stage, id identifier.Worker) bool {
	if te.Advisers == nil || !po.Advised() {
		return nil
	}
	return func(jo *workload.Job, st *workload.Stage, id identifier.Worker) bool {
		if qu := po.Queue(jo.Queue); qu == nil || !qu.Advised {
			return true
		}
		return te.advices.Ticket(adviser.KeyOf(jo, st), id, te.workers[id].report.Life, now) != ""
	}
}
