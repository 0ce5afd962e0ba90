package controller

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

const (
	// completeProgress is the progress of a run that has done all its work.
	completeProgress = 100 * meter.Percent(1)
	// slowFactor is the factor from which on a worker is named as slow.
	slowFactor = 1.1
	// minSpeedsInterval is the shortest time between two records of the speeds, and speedsBytesPerSecond is
	// what they may take of the link of an instance, a third of what control may take in all.
	minSpeedsInterval    = 2 * clock.Second
	speedsBytesPerSecond = 1000
)

// factorBounds are the upper bounds of the factors that are counted together, and their labels.
var factorBounds = []struct {
	most  float64
	label string
}{{0.55, "0.55"}, {0.75, "0.75"}, {0.9, "0.9"}, {1.1, "1.1"}, {1.35, "1.35"}, {1.8, "1.8"}, {3, "3"}}

// origin is from where the progress of a run is counted, because its start is not known.
type origin struct {
	at      clock.Millis
	percent meter.Percent
}

// gaugeProgress measures the speed of a worker by the progress of a run.
func (te *term) gaugeProgress(wo *worker, key workload.TaskKey, pl *placement, now clock.Millis) {
	jo, st, ta := te.gaugedTask(wo, key, pl)
	if ta == nil {
		return
	}
	ru := te.gaugedRun(wo, key, jo, pl.run)
	ru.Percent = ta.Progress
	if pl.inherited {
		if pl.origin.at == 0 && ta.Progress == 0 {
			return // a gang may still be waiting for members
		}
		if pl.origin.at == 0 {
			pl.origin = origin{at: now, percent: ta.Progress}
		}
		if ta.Progress < completeProgress {
			ru.Percent, ru.Elapsed = ta.Progress-pl.origin.percent, te.undisturbed(pl, ru.Image, now-pl.origin.at)
			te.gauger.Record(ru, now)
		}
		return
	}
	if began := te.beganAt(jo, st, pl); began > 0 {
		ru.Elapsed = te.undisturbed(pl, ru.Image, now-began)
		te.gauger.Record(ru, now)
	}
}

// gaugeCompletion measures the speed of a worker by a run that is done. The members of a gang end together,
// at the pace of the slowest, so that their end shows nothing of each.
func (te *term) gaugeCompletion(wo *worker, key workload.TaskKey, pl *placement, now clock.Millis) {
	jo, st, ta := te.gaugedTask(wo, key, pl)
	if ta == nil || pl.inherited || jo.StepOf(st).Gang && len(st.Tasks) > 1 {
		return
	}
	ru := te.gaugedRun(wo, key, jo, pl.run)
	ru.Percent, ru.Elapsed, ru.Done = completeProgress, te.undisturbed(pl, ru.Image, now-pl.startedAt), true
	te.gauger.Record(ru, now)
}

// gaugedTask returns the task of a run that nothing slows down but its worker, as far as is known; otherwise
// the task is nil.
func (te *term) gaugedTask(wo *worker, key workload.TaskKey, pl *placement) (*workload.Job, *workload.Stage, *workload.Task) {
	en := te.jobs[key.Job]
	if en == nil || pl == nil || pl.startedAt == 0 || pl.resumed || pl.speed != throttler.FullSpeed || pl.incarnation != wo.answeredAs {
		return nil, nil, nil
	}
	if pl.startedAt < wo.coldUntil || pl.tries != 1 && !pl.inherited || wo.mixedLoad || wo.failureStreakRuns > 0 {
		return nil, nil, nil
	}
	st, ta := en.job.Task(key)
	if ta == nil {
		return nil, nil, nil
	}
	step := en.job.StepOf(st)
	if step.LongRunning || step.BestEffort || te.disturbedMember(wo, key, step) || step.DataRack != "" && step.DataRack != wo.report.Rack || step.SameRack && te.racksOf(st) > 1 {
		return nil, nil, nil
	}
	return en.job, st, ta
}

func (te *term) gaugedRun(wo *worker, key workload.TaskKey, jo *workload.Job, run meter.RunNumber) gauger.Run {
	step := &jo.Steps[key.Step]
	return gauger.Run{Task: key, Number: run, Queue: jo.Queue, Image: step.Image, Estimate: step.Estimate, Worker: wo.id, Incarnation: wo.answeredAs}
}

// beganAt returns when a run has begun to work: a gang does when all its members have started. It is 0 if
// that is not known.
func (te *term) beganAt(jo *workload.Job, st *workload.Stage, pl *placement) clock.Millis {
	if !jo.StepOf(st).Gang {
		return pl.startedAt
	}
	began := pl.startedAt
	for i := range st.Tasks {
		wo := te.workers[st.Tasks[i].Worker]
		if wo == nil {
			return 0
		}
		other := wo.runs[jo.Key(st, i)]
		if other == nil || other.startedAt == 0 {
			return 0
		}
		began = max(began, other.startedAt)
	}
	return began
}

