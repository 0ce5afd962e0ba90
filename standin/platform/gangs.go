package platform

import (
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// gangKey identifies one attempt of a job: a task ID without its member number.
	gangKey string

	// gang tracks the members of one attempt, to measure how long the gang was partially
	// running: some members were running while others were not.
	gang struct {
		job     identifier.Job
		members meter.Members
		// states holds the latest state of each member that has been leased at some time.
		states map[identifier.Task]platform.TaskState
		// partialSince is when the current period of partial running began; 0 means that
		// the gang is not partially running.
		partialSince clock.Millis
		// longestPartial is the longest completed period of partial running.
		longestPartial clock.Millis
		started        bool
	}
)

func gangKeyOf(ta identifier.Task) gangKey {
	return gangKey(ta[:strings.LastIndexByte(string(ta), '.')])
}

// updateGang records the current state of a task in its gang and in the audit.
func (pl *Platform) updateGang(ta *task, at clock.Millis) {
	key := gangKeyOf(ta.command.Task)
	ga, found := pl.tasks.gangs[key]
	if !found {
		ga = &gang{job: ta.command.JobID, members: ta.command.Members, states: map[identifier.Task]platform.TaskState{}}
		pl.tasks.gangs[key] = ga
	}
	ga.states[ta.command.Task] = ta.state
	if ta.state == platform.TaskStateRunning && !ga.started {
		ga.started = true
		pl.audit.GangsStarted++
		if pl.tasks.otherAttemptRuns(key, ga.job) {
			pl.audit.Overlapping++
		}
	}
	ga.updatePartial(at)
}

// updatePartial begins or ends the current period of partial running.
func (ga *gang) updatePartial(at clock.Millis) {
	partial := ga.partial()
	if partial && ga.partialSince == 0 {
		ga.partialSince = at
	}
	if !partial && ga.partialSince != 0 {
		ga.longestPartial = max(ga.longestPartial, at-ga.partialSince)
		ga.partialSince = 0
	}
}

// partial reports whether at least one member is running while another one is neither
// running nor finished.
func (ga *gang) partial() bool {
	running, finished := 0, 0
	for _, state := range ga.states {
		switch state {
		case platform.TaskStateRunning:
			running++
		case platform.TaskStateFinished:
			finished++
		}
	}
	return running > 0 && meter.Members(running+finished) < ga.members
}

func (ts *taskSet) otherAttemptRuns(key gangKey, job identifier.Job) bool {
	for other, ga := range ts.gangs {
		if other == key || ga.job != job {
			continue
		}
		for _, state := range ga.states {
			if state == platform.TaskStateRunning {
				return true
			}
		}
	}
	return false
}

func (ts *taskSet) countPartial() int32 {
	var count int32
	for _, ga := range ts.gangs {
		if ga.partial() {
			count++
		}
	}
	return count
}

func (ts *taskSet) longestPartial(now clock.Millis) clock.Millis {
	var longest clock.Millis
	for _, ga := range ts.gangs {
		longest = max(longest, ga.longestPartial)
		if ga.partialSince != 0 {
			longest = max(longest, now-ga.partialSince)
		}
	}
	return longest
}
