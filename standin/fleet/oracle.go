package fleet

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/platform/wire"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// maxStartAfterCancel is how long after the acknowledgement of a job's cancellation its
	// tasks may still start.
	maxStartAfterCancel = 3 * time.Second

	// maxStartAfterDrain is how long after its report a draining runner may still receive
	// starts.
	maxStartAfterDrain = 2 * time.Second

	// storeRecoveryTime is how long the store must have been free of faults for
	// maxStartAfterDrain to apply.
	storeRecoveryTime = 3 * time.Second
)

type (
	// oracle checks the rules that a scheduler must keep. It knows what the clients have
	// submitted and what the runners have done, but nothing about the state of the scheduler.
	oracle struct {
		cluster *Cluster
		// starts is the number of started runs, alone that of those that ended alone.
		starts, alone int
		// acknowledged contains the units (see unit) whose completion as done the scheduler has
		// acknowledged.
		acknowledged map[string]bool
		// failed is the number of acknowledged failed runs of each unit, and failedRun the last
		// run that was counted, so that a failed run of a gang counts once.
		failed    map[string]int
		failedRun map[string]int64
		// cancelled maps each cancelled job to the time at which the cancellation was
		// acknowledged to its client.
		cancelled map[string]time.Time
		// refused contains the jobs whose submission was refused at every attempt.
		refused map[string]bool
		// drainingSince maps each draining runner to the time of its report.
		drainingSince map[*Runner]time.Time
		// evacuated maps each evacuated zone to the time at which its evacuation was acknowledged to the
		// operator, and startsIn each zone to the number of runs that were started there.
		evacuated map[string]time.Time
		startsIn  map[string]int
		// crashes is the number of runners that have crashed under each task, and startsAfterCrashes how often
		// it was started after the tolerated ones.
		crashes, startsAfterCrashes map[workload.TaskKey]int
		// completed contains the units that have completed as done, whether acknowledged or not.
		completed map[string]bool
		// lastStart is when a run of each unit was last started, and whose run it was.
		lastStart  map[string]start
		violations []string
	}

	// start is the start of a run.
	start struct {
		run int64
		at  time.Time
	}
)

func (ora *oracle) reportViolation(rule, format string, args ...any) {
	ora.violations = append(ora.violations, rule+": "+fmt.Sprintf(format, args...))
}

// checkFence reports a command whose fencing token is lower than one that the runner or machine has
// seen. A poll or a change of speed changes nothing that the newer leader has decided, and a sender
// cannot see a pause between its check and its write, or a delay on the way.
func (ora *oracle) checkFence(rq *http.Request, at string, fence, seen int64) {
	gap, _ := rq.Context().Value(inGap{}).(bool)
	if gap || rq.URL.Path == "/v1/hold" || rq.URL.Path == "/v1/pace" {
		return
	}
	ora.reportViolation("FENCE", "%s got %s with fencing token %d after %d", at, rq.URL.Path, fence, seen)
}

// checkStart checks a start that a runner is about to execute.
func (ora *oracle) checkStart(ru *Runner, key workload.TaskKey, rs wire.RunStart) {
	ora.starts++
	jo, known := ora.cluster.jobs[string(key.Job)]
	if !known || jo.Body.Spec != rs.Spec {
		ora.reportViolation("UNASKED", "%s was not submitted with this payload", rs.Task)
		return
	}
	if ora.refused[jo.ID] {
		ora.reportViolation("REFUSED", "%s starts although all attempts to submit its job were refused", rs.Task)
	}
	if at, cancelled := ora.cancelled[jo.ID]; cancelled && time.Since(at) > maxStartAfterCancel {
		ora.reportViolation("UNASKED", "%s starts %v after its cancellation was acknowledged", rs.Task, time.Since(at))
	}
	if at, draining := ora.drainingSince[ru]; draining && time.Since(at) > maxStartAfterDrain && ora.cluster.faults.storeFaultFree(storeRecoveryTime) {
		ora.reportViolation("DRAIN", "%s starts on a draining runner", rs.Task)
	}
	step := ora.cluster.step(key)
	if !ru.enforcesCapacity && !ru.free().Fits(resourceRequest(step)) {
		ora.reportViolation("LIMIT", "%s requests %v, but only %v is free on %s", rs.Task, resourceRequest(step), ru.free(), ru.id)
	}
	ora.checkSingleRun(key, rs)
	ora.lastStart[ora.unit(key)] = start{run: rs.Run, at: time.Now()}
	ora.checkCrashes(key)
	for _, after := range step.DependsOn {
		for i := range jo.Body.Steps[after].Count {
			earlier := workload.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: after, Index: i}
			if !ora.completed[ora.unit(earlier)] {
				ora.reportViolation("ORDER", "%s starts before %s has completed", rs.Task, earlier)
			}
		}
	}
	if attempts := 3; !step.LongRunning && ora.failed[ora.unit(key)] >= attempts {
		ora.reportViolation("BUDGET", "%s starts after %d failed runs", rs.Task, ora.failed[ora.unit(key)])
	}
}

