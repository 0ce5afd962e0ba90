package controller

import (
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// youngRun is the age, when its worker was last alive, below which a run may be the cause of a crash. A
	// task that crashes its workers does so soon after its start.
	youngRun = 4 * clock.Second
	// newestRun is the age below which a run is the likely cause.
	newestRun = 1 * clock.Second
	// crashProofTime is how long after a worker went silent a successor at its address proves that it
	// crashed. Later the address may have been given to another machine.
	crashProofTime = 30 * clock.Second
	// outageSpread is the time within which workers go silent that share an outage, and outageWorkers how
	// many others must do so for a crash not to be held against the work.
	outageSpread  = 1 * clock.Second
	outageWorkers = 2
	// outageNoticed is how long after a worker went silent all polled workers that share its outage are known
	// to be silent: what a poll takes at most, and the spread.
	outageNoticed = pollWait + pollSlack + outageSpread
	// promptFailure is the time within which a call to a process that had ended before fails.
	promptFailure = 100 * clock.Millis(1)
)

type (
	// silence is what ran on a worker when it stopped answering. It may be cut off, or it may have crashed;
	// another incarnation or another worker at its address proves that it crashed.
	silence struct {
		worker      identifier.Worker
		incarnation workload.Incarnation
		// after and since enclose the moment at which the worker went silent: it was alive at after, and was
		// found silent at since. They are equal if its connection ended while a call was in progress.
		after, since clock.Millis
		// timedOut means that a call was not answered in time, as in a partition. A process that ends
		// closes its connections.
		timedOut bool
		// suspects are the runs that may be the cause, if it has crashed.
		suspects []suspect
	}

	// suspect is a run that was young when its worker went silent.
	suspect struct {
		key workload.TaskKey
		run meter.RunNumber
		// sole means that no other run was as new, so that this one is the likely cause.
		sole bool
	}
)

// noteSilence records what runs on a worker that has stopped answering after a time, and was last known to
// be alive at a time. A worker that is leaving is not recorded, because it ends without a crash.
func (te *term) noteSilence(wo *worker, timedOut bool, aliveAt, after, now clock.Millis) {
	if wo.report.Draining || wo.inMaintenance || wo.report.Address == "" {
		return
	}
	si := &silence{worker: wo.id, incarnation: wo.report.Incarnation, after: min(after, now), since: now, timedOut: timedOut}
	newest := 0
	for key, pl := range wo.runs {
		if !pl.startSent {
			continue
		}
		if aliveAt-pl.sentAt > youngRun {
			te.clearSuspect(key)
			continue
		}
		sole := aliveAt-pl.sentAt <= newestRun
		if sole {
			newest++
		}
		si.suspects = append(si.suspects, suspect{key: key, run: pl.run, sole: sole})
	}
	for i := range si.suspects {
		si.suspects[i].sole = !timedOut && (len(si.suspects) == 1 || si.suspects[i].sole && newest == 1)
	}
	te.silences[wo.report.Address] = si
	te.outages = append(te.outages, si)
}

// inOutage reports whether other workers, on which a job has no suspects, may have gone silent at about the
// same time, so that the job is not the cause. A worker that nobody calls is found silent long after.
func (te *term) inOutage(si *silence, job identifier.Job) bool {
	others := map[identifier.Worker]bool{}
	for _, other := range te.outages {
		apart := max(other.after-si.since, si.after-other.since)
		if other.worker != si.worker && apart <= outageSpread && !slices.ContainsFunc(other.suspects, func(su suspect) bool { return su.key.Job == job }) {
			others[other.worker] = true
		}
	}
	return len(others) >= outageWorkers
}

// pruneSilences forgets silences that prove nothing any more, except those that have yet to be judged.
func (te *term) pruneSilences(now clock.Millis) {
	for address, si := range te.silences {
		if now-si.since > crashProofTime {
			delete(te.silences, address)
		}
	}
	te.outages = slices.DeleteFunc(te.outages, func(si *silence) bool { return now-si.since > crashProofTime+outageSpread })
}

