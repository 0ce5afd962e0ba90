package workload

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// SoleSuspect is the weight of a crash of which a run is the only likely cause.
	SoleSuspect CrashWeight = 2
	// SharedSuspect is the weight of a crash of which other runs may be the cause as well.
	SharedSuspect CrashWeight = 1
	// maxCrashWeight fails a job after two crashes, of which at least one has no other likely cause, or
	// after three. A run that only shared its worker with the cause is rarely there three times.
	maxCrashWeight CrashWeight = 3
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
