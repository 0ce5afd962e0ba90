package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// StartTimeout is how long a task that is leased but not started is kept after the last
	// command batch of its zone.
	StartTimeout = 10 * clock.Second

	defaultRunTime = 50 * clock.Millis(1)
	failAfter      = 20 * clock.Millis(1)
)

type (
	// Behavior is the payload of a job, which determines how its simulated tasks behave.
	Behavior struct {
		// RunMillis is the run time of each member, in milliseconds.
		RunMillis clock.Millis `json:"runMillis"`
		// Fail makes the members of the job fail on every worker.
		Fail bool `json:"fail"`
	}

	// taskSet is the state of the tasks on all workers.
	taskSet struct {
		free map[identifier.Worker]meter.Accelerators
		// epochs is the highest lease epoch seen from each zone.
		epochs map[identifier.Zone]meter.LeaseEpoch
		// lastBatch is the time of the last command batch of each zone.
		lastBatch map[identifier.Zone]clock.Millis
		tasks     taskMap
		// live contains the tasks that are leased or running.
		live map[identifier.Task]*task
		// events holds every state change of a task in order. The revision of an event is
		// its index plus 1.
		events []event
		// checkpoints maps a job to the run time that its latest checkpoint covers.
		checkpoints map[identifier.Job]clock.Millis
		gangs       map[gangKey]*gang
	}

	taskMap map[identifier.Task]*task

	task struct {
		command   platform.TaskCommand
		zone      identifier.Zone
		state     platform.TaskState
		startedAt clock.Millis
		// completesAt is when a running task finishes or fails unless it is stopped.
		completesAt clock.Millis
		fails       bool
	}

	event struct {
		at     clock.Millis
		zone   identifier.Zone
		report platform.TaskReport
	}
)

// state returns the state of a task, or an empty string if the task was never leased.
func (tm taskMap) state(id identifier.Task) platform.TaskState {
	if ta, found := tm[id]; found {
		return ta.state
	}
	return ""
}

func newTaskSet(la Layout) taskSet {
	ts := taskSet{
		free:        map[identifier.Worker]meter.Accelerators{},
		epochs:      map[identifier.Zone]meter.LeaseEpoch{},
		lastBatch:   map[identifier.Zone]clock.Millis{},
		tasks:       taskMap{},
		live:        map[identifier.Task]*task{},
		checkpoints: map[identifier.Job]clock.Millis{},
		gangs:       map[gangKey]*gang{},
	}
	for _, zl := range la.Zones {
		for _, wo := range zl.workers() {
			ts.free[wo.Worker] = wo.Accelerators
		}
	}
	return ts
}

// CommandTasks executes a batch of commands of a zone. A batch with a lower epoch than the
// highest one seen from the zone is fenced.
func (pl *Platform) CommandTasks(_ context.Context, req platform.CommandTasksRequestObject) (platform.CommandTasksResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.completeDue()
	answer := platform.TaskResults{Results: []platform.TaskResult{}}
	if req.Body.Epoch < pl.tasks.epochs[req.Body.Zone] {
		answer.Fenced = true
		return platform.CommandTasks200JSONResponse(answer), nil
	}
	pl.tasks.epochs[req.Body.Zone] = req.Body.Epoch
	pl.tasks.lastBatch[req.Body.Zone] = pl.clock.Now()
	for _, co := range req.Body.Commands {
		pl.audit.TaskCommands++
		reason := pl.command(req.Body.Zone, co)
		answer.Results = append(answer.Results, platform.TaskResult{Task: co.Task, Accepted: reason == "", Reason: reason, State: pl.tasks.tasks.state(co.Task)})
	}
	return platform.CommandTasks200JSONResponse(answer), nil
}

// ReportTasks returns the state changes of a zone's tasks since a revision. Changes that are
// more recent than the injected lag are left out.
func (pl *Platform) ReportTasks(_ context.Context, req platform.ReportTasksRequestObject) (platform.ReportTasksResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.completeDue()
	cutoff := pl.clock.Now() - pl.faults.ReportLagMillis
	answer := platform.TaskReports{Revision: req.Params.Since, Reports: []platform.TaskReport{}}
	since := min(max(req.Params.Since, 0), int64(len(pl.tasks.events)))
	for _, ev := range pl.tasks.events[since:] {
		if ev.at > cutoff {
			break
		}
		answer.Revision++
		if ev.zone == req.Params.Zone {
			answer.Reports = append(answer.Reports, ev.report)
		}
	}
	return platform.ReportTasks200JSONResponse(answer), nil
}

// command executes one command. It returns the reason why the command was rejected, or an
// empty string if it was accepted.
func (pl *Platform) command(zone identifier.Zone, co platform.TaskCommand) string {
	switch co.Action {
	case platform.TaskCommandActionLease:
		return pl.lease(zone, co)
	case platform.TaskCommandActionStart:
		return pl.start(co)
	case platform.TaskCommandActionStop, platform.TaskCommandActionCheckpoint:
		return pl.stop(co)
	default:
		return "unknown action"
	}
}

