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
	// answerer passes questions on to the executor, which is made after its peers.
	answerer struct{ gangs *executor.Executor }

	// shares tells the router how many seats are in use.
	shares struct {
		routes *router.Router
		of     int32
	}
)

// Why explains a job of the zone.
func (an *answerer) Why(id identifier.Job) ([]string, bool) { return an.gangs.Why(id) }

// Use sets the number of seats in use.
func (sh shares) Use(held int) { sh.routes.SetSeats(router.Seats{Held: int32(held), Of: sh.of}) }

// Within reports whether no more than that is in use.
func (sh shares) Within(held int) bool {
	return sh.routes.Within(router.Seats{Held: int32(held), Of: sh.of})
}

func policy(set settings.Scheduling) scheduler.Policy {
	preset := scheduler.Completion
	if set.Preset == settings.SchedulingPresetFragmentation {
		preset = scheduler.Fragmentation
	}
	po := scheduler.For(preset)
	po.MaxPreemptions = set.MaxPreemptions
	return po
}

// metrics is what /debug/vars shows of this instance.
func (da *Daemon) metrics() *expvar.Map {
	ma := new(expvar.Map)
	ma.Set("tableVersion", expvar.Func(func() any { return da.Table.Version() }))
	ma.Set("tableConfirmed", expvar.Func(func() any { return da.Table.Confirmed() }))
	ma.Set("requestsInFlight", expvar.Func(func() any { return da.admit.InFlight() }))
	ma.Set("outcomesUnsettled", expvar.Func(func() any { return da.Claims.Unsettled() }))
	ma.Set("seats", expvar.Func(func() any { return da.Leases.Seats() }))
	ma.Set("scheduler", expvar.Func(func() any { _, held := da.Leases.Scheduler(); return held }))
	ma.Set("jobs", expvar.Func(func() any { return da.Gangs.Counts() }))
	ma.Set("storeAvailable", expvar.Func(func() any { return da.store.Available() }))
	ma.Set("controlBytes", expvar.Func(func() any { return da.wire.Bytes() }))
	ma.Set("memstats", expvar.Get("memstats"))
	return ma
}
