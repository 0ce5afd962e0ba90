// Package workload models jobs, their steps and tasks, and the state transitions of these.
// It depends on neither an encoding nor the network.
package workload

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// Phases of a task.
const (
	// Waiting means that no run of the task exists on any worker.
	Waiting Phase = iota
	// Starting means that a run is recorded, but its worker has not confirmed it yet.
	Starting
	// Running means that the worker has confirmed the run.
	Running
	// Stopping means that the run is to be stopped. It occupies its resources until its
	// completion is known.
	Stopping
	// Done means that the task has finished and is never run again.
	Done
)

// States of a job.
const (
	// Queued means that no task has started.
	Queued State = iota
	// Active means that at least one task has started.
	Active
	// Completed means that all tasks of all occurrences are done.
	Completed
	// Failed means that a task or gang has used up its attempts.
	Failed
	// Cancelled means that the caller cancelled the job.
	Cancelled
)

// How a run completed.
const (
	// OutcomeDone means that the task finished.
	OutcomeDone RunOutcome = iota + 1
	// OutcomeFailed means that the task or its worker failed.
	OutcomeFailed
	// OutcomeStopped means that the run was stopped on request.
	OutcomeStopped
	// OutcomeLeaseExpired means that the lease of the run expired.
	OutcomeLeaseExpired
	// OutcomeGangBroken means that another member of the gang ended without finishing.
	OutcomeGangBroken
	// OutcomeGangIncomplete means that the other members of the gang did not start in time.
	OutcomeGangIncomplete
	// OutcomeWorkerLost means that the worker's incarnation ended before the run did.
	OutcomeWorkerLost
)

