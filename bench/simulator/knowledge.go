package simulator

import (
	"cmp"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// pollInterval is the time between two reports of the progress of a worker's runs.
	pollInterval = 1000 * clock.Millis(1)

	// KnowsNothing means that all workers look alike.
	KnowsNothing Knowledge = 0
	// Learns means that speeds are estimated from runs, as in package controller.
	Learns Knowledge = 1
	// KnowsAll means that all speeds are known from the start, which bounds what estimates can gain.
	KnowsAll Knowledge = 2
)

// Knowledge is what the policy knows of the speeds of the workers.
type Knowledge int

func (kn Knowledge) String() string { return [...]string{"unknown", "learned", "known"}[kn] }

// Uneven returns the load on workers of three speeds.
func (lo Load) Uneven() Load {
	lo.Name += " uneven"
	lo.Speeds = []float64{0.6, 1, 1.6}
	return lo
}

// Even returns the load on workers of equal speed.
func (lo Load) Even() Load {
	lo.Name += " even"
	lo.Speeds = []float64{1}
	return lo
}

// gaugeWorkers tells the policy what is known of the speeds.
func (da *day) gaugeWorkers() {
	for i := range da.workers {
		wo := &da.workers[i]
		switch da.load.Knowledge {
		case Learns:
			ga := da.gauger.Gauge(wo.ID, wo.Incarnation, da.now)
			wo.Factor, wo.Deviation = ga.Factor, 0
			if da.gauger.Uneven() {
				wo.Deviation = ga.Deviation
			}
		case KnowsAll:
			wo.Factor = da.speeds[wo.ID]
		}
	}
}

// pollAll reports the progress of all runs, as long as jobs are left.
func (da *day) pollAll() {
	if da.load.Knowledge != Learns {
		return
	}
	keys := make([]workload.TaskKey, 0, len(da.runs))
	for key := range da.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		da.gaugeProgress(key, da.runs[key])
	}
	if da.now < da.load.Length+da.load.DrainTime {
		da.schedule(da.now+pollInterval, da.pollAll)
	}
}

func compareKeys(a, b workload.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

func (da *day) gaugeProgress(key workload.TaskKey, ru *run) {
	ar := da.byID[key.Job]
	st, ta := ar.job.Task(key)
	elapsed := da.now - ru.started
	if elapsed <= 0 || ta.Checkpoint != "" || ru.stopping {
		return
	}
	took := float64(ar.runTimes[st.Step][key.Index]) * da.speeds[ru.worker] * ru.far
	out := da.gaugedRun(ar, key, ru)
	out.Percent, out.Elapsed = meter.Percent(min(100*float64(elapsed)/took, 100)), elapsed
	if ru.far == 1 {
		da.gauger.Record(out, da.now)
	}
}

// gaugeEnd records a run that is done. The members of a gang end together.
func (da *day) gaugeEnd(ar *arrival, key workload.TaskKey, ru *run, ran clock.Millis) {
	if step := &ar.job.Steps[key.Step]; da.load.Knowledge != Learns || step.Gang && step.Count > 1 {
		return
	}
	out := da.gaugedRun(ar, key, ru)
	out.Percent, out.Elapsed, out.Done = 100, ran, true
	da.gauger.Record(out, da.now)
}

func (da *day) gaugedRun(ar *arrival, key workload.TaskKey, ru *run) gauger.Run {
	return gauger.Run{
		Task: key, Number: meter.RunNumber(ru.number), Queue: ar.job.Queue, Estimate: ar.job.Steps[key.Step].Estimate, Worker: ru.worker, Incarnation: 1,
	}
}

// normalRunTime returns how long a run would have taken on a normal worker, as far as the policy knows.
func (da *day) normalRunTime(ar *arrival, st *workload.Stage, worker identifier.Worker, ran clock.Millis) clock.Millis {
	factor := da.factorOf(worker)
	if ar.job.StepOf(st).Gang {
		for i := range st.Tasks {
			factor = max(factor, da.factorOf(st.Tasks[i].Worker))
		}
	}
	if factor == 1 {
		return ran
	}
	return clock.Millis(float64(ran) / factor)
}

func (da *day) factorOf(id identifier.Worker) float64 {
	switch da.load.Knowledge {
	case Learns:
		return da.gauger.Gauge(id, 1, da.now).Factor
	case KnowsAll:
		if factor, known := da.speeds[id]; known {
			return factor
		}
	}
	return 1
}
