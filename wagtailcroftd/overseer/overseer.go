// Package overseer serves the operator API for step jobs on every instance. The leader
// answers from its own state; any other instance queries the leader over net/rpc.
package overseer

import (
	"context"
	"expvar"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/controller"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/replier"
)

type (
	// Controller returns the state of all jobs and workers while this instance is the leader.
	Controller interface {
		View() (controller.View, bool)
	}

	// Leadership returns the current leader.
	Leadership interface {
		Leader(ctx context.Context) (ledger.Leader, error)
	}

	// Jobs reads jobs from the store, including those that have ended.
	Jobs interface {
		Find(ctx context.Context, id identifier.Job) (workload.State, string, error)
	}

	// Policies returns the configuration in force, or nil if none has been read yet.
	Policies interface {
		Current() *policy.Policy
	}

	// Caller calls net/rpc methods of other instances.
	Caller interface {
		Call(ctx context.Context, address, method string, args, reply any) error
	}

	// Options holds the dependencies of an Overseer.
	Options struct {
		Instance   identifier.Instance
		Zone       identifier.Zone
		Controller Controller
		Leadership Leadership
		Jobs       Jobs
		Policies   Policies
		Caller     Caller
		// Metrics serves the metrics as text.
		Metrics http.Handler
		Tracer  *tracer.Tracer
		Log     zerolog.Logger
	}

	// Overseer implements the operator API for step jobs.
	Overseer struct{ Options }
)

// New returns an overseer.
func New(op Options) *Overseer { return &Overseer{op} }

// Handler returns the handler of the operator API and of the metrics, as JSON
// under /debug/vars and as text under /metrics.
func (ov *Overseer) Handler() http.Handler {
	re := replier.New(ov.Log)
	strict := operator.NewStrictHandlerWithOptions(ov, nil, operator.StrictHTTPServerOptions{
		RequestErrorHandlerFunc: re.BadRequest, ResponseErrorHandlerFunc: re.Problem,
	})
	api := operator.HandlerWithOptions(strict, operator.GorillaServerOptions{BaseRouter: mux.NewRouter(), ErrorHandlerFunc: re.BadRequest})
	router := mux.NewRouter()
	router.Handle("/debug/vars", expvar.Handler())
	router.Handle("/metrics", ov.Metrics)
	router.PathPrefix("/v1/").Handler(ov.Tracer.Handler("entry.operator", api))
	return router
}

// ListJobs returns the jobs that have not ended.
func (ov *Overseer) ListJobs(ctx context.Context, _ operator.ListJobsRequestObject) (operator.ListJobsResponseObject, error) {
	snapshot, err := ov.overview(ctx)
	if err != nil {
		return nil, err
	}
	return operator.ListJobs200JSONResponse{Jobs: snapshot.Jobs}, nil
}

// ShowJob returns one job. Only the state and the reason are kept for a job that has ended.
func (ov *Overseer) ShowJob(ctx context.Context, req operator.ShowJobRequestObject) (operator.ShowJobResponseObject, error) {
	jo, err := ov.job(ctx, req.JobID)
	if err != nil {
		return nil, err
	}
	return operator.ShowJob200JSONResponse(jo), nil
}

// WhyJob explains what each step of a job waits for, or where it runs.
func (ov *Overseer) WhyJob(ctx context.Context, req operator.WhyJobRequestObject) (operator.WhyJobResponseObject, error) {
	jo, err := ov.job(ctx, req.JobID)
	if err != nil {
		return nil, err
	}
	lines := slices.Clone(jo.Why)
	if jo.Reason != "" {
		lines = append(lines, jo.Reason)
	}
	return operator.WhyJob200JSONResponse{JobID: jo.JobID, State: jo.State, Lines: append([]string{}, lines...)}, nil
}

// job looks a job up at the leader, and in the store if the leader does not have it.
func (ov *Overseer) job(ctx context.Context, id identifier.Job) (operator.JobView, error) {
	snapshot, err := ov.overview(ctx)
	if err != nil {
		return operator.JobView{}, err
	}
	if i := slices.IndexFunc(snapshot.Jobs, func(jo operator.JobView) bool { return jo.JobID == id }); i >= 0 {
		return snapshot.Jobs[i], nil
	}
	state, reason, err := ov.Jobs.Find(ctx, id)
	if err != nil {
		return operator.JobView{}, err
	}
	return operator.JobView{JobID: id, State: state.String(), Reason: reason, Workers: []identifier.Worker{}}, nil
}

// ListTargets returns the workers of all zones.
func (ov *Overseer) ListTargets(ctx context.Context, _ operator.ListTargetsRequestObject) (operator.ListTargetsResponseObject, error) {
	snapshot, err := ov.overview(ctx)
	if err != nil {
		return nil, err
	}
	return operator.ListTargets200JSONResponse{Targets: snapshot.Targets}, nil
}