type (
	// Phase is the state of one task.
	Phase int
	// State is the state of a job.
	State int
	// RunOutcome is how a run completed.
	RunOutcome int

	// Incarnation distinguishes the successive processes of a worker: one that restarts
	// under the same ID gets a different incarnation.
	Incarnation int64

	// Resources is an amount of resources of a worker.
	Resources struct {
		CPU          meter.MilliCores
		Memory       meter.Mebibytes
		Accelerators meter.Accelerators
	}

	// Step is a set of identical tasks.
	Step struct {
		// Count is the number of tasks, at least 1.
		Count int
		// Request is the resource request of each task.
		Request Resources
		// Estimate is the caller's rough estimate of the run time of a task; 0 means
		// unknown.
		Estimate clock.Millis
		// After lists the earlier steps that must be done before this one starts.
		After []int
		// Gang means that the tasks make progress only while all of them run.
		Gang bool
		// SameRack means that the tasks run slower when they are spread over several racks.
		SameRack bool
		// Requires is a label that the worker must have; empty means none.
		Requires identifier.Label
		// DataRack is the rack that holds the input data. The tasks run slower on other
		// racks.
		DataRack identifier.Rack
		// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no
		// limit.
		MaxPerWorker int
		// Checkpointing means that the tasks save checkpoints of their progress.
		Checkpointing bool
		// AllowDuplicates means that several copies of a task may run in parallel.
		AllowDuplicates bool
		// LongRunning means that the tasks are long-running: they run until the job is
		// cancelled.
		LongRunning bool
		// BestEffort means that the tasks are best-effort: they use leftover CPU, and none is
		// reserved for them.
		BestEffort bool
		// Image is the name of the program. Tasks of the same image behave alike.
		Image string
		// TailLatencyTarget limits the tail latency of a long-running task; 0 means no limit.
		TailLatencyTarget clock.Millis
		// MaxUnavailable is the maximum number of tasks of a long-running step that may be
		// down at the same time.
		MaxUnavailable int
	}

	// Terms are the parameters of a queue by which its jobs are scheduled.
	Terms struct {
		// Pool is the pool whose workers run the jobs.
		Pool identifier.Pool
		// Priority is the priority of the jobs; 0 is the highest and may preempt the others.
		Priority int
		// MaxAttempts is the maximum number of failed runs of a task; 0 means no limit.
		MaxAttempts int
		// SlowdownFactor and Objective define the time objective of a job: SlowdownFactor times the run
		// time of its work, plus Objective. SlowdownFactor 0 means that there is no objective.
		SlowdownFactor float64
		Objective      clock.Millis
		// NeedsAdvice means that an advice service decides which workers may run a step.
		NeedsAdvice bool
	}

	// Job is a submitted job and its progress.
	Job struct {
		ID    identifier.Job
		Queue identifier.Queue
		// Terms are those of the queue when the job was accepted. They apply once the configuration has no
		// queue of that name. Jobs that an earlier version accepted have none, and an empty pool.
		Terms     Terms
		Workspace identifier.Workspace
		// Payload is passed to the workers unchanged.
		Payload string
		Steps   []Step
		// AcceptedAt is the wall-clock time at which the job was accepted.
		AcceptedAt clock.Millis
		// FirstDue is the wall-clock time of the first occurrence; 0 means immediately.
		FirstDue clock.Millis
		// Interval is the time between the due times of consecutive occurrences.
		Interval clock.Millis
		// Occurrences is the number of times that the job is run, at least 1.
		Occurrences int
		// Due is the number of occurrences that have been added because they have become due.
		Due int
		// Stages holds the steps of the open occurrences, which are due and not finished, ordered by
		// occurrence, then by step. A job with one occurrence keeps it.
		Stages []*Stage
		// State does not change any more once it is final.
		State State
		// Reason describes why the job failed.
		Reason string
	}

	// Stage is one step of one occurrence.
	Stage struct {
		Occurrence int
		Step       int
		Tasks      []Task
		// Failures counts the failed runs of a gang.
		Failures int
		// FailedRun is the highest run number that is counted in Failures.
		FailedRun meter.RunNumber
	}

	// Task is one task of a stage. Worker, Incarnation and Run describe its most recent run.
	Task struct {
		Phase       Phase
		Run         meter.RunNumber
		Worker      identifier.Worker
		Incarnation Incarnation
		Failures    int
		// Checkpoint is the latest checkpoint; empty means none.
		Checkpoint string
		// CrashWeight is how strongly crashes of workers point to the task; that of a gang is with its first
		// member. CrashedRun is the highest run that it includes.
		CrashWeight CrashWeight
		CrashedRun  meter.RunNumber
		// Silenced means that the worker went silent soon after the last run had started, and is not known
		// to have crashed. It is not stored.
		Silenced bool
		// NotBefore is the earliest time of the next start; it is not stored.
		NotBefore clock.Millis
		// EarlierDone means that an earlier run has completed, so that the task is done when its present run
		// has ended. It is not stored.
		EarlierDone bool
		// FailedOn is the worker on which the task last failed, and FailedAt when this scheduler learned of
		// it, on its own clock. They are not stored: a new leader starts without this preference.
		FailedOn identifier.Worker
		FailedAt clock.Millis
		// PlacedAt is when the run was placed or, if that is later, when this scheduler read
		// it from the store or learned that it had started, on the scheduler's own clock. It
		// is not stored.
		PlacedAt clock.Millis
		// Progress is the progress that the worker reported last. It is not stored.
		Progress meter.Percent
	}

	// Completion is the completion of a run as reported by its worker.
	Completion struct {
		Run     meter.RunNumber
		Outcome RunOutcome
		// Checkpoint is the last checkpoint of the run; empty means none.
		Checkpoint string
		// At is when this scheduler learned of it, on its own clock.
		At clock.Millis
	}

	// TaskKey identifies one task of a job.
	TaskKey struct {
		Job        identifier.Job
		Occurrence int
		Step       int
		Index      int
	}
)

// Add returns the sum ro + other.
func (ro Resources) Add(other Resources) Resources {
	return Resources{CPU: ro.CPU + other.CPU, Memory: ro.Memory + other.Memory, Accelerators: ro.Accelerators + other.Accelerators}
}

