package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/decisions/separator"
	"github.com/wagtailcroft/wagtailcroft/decisions/throttler"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// pairsInterval is how old the pairs may be that a plan uses.
	pairsInterval = 1000 * clock.Millis(1)
	// pairsLogInterval is the time between two log lines about the pairs.
	pairsLogInterval = 10 * clock.Second
	// maxSamples is how many samples are taken in each pairsInterval.
	maxSamples = 1000
	// partInterval is the time between two searches for a running task to move, in which the effect of a move shows.
	partInterval = 2 * clock.Second
	// minProgress is the progress over which a pace is measured. Workers report whole percents.
	minProgress meter.Percent = 4
	// paceProgress is the progress at which the pace of a run is compared with what was expected of it.
	paceProgress meter.Percent = 50
	// checkpointLoss is the work that a task with checkpoints has to do again after a move.
	checkpointLoss = 1100 * clock.Millis(1)
)

type (
	// interference is what this leader has measured of tasks that slow each other down. Each term begins without.
	interference struct {
		separator *separator.Separator
		// separation is what is known at refreshedAt; nil if it would change no plan.
		separation  *separator.Separation
		refreshedAt clock.Millis
		// disturbing holds the pairs that were found, so that each is logged once.
		disturbing map[separator.ImagePair]bool
		// samples counts the samples since loggedAt.
		samples  int
		loggedAt clock.Millis
		// recent counts the samples since refreshedAt, at most maxSamples.
		recent int
		// searchedAt is when a run to move was last looked for.
		searchedAt clock.Millis
	}

	// watch is what polls showed of a run since its neighbours last changed.
	watch struct {
		history separator.History
		// at is when the poll was answered at which the measurement began, on this instance's clock, and
		// workerClock the same on the worker's. at is 0 before the first poll.
		at, workerClock clock.Millis
		// progress is the progress at that time, and beside what ran beside it.
		progress meter.Percent
		beside   separator.Amounts
		// paced means that the pace of the run has been compared with what was expected of it.
		paced bool
	}
)

func newInterference() interference {
	return interference{separator: separator.New(), disturbing: map[separator.ImagePair]bool{}}
}

// observeInterference takes samples of the runs of a worker from an answer to a poll, which was given at a time of the
// worker's clock.
func (te *term) observeInterference(wo *worker, workerClock, now clock.Millis) {
	var total map[identifier.Image]meter.Percent
	changedAt := wo.orderedAt
	for key, pl := range wo.runs {
		if step := te.stepOf(key); step != nil && pl.startedAt > 0 && step.Image != "" {
			if total == nil {
				total = map[identifier.Image]meter.Percent{}
			}
			total[identifier.Image(step.Image)] += pl.speed
			changedAt = max(changedAt, pl.startedAt)
		}
	}
	if total == nil {
		return
	}
	for key, pl := range wo.runs {
		if step := te.stepOf(key); step != nil && pl.startedAt > 0 && step.Image != "" && !step.Gang {
			te.watchRun(wo, key, pl, step, besides(total, identifier.Image(step.Image), pl.speed), changedAt, workerClock, now)
		}
	}
}

// amount returns how much of the run works: 1 if it is not throttled.
func (pl *placement) amount() float64 { return amountOf(pl.speed) }

func amountOf(speed meter.Percent) float64 { return float64(speed) / float64(throttler.FullSpeed) }

// besides returns what runs beside a task of an image. Speeds are added as whole percents, so that the same
// neighbours always give the same amounts.
func besides(total map[identifier.Image]meter.Percent, image identifier.Image, own meter.Percent) separator.Amounts {
	beside := make(separator.Amounts, len(total))
	for other, speed := range total {
		if other == image {
			speed -= own
		}
		if speed > 0 {
			beside[other] = amountOf(speed)
		}
	}
	return beside
}

// watchRun takes a sample of a run if its neighbours have not changed since the measurement began, except
// for those that have just ended, which worked until the worker answered.
func (te *term) watchRun(wo *worker, key workload.TaskKey, pl *placement, step *workload.Step, beside separator.Amounts, changedAt, workerClock, now clock.Millis) {
	wa := &pl.watch
	en := te.jobs[key.Job]
	_, ta := en.job.Task(key)
	if wa.at > 0 && changedAt <= wa.at {
		sa := separator.Sample{Now: now, Worker: wo.id, Image: identifier.Image(step.Image), Beside: wa.beside, OrderedAt: wo.orderedAt}
		progress, took := float64(ta.Progress-wa.progress), float64(workerClock-wa.workerClock)
		switch {
		case step.TailLatencyTarget > 0:
			if pl.tailLatency > 0 {
				sa.Slowdown = math.Log(float64(pl.tailLatency) / float64(step.TailLatencyTarget))
				te.observe(&wa.history, sa)
			}
		case ta.Progress-wa.progress >= minProgress && took > 0 && pl.speed > 0:
			sa.Slowdown = math.Log(took * pl.amount() / progress)
			if te.observe(&wa.history, sa) {
				te.observePace(wo, en, step, wa, ta.Progress, now)
			}
		case maps.Equal(beside, wa.beside):
			return // too little progress for a measurement, which goes on
		}
	}
	wa.at, wa.workerClock, wa.progress, wa.beside = now, workerClock, ta.Progress, beside
}