// ListWorkspaces returns the accelerators that each workspace is guaranteed, uses, borrows
// and waits for.
func (ov *Overseer) ListWorkspaces(ctx context.Context, _ operator.ListWorkspacesRequestObject) (operator.ListWorkspacesResponseObject, error) {
	snapshot, err := ov.overview(ctx)
	if err != nil {
		return nil, err
	}
	return operator.ListWorkspaces200JSONResponse{Workspaces: snapshot.Workspaces}, nil
}

// ListZones returns the availability zones of the workers, and those that are evacuated.
func (ov *Overseer) ListZones(ctx context.Context, _ operator.ListZonesRequestObject) (operator.ListZonesResponseObject, error) {
	snapshot, err := ov.overview(ctx)
	if err != nil {
		return nil, err
	}
	return operator.ListZones200JSONResponse{Zones: snapshot.Zones}, nil
}

// GetStatus returns this instance with its configuration version, and the leader if it is
// another instance.
func (ov *Overseer) GetStatus(ctx context.Context, _ operator.GetStatusRequestObject) (operator.GetStatusResponseObject, error) {
	leader, err := ov.Leadership.Leader(ctx)
	if err != nil {
		return nil, err
	}
	status := operator.Status{TableVersion: ov.version()}
	status.Instances = append(status.Instances, operator.InstanceView{
		Instance: ov.Instance, Zone: ov.Zone, TableVersion: ov.version(), State: operator.InstanceViewStateConfirmed, Scheduler: leader.Instance == ov.Instance,
	})
	if leader.Instance != "" && leader.Instance != ov.Instance {
		status.Instances = append(status.Instances, operator.InstanceView{Instance: leader.Instance, State: operator.InstanceViewStateConfirmed, Scheduler: true})
	}
	return operator.GetStatus200JSONResponse(status), nil
}

func (ov *Overseer) version() meter.TableVersion {
	if po := ov.Policies.Current(); po != nil {
		return meter.TableVersion(po.Version)
	}
	return 0
}

// GetTable returns the workspaces of the configuration in force on this instance. The
// platform states a guarantee as a number of accelerators on any workers, which is shown as
// that many single-accelerator shapes. It has no weights and no limits.
func (ov *Overseer) GetTable(context.Context, operator.GetTableRequestObject) (operator.GetTableResponseObject, error) {
	po := ov.Policies.Current()
	if po == nil {
		return nil, problem.New(problem.Unconfirmed, "no configuration has been read yet")
	}
	table := operator.Table{TableVersion: ov.version(), Confirmed: true, Rows: []operator.RowView{}}
	for _, ws := range po.Workspaces {
		row := operator.RowView{Workspace: ws.Name, RowVersion: po.Version, Cells: types.Cells{Weight: 1, UrgentAllowed: true, TokenDigests: []string{}}}
		row.Cells.Guarantees = []types.Guarantee{}
		if ws.Guaranteed > 0 {
			shape := types.Shape{Members: 1, Accelerators: 1, Adjacency: types.AdjacencyWorker}
			row.Cells.Guarantees = append(row.Cells.Guarantees, types.Guarantee{Count: int32(ws.Guaranteed), Shape: shape})
		}
		for _, key := range ws.APIKeys {
			row.Cells.TokenDigests = append(row.Cells.TokenDigests, identifier.Digest(key))
		}
		table.Rows = append(table.Rows, row)
	}
	return operator.GetTable200JSONResponse(table), nil
}

// SetRow is not supported: the configuration is edited in the platform's store.
func (ov *Overseer) SetRow(context.Context, operator.SetRowRequestObject) (operator.SetRowResponseObject, error) {
	return nil, problem.New(problem.KeptByPlatform, "the table of workspaces")
}

// GetHistory is not supported: the platform's store keeps the configuration.
func (ov *Overseer) GetHistory(context.Context, operator.GetHistoryRequestObject) (operator.GetHistoryResponseObject, error) {
	return nil, problem.New(problem.KeptByPlatform, "the history of the configuration")
}

// DrainTarget is not supported: workers report on their own that they are draining, and
// machines are drained by a maintenance wave.
func (ov *Overseer) DrainTarget(context.Context, operator.DrainTargetRequestObject) (operator.DrainTargetResponseObject, error) {
	return nil, problem.New(problem.KeptByPlatform, "the maintenance of machines")
}

// CancelAnyJob is not supported: cancelling a job needs an API key of its workspace.
func (ov *Overseer) CancelAnyJob(context.Context, operator.CancelAnyJobRequestObject) (operator.CancelAnyJobResponseObject, error) {
	return nil, problem.New(problem.KeptByPlatform, "the cancellation of jobs, which needs an API key of the job's workspace")
}
