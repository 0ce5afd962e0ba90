package conductor

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// advisedWorkers is how many workers one call asks about; the time of the answer grows
	// with them, and the platform counts on 30 for a step.
	advisedWorkers = 30
	// adviceTimeout bounds a call: the service takes calls of one instance in turn.
	adviceTimeout = 2500 * clock.Millis(1)
	// advicePause lies between a failed call and the next for the step.
	advicePause = 300 * clock.Millis(1)
	// ticketMargin is how much validity a ticket must have left when an order is given:
	// the longest time to record a plan as a rule, and the order's way.
	ticketMargin = 400 * clock.Millis(1)
)

type (
	// stageKey names a step of an occurrence of a job.
	stageKey struct {
		job              identifier.Job
		occurrence, step int
	}

	// advice is what the advice service has said about a step.
	advice struct {
		// tickets holds the workers that are approved; the approval itself never changes.
		tickets map[identifier.Worker]ticket
		// asked holds the lives of workers that were asked about.
		asked map[identifier.Worker]workload.Life
		busy  bool
		// after holds the next call back.
		after clock.Millis
	}

	ticket struct {
		text  string
		life  workload.Life
		until clock.Millis
	}
)

// String names the step as the advice service knows it.
func (sk stageKey) String() string { return fmt.Sprintf("%s.%d.%d", sk.job, sk.occurrence, sk.step) }

func keyOf(jo *workload.Job, st *workload.Stage) stageKey {
	return stageKey{job: jo.ID, occurrence: st.Occurrence, step: st.Step}
}

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
	key := keyOf(jo, st)
	ad := te.advices[key]
	if ad == nil {
		ad = &advice{tickets: map[identifier.Worker]ticket{}, asked: map[identifier.Worker]workload.Life{}}
		te.advices[key] = ad
	}
	if ad.busy || now < ad.after {
		return
	}
	ask := te.questions(in, jo, st, ad, now)
	if len(ask) == 0 {
		return
	}
	ad.busy = true
	if err := te.orders.Submit(false, func() { te.ask(key, ad, ask) }); err != nil {
		ad.busy = false
		te.log.Warn().Err(err).Str("step", key.String()).Msg("orderDelayed")
	}
}

// questions lists the workers to ask about: first those that were approved and whose
// ticket runs out, then others that could run the step, the least busy first.
func (te *term) questions(in planner.Input, jo *workload.Job, st *workload.Stage, ad *advice, now clock.Millis) []identifier.Worker {
	step := jo.StepOf(st)
	pool := in.Queues[jo.Queue].Pool
	var again, fresh []identifier.Worker
	valid := 0
	for i := range in.Workers {
		wo := &in.Workers[i]
		if !wo.Usable || wo.Pool != pool || !wo.Capacity.Fits(step.Reserved()) ||
			step.Requires != "" && !slices.Contains(wo.Labels, step.Requires) {
			continue
		}
		ti, approved := ad.tickets[wo.ID]
		switch {
		case approved && ti.life == wo.Life && ti.until-now > 2*ticketMargin:
			valid++
		case approved:
			again = append(again, wo.ID)
		case ad.asked[wo.ID] != wo.Life:
			fresh = append(fresh, wo.ID)
		}
	}
	if len(again) == 0 && valid >= len(st.Tasks) {
		return nil
	}
	slices.SortFunc(fresh, func(a, b identifier.Worker) int {
		return cmp.Or(cmp.Compare(len(te.workers[a].runs), len(te.workers[b].runs)), cmp.Compare(a, b))
	})
	ask := append(again, fresh...)
	return ask[:min(len(ask), advisedWorkers)]
}

func (te *term) ask(key stageKey, ad *advice, ask []identifier.Worker) {
	ctx, cancel := te.Clock.Bound(te.ctx, adviceTimeout)
	sent := te.Clock.Now()
	out, err := te.Advisers.Advise(ctx, key.String(), ask)
	cancel()
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	ad.busy = false
	te.log.Info().Str("step", key.String()).Int("asked", len(ask)).Int("approved", len(out.Tickets)).
		Int64("tookMillis", int64(now-sent)).AnErr("refusal", err).Msg("adviceTaken")
	if err != nil {
		ad.after = now + advicePause
		return
	}
	for _, id := range ask {
		wo := te.workers[id]
		if wo == nil {
			continue
		}
		ad.asked[id] = wo.report.Life
		delete(ad.tickets, id)
		if text, approved := out.Tickets[id]; approved {
			ad.tickets[id] = ticket{text: text, life: wo.report.Life, until: sent + out.Validity}
		}
	}
	te.poke()
}

// ticket returns the valid ticket of a step for a worker, or an empty text.
func (te *term) ticket(key stageKey, wo *worker, now clock.Millis) string {
	ad := te.advices[key]
	if ad == nil {
		return ""
	}
	ti := ad.tickets[wo.id]
	if ti.life != wo.report.Life || ti.until-now < ticketMargin {
		return ""
	}
	return ti.text
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
		return te.ticket(keyOf(jo, st), te.workers[id], now) != ""
	}
}
