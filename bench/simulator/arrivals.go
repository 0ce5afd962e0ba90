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
	// mostSteps bounds the number of steps of a job.
	mostSteps = 3
	// workspaceSkew is by how much one workspace sends more than the next.
	workspaceSkew = 0.3
	// leastWork bounds the run time of a task from below.
	leastWork = 200 * clock.Millis(1)
)

type (
	// arrival is a job with what the planner is not told.
	arrival struct {
		job  *workload.Job
		kind *Kind
		at   clock.Millis
		zone int
		// work holds the true run time of each task of each step.
		work [][]clock.Millis
		// cancelled is when the job is withdrawn; 0 means never.
		cancelled clock.Millis
		// hopeless means that every run fails.
		hopeless bool
		// coreSeconds is all its work, an accelerator counted as 8 cores.
		coreSeconds float64
	}

	source struct{ *rand.Rand }
)

// around returns a number about a mean, with a deviation of the logarithm.
func (so source) around(mean, spread float64) float64 {
	return mean * math.Exp(so.NormFloat64()*spread-spread*spread/2)
}

// arrivals draws the jobs of a day, in order of time.
func arrivals(lo Load, so source) []*arrival {
	var all []*arrival
	for i := range lo.Kinds {
		ki := &lo.Kinds[i]
		for at := clock.Millis(0); ; {
			rate := ki.PerSecond * lo.Rate * lo.multiple(ki.Name, at)
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

// multiple is how much more often jobs of a kind come at a time.
func (lo Load) multiple(kind identifier.Queue, at clock.Millis) float64 {
	for _, bu := range lo.Bursts {
		if bu.Kind == kind && at >= bu.From && at < bu.From+bu.Length {
			return bu.Multiple
		}
	}
	return 1
}

func newArrival(lo Load, ki *Kind, at clock.Millis, so source) *arrival {
	ar := &arrival{kind: ki, at: at, zone: so.IntN(lo.Zones), hopeless: so.Float64() < ki.Hopeless}
	ar.job = &workload.Job{Queue: ki.Name, Workspace: so.workspace(lo), Accepted: at, Occurrences: 1}
	mean := so.around(float64(ki.Work), ki.WorkSpread)
	gang, checkpoints := so.Float64() < ki.Gang, so.Float64() < ki.Checkpoints
	sameRack := so.Float64() < ki.SameRack
	accelerators := ki.Accelerators[so.IntN(len(ki.Accelerators))]
	for step := range min(max(int(math.Round(so.around(ki.Steps, 0.4))), 1), mostSteps) {
		width := min(max(int(math.Round(so.around(ki.Width, ki.WidthSpread))), 1), ki.MostWidth)
		st := workload.Step{
			Count: width, Need: ki.Need, Estimate: clock.Millis(so.around(mean, ki.EstimateOff)),
			Gang: gang && width > 1, SameRack: sameRack && width > 1 && gang, Checkpoints: checkpoints,
		}
		st.Need.Accelerators = accelerators
		st.SameRack = st.SameRack && lo.onRack(st.Need) >= width
		if step > 0 {
			st.After = []int{step - 1}
		}
		ar.job.Steps = append(ar.job.Steps, st)
		ar.work = append(ar.work, ar.draw(st, mean, so))
	}
	ar.job.Due(0)
	if so.Float64() < ki.Cancelled {
		ar.cancelled = at + clock.Millis(so.Float64()*float64(8*clock.Second)) + 1
	}
	return ar
}

// onRack is how many equal tasks an empty rack holds; wider gangs do not ask for one.
func (lo Load) onRack(need workload.Room) int {
	times := min(int(lo.Capacity.CPU/need.CPU), int(lo.Capacity.Memory/need.Memory), int(lo.Capacity.Accelerators/need.Accelerators))
	return times * lo.PerRack
}

// draw draws the run times of a step's tasks; the members of a gang end together.
func (ar *arrival) draw(st workload.Step, mean float64, so source) []clock.Millis {
	work := make([]clock.Millis, st.Count)
	for i := range work {
		if st.Gang && i > 0 {
			work[i] = work[0]
		} else {
			work[i] = min(max(clock.Millis(so.around(mean, ar.kind.Uneven)), leastWork), ar.kind.MostWork)
		}
		ar.coreSeconds += cores(st.Need) * seconds(work[i])
	}
	return work
}

// workspace draws one; the first send more than the last.
func (so source) workspace(lo Load) identifier.Workspace {
	at := so.Float64()
	for i := range lo.Workspaces {
		share := (1 + workspaceSkew*(float64(lo.Workspaces-1)/2-float64(i))) / float64(lo.Workspaces)
		if at -= share; at < 0 {
			return workspaceName(i)
		}
	}
	return workspaceName(lo.Workspaces - 1)
}

func workspaceName(i int) identifier.Workspace {
	return identifier.Workspace(fmt.Sprintf("workspace%d", i))
}

// chain is the time of the job's longest chain of work.
func (ar *arrival) chain() clock.Millis {
	var sum clock.Millis
	for _, work := range ar.work {
		sum += slices.Max(work)
	}
	return sum
}

// deadline is until when the job is in time.
func (ar *arrival) deadline() clock.Millis {
	return ar.at + clock.Millis(ar.kind.Stretch*float64(ar.chain())) + ar.kind.Objective
}

// cores counts an accelerator as 8 cores, as the platform prices it.
func cores(need workload.Room) float64 {
	return float64(need.CPU)/1000 + 8*float64(need.Accelerators)
}

func seconds(d clock.Millis) float64 { return float64(d) / float64(clock.Second) }

// guarantees divides what is sure among the workspaces.
func (lo Load) guarantees() map[identifier.Workspace]meter.Accelerators {
	each := lo.Sure * float64(lo.Zones*lo.PerZone) * float64(lo.Capacity.Accelerators) / float64(lo.Workspaces)
	out := map[identifier.Workspace]meter.Accelerators{}
	for i := range lo.Workspaces {
		out[workspaceName(i)] = meter.Accelerators(each)
	}
	return out
}