// Sub returns the difference ro - other, which may be negative.
func (ro Resources) Sub(other Resources) Resources {
	return Resources{CPU: ro.CPU - other.CPU, Memory: ro.Memory - other.Memory, Accelerators: ro.Accelerators - other.Accelerators}
}

// Fits reports whether the resource request req fits into ro.
func (ro Resources) Fits(req Resources) bool {
	return req.CPU <= ro.CPU && req.Memory <= ro.Memory && req.Accelerators <= ro.Accelerators
}

// Reserved is the amount of resources that a task of the step reserves on its worker.
// Best-effort tasks reserve no CPU.
func (st *Step) Reserved() Resources {
	req := st.Request
	if st.BestEffort {
		req.CPU = 0
	}
	return req
}

// Held reports whether the task occupies resources on its worker.
func (ta *Task) Held() bool {
	return ta.Phase == Starting || ta.Phase == Running || ta.Phase == Stopping
}

// Final reports whether the state can no longer change.
func (st State) Final() bool { return st >= Completed }

func (st State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[st]
}

func (ou RunOutcome) String() string {
	return [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[ou]
}

// ParseOutcome parses the name of an outcome.
func ParseOutcome(name string) (RunOutcome, bool) {
	for ou := OutcomeDone; ou <= OutcomeWorkerLost; ou++ {
		if ou.String() == name {
			return ou, true
		}
	}
	return 0, false
}

// String returns the name by which workers know the task.
func (tk TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tk.Job, tk.Occurrence, tk.Step, tk.Index)
}

// TermsIn returns the terms that apply to the job under a configuration: those of its queue if that is present,
// otherwise those of its acceptance. It returns false if neither are known.
func (jo *Job) TermsIn(queue Terms, present bool) (Terms, bool) {
	if present {
		return queue, true
	}
	return jo.Terms, jo.Terms.Pool != ""
}

// StepOf returns the step of a stage.
func (jo *Job) StepOf(st *Stage) *Step { return &jo.Steps[st.Step] }

// Task returns the task with the given key and its stage, or nil if there is none.
func (jo *Job) Task(tk TaskKey) (*Stage, *Task) {
	st := jo.Stage(tk.Occurrence, tk.Step)
	if st == nil || tk.Index < 0 || tk.Index >= len(st.Tasks) {
		return nil, nil
	}
	return st, &st.Tasks[tk.Index]
}

// Ready reports whether all steps that the stage depends on are done.
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

// Idle reports whether no task of the stage has a run that is starting, running or
// stopping.
func (sg *Stage) Idle() bool {
	for i := range sg.Tasks {
		if sg.Tasks[i].Held() {
			return false
		}
	}
	return true
}

// HasWaiting reports whether a task of the stage is waiting to be started.
func (sg *Stage) HasWaiting() bool {
	for i := range sg.Tasks {
		if sg.Tasks[i].Phase == Waiting {
			return true
		}
	}
	return false
}

// NextRun returns the number of the next run of a task. The members of a gang share one run
// number, which is higher than that of any earlier run of a member.
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

// PeakAccelerators returns the largest number of accelerators that all tasks of one step
// request together.
func (jo *Job) PeakAccelerators() meter.Accelerators {
	var most meter.Accelerators
	for i := range jo.Steps {
		most = max(most, jo.Steps[i].Request.Accelerators*meter.Accelerators(jo.Steps[i].Count))
	}
	return most
}

// EachHeld calls fn for each task that occupies resources on its worker.
func (jo *Job) EachHeld(fn func(st *Stage, index int, ta *Task)) {
	for _, st := range jo.Stages {
		for i := range st.Tasks {
			if st.Tasks[i].Held() {
				fn(st, i, &st.Tasks[i])
			}
		}
	}
}

// Key returns the key of a task of the job.
func (jo *Job) Key(st *Stage, index int) TaskKey {
	return TaskKey{Job: jo.ID, Occurrence: st.Occurrence, Step: st.Step, Index: index}
}
