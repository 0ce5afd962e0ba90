// Package workload holds jobs of steps and tasks, and how their state changes. It knows
// neither encoding nor network.
package workload

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Phases of a task.
const (
	// Waiting means that no run of the task exists anywhere.
	Waiting Phase = iota
	// Starting means that a run is recorded and its worker has not confirmed it yet.
	Starting
	// Running means that the worker has confirmed the run.
	Running
	// Stopping means that the run must end; its room is taken until the end is known.
	Stopping
	// Done means that the task has finished and never runs again.
	Done
)

// States of a job.
const (
	// Queued means that no task has started.
	Queued State = iota
	// Active means that a task has started.
	Active
	// Completed means that all tasks of all occurrences are done.
	Completed
	// Failed means that a task or a gang has used up its attempts.
	Failed
	// Cancelled means that the caller withdrew the job.
	Cancelled
)

// Ways in which a run ends.
const (
	// EndDone means that the task has finished.
	EndDone Ending = iota + 1
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that the run was stopped on request.
	EndStopped
	// EndLapsed means that the lease of the run expired.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone
	// EndLost means that the worker's life ended with the run.
	EndLost
)

type (
	// Phase is the state of one task.
	Phase int
	// State is the state of a job.
	State int
	// Ending is the way in which a run ended.
	Ending int

	// Life tells apart the lives of a worker that starts again under one id.
	Life int64

	// Room is an amount of a worker's resources.
	Room struct {
		CPU          meter.MilliCores
		Memory       meter.Mebibytes
		Accelerators meter.Accelerators
	}

	// Step is a set of equal tasks.
	Step struct {
		// Count is the number of tasks, at least 1.
		Count int
		// Need is the room of each task.
		Need Room
		// Estimate is the caller's rough estimate of a task's run time; 0 is unknown.
		Estimate clock.Millis
		// After lists earlier steps whose tasks must all be done first.
		After []int
		// Gang means that the tasks work only together.
		Gang bool
		// SameRack means that the tasks are slowed when they span racks.
		SameRack bool
		// Requires is a label that the worker must have; empty means none.
		Requires identifier.Label
		// DataRack is the rack of the data; the task is slowed elsewhere.
		DataRack identifier.Rack
		// Spread is the most tasks of the step on one worker; 0 means no limit.
		Spread int
		// Checkpoints means that the tasks save their progress.
		Checkpoints bool
		// Duplicates means that copies of a task may run in parallel.
		Duplicates bool
		// Lasting means that the tasks run until the job is cancelled.
		Lasting bool
		// Fills means that the tasks use leftover CPU, which is not reserved for them.
		Fills bool
		// Image names the program; tasks of an image behave alike.
		Image string
		// TailTarget bounds the response times of a lasting task; 0 means no bound.
		TailTarget clock.Millis
		// MaxUnavailable is the most tasks of a lasting step that may be away at once.
		MaxUnavailable int
	}

	// Job is what a caller asked for and how far it is.
	Job struct {
		ID        identifier.Job
		Queue     identifier.Queue
		Workspace identifier.Workspace
		// Payload is passed to the workers as it is.
		Payload string
		Steps   []Step
		// Accepted is the time of day of the acceptance.
		Accepted clock.Millis
		// FirstDue is the time of day of the first occurrence; 0 means at once.
		FirstDue clock.Millis
		// Interval lies between the due times of occurrences.
		Interval clock.Millis
		// Occurrences is the number of repetitions, at least 1.
		Occurrences int
		// Stages holds the steps of the occurrences that have come due, in order of
		// occurrence, then of step.
		Stages []*Stage
		// State never changes once it is final.
		State State
		// Reason says why the job failed.
		Reason string
	}

	// Stage is one step of one occurrence.
	Stage struct {
		Occurrence int
		Step       int
		Tasks      []Task
		// Failures counts the failed runs of a gang.
		Failures int
		// FailedRun is the highest run of a gang that is counted in Failures.
		FailedRun meter.RunNumber
	}

	// Task is one task of a stage. Worker, Life and Run describe the last run.
	Task struct {
		Phase    Phase
		Run      meter.RunNumber
		Worker   identifier.Worker
		Life     Life
		Failures int
		// Saved is the newest checkpoint; empty means none.
		Saved string
		// FailedOn is where the last run of the task failed; it is not stored.
		FailedOn identifier.Worker
		// Since is when the run was placed, on the scheduler's own clock; it is not stored.
		Since clock.Millis
		// Progress is what the worker last reported; it is not stored.
		Progress meter.Percent
	}

	// RunEnd is the end of a run as its worker reports it.
	RunEnd struct {
		Run meter.RunNumber
		How Ending
		// Saved is the checkpoint at the end; empty means none.
		Saved string
	}

	// TaskKey names one task of one job.
	TaskKey struct {
		Job        identifier.Job
		Occurrence int
		Step       int
		Index      int
	}
)

