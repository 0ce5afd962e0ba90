package simulator

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// baseWorth is the fraction of a job's worth that does not depend on its work.
	baseWorth = 0.3
	// maxWorth is the maximum worth of a job, relative to that of its kind.
	maxWorth = 4
	// lateFactor is the multiple of its time objective within which a late job still earns
	// credit.
	lateFactor = 3
	// windowLength is the length of the arrival windows. The two worst windows of a day are a
	// part of its worth.
	windowLength = 5 * clock.Second
	// recoveryWindow is the length of the windows by which the recovery from a disturbance is measured, and
	// recoveredCredit the credit of a window that is served as usual.
	recoveryWindow  = 2 * clock.Second
	recoveredCredit = 0.9

	// Weights of the parts of a day's worth.
	weightDay       = 0.36
	weightKind      = 0.2
	weightZone      = 0.28
	weightWorkspace = 0.16
	weightWindow    = 0.14

	// Causes for which the work of a run is lost.
	notLost          lossCause = 0
	lostToPreemption lossCause = 1
	lostWithWorker   lossCause = 2
	lostWithMember   lossCause = 3
	lostByCancel     lossCause = 4
)

type (
	lossCause int

	// Result is the result of a day. Credit is given as a fraction of the credit owed, which is
	// what would be earned if every job met its objective.
	Result struct {
		// Worth is the weighted mean of the parts below, minus WastePenalty.
		Worth float64
		// Day is the credit of the whole day. WorstKind, WorstZone and WorstWorkspace are the
		// credit of the worst kind, zone and workspace, and WorstWindows is the mean credit of
		// the two worst arrival windows.
		Day, WorstKind, WorstZone, WorstWorkspace, WorstWindows float64
		// ByKind holds the credit of each kind.
		ByKind map[identifier.Queue]float64
		// Waste is the work that was lost when runs were stopped, in core-seconds. WastePenalty
		// is the penalty for it as a fraction of the credit owed.
		Waste, WastePenalty float64
		// Kept is the number of accelerators times the seconds for which they were kept free for gangs that
		// did not fit yet.
		Kept float64
		// Recovery is the time from the end of the last burst or departure until the jobs that arrive in a
		// short window earn recoveredCredit again, or until the end of the arrivals.
		Recovery clock.Millis
		// Lost is Waste by its cause.
		Lost map[string]float64
		// Preemptions is the number of stops that the policy requested. CrossRackTasks is the
		// number of tasks of gangs that requested a single rack and were placed on several.
		Preemptions, CrossRackTasks int

		// ended holds the completion times of the jobs that reached a final state.
		ended map[identifier.Job]clock.Millis
	}

	// account sums up the credit earned and the credit owed.
	account struct{ earned, owed float64 }
)

func (re *Result) recordEnd(id identifier.Job, at clock.Millis) {
	if re.ended == nil {
		re.ended = map[identifier.Job]clock.Millis{}
	}
	re.ended[id] = at
}

// recordLoss adds lost work in core-seconds.
func (re *Result) recordLoss(cause lossCause, work float64) {
	if re.Lost == nil {
		re.Lost = map[string]float64{}
	}
	re.Waste += work
	re.Lost[cause.String()] += work
}

func (lc lossCause) String() string {
	return [...]string{"other", "preempted", "workerLeft", "memberEnded", "cancelled"}[lc]
}

func (ac *account) add(earned, owed float64) {
	ac.earned += earned
	ac.owed += owed
}

func (ac *account) ratio() float64 {
	if ac.owed == 0 {
		return 1
	}
	return ac.earned / ac.owed
}