func (pl *Platform) lease(zone identifier.Zone, co platform.TaskCommand) string {
	if ta, found := pl.tasks.tasks[co.Task]; found {
		if ta.state == platform.TaskStateLeased || ta.state == platform.TaskStateRunning || ta.state == platform.TaskStateFinished {
			return ""
		}
		return fmt.Sprintf("the task is %s", ta.state)
	}
	free, known := pl.tasks.free[co.Worker]
	if !known {
		return "no such worker"
	}
	if free < co.Accelerators {
		return fmt.Sprintf("%d accelerators are free", free)
	}
	pl.tasks.free[co.Worker] -= co.Accelerators
	ta := &task{command: co, zone: zone}
	pl.tasks.tasks[co.Task] = ta
	pl.tasks.live[co.Task] = ta
	pl.transition(ta, platform.TaskStateLeased, pl.clock.Now())
	return ""
}

func (pl *Platform) start(co platform.TaskCommand) string {
	ta, found := pl.tasks.tasks[co.Task]
	if !found {
		return "the task is not leased"
	}
	switch ta.state {
	case platform.TaskStateRunning, platform.TaskStateFinished:
		return ""
	case platform.TaskStateLeased:
	default:
		return fmt.Sprintf("the task is %s", ta.state)
	}
	now := pl.clock.Now()
	ta.startedAt = now
	ta.completesAt, ta.fails = pl.completionOf(co, now)
	pl.transition(ta, platform.TaskStateRunning, now)
	return ""
}

// completionOf returns when a task that starts now completes, and whether it fails.
func (pl *Platform) completionOf(co platform.TaskCommand, now clock.Millis) (clock.Millis, bool) {
	if slices.Contains(pl.faults.FailingWorkers, co.Worker) {
		return now + failAfter, true
	}
	be := Behavior{RunMillis: defaultRunTime}
	_ = json.Unmarshal([]byte(co.Payload), &be) // a payload of another format runs for the default time
	if be.Fail {
		return now + failAfter, true
	}
	return now + max(be.RunMillis-pl.tasks.checkpoints[co.JobID], 1), false
}

func (pl *Platform) stop(co platform.TaskCommand) string {
	ta, found := pl.tasks.tasks[co.Task]
	if !found {
		// Stopping a task before it was leased prevents it from ever being leased.
		ta = &task{command: co}
		pl.tasks.tasks[co.Task] = ta
		ta.state = platform.TaskStateStopped
		return ""
	}
	if ta.state != platform.TaskStateLeased && ta.state != platform.TaskStateRunning {
		return ""
	}
	if co.Action == platform.TaskCommandActionCheckpoint && ta.state == platform.TaskStateRunning {
		ran := pl.clock.Now() - ta.startedAt
		pl.tasks.checkpoints[co.JobID] = max(pl.tasks.checkpoints[co.JobID], ran)
	}
	pl.transition(ta, platform.TaskStateStopped, pl.clock.Now())
	return ""
}

// completeDue completes the running tasks that are due and stops the tasks whose lease has
// expired before they were started.
func (pl *Platform) completeDue() {
	now := pl.clock.Now()
	for _, ta := range pl.tasks.due(now) {
		switch {
		case ta.state == platform.TaskStateLeased:
			pl.transition(ta, platform.TaskStateStopped, now)
		case ta.fails:
			pl.transition(ta, platform.TaskStateFailed, ta.completesAt)
		default:
			pl.transition(ta, platform.TaskStateFinished, ta.completesAt)
		}
	}
}

// due returns the tasks that must complete or be stopped by now, ordered by completion time.
func (ts *taskSet) due(now clock.Millis) []*task {
	var due []*task
	for _, ta := range ts.live {
		if ta.state == platform.TaskStateRunning && ta.completesAt <= now {
			due = append(due, ta)
		}
		if ta.state == platform.TaskStateLeased && ts.lastBatch[ta.zone]+StartTimeout <= now {
			due = append(due, ta)
		}
	}
	slices.SortFunc(due, func(a, b *task) int {
		if a.completesAt != b.completesAt {
			return int(a.completesAt - b.completesAt)
		}
		if a.command.Task < b.command.Task {
			return -1
		}
		return 1
	})
	return due
}

// transition changes the state of a task and records the change. It frees the task's
// accelerators if the task no longer occupies them.
func (pl *Platform) transition(ta *task, state platform.TaskState, at clock.Millis) {
	ta.state = state
	report := platform.TaskReport{Task: ta.command.Task, JobID: ta.command.JobID, Worker: ta.command.Worker, State: state}
	if state != platform.TaskStateLeased && state != platform.TaskStateRunning {
		pl.tasks.free[ta.command.Worker] += ta.command.Accelerators
		delete(pl.tasks.live, ta.command.Task)
	}
	if state == platform.TaskStateFinished {
		report.Output = fmt.Sprintf("output of %s on %s", ta.command.Task, ta.command.Worker)
	}
	pl.tasks.events = append(pl.tasks.events, event{at: at, zone: ta.zone, report: report})
	pl.updateGang(ta, at)
}