// checkStartsSince checks, when the completion of a run as done is acknowledged, that no later run was
// started after it.
func (ora *oracle) checkStartsSince(key workload.TaskKey, co completion) {
	if last := ora.lastStart[ora.unit(key)]; last.run > co.run && last.at.After(co.at) && !ora.cluster.step(key).LongRunning && !ora.cluster.step(key).AllowDuplicates {
		ora.reportViolation("TWICE", "run %d of %s was started %v after run %d had completed, which is acknowledged", last.run, co.task, last.at.Sub(co.at), co.run)
	}
}

// checkSingleRun checks that no other run of the task is in progress and, unless the task is
// long-running, that the scheduler has not acknowledged its completion.
func (ora *oracle) checkSingleRun(key workload.TaskKey, rs wire.RunStart) {
	if ora.acknowledged[ora.unit(key)] && !ora.cluster.step(key).LongRunning {
		ora.reportViolation("TWICE", "%s starts after its completion was acknowledged", rs.Task)
	}
	for _, other := range ora.cluster.runners {
		if rn := other.runs[rs.Task]; rn != nil && other.up {
			ora.reportViolation("TWICE", "run %d of %s starts while run %d is in progress on %s", rs.Run, rs.Task, rn.number, other.id)
		}
	}
}

// unit returns the name of the unit that fails and completes together: a task, or a gang,
// which is named after its first member.
func (ora *oracle) unit(key workload.TaskKey) string {
	if ora.cluster.inGang(key) {
		key.Index = 0
	}
	return key.String()
}

func (ora *oracle) recordCompletion(key workload.TaskKey, _ int64, how string) {
	if how == "alone" {
		ora.alone++
	}
	if how == "done" {
		if ora.completed == nil {
			ora.completed = map[string]bool{}
		}
		ora.completed[ora.unit(key)] = true
	}
}

// recordAcknowledged records a completion that the scheduler has acknowledged.
func (ora *oracle) recordAcknowledged(co completion) {
	key, ok := workload.ParseTaskKey(co.task)
	if !ok {
		return
	}
	unit := ora.unit(key)
	switch co.how {
	case "done":
		ora.acknowledged[unit] = true
		ora.checkStartsSince(key, co)
	case "failed":
		if ora.cluster.inGang(key) && ora.failedRun[unit] >= co.run {
			return
		}
		ora.failedRun[unit] = co.run
		ora.failed[unit]++
	}
}

func (ora *oracle) recordDrain(ru *Runner) {
	if ora.drainingSince == nil {
		ora.drainingSince = map[*Runner]time.Time{}
	}
	ora.drainingSince[ru] = time.Now()
}

// resourceRequest returns the resources that a task of the step reserves. A best-effort task
// reserves no CPU.
func resourceRequest(st wire.StepBody) workload.Resources {
	re := workload.Resources{CPU: meter.MilliCores(st.CPU), Memory: meter.Mebibytes(st.MemMb), Accelerators: meter.Accelerators(st.Gpu)}
	if st.Fills {
		re.CPU = 0
	}
	return re
}