// computeResult computes the result of the day. Cancelled jobs do not count.
func (da *day) computeResult() {
	means := da.meanWork()
	total := &account{}
	kinds, zones, workspaces, windows := map[identifier.Queue]*account{}, map[int]*account{}, map[identifier.Workspace]*account{}, map[int]*account{}
	recovering := map[int]*account{}
	disturbed := da.load.disturbedUntil()
	for _, ar := range da.arrivals {
		if ar.cancelled > 0 {
			continue
		}
		share := min(baseWorth+(1-baseWorth)*ar.coreSeconds/means[ar.kind.Name], maxWorth)
		earned, owed := da.credit(ar)*share, ar.kind.Credit*share
		total.add(earned, owed)
		accountOf(kinds, ar.kind.Name).add(earned, owed)
		accountOf(zones, ar.zone).add(earned, owed)
		accountOf(workspaces, ar.job.Workspace).add(earned, owed)
		accountOf(windows, int(ar.at/windowLength)).add(earned, owed)
		if ar.at >= disturbed {
			accountOf(recovering, int((ar.at-disturbed)/recoveryWindow)).add(earned, owed)
		}
	}
	re := &da.result
	re.Day, re.WorstKind, re.WorstZone, re.WorstWorkspace = total.ratio(), meanOfWorst(kinds, 1), meanOfWorst(zones, 1), meanOfWorst(workspaces, 1)
	re.WorstWindows = meanOfWorst(windows, 2)
	for re.Recovery < da.load.Length-disturbed && accountOf(recovering, int(re.Recovery/recoveryWindow)).ratio() < recoveredCredit {
		re.Recovery += recoveryWindow
	}
	re.ByKind = map[identifier.Queue]float64{}
	for name, ac := range kinds {
		re.ByKind[name] = ac.ratio()
	}
	re.WastePenalty = da.load.WastePenalty * re.Waste / max(total.owed, 1)
	re.Worth = weightDay*re.Day + weightKind*re.WorstKind + weightZone*re.WorstZone + weightWorkspace*re.WorstWorkspace + weightWindow*re.WorstWindows
	re.Worth = re.Worth/(weightDay+weightKind+weightZone+weightWorkspace+weightWindow) - re.WastePenalty
}

// disturbedUntil returns when the last burst has ended and the last worker that left has been replaced.
func (lo Load) disturbedUntil() clock.Millis {
	var last clock.Millis
	for _, bu := range lo.Bursts {
		last = max(last, bu.From+bu.Length)
	}
	for _, de := range lo.Departures {
		last = max(last, de.At+de.Notice+de.Away)
	}
	return last
}

// credit returns the credit that a job earned, which depends on how late it ended. A job that
// always fails earns credit if it ended as failed, any other job if it did not.
func (da *day) credit(ar *arrival) float64 {
	at := da.result.ended[ar.job.ID]
	if at == 0 || (ar.job.State == workload.Failed) != ar.alwaysFails {
		return 0
	}
	switch {
	case at <= ar.deadline():
		return ar.kind.Credit
	case at-ar.at <= lateFactor*(ar.deadline()-ar.at):
		return ar.kind.LateCredit
	}
	return 0
}

func (da *day) meanWork() map[identifier.Queue]float64 {
	sums, counts := map[identifier.Queue]float64{}, map[identifier.Queue]float64{}
	for _, ar := range da.arrivals {
		sums[ar.kind.Name] += ar.coreSeconds
		counts[ar.kind.Name]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}

func accountOf[K comparable](accounts map[K]*account, key K) *account {
	if accounts[key] == nil {
		accounts[key] = &account{}
	}
	return accounts[key]
}

// meanOfWorst returns the mean ratio of the count accounts with the lowest ratios.
func meanOfWorst[K comparable](accounts map[K]*account, count int) float64 {
	ratios := make([]float64, 0, len(accounts))
	for _, ac := range accounts {
		ratios = append(ratios, ac.ratio())
	}
	slices.Sort(ratios)
	if len(ratios) == 0 {
		return math.NaN()
	}
	ratios = ratios[:min(count, len(ratios))]
	sum := 0.0
	for _, ra := range ratios {
		sum += ra
	}
	return sum / float64(len(ratios))
}
