package planner

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// runSpread is the standard deviation of the logarithm of run times against what was expected.
	runSpread = 0.2
	// reserveMillis is what it costs to give a worker that urgent work needs to other work. It is a quarter
	// of a worker, so that pieces are not left free for it.
	reserveMillis = workerMillis / 4
	// maxPaces is the number of paces that are compared for a gang.
	maxPaces = 4
	// paceStep is the least ratio of two paces that are compared.
	paceStep = 1.15
)

// pace is what a candidate loses on slow workers.
type pace struct {
	// ran is the expected run time of a task on a normal worker; 0 means that speed makes no difference.
	ran float64
	// left is the time that the stage may take until the job misses its objective, and objective is that.
	left, objective float64
	// normal is the loss on a normal worker.
	normal float64
}

// factor returns by what the worker multiplies run times; 1 if that is not known.
func (wo *Worker) factor() float64 {
	if wo.Factor <= 0 {
		return 1
	}
	return wo.Factor
}

// doubtful returns the factor that the worker is not expected to exceed by much. A worker of which little is
// known may be slow, and a gang waits for the slowest of many.
func (wo *Worker) doubtful() float64 {
	if wo.Deviation == 0 {
		return wo.factor()
	}
	return wo.factor() * math.Exp(wo.Deviation)
}

// RunTime returns the expected run time of a task of a step on a worker.
func (in *Input) RunTime(jo *workload.Job, step int, wo *Worker) clock.Millis {
	ran := jo.Steps[step].Estimate
	if in.ExpectedRunTime != nil {
		ran = in.ExpectedRunTime(jo, step)
	}
	return clock.Millis(float64(ran) * wo.factor())
}

// isUneven reports whether some workers are known to be faster than others.
func isUneven(workers []Worker) bool {
	return slices.ContainsFunc(workers, func(wo Worker) bool { return wo.doubtful() != 1 })
}

// paceOf answers urgent work on uneven workers: it returns what the candidate loses on slow ones.
func (ro *round) paceOf(ca candidate) pace {
	if !ro.uneven || ca.terms.SlowdownFactor == 0 || ca.step.LongRunning {
		return pace{}
	}
	total, remaining := ro.chain(ca)
	ran := ro.expected(ca.job, ca.stage.Step)
	objective := clock.Millis(ca.terms.SlowdownFactor*float64(total)) + ca.terms.Objective
	waited := ro.in.WaitTime(ca.job.ID)
	if waited+remaining > lateFactor*objective {
		return pace{} // it is of no use any more
	}
	pa := pace{ran: float64(ran), left: float64(objective - waited - (remaining - ran)), objective: float64(objective)}
	pa.normal = pa.loss(1)
	return pa
}

// loss returns how much longer the job is expected to take beyond its objective if the stage runs on workers
// of a factor. A job that misses its objective has lost that too.
func (pa pace) loss(factor float64) float64 {
	if pa.ran <= 0 {
		return 0
	}
	ran := pa.ran * factor
	if pa.left <= 0 {
		return pa.objective + ran - pa.left
	}
	distance := math.Log(ran/pa.left) / runSpread
	missed := normal(distance)
	return missed*pa.objective + ran*normal(distance+runSpread) - missed*pa.left
}

// millis returns the cost of a factor against that of a normal worker.
func (pa pace) millis(factor float64) float64 {
	if pa.ran <= 0 || factor == 1 {
		return 0
	}
	return pa.loss(factor) - pa.normal
}

// normal is the distribution function of the standard normal distribution.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// paceCost returns the cost of a worker's speed: that of a gang is in gangCost.
func (ro *round) paceCost(ca candidate, sl *slot) float64 {
	if !ro.uneven {
		return 0
	}
	cost := ro.reserveCost(ca, sl)
	if !ca.step.Gang {
		cost += ca.pace.millis(sl.worker.doubtful())
	}
	return cost
}

// reserveCost answers other work on the workers that urgent work needs: it prefers the slow ones, where its
// own objective leaves the time.
func (ro *round) reserveCost(ca candidate, sl *slot) float64 {
	tightest := ro.tightest[ca.terms.Pool]
	if ca.terms.Priority == 0 || tightest == 0 || sl.worker.doubtful() == 1 {
		return 0
	}
	return reserveMillis * (meets(tightest, sl.worker.doubtful()) - meets(tightest, 1))
}

// meets returns how likely work meets an objective of so many times its run time on a worker of a factor.
func meets(slowdown, factor float64) float64 {
	return normal(math.Log(slowdown/factor) / runSpread)
}

// gangCost returns what the members of a gang lose at the pace of the slowest.
func gangCost(ca candidate, found []*slot) float64 {
	if ca.pace.ran <= 0 || !ca.step.Gang {
		return 0
	}
	return float64(len(found)) * ca.pace.millis(slowest(found))
}

func slowest(slots []*slot) float64 {
	most := 0.0
	for _, sl := range slots {
		most = max(most, sl.worker.doubtful())
	}
	return most
}

// packGang answers gangs on uneven workers: it places the members on workers of like speed, at the pace that
// costs least in all.
func (ro *round) packGang(ca candidate, slots []*slot, count int, view func(*slot) workload.Resources) []*slot {
	var best []*slot
	least := 0.0
	for _, most := range pacesOf(slots) {
		found, cost := ro.packSlots(ca, slots, count, view, most)
		if found == nil {
			continue
		}
		if cost += gangCost(ca, found); best == nil || cost < least {
			best, least = found, cost
		}
	}
	return best
}

// pacesOf returns the paces to compare, the fastest first. The last one includes all slots.
func pacesOf(slots []*slot) []float64 {
	factors := make([]float64, 0, len(slots))
	for _, sl := range slots {
		factors = append(factors, sl.worker.doubtful())
	}
	slices.Sort(factors)
	var paces []float64
	for i := len(factors) - 1; i >= 0 && len(paces) < maxPaces; i-- {
		if len(paces) == 0 || factors[i]*paceStep < paces[len(paces)-1] {
			paces = append(paces, factors[i])
		}
	}
	slices.Reverse(paces)
	return paces
}

// tightestObjectives returns, for each pool, the least slowdown that urgent work allows.
func tightestObjectives(in Input) map[identifier.Pool]float64 {
	tightest := map[identifier.Pool]float64{}
	for _, qu := range in.Queues {
		if qu.Priority == 0 && qu.SlowdownFactor > 0 && (tightest[qu.Pool] == 0 || qu.SlowdownFactor < tightest[qu.Pool]) {
			tightest[qu.Pool] = qu.SlowdownFactor
		}
	}
	return tightest
}
