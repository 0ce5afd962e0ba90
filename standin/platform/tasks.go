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
	// HeldLease is how long a task that is leased but not started outlives the last
	// command batch of its zone.
	HeldLease = 10 * clock.Second

	defaultRun = 50 * clock.Millis(1)
	failAfter  = 20 * clock.Millis(1)
)

type (
	// Work is what the payload of a job tells the stand-in to do.
	Work struct {
		// RunMillis is the run time of each member.
		RunMillis clock.Millis `json:"runMillis"`
		// Fail makes the last member fail on any worker.
		Fail bool `json:"fail"`
	}

	// taskSet holds the tasks of all workers.
	taskSet struct {
		free map[identifier.Worker]meter.Accelerators
		// epochs is the newest epoch seen from each zone; it only rises.
		epochs map[identifier.Zone]meter.LeaseEpoch
		// heard is the time of the last batch of each zone.
		heard map[identifier.Zone]clock.Millis
		tasks taskMap
		// live holds the tasks that are leased or running.
		live map[identifier.Task]*task
		// events holds every change of a task in order; its index is the revision.
		events []event
		// done maps a job to the run time its checkpoints hold.
		done  map[identifier.Job]clock.Millis
		gangs map[gangKey]*gang
	}

	taskMap map[identifier.Task]*task

	task struct {
		command platform.TaskCommand
		zone    identifier.Zone
		state   platform.TaskState
		started clock.Millis
		// ends is when the task finishes or fails by itself, valid while running.
		ends  clock.Millis
		fails bool
	}

	event struct {
		at     clock.Millis
		zone   identifier.Zone
		report platform.TaskReport
	}
)

// state is that of a task; empty for one that was never leased.
func (tm taskMap) state(id identifier.Task) platform.TaskState {
	if ta, found := tm[id]; found {
		return ta.state
	}
	return ""
}

func newTaskSet(la Layout) taskSet {
	ts := taskSet{
		free:   map[identifier.Worker]meter.Accelerators{},
		epochs: map[identifier.Zone]meter.LeaseEpoch{},
		heard:  map[identifier.Zone]clock.Millis{},
		tasks:  taskMap{},
		live:   map[identifier.Task]*task{},
		done:   map[identifier.Job]clock.Millis{},
		gangs:  map[gangKey]*gang{},
	}
	for _, zl := range la.Zones {
		for _, wo := range zl.workers() {
			ts.free[wo.Worker] = wo.Accelerators
		}
	}
	return ts
}

// CommandTasks carries out a batch of commands under the fencing token of the zone.
func (pl *Platform) CommandTasks(_ context.Context, req platform.CommandTasksRequestObject) (platform.CommandTasksResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.settle()
	answer := platform.TaskResults{Results: []platform.TaskResult{}}
	if req.Body.Epoch < pl.tasks.epochs[req.Body.Zone] {
		answer.Fenced = true
		return platform.CommandTasks200JSONResponse(answer), nil
	}
	pl.tasks.epochs[req.Body.Zone] = req.Body.Epoch
	pl.tasks.heard[req.Body.Zone] = pl.clock.Now()
	for _, co := range req.Body.Commands {
		pl.audit.TaskCommands++
		reason := pl.command(req.Body.Zone, co)
		answer.Results = append(answer.Results, platform.TaskResult{Task: co.Task, Accepted: reason == "", Reason: reason, State: pl.tasks.tasks.state(co.Task)})
	}
	return platform.CommandTasks200JSONResponse(answer), nil
}

// ReportTasks returns the changes of a zone's tasks after a revision, a lag late.
func (pl *Platform) ReportTasks(_ context.Context, req platform.ReportTasksRequestObject) (platform.ReportTasksResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.settle()
	upTo := pl.clock.Now() - pl.faults.ReportLagMillis
	answer := platform.TaskReports{Revision: req.Params.Since, Reports: []platform.TaskReport{}}
	since := min(max(req.Params.Since, 0), int64(len(pl.tasks.events)))
	for _, ev := range pl.tasks.events[since:] {
		if ev.at > upTo {
			break
		}
		answer.Revision++
		if ev.zone == req.Params.Zone {
			answer.Reports = append(answer.Reports, ev.report)
		}
	}
	return platform.ReportTasks200JSONResponse(answer), nil
}

// command carries out one command; an empty string means that it was accepted.
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
	pl.move(ta, platform.TaskStateLeased, pl.clock.Now())
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
	ta.started = now
	ta.ends, ta.fails = pl.endOf(co, now)
	pl.move(ta, platform.TaskStateRunning, now)
	return ""
}

// endOf works out when a task that starts now ends by itself, and whether it fails.
func (pl *Platform) endOf(co platform.TaskCommand, now clock.Millis) (clock.Millis, bool) {
	if slices.Contains(pl.faults.FailingWorkers, co.Worker) {
		return now + failAfter, true
	}
	work := Work{RunMillis: defaultRun}
	_ = json.Unmarshal([]byte(co.Payload), &work) // other payloads run for the default time
	if work.Fail {
		return now + failAfter, true
	}
	return now + max(work.RunMillis-pl.tasks.done[co.JobID], 1), false
}

func (pl *Platform) stop(co platform.TaskCommand) string {
	ta, found := pl.tasks.tasks[co.Task]
	if !found {
		// The stop of a task that was never leased forbids it for good.
		ta = &task{command: co}
		pl.tasks.tasks[co.Task] = ta
		ta.state = platform.TaskStateStopped
		return ""
	}
	if ta.state != platform.TaskStateLeased && ta.state != platform.TaskStateRunning {
		return ""
	}
	if co.Action == platform.TaskCommandActionCheckpoint && ta.state == platform.TaskStateRunning {
		ran := pl.clock.Now() - ta.started
		pl.tasks.done[co.JobID] = max(pl.tasks.done[co.JobID], ran)
	}
	pl.move(ta, platform.TaskStateStopped, pl.clock.Now())
	return ""
}

// settle ends the tasks whose time has come and the held leases that have lapsed.
func (pl *Platform) settle() {
	now := pl.clock.Now()
	for _, ta := range pl.tasks.due(now) {
		switch {
		case ta.state == platform.TaskStateLeased:
			pl.move(ta, platform.TaskStateStopped, now)
		case ta.fails:
			pl.move(ta, platform.TaskStateFailed, ta.ends)
		default:
			pl.move(ta, platform.TaskStateFinished, ta.ends)
		}
	}
}

// due returns the tasks that have to end by now, in the order of their ends.
func (ts *taskSet) due(now clock.Millis) []*task {
	var due []*task
	for _, ta := range ts.live {
		if ta.state == platform.TaskStateRunning && ta.ends <= now {
			due = append(due, ta)
		}
		if ta.state == platform.TaskStateLeased && ts.heard[ta.zone]+HeldLease <= now {
			due = append(due, ta)
		}
	}
	slices.SortFunc(due, func(a, b *task) int {
		if a.ends != b.ends {
			return int(a.ends - b.ends)
		}
		if a.command.Task < b.command.Task {
			return -1
		}
		return 1
	})
	return due
}

// move changes the state of a task, frees its accelerators at the end and records it.
func (pl *Platform) move(ta *task, state platform.TaskState, at clock.Millis) {
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
	pl.watch(ta, at)
}