// observe takes a sample, unless there are too many. It reports whether it did.
func (te *term) observe(hi *separator.History, sa separator.Sample) bool {
	if te.interference.recent >= maxSamples {
		return false
	}
	te.interference.samples++
	te.interference.recent++
	te.interference.separator.Observe(hi, sa)
	return true
}

// observePace compares the pace of a run once, when it is half done, with the run time that is expected of
// it. A run far from its data is slow for a reason of its own.
func (te *term) observePace(wo *worker, en *entry, step *workload.Step, wa *watch, progress meter.Percent, now clock.Millis) {
	expected := te.predictor.ExpectedRunTime(en.job.Queue, step.Estimate)
	if wa.paced || progress < paceProgress || expected <= 0 || step.DataRack != "" && step.DataRack != wo.report.Rack {
		return
	}
	wa.paced = true
	slowdown, beside := wa.history.Mean()
	te.interference.separator.ObservePace(separator.Pace{
		Now: now, Worker: wo.id, Image: identifier.Image(step.Image), Beside: beside,
		Slowdown: slowdown + math.Log(100/float64(expected)),
	})
}

// undisturbed returns how long a run would have taken so far without the neighbours that certainly disturb it,
// so that its worker does not pass for a slow one.
func (te *term) undisturbed(pl *placement, image string, elapsed clock.Millis) clock.Millis {
	if te.interference.separation == nil {
		return elapsed
	}
	_, beside := pl.watch.history.Mean()
	factor := te.interference.separator.Undisturbed(identifier.Image(image), beside)
	return clock.Millis(float64(elapsed) / factor)
}

// disturbedMember reports whether a run is a member of a gang beside an image that certainly disturbs it. Members are
// not watched, so that undisturbed cannot correct how long they take.
func (te *term) disturbedMember(wo *worker, key workload.TaskKey, step *workload.Step) bool {
	if !step.Gang || step.Image == "" || te.interference.separation == nil {
		return false
	}
	for other := range wo.runs {
		if beside := te.stepOf(other); other != key && beside != nil && te.interference.separation.Disturbs(identifier.Image(beside.Image), identifier.Image(step.Image)) {
			return true
		}
	}
	return false
}

// refreshPairs updates what the planner and the throttling know of the pairs, and logs the pairs that are
// found.
func (te *term) refreshPairs(now clock.Millis) {
	in := &te.interference
	if now-in.refreshedAt < pairsInterval {
		return
	}
	in.refreshedAt, in.recent = now, 0
	in.separator.Resize(len(te.workers))
	in.separation = in.separator.Separation(te.op.NamedPairs, func(jo *workload.Job, step *workload.Step) clock.Millis {
		return te.predictor.ExpectedRunTime(jo.Queue, step.Estimate)
	})
	pairs := in.separator.Pairs()
	known := 0
	for _, pa := range pairs {
		names := separator.ImagePair{A: pa.Disturbed, B: pa.Disturbing}
		switch {
		case pa.Verdict != separator.Disturbs:
			delete(in.disturbing, names)
			continue
		case !in.disturbing[names]:
			in.disturbing[names] = true
			te.Metrics.Count("interference", "found")
			te.log.Info().Str("disturbed", string(pa.Disturbed)).Str("disturbing", string(pa.Disturbing)).Float64("factor", pa.Factor()).
				Float64("deviation", pa.Deviation).Int("workers", pa.Workers).Msg("interferenceFound")
		}
		known++
	}
	if in.samples > 0 && now-in.loggedAt >= pairsLogInterval {
		te.log.Info().Int("pairs", len(pairs)).Int("disturbing", known).Int("samples", in.samples).Msg("interferenceReported")
		in.samples, in.loggedAt = 0, now
	}
}

// separationCosts returns the rule that keeps tasks apart, or none if nothing is known that would change a
// plan.
func (te *term) separationCosts() []planner.Cost {
	if te.interference.separation == nil {
		return nil
	}
	return []planner.Cost{te.interference.separation}
}

