package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// maxSteps is the maximum number of steps of a job.
	maxSteps = 3
	// workspaceSkew is the difference between the job counts of one workspace and the next,
	// as a fraction of the mean.
	workspaceSkew = 0.3
	// minWork is the minimum run time of a task.
	minWork = 200 * clock.Millis(1)
)

type (
	// arrival is a job together with the facts about it that the planner does not know.
	arrival struct {
		job  *workload.Job
		kind *Kind
		at   clock.Millis
		zone int
		// runTimes holds the true run time of each task, by step.
		runTimes [][]clock.Millis
		// cancelled is the time at which the caller cancels the job; 0 means never.
		cancelled clock.Millis
		// alwaysFails means that every run of the job fails.
		alwaysFails bool
		// coreSeconds is the total work of the job, with an accelerator counted as 8 cores.
		coreSeconds float64
	}

	// source draws random numbers.
	source struct{ *rand.Rand }
)

// logNormal draws from a log-normal distribution with the given mean. spread is the standard
// deviation of the logarithm.
func (so source) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(so.NormFloat64()*spread-spread*spread/2)
}

// arrivals draws the jobs of a day and returns them ordered by arrival time.
func arrivals(lo Load, so source) []*arrival {
	var all []*arrival
	for i := range lo.Kinds {
		ki := &lo.Kinds[i]
		for range ki.Filled {
			all = append(all, newArrival(lo, ki, 0, so))
		}
		for at := clock.Millis(0); ; {
			rate := ki.PerSecond * lo.Rate * lo.burstFactor(ki.Name, at)
			at += clock.Millis(so.ExpFloat64() / rate * float64(clock.Second))
			if at >= lo.Length {
				break
			}
			all = append(all, newArrival(lo, ki, at, so))
		}
	}
	slices.SortFunc(all, func(a, b *arrival) int { return int(a.at - b.at) })
	for i, ar := range all {
		ar.job.ID = identifier.Job(fmt.Sprintf("%016x", i))
	}
	return all
}

// burstFactor returns the factor by which a burst raises the arrival rate of a kind at a time,
// or 1 outside of bursts.
func (lo Load) burstFactor(kind identifier.Queue, at clock.Millis) float64 {
	for _, bu := range lo.Bursts {
		if bu.Kind == kind && at >= bu.From && at < bu.From+bu.Length {
			return bu.Multiple
		}
	}
	return 1
}

func newArrival(lo Load, ki *Kind, at clock.Millis, so source) *arrival {
	ar := &arrival{kind: ki, at: at, zone: so.IntN(lo.Zones), alwaysFails: so.Float64() < ki.AlwaysFailing}
	ar.job = &workload.Job{Queue: ki.Name, Workspace: so.workspace(lo), AcceptedAt: at, Occurrences: 1}
	mean := so.logNormal(float64(ki.Work), ki.WorkSpread)
	gang, checkpoints := so.Float64() < ki.Gang, so.Float64() < ki.Checkpoints
	sameRack := so.Float64() < ki.SameRack
	accelerators := ki.Accelerators[so.IntN(len(ki.Accelerators))]
	for step := range min(max(int(math.Round(so.logNormal(ki.Steps, 0.4))), 1), maxSteps) {
		width := min(max(int(math.Round(so.logNormal(ki.Width, ki.WidthSpread))), 1), ki.MaxWidth)
		st := workload.Step{
			Count: width, Request: ki.Request, Estimate: clock.Millis(so.logNormal(mean, ki.EstimateError)),
			Gang: gang && width > 1, SameRack: sameRack && width > 1 && gang, Checkpointing: checkpoints,
		}
		st.Request.Accelerators = accelerators
		st.SameRack = st.SameRack && lo.rackCapacity(st.Request) >= width
		if step > 0 {
			st.After = []int{step - 1}
		}
		ar.job.Steps = append(ar.job.Steps, st)
		ar.runTimes = append(ar.runTimes, ar.drawRunTimes(st, mean, so))
	}
	ar.job.AddDueStages(0)
	if so.Float64() < ki.Cancelled {
		ar.cancelled = at + clock.Millis(so.Float64()*float64(8*clock.Second)) + 1
	}
	return ar
}

// rackCapacity returns how many tasks with this resource request fit on an empty rack.
// Wider gangs do not request a single rack.
func (lo Load) rackCapacity(req workload.Resources) int {
	times := min(int(lo.Capacity.CPU/req.CPU), int(lo.Capacity.Memory/req.Memory), int(lo.Capacity.Accelerators/req.Accelerators))
	return times * lo.WorkersPerRack
}

// drawRunTimes draws the run times of a step's tasks and adds them to the total work of the
// job. All members of a gang have the same run time.
func (ar *arrival) drawRunTimes(st workload.Step, mean float64, so source) []clock.Millis {
	times := make([]clock.Millis, st.Count)
	for i := range times {
		if st.Gang && i > 0 {
			times[i] = times[0]
		} else {
			times[i] = min(max(clock.Millis(so.logNormal(mean, ar.kind.TaskSpread)), minWork), ar.kind.MaxWork)
		}
		ar.coreSeconds += cores(st.Request) * seconds(times[i])
	}
	return times
}

// workspace draws the workspace of a job. Workspaces with lower numbers are more likely.
func (so source) workspace(lo Load) identifier.Workspace {
	point := so.Float64()
	for i := range lo.Workspaces {
		share := (1 + workspaceSkew*(float64(lo.Workspaces-1)/2-float64(i))) / float64(lo.Workspaces)
		if point -= share; point < 0 {
			return workspaceName(i)
		}
	}
	return workspaceName(lo.Workspaces - 1)
}

func workspaceName(i int) identifier.Workspace {
	return identifier.Workspace(fmt.Sprintf("workspace%d", i))
}

// criticalPath returns the run time of the job's critical path: the sum of the longest task
// of each step.
func (ar *arrival) criticalPath() clock.Millis {
	var sum clock.Millis
	for _, times := range ar.runTimes {
		sum += slices.Max(times)
	}
	return sum
}

// deadline returns the latest completion time at which the job meets its objective.
func (ar *arrival) deadline() clock.Millis {
	return ar.at + clock.Millis(ar.kind.SlowdownFactor*float64(ar.criticalPath())) + ar.kind.Objective
}

// cores returns a resource request in cores. An accelerator counts as 8 cores, as in the
// platform's pricing.
func cores(req workload.Resources) float64 {
	return float64(req.CPU)/1000 + 8*float64(req.Accelerators)
}

func seconds(d clock.Millis) float64 { return float64(d) / float64(clock.Second) }

// guarantees divides the guaranteed accelerators equally among the workspaces.
func (lo Load) guarantees() map[identifier.Workspace]meter.Accelerators {
	each := lo.GuaranteedFraction * float64(lo.Zones*lo.WorkersPerZone) * float64(lo.Capacity.Accelerators) / float64(lo.Workspaces)
	out := map[identifier.Workspace]meter.Accelerators{}
	for i := range lo.Workspaces {
		out[workspaceName(i)] = meter.Accelerators(each)
	}
	return out
}
