package simulator

import (
	"math"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	// baseWorth is the part of a job's worth that does not grow with its work.
	baseWorth = 0.3
	// mostWorth bounds the worth of a job, relative to that of its kind.
	mostWorth = 4
	// lateFactor is how many times the objective a late job may take.
	lateFactor = 3
	// window is the span of arrivals of which the two worst count by themselves.
	window = 5 * clock.Second
)

// The weights of the parts of a day's worth.
const (
	weightWhole  = 0.36
	weightKind   = 0.2
	weightZone   = 0.28
	weightTenant = 0.16
	weightWindow = 0.14
)

type (
	// Result is what a day came to; the shares are of what was owed.
	Result struct {
		// Worth is the weighted sum of the parts less the price of what was thrown away.
		Worth float64
		// Whole, Kind, Zone, Workspace and Window are the credit of the whole day and of the
		// worst of each.
		Whole, Kind, Zone, Workspace, Window float64
		// ByKind holds the credit of each kind.
		ByKind map[identifier.Queue]float64
		// Waste is the work that was stopped and not saved, in core-seconds, and WasteShare
		// its price.
		Waste, WasteShare float64
		// Preempted counts the stops that the policy asked for, Far the tasks of gangs that
		// had to span racks.
		Preempted, Far int

		ended map[identifier.Job]clock.Millis
	}

	// account is credit earned of credit owed.
	account struct{ earned, owed float64 }
)

func (re *Result) note(id identifier.Job, at clock.Millis) {
	if re.ended == nil {
		re.ended = map[identifier.Job]clock.Millis{}
	}
	re.ended[id] = at
}

func (ac *account) add(earned, owed float64) {
	ac.earned += earned
	ac.owed += owed
}

func (ac *account) share() float64 {
	if ac.owed == 0 {
		return 1
	}
	return ac.earned / ac.owed
}

// settle works out the result of the day.
func (da *day) settle() {
	means := da.meanWork()
	whole := &account{}
	kinds, zones, workspaces, windows := map[identifier.Queue]*account{}, map[int]*account{}, map[identifier.Workspace]*account{}, map[int]*account{}
	for _, ar := range da.arrivals {
		if ar.cancelled > 0 {
			continue
		}
		share := min(baseWorth+(1-baseWorth)*ar.coreSeconds/means[ar.kind.Name], mostWorth)
		earned, owed := da.earned(ar)*share, ar.kind.Worth*share
		whole.add(earned, owed)
		entry(kinds, ar.kind.Name).add(earned, owed)
		entry(zones, ar.zone).add(earned, owed)
		entry(workspaces, ar.job.Workspace).add(earned, owed)
		entry(windows, int(ar.at/window)).add(earned, owed)
	}
	re := &da.result
	re.Whole, re.Kind, re.Zone, re.Workspace = whole.share(), worst(kinds, 1), worst(zones, 1), worst(workspaces, 1)
	re.Window = worst(windows, 2)
	re.ByKind = map[identifier.Queue]float64{}
	for name, ac := range kinds {
		re.ByKind[name] = ac.share()
	}
	re.WasteShare = da.load.WastePrice * re.Waste / max(whole.owed, 1)
	re.Worth = weightWhole*re.Whole + weightKind*re.Kind + weightZone*re.Zone + weightTenant*re.Workspace + weightWindow*re.Window
	re.Worth = re.Worth/(weightWhole+weightKind+weightZone+weightTenant+weightWindow) - re.WasteShare
}

// earned is the credit of a job: a hopeless one earns when it is shown as failed.
func (da *day) earned(ar *arrival) float64 {
	at := da.result.ended[ar.job.ID]
	if at == 0 || (ar.job.State == workload.Failed) != ar.hopeless {
		return 0
	}
	switch {
	case at <= ar.deadline():
		return ar.kind.Worth
	case at-ar.at <= lateFactor*(ar.deadline()-ar.at):
		return ar.kind.Late
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

func entry[K comparable](accounts map[K]*account, key K) *account {
	if accounts[key] == nil {
		accounts[key] = &account{}
	}
	return accounts[key]
}

// worst is the mean share of the count worst accounts.
func worst[K comparable](accounts map[K]*account, count int) float64 {
	shares := make([]float64, 0, len(accounts))
	for _, ac := range accounts {
		shares = append(shares, ac.share())
	}
	slices.Sort(shares)
	if len(shares) == 0 {
		return math.NaN()
	}
	shares = shares[:min(count, len(shares))]
	sum := 0.0
	for _, sh := range shares {
		sum += sh
	}
	return sum / float64(len(shares))
}