// racksOf counts the racks on which the tasks of a stage have runs, up to 2.
func (te *term) racksOf(st *workload.Stage) int {
	count, first := 0, st.Tasks[0].Worker
	for i := range st.Tasks {
		wo, of := te.workers[st.Tasks[i].Worker], te.workers[first]
		if wo == nil || of == nil || !st.Tasks[i].Held() {
			continue
		}
		if count = max(count, 1); wo.report.Rack != of.report.Rack {
			return 2
		}
	}
	return count
}

// addSpeed adds what is known of the speed of a worker to the planner's view of it.
func (te *term) addSpeed(pw *planner.Worker, now clock.Millis) {
	ga := te.gauger.Gauge(pw.ID, pw.Incarnation, now)
	pw.Factor = ga.Factor
	if te.gauger.Uneven() {
		pw.Deviation = ga.Deviation
	}
}

// factorOf returns by what a worker multiplies run times; 1 if that is not known.
func (te *term) factorOf(wo *worker, now clock.Millis) float64 {
	return te.gauger.Gauge(wo.id, wo.report.Incarnation, now).Factor
}

// normalRunTime returns how long a run would have taken on a normal worker. A gang takes the pace of its
// slowest member.
func (te *term) normalRunTime(jo *workload.Job, st *workload.Stage, wo *worker, ran, now clock.Millis) clock.Millis {
	factor := te.factorOf(wo, now)
	if jo.StepOf(st).Gang {
		for i := range st.Tasks {
			if other := te.workers[st.Tasks[i].Worker]; other != nil {
				factor = max(factor, te.factorOf(other, now))
			}
		}
	}
	if factor == 1 {
		return ran
	}
	return clock.Millis(float64(ran) / factor)
}

// loadSpeeds reads what the former leader knew of the speeds of workers. Without it they are measured anew.
func (te *term) loadSpeeds() {
	rows, _, err := tailer.ReadTable(te.ctx, te.Store, te.Clock, recorder.Speeds)
	if err != nil {
		te.log.Warn().Err(err).Msg("speedsNotLoaded")
		return
	}
	for _, ro := range rows {
		memories, err := recorder.DecodeSpeeds(ro)
		if err != nil || ro.Name != recorder.SpeedsKey.Name {
			te.log.Warn().Err(err).Str("row", ro.Name).Msg("speedsInvalid")
			continue
		}
		te.mu.Lock()
		te.gauger.Restore(memories)
		te.mu.Unlock()
		te.log.Info().Int("workers", len(memories)).Msg("speedsLoaded")
	}
}

// duePut returns the row of the speeds if it is due. It goes with a renewal, so that it takes no call of its
// own; if it is lost, the next one is as good.
func (te *term) duePut(ex extras) []rowstore.Put {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	if !ex.renew || now < te.speedsDue || te.speedsRefused {
		return nil
	}
	memories := te.gauger.Remember(recorder.MaxSpeeds(te.op.RowLimit))
	if len(memories) == 0 {
		return nil
	}
	value := recorder.EncodeSpeeds(memories)
	te.speedsDue = now + max(minSpeedsInterval, clock.Millis(len(value))*clock.Second/speedsBytesPerSecond)
	return []rowstore.Put{{Key: recorder.SpeedsKey, Value: value}}
}

// giveUpSpeeds records speeds no more, because the store has refused a transaction with them.
func (te *term) giveUpSpeeds(err error) {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.speedsRefused = true
	te.log.Error().Err(err).Msg("speedsRefused")
}

// countFactor counts a run that starts by the factor of its worker.
func (te *term) countFactor(wo *worker, now clock.Millis) {
	factor := te.factorOf(wo, now)
	for _, bo := range factorBounds {
		if factor <= bo.most {
			te.Metrics.Count("runFactors", bo.label)
			return
		}
	}
	te.Metrics.Count("runFactors", "more")
}

// explainSpeed describes the slowest worker of a stage that is at work, and whether the job misses its
// objective because of it. It is empty if no worker is known to be slow.
func (te *term) explainSpeed(jo *workload.Job, st *workload.Stage, terms workload.Terms) string {
	now := te.Clock.Now()
	var slowest *worker
	var known gauger.Gauge
	for i := range st.Tasks {
		if wo := te.workers[st.Tasks[i].Worker]; wo != nil && st.Tasks[i].Held() {
			if ga := te.gauger.Gauge(wo.id, wo.report.Incarnation, now); slowest == nil || ga.Factor > known.Factor {
				slowest, known = wo, ga
			}
		}
	}
	if slowest == nil || known.Factor < slowFactor {
		return ""
	}
	text := fmt.Sprintf("; the slowest worker, %s, takes %.0f%% of the usual time, known from %d runs", slowest.id, 100*known.Factor, known.Runs)
	ran := te.predictor.ExpectedRunTime(jo.Queue, jo.StepOf(st).Estimate)
	objective := clock.Millis(terms.SlowdownFactor*float64(ran)) + terms.Objective
	if len(jo.Steps) == 1 && terms.SlowdownFactor > 0 && ran <= objective && clock.Millis(float64(ran)*known.Factor) > objective {
		text += ": the job is late because of slow workers"
	}
	return text
}
