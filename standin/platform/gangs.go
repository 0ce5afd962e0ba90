package platform

import (
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

type (
	// gangKey names one attempt of a job: a task id without its member number.
	gangKey string

	// gang watches one attempt, to tell how long a part of it ran without the rest.
	gang struct {
		job     identifier.Job
		members meter.Members
		// states holds the last state of each member that was ever leased.
		states map[identifier.Task]platform.TaskState
		// halfSince is when the present half-running time began; 0 means none.
		halfSince clock.Millis
		longest   clock.Millis
		started   bool
	}
)

func keyOf(ta identifier.Task) gangKey {
	return gangKey(ta[:strings.LastIndexByte(string(ta), '.')])
}

// watch brings the gang of a task up to date.
func (pl *Platform) watch(ta *task, at clock.Millis) {
	key := keyOf(ta.command.Task)
	ga, found := pl.tasks.gangs[key]
	if !found {
		ga = &gang{job: ta.command.JobID, members: ta.command.Members, states: map[identifier.Task]platform.TaskState{}}
		pl.tasks.gangs[key] = ga
	}
	ga.states[ta.command.Task] = ta.state
	if ta.state == platform.TaskStateRunning && !ga.started {
		ga.started = true
		pl.audit.GangsStarted++
		if pl.tasks.runsElsewhere(key, ga.job) {
			pl.audit.Overlapping++
		}
	}
	ga.note(at)
}

// note opens or closes the half-running time.
func (ga *gang) note(at clock.Millis) {
	half := ga.half()
	if half && ga.halfSince == 0 {
		ga.halfSince = at
	}
	if !half && ga.halfSince != 0 {
		ga.longest = max(ga.longest, at-ga.halfSince)
		ga.halfSince = 0
	}
}

// half reports whether some member runs while another neither runs nor has finished.
func (ga *gang) half() bool {
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

func (ts *taskSet) runsElsewhere(key gangKey, job identifier.Job) bool {
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

func (ts *taskSet) halfRunning() int32 {
	var count int32
	for _, ga := range ts.gangs {
		if ga.half() {
			count++
		}
	}
	return count
}

func (ts *taskSet) longestHalf(now clock.Millis) clock.Millis {
	var longest clock.Millis
	for _, ga := range ts.gangs {
		longest = max(longest, ga.longest)
		if ga.halfSince != 0 {
			longest = max(longest, now-ga.halfSince)
		}
	}
	return longest
}