// endSilenceOfOther forgets the silence at an address at which another worker is reported. An entry of the
// same worker proves no crash, because entries can be older than what it tells itself.
func (te *term) endSilenceOfOther(address string, id identifier.Worker, now clock.Millis) {
	si := te.silences[address]
	if si == nil || si.worker == id {
		return
	}
	if wo := te.workers[si.worker]; wo != nil {
		wo.pollAfter = 0 // the answer of the other worker proves that the runs are over
		te.mark(wo)
	}
	te.endSilence(address, id, 0, now)
}

// endSilence forgets the silence at an address. If the worker that answers or is reported there is not
// the one that went silent, that one has crashed.
func (te *term) endSilence(address string, id identifier.Worker, incarnation workload.Incarnation, now clock.Millis) {
	si := te.silences[address]
	if si == nil || si.worker == id && si.incarnation == incarnation {
		return
	}
	delete(te.silences, address)
	if now-si.since > crashProofTime {
		return
	}
	te.Metrics.Count("workerCrashes", "proven")
	te.log.Warn().Str("worker", string(si.worker)).Int64("silentMillis", int64(now-si.since)).Int("suspects", len(si.suspects)).Msg("workerCrashed")
	te.crashes = append(te.crashes, si)
	for _, su := range si.suspects {
		if en := te.jobs[su.key.Job]; en != nil {
			en.job.Postpone(su.key, te.crashWeight(si, su), si.since+outageNoticed)
		}
	}
	te.trigger()
}

// judgeCrashes holds crashes against the work once all workers that shared an outage are known to be
// silent.
func (te *term) judgeCrashes(now clock.Millis) {
	te.crashes = slices.DeleteFunc(te.crashes, func(si *silence) bool {
		if now-si.since <= outageNoticed {
			return false
		}
		for _, su := range si.suspects {
			if !te.inOutage(si, su.key.Job) {
				te.blame(si.worker, su, te.crashWeight(si, su))
			}
		}
		return true
	})
}

// crashWeight returns how strongly a crash points to a suspect.
func (te *term) crashWeight(si *silence, su suspect) workload.CrashWeight {
	en := te.jobs[su.key.Job]
	if en == nil {
		return workload.SharedSuspect
	}
	st, _ := en.job.Task(su.key)
	if st != nil && en.job.StepOf(st).Gang && te.gangCrashes(si, su) > len(st.Tasks)/2 {
		return workload.GangSuspect
	}
	if su.sole {
		return workload.SoleSuspect
	}
	return workload.SharedSuspect
}

// gangCrashes returns how many workers went silent at about the same time under one run of a gang.
func (te *term) gangCrashes(si *silence, su suspect) int {
	workers := map[identifier.Worker]bool{}
	for _, other := range te.outages {
		if max(other.after-si.since, si.after-other.since) <= outageSpread && slices.ContainsFunc(other.suspects, func(of suspect) bool {
			return of.run == su.run && of.key.Job == su.key.Job && of.key.Occurrence == su.key.Occurrence && of.key.Step == su.key.Step
		}) {
			workers[other.worker] = true
		}
	}
	return len(workers)
}

// clearSuspect takes a task for innocent of crashes, because a run of it has lasted.
func (te *term) clearSuspect(key workload.TaskKey) {
	if en := te.jobs[key.Job]; en != nil {
		en.job.Clear(key)
	}
}

// blame records the crash of a worker with a task that may be the cause.
func (te *term) blame(id identifier.Worker, su suspect, weight workload.CrashWeight) {
	en := te.jobs[su.key.Job]
	te.log.Warn().Str("task", su.key.String()).Int64("run", int64(su.run)).Str("worker", string(id)).Bool("sole", su.sole).Int("weight", int(weight)).Msg("crashSuspected")
	if en == nil || !en.job.RecordCrash(su.key, su.run, weight) {
		return
	}
	en.dirty = true
	if en.job.State == workload.Failed {
		te.Metrics.Count("jobs", en.job.State.String())
		te.log.Info().Str("job", string(su.key.Job)).Str("state", en.job.State.String()).Str("why", en.job.Reason).Msg("jobEnded")
		te.markStops(en.job)
	}
}

// silenced reports whether a run was young when its worker went silent.
func (te *term) silenced(wo *worker, key workload.TaskKey, run meter.RunNumber) bool {
	si := te.silences[wo.report.Address]
	return si != nil && si.worker == wo.id && slices.ContainsFunc(si.suspects, func(su suspect) bool { return su.key == key && su.run == run })
}
