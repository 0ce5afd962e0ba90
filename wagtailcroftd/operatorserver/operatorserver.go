// Package operatorserver serves the operator API over HTTP, together with the readiness
// check of the load balancer and the metrics. It only translates messages into calls; the
// decisions are made elsewhere.
package operatorserver

import (
	"context"
	"expvar"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/heartbeater"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/replier"
)

type (
	// Options holds the dependencies of a Server.
	Options struct {
		Zone    identifier.Zone
		Tracer  *tracer.Tracer
		Replier *replier.Replier
		// TokenDigests holds the digests of the operators' bearer tokens.
		TokenDigests []string
		// MaxBodyBytes is the size limit of a request body.
		MaxBodyBytes meter.Bytes
		Table        Table
		Jobs         Jobs
		Peers        Peers
		Targets      Targets
		Inventories  Inventories
		Schedulers   Schedulers
		Gangs        Gangs
		// Ready reports whether the load balancer should send callers to this instance.
		Ready func() bool
		// Metrics is served under /debug/vars.
		Metrics *expvar.Map
	}

	// Table reads and edits the shared table.
	Table interface {
		Refresh(ctx context.Context) error
		Snapshot() configurer.Snapshot
		Plan(ctx context.Context, ed configurer.Edit) (configurer.Plan, error)
		Apply(ctx context.Context, ed configurer.Edit) (configurer.Plan, error)
		Drain(ctx context.Context, target identifier.Target, undo bool) error
		History(ctx context.Context, ws identifier.Workspace) ([]rows.HistoryRow, error)
	}

	// Jobs reads and cancels gang jobs.
	Jobs interface {
		Get(ctx context.Context, ws identifier.Workspace, id identifier.Job) (rows.JobRow, error)
		List(ctx context.Context) ([]rows.JobRow, error)
		Cancel(ctx context.Context, ws identifier.Workspace, id identifier.Job) (rows.JobRow, error)
	}

	// Peers lists the other entry instances and queries them about jobs.
	Peers interface {
		ReadAllZones(ctx context.Context) error
		Members() []heartbeater.Member
		AskWhy(ctx context.Context, in identifier.Instance, job identifier.Job) ([]string, bool, error)
	}

	// Targets lists the targets of this zone.
	Targets interface {
		Workers() []platform.InventoryWorker
		Runners() []platform.InventoryRunner
	}

	// Inventories reads the platform's inventory of targets of any zone.
	Inventories interface {
		Inventory(ctx context.Context, zone identifier.Zone, since meter.RowVersion) (platform.Inventory, error)
	}

	// Schedulers returns the instance that schedules a zone.
	Schedulers interface {
		SchedulerOf(ctx context.Context, zone identifier.Zone) (identifier.Instance, error)
	}

	// Gangs lists the quarantined workers.
	Gangs interface {
		Quarantined() []identifier.Worker
	}

	// Server implements the operator API.
	Server struct{ Options }
)

// New returns the handler of the operator API.
func New(op Options) http.Handler {
	se := &Server{Options: op}
	strict := operator.NewStrictHandlerWithOptions(se, nil, operator.StrictHTTPServerOptions{
		RequestErrorHandlerFunc:  op.Replier.BadRequest,
		ResponseErrorHandlerFunc: op.Replier.Problem,
	})
	api := operator.HandlerWithOptions(strict, operator.GorillaServerOptions{
		BaseRouter:       mux.NewRouter(),
		ErrorHandlerFunc: op.Replier.BadRequest,
	})
	router := mux.NewRouter()
	router.HandleFunc("/ready", se.ready)
	router.HandleFunc("/debug/vars", se.vars)
	router.PathPrefix("/v1/").Handler(op.Tracer.Handler("entry.operator", se.authenticate(replier.LimitBody(op.MaxBodyBytes, api))))
	return router
}

func (se *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !se.Ready() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// vars serves this instance's metrics rather than those of package expvar, because several
// instances may share a process in tests.
func (se *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(se.Metrics.String()))
}

func (se *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(se.TokenDigests, identifier.Digest(replier.BearerToken(r))) {
			se.Replier.Problem(w, r, problem.New(problem.BadToken, "the token belongs to no operator"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