// Add returns the sum of two rooms.
func (ro Room) Add(other Room) Room {
	return Room{CPU: ro.CPU + other.CPU, Memory: ro.Memory + other.Memory, Accelerators: ro.Accelerators + other.Accelerators}
}

// Sub returns the difference of two rooms.
func (ro Room) Sub(other Room) Room {
	return Room{CPU: ro.CPU - other.CPU, Memory: ro.Memory - other.Memory, Accelerators: ro.Accelerators - other.Accelerators}
}

// Fits reports whether need fits into the room.
func (ro Room) Fits(need Room) bool {
	return need.CPU <= ro.CPU && need.Memory <= ro.Memory && need.Accelerators <= ro.Accelerators
}

// Reserved is the room that a task of the step takes on a worker.
func (st *Step) Reserved() Room {
	need := st.Need
	if st.Fills {
		need.CPU = 0
	}
	return need
}

// Held reports whether the task takes room on its worker.
func (ta *Task) Held() bool {
	return ta.Phase == Starting || ta.Phase == Running || ta.Phase == Stopping
}

// Final reports whether the state never changes again.
func (st State) Final() bool { return st >= Completed }

// String returns the name of the state.
func (st State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[st]
}

// String returns the name of the ending.
func (en Ending) String() string {
	return [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[en]
}

// String returns the name of the task as workers know it.
func (tk TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tk.Job, tk.Occurrence, tk.Step, tk.Index)
}

// StepOf returns the step of a stage.
func (jo *Job) StepOf(st *Stage) *Step { return &jo.Steps[st.Step] }

// Stage returns the stage, or nil if it has not come due.
func (jo *Job) Stage(occurrence, step int) *Stage {
	at := occurrence*len(jo.Steps) + step
	if occurrence < 0 || step < 0 || step >= len(jo.Steps) || at >= len(jo.Stages) {
		return nil
	}
	return jo.Stages[at]
}

// Task returns the task of a key, or nil if there is none.
func (jo *Job) Task(tk TaskKey) (*Stage, *Task) {
	st := jo.Stage(tk.Occurrence, tk.Step)
	if st == nil || tk.Index < 0 || tk.Index >= len(st.Tasks) {
		return nil, nil
	}
	return st, &st.Tasks[tk.Index]
}

// Due adds the stages of the occurrences that are due at the time of day, and returns
// the time of the next occurrence, or 0 if there is none.
func (jo *Job) Due(timeOfDay clock.Millis) clock.Millis {
	for {
		next := len(jo.Stages) / len(jo.Steps)
		if next >= jo.Occurrences {
			return 0
		}
		at := jo.DueAt(next)
		if at > timeOfDay {
			return at
		}
		for step := range jo.Steps {
			jo.Stages = append(jo.Stages, &Stage{Occurrence: next, Step: step, Tasks: make([]Task, jo.Steps[step].Count)})
		}
	}
}

// DueAt is the time of day at which an occurrence is due.
func (jo *Job) DueAt(occurrence int) clock.Millis {
	return jo.FirstDue + clock.Millis(occurrence)*jo.Interval
}

// Ready reports whether the steps that a stage depends on are done.
func (jo *Job) Ready(st *Stage) bool {
	for _, step := range jo.StepOf(st).After {
		if !jo.Stage(st.Occurrence, step).Finished() {
			return false
		}
	}
	return true
}

// Finished reports whether all tasks of the stage are done.
func (sg *Stage) Finished() bool {
	for i := range sg.Tasks {
		if sg.Tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// Idle reports whether no task of the stage has a run.
func (sg *Stage) Idle() bool {
	for i := range sg.Tasks {
		if sg.Tasks[i].Held() {
			return false
		}
	}
	return true
}

// Waits reports whether a task of the stage has no run and is not done.
func (sg *Stage) Waits() bool {
	for i := range sg.Tasks {
		if sg.Tasks[i].Phase == Waiting {
			return true
		}
	}
	return false
}

// NextRun returns the number of the next run: of the task, or for a gang of all.
func (sg *Stage) NextRun(index int, gang bool) meter.RunNumber {
	if !gang {
		return sg.Tasks[index].Run + 1
	}
	var most meter.RunNumber
	for i := range sg.Tasks {
		most = max(most, sg.Tasks[i].Run)
	}
	return most + 1
}

// Widest is the most accelerators that a step of the job takes at once.
func (jo *Job) Widest() meter.Accelerators {
	var most meter.Accelerators
	for i := range jo.Steps {
		most = max(most, jo.Steps[i].Need.Accelerators*meter.Accelerators(jo.Steps[i].Count))
	}
	return most
}

// Held calls fn for each task that takes room.
func (jo *Job) Held(fn func(st *Stage, index int, ta *Task)) {
	for _, st := range jo.Stages {
		for i := range st.Tasks {
			if st.Tasks[i].Held() {
				fn(st, i, &st.Tasks[i])
			}
		}
	}
}

// Key names a task of the job.
func (jo *Job) Key(st *Stage, index int) TaskKey {
	return TaskKey{Job: jo.ID, Occurrence: st.Occurrence, Step: st.Step, Index: index}
}
