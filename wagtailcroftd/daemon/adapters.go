package daemon

import (
	"expvar"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/router"
	"github.com/wagtailcroft/wagtailcroft/shared/scheduler"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/executor"
)

type (
	// jobExplainer forwards queries about jobs to the executor. The heartbeater needs it
	// before the executor exists.
	jobExplainer struct{ executor *executor.Executor }

	// shares adapts the router to the leaser. It limits the router to the seats that this
	// instance holds, out of the total of the zone.
	shares struct {
		router *router.Router
		total  int32
	}
)

// Explain explains the state of a job of the zone; false if the job is not known.
func (je *jobExplainer) Explain(id identifier.Job) ([]string, bool) { return je.executor.Explain(id) }

// SetSeats sets the number of seats that the router may use.
func (sh shares) SetSeats(held int) {
	sh.router.SetSeats(router.Seats{Held: int32(held), Total: sh.total})
}

// FitsWithin reports whether the calls in flight fit within the given number of seats.
func (sh shares) FitsWithin(held int) bool {
	return sh.router.FitsWithin(router.Seats{Held: int32(held), Total: sh.total})
}

func policy(set settings.Scheduling) scheduler.Policy {
	preset := scheduler.Completion
	if set.Preset == settings.SchedulingPresetFragmentation {
		preset = scheduler.Fragmentation
	}
	po := scheduler.PolicyFor(preset)
	po.MaxPreemptions = set.MaxPreemptions
	return po
}

// metrics returns the variables of this instance that /debug/vars serves.
func (da *Daemon) metrics() *expvar.Map {
	ma := new(expvar.Map)
	ma.Set("tableVersion", expvar.Func(func() any { return da.Table.Version() }))
	ma.Set("tableConfirmed", expvar.Func(func() any { return da.Table.Confirmed() }))
	ma.Set("requestsInFlight", expvar.Func(func() any { return da.admitter.InFlight() }))
	ma.Set("outcomesUnsettled", expvar.Func(func() any { return da.Claims.PendingOutcomes() }))
	ma.Set("seats", expvar.Func(func() any { return da.Leases.Seats() }))
	ma.Set("scheduler", expvar.Func(func() any { _, held := da.Leases.SchedulerGrant(); return held }))
	ma.Set("jobs", expvar.Func(func() any { return da.Executor.Counts() }))
	ma.Set("storeAvailable", expvar.Func(func() any { return da.store.Available() }))
	ma.Set("controlBytes", expvar.Func(func() any { return da.traffic.Bytes() }))
	ma.Set("memstats", expvar.Get("memstats"))
	return ma
}
