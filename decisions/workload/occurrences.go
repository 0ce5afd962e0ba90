package workload

import (
	"slices"
	"sort"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// Stage returns the stage of a step of an occurrence, or nil if the occurrence is not open.
func (jo *Job) Stage(occurrence, step int) *Stage {
	if step < 0 || step >= len(jo.Steps) {
		return nil
	}
	first := sort.Search(jo.Open(), func(i int) bool { return jo.Stages[i*len(jo.Steps)].Occurrence >= occurrence })
	if first == jo.Open() || jo.Stages[first*len(jo.Steps)].Occurrence != occurrence {
		return nil
	}
	return jo.Stages[first*len(jo.Steps)+step]
}

// Open returns the number of open occurrences.
func (jo *Job) Open() int { return len(jo.Stages) / len(jo.Steps) }

// AddDueStages adds the stages of the occurrences that are due at timeOfDay, as long as the open ones have
// no more than maxTasks tasks together; a job may always have one open. It returns the due time of the next
// occurrence, or 0 if there is none.
func (jo *Job) AddDueStages(timeOfDay clock.Millis) clock.Millis {
	tasks := 0
	for i := range jo.Steps {
		tasks += jo.Steps[i].Count
	}
	for jo.Due < jo.Occurrences {
		at := jo.DueAt(jo.Due)
		if at > timeOfDay || jo.Open() > 0 && (jo.Open()+1)*tasks > maxTasks {
			return at
		}
		jo.openOccurrence(jo.Due)
		jo.Due++
	}
	return 0
}

// Restore sets the number of occurrences that have been added, and the open ones among them, in order. It
// returns false if these are impossible.
func (jo *Job) Restore(due int, open []int) bool {
	last := -1
	for _, occurrence := range open {
		if occurrence <= last || occurrence >= due {
			return false
		}
		last = occurrence
		jo.openOccurrence(occurrence)
	}
	jo.Due = due
	return due >= 0 && due <= jo.Occurrences
}

func (jo *Job) openOccurrence(occurrence int) {
	for step := range jo.Steps {
		jo.Stages = append(jo.Stages, &Stage{Occurrence: occurrence, Step: step, Tasks: make([]Task, jo.Steps[step].Count)})
	}
}

// DropFinished drops the finished occurrences of a job that is repeated, so that neither its row nor the
// time of a plan grows with them.
func (jo *Job) DropFinished() {
	if jo.Occurrences == 1 {
		return
	}
	open := jo.Stages[:0]
	for first := 0; first < len(jo.Stages); first += len(jo.Steps) {
		stages := jo.Stages[first : first+len(jo.Steps)]
		if slices.ContainsFunc(stages, func(st *Stage) bool { return !st.Finished() }) {
			open = append(open, stages...)
		}
	}
	clear(jo.Stages[len(open):])
	jo.Stages = open
}

// DueAt returns the wall-clock time at which an occurrence becomes due.
func (jo *Job) DueAt(occurrence int) clock.Millis {
	return jo.FirstDue + clock.Millis(occurrence)*jo.Interval
}