// partPair stops at most one run so that it starts on another worker, where that gains more than it loses.
// Nothing is moved while a task waits, which would take the room, or that would then wait itself.
func (te *term) partPair(in planner.Input, pl planner.Plan, now clock.Millis) {
	sn := te.interference.separation
	if sn == nil || len(pl.Starts)+len(pl.Stops) > 0 || now-te.interference.searchedAt < partInterval || anyWaiting(in) {
		return
	}
	te.interference.searchedAt = now
	hosts := te.hosts(in, now)
	mo, found := sn.BestMove(hosts)
	if !found {
		return
	}
	mo, found = sn.Elsewhere(mo, hosts, te.restartOf(in, mo.Task))
	if !found {
		return
	}
	te.Metrics.Count("interference", "parted")
	te.log.Info().Str("task", mo.Task.String()).Str("worker", string(mo.From)).Str("to", string(mo.To)).
		Int64("gainMillis", int64(mo.Gain)).Int64("lossMillis", int64(mo.Loss)).Msg("runParted")
	te.stopTask(mo.Task)
}

// restartOf returns the worker on which a run would start again if it were stopped now; empty if it would wait,
// for example because too little would be left for expected urgent work.
func (te *term) restartOf(in planner.Input, key workload.TaskKey) identifier.Worker {
	at := slices.IndexFunc(in.Jobs, func(jo *workload.Job) bool { return jo.ID == key.Job })
	if at < 0 {
		return ""
	}
	jo := *in.Jobs[at]
	st, _ := jo.Task(key)
	if st == nil {
		return ""
	}
	stopped := *st
	stopped.Tasks = slices.Clone(st.Tasks)
	ta := &stopped.Tasks[key.Index]
	*ta = workload.Task{Phase: workload.Waiting, Run: ta.Run}
	jo.Stages = slices.Clone(jo.Stages)
	jo.Stages[slices.Index(jo.Stages, st)] = &stopped
	in.Jobs = slices.Clone(in.Jobs)
	in.Jobs[at] = &jo
	for _, start := range te.planner.Plan(in).Starts {
		for _, pl := range start.Placements {
			if start.Stage == &stopped && pl.Index == key.Index {
				return pl.Worker
			}
		}
	}
	return ""
}

func anyWaiting(in planner.Input) bool {
	for _, jo := range in.Jobs {
		for _, st := range jo.Stages {
			if !jo.State.Final() && st.HasWaiting() && jo.Ready(st) {
				return true
			}
		}
	}
	return false
}

// hosts returns the workers with their runs, for BestMove, in an order that does not change.
func (te *term) hosts(in planner.Input, now clock.Millis) []separator.Host {
	hosts := make([]separator.Host, 0, len(in.Workers))
	for _, pw := range slices.SortedFunc(slices.Values(in.Workers), func(a, b planner.Worker) int { return cmp.Compare(a.ID, b.ID) }) {
		ho := separator.Host{ID: pw.ID, Pool: pw.Pool, Labels: pw.Labels, Rack: pw.Rack, Usable: pw.Usable && !pw.Suspect, Free: pw.Capacity}
		for key, pl := range te.workers[pw.ID].runs {
			step := te.stepOf(key)
			if step == nil {
				continue
			}
			ho.Free = ho.Free.Sub(step.Reserved())
			ho.Runs = append(ho.Runs, te.movableRun(key, pl, step, now))
		}
		slices.SortFunc(ho.Runs, func(a, b separator.Run) int { return compareKeys(a.Key, b.Key) })
		hosts = append(hosts, ho)
	}
	return hosts
}

func compareKeys(a, b workload.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// movableRun describes a run for BestMove. Only first runs are moved, so that no task is moved twice.
func (te *term) movableRun(key workload.TaskKey, pl *placement, step *workload.Step, now clock.Millis) separator.Run {
	en := te.jobs[key.Job]
	_, ta := en.job.Task(key)
	ru := separator.Run{Key: key, Step: step, Left: separator.LastingRunTime, Lost: now - ta.PlacedAt}
	if !step.LongRunning {
		ru.Left = te.predictor.ExpectedRunTime(en.job.Queue, step.Estimate) * clock.Millis(100-min(ta.Progress, 100)) / 100
	}
	if step.Checkpointing {
		ru.Lost = min(ru.Lost, checkpointLoss)
	}
	terms, known := te.termsOf(en.job)
	ru.Movable = ta.Phase == workload.Running && pl.startedAt > 0 && ta.Run == 1 && known && !terms.NeedsAdvice && !step.Gang && !step.LongRunning && step.MaxPerWorker == 0
	return ru
}

// blameOf returns what is known of the part that a best-effort task has in the tail latencies of services.
func (te *term) blameOf(image string, services []service) throttler.Blame {
	harmless, harmed := true, false
	for _, se := range services {
		if !throttler.Harmed(se.Service) {
			continue
		}
		harmed = true
		if te.interference.separation.Disturbs(identifier.Image(image), se.image) {
			return throttler.Cause
		}
		harmless = harmless && te.interference.separation.Harmless(identifier.Image(image), se.image)
	}
	if harmed && harmless {
		return throttler.Harmless
	}
	return throttler.Suspected
}
