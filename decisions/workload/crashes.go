package workload

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// SoleSuspect is the weight of a crash of which a run is the only likely cause.
	SoleSuspect CrashWeight = 2
	// SharedSuspect is the weight of a crash that other runs, or a cut of the network, may explain as well.
	SharedSuspect CrashWeight = 1
	// GangSuspect is the weight of a run of a gang under which most of its workers crashed.
	GangSuspect CrashWeight = 3
	// maxCrashWeight fails a job after three crashes, of which at least two have no other likely cause, after
	// two runs of a gang that took most of its workers, or after five crashes that may have other causes.
	// Workers also crash without a cause in their work, and each run that outlives its start clears the task.
	maxCrashWeight CrashWeight = 5
	// provingTime is how long a suspect must run until it no longer counts as a danger to its worker.
	provingTime = 4 * clock.Second
)

// CrashWeight is how strongly crashes of workers point to a task.
type CrashWeight int

// RecordCrash records that a worker crashed under a run of a task. The crashes under one run of a gang
// count once. If they point to the task strongly enough, the job fails. It reports whether the job
// changed.
func (jo *Job) RecordCrash(tk TaskKey, run meter.RunNumber, weight CrashWeight) bool {
	st, ta := jo.Task(tk)
	if ta == nil || ta.Phase == Done || jo.State.Final() || run > ta.Run || run <= ta.CrashedRun {
		return false
	}
	total := &ta.CrashWeight
	ta.CrashedRun = run
	if jo.StepOf(st).Gang {
		for i := range st.Tasks {
			st.Tasks[i].CrashedRun = run
		}
		total = &st.Tasks[0].CrashWeight
	}
	*total += weight
	if *total >= maxCrashWeight {
		jo.Fail(fmt.Sprintf("workers have crashed under task %d of step %d again and again", tk.Index, st.Step))
	}
	return true
}

// Clear takes a task for innocent, because one of its runs has lasted.
func (jo *Job) Clear(tk TaskKey) {
	st, ta := jo.Task(tk)
	if ta == nil {
		return
	}
	if jo.StepOf(st).Gang {
		ta = &st.Tasks[0]
	}
	ta.CrashWeight = 0
}

// Postpone delays the next start of a task, and for a gang of all its members, while a crash is judged
// that may fail the job.
func (jo *Job) Postpone(tk TaskKey, weight CrashWeight, until clock.Millis) {
	st, ta := jo.Task(tk)
	if ta == nil {
		return
	}
	known := ta.CrashWeight
	if jo.StepOf(st).Gang {
		known = st.Tasks[0].CrashWeight
	}
	if known+weight < maxCrashWeight {
		return
	}
	ta.NotBefore = until
	if jo.StepOf(st).Gang {
		for i := range st.Tasks {
			st.Tasks[i].NotBefore = until
		}
	}
}

// Suspect reports whether a task may crash its worker: a worker has crashed under it, or has gone silent
// soon after its start. For a gang, that is so for all its members.
func (sg *Stage) Suspect(index int, gang bool) bool {
	if gang {
		index = 0
	}
	return sg.Tasks[index].CrashWeight > 0 || sg.Tasks[index].Silenced
}

// Unproven reports whether a task is a suspect that has not run long enough to be trusted.
func (sg *Stage) Unproven(index int, gang bool, now clock.Millis) bool {
	ta := &sg.Tasks[index]
	return ta.Held() && now-ta.PlacedAt < provingTime && sg.Suspect(index, gang)
}
