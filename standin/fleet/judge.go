package fleet

import (
	"fmt"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// cancelBound is how long after an acknowledged cancellation a task may still start.
const cancelBound = 3 * time.Second

// drainBound is how long after its report a leaving runner may still get work.
const drainBound = 2 * time.Second

// touchTime is how long the store must have been without trouble before that bound holds.
const touchTime = 3 * time.Second

// judge is the oracle: it knows what clients sent and what runners did, and nothing of
// the scheduler.
type judge struct {
	cluster *Cluster
	starts  int
	// done holds the tasks, or the first member of a gang, whose end done was noted.
	done map[string]bool
	// failed counts the failed runs of a task or gang; failedRun is the last one counted.
	failed    map[string]int
	failedRun map[string]int64
	cancelled map[string]time.Time
	refused   map[string]bool
	drains    map[*Runner]time.Time
	// ended holds the tasks that have ended done, noted or not.
	ended      map[string]bool
	violations []string
}

func (ju *judge) broken(rule, format string, args ...any) {
	ju.violations = append(ju.violations, rule+": "+fmt.Sprintf(format, args...))
}

// start checks a start that a runner is about to carry out.
func (ju *judge) start(ru *Runner, key workload.TaskKey, rs wire.RunStart) {
	ju.starts++
	jo, known := ju.cluster.jobs[string(key.Job)]
	if !known || jo.Body.Spec != rs.Spec {
		ju.broken("UNASKED", "%s was not sent like this", rs.Task)
		return
	}
	if ju.refused[jo.ID] {
		ju.broken("REFUSED", "%s starts though all tries were refused", rs.Task)
	}
	if at, gone := ju.cancelled[jo.ID]; gone && time.Since(at) > cancelBound {
		ju.broken("UNASKED", "%s starts %v after its cancellation", rs.Task, time.Since(at))
	}
	if at, leaving := ju.drains[ru]; leaving && time.Since(at) > drainBound && ju.cluster.faults.calm(touchTime) {
		ju.broken("DRAIN", "%s starts on a leaving runner", rs.Task)
	}
	step := ju.cluster.step(key)
	if !ru.guarded && !ru.free().Fits(roomOf(step)) {
		ju.broken("LIMIT", "%s needs %v, %v is left on %s", rs.Task, roomOf(step), ru.free(), ru.id)
	}
	ju.startOnce(key, rs)
	for _, after := range step.DependsOn {
		for i := range jo.Body.Steps[after].Count {
			earlier := workload.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: after, Index: i}
			if !ju.ended[ju.unit(earlier)] {
				ju.broken("ORDER", "%s starts before %s is done", rs.Task, earlier)
			}
		}
	}
	if attempts := 3; !step.LongRunning && ju.failed[ju.unit(key)] >= attempts {
		ju.broken("BUDGET", "%s starts after %d failures", rs.Task, ju.failed[ju.unit(key)])
	}
}

// startOnce checks that no other run of the task is there, and none has finished.
func (ju *judge) startOnce(key workload.TaskKey, rs wire.RunStart) {
	if ju.done[ju.unit(key)] && !ju.cluster.step(key).LongRunning {
		ju.broken("TWICE", "%s starts after its noted end", rs.Task)
	}
	for _, other := range ju.cluster.runners {
		if rn := other.runs[rs.Task]; rn != nil && other.up {
			ju.broken("TWICE", "run %d of %s starts while run %d is on %s", rs.Run, rs.Task, rn.number, other.id)
		}
	}
}

// unit names what fails and finishes together: a task, or a gang.
func (ju *judge) unit(key workload.TaskKey) string {
	if ju.cluster.ganged(key) {
		key.Index = 0
	}
	return key.String()
}

func (ju *judge) end(key workload.TaskKey, _ int64, how string) {
	if how == "done" {
		if ju.ended == nil {
			ju.ended = map[string]bool{}
		}
		ju.ended[ju.unit(key)] = true
	}
}

// noted counts an end that the scheduler has taken note of.
func (ju *judge) noted(en end) {
	key, ok := workload.ParseTaskKey(en.task)
	if !ok {
		return
	}
	unit := ju.unit(key)
	switch en.how {
	case "done":
		ju.done[unit] = true
	case "failed":
		if ju.cluster.ganged(key) && ju.failedRun[unit] >= en.run {
			return
		}
		ju.failedRun[unit] = en.run
		ju.failed[unit]++
	}
}

func (ju *judge) drained(ru *Runner) {
	if ju.drains == nil {
		ju.drains = map[*Runner]time.Time{}
	}
	ju.drains[ru] = time.Now()
}

func roomOf(st wire.StepBody) workload.Room {
	ro := workload.Room{CPU: meter.MilliCores(st.CPU), Memory: meter.Mebibytes(st.MemMb), Accelerators: meter.Accelerators(st.Gpu)}
	if st.Fills {
		ro.CPU = 0
	}
	return ro
}
