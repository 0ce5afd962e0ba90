// Package callerserver serves the caller API over HTTP. It only translates messages into
// calls of the dispatcher and the registrar; the decisions are made there.
package callerserver

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/wagtailcroft/wagtailcroft/shared/admitter"
	"github.com/wagtailcroft/wagtailcroft/shared/checker"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/dispatcher"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/registrar"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/replier"
)

const maxWait = 60 * clock.Second

var bodyChecker = checker.New(problem.BadBody, "json")

type (
	// Options holds the dependencies of a Server.
	Options struct {
		Clock    clock.Clock
		Tracer   *tracer.Tracer
		Replier  *replier.Replier
		Table    Table
		Requests Requests
		Jobs     Jobs
		// MaxBodyBytes is the size limit of a request body.
		MaxBodyBytes meter.Bytes
	}

	// Table is this instance's view of the shared table.
	Table interface {
		WorkspaceForToken(token string) (identifier.Workspace, bool)
		Row(ws identifier.Workspace) (configurer.Row, bool)
		Confirmed() bool
	}

	// Requests sends requests to runners.
	Requests interface {
		Send(ctx context.Context, re dispatcher.Request, li admitter.Limits) (dispatcher.Answer, error)
	}

	// Jobs submits, reads and cancels gang jobs.
	Jobs interface {
		Submit(ctx context.Context, ws identifier.Workspace, body caller.JobBody) (rows.JobRow, error)
		Wait(ctx context.Context, ws identifier.Workspace, id identifier.Job, timeout clock.Millis) (rows.JobRow, error)
		Cancel(ctx context.Context, ws identifier.Workspace, id identifier.Job) (rows.JobRow, error)
		Result(ctx context.Context, ws identifier.Workspace, id identifier.Job) (caller.JobResult, error)
	}

	// Server implements the caller API.
	Server struct{ Options }

	workspaceKey struct{}
)

// New returns the handler of the caller API.
func New(op Options) http.Handler {
	se := &Server{Options: op}
	strict := caller.NewStrictHandlerWithOptions(se, nil, caller.StrictHTTPServerOptions{
		RequestErrorHandlerFunc:  op.Replier.BadRequest,
		ResponseErrorHandlerFunc: op.Replier.Problem,
	})
	handler := caller.HandlerWithOptions(strict, caller.GorillaServerOptions{
		BaseRouter:       mux.NewRouter(),
		ErrorHandlerFunc: op.Replier.BadRequest,
	})
	return op.Tracer.Handler("entry.caller", se.authenticate(replier.LimitBody(op.MaxBodyBytes, handler)))
}

// authenticate assigns the request to the workspace of its bearer token. Nothing else in
// the request can change the workspace.
func (se *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, known := se.Table.WorkspaceForToken(replier.BearerToken(r))
		if !known {
			se.Replier.Problem(w, r, problem.New(problem.BadToken, "the token belongs to no workspace"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), workspaceKey{}, ws)))
	})
}

func workspaceOf(ctx context.Context) identifier.Workspace {
	ws, _ := ctx.Value(workspaceKey{}).(identifier.Workspace)
	return ws
}

// SendRequest runs a request on a runner and returns its answer.
func (se *Server) SendRequest(ctx context.Context, req caller.SendRequestRequestObject) (caller.SendRequestResponseObject, error) {
	if err := bodyChecker.Check(req.Body); err != nil {
		return nil, err
	}
	re := se.request(workspaceOf(ctx), *req.Body)
	answer, err := se.Requests.Send(ctx, re, se.limits(re.Workspace))
	if err != nil {
		return nil, err
	}
	return caller.SendRequest200JSONResponse{
		RequestID: re.ID,
		Key:       re.Key,
		Outcome:   types.OutcomeDone,
		Payload:   answer.Payload,
		Replayed:  answer.Replayed,
	}, nil
}

func (se *Server) request(ws identifier.Workspace, body caller.RequestBody) dispatcher.Request {
	return dispatcher.Request{
		ID:           identifier.NewRequest(),
		Workspace:    ws,
		Key:          body.Key,
		Kind:         string(body.Kind),
		Urgent:       body.Class == types.ClassUrgent,
		Idempotent:   body.Idempotent,
		FirstAttempt: body.FirstAttempt,
		Deadline:     se.Clock.Now() + body.TimeoutMillis,
		Payload:      body.Payload,
	}
}

func (se *Server) limits(ws identifier.Workspace) admitter.Limits {
	row, _ := se.Table.Row(ws)
	return admitter.Limits{
		Requests:      row.Cells.Limits.Requests,
		Unconfirmed:   row.Cells.Limits.UnconfirmedRequests,
		UrgentAllowed: row.Cells.UrgentAllowed,
		Confirmed:     se.Table.Confirmed(),
	}
}

// SubmitJob submits a gang job.
func (se *Server) SubmitJob(ctx context.Context, req caller.SubmitJobRequestObject) (caller.SubmitJobResponseObject, error) {
	if err := bodyChecker.Check(req.Body); err != nil {
		return nil, err
	}
	row, err := se.Jobs.Submit(ctx, workspaceOf(ctx), *req.Body)
	if err != nil {
		return nil, err
	}
	return caller.SubmitJob202JSONResponse(jobOf(row)), nil
}

// GetJob returns the state of a job as soon as the job has ended, at the latest after
// waitMillis.
func (se *Server) GetJob(ctx context.Context, req caller.GetJobRequestObject) (caller.GetJobResponseObject, error) {
	wait := min(max(req.Params.WaitMillis, 0), maxWait)
	row, err := se.Jobs.Wait(ctx, workspaceOf(ctx), req.JobID, wait)
	if err != nil {
		return nil, err
	}
	return caller.GetJob200JSONResponse(jobOf(row)), nil
}

// CancelJob requests the cancellation of a job.
func (se *Server) CancelJob(ctx context.Context, req caller.CancelJobRequestObject) (caller.CancelJobResponseObject, error) {
	row, err := se.Jobs.Cancel(ctx, workspaceOf(ctx), req.JobID)
	if err != nil {
		return nil, err
	}
	return caller.CancelJob200JSONResponse(jobOf(row)), nil
}

// GetJobResult returns the complete result of a job that is done.
func (se *Server) GetJobResult(ctx context.Context, req caller.GetJobResultRequestObject) (caller.GetJobResultResponseObject, error) {
	result, err := se.Jobs.Result(ctx, workspaceOf(ctx), req.JobID)
	if err != nil {
		return nil, err
	}
	return caller.GetJobResult200JSONResponse(result), nil
}

func jobOf(row rows.JobRow) caller.Job {
	return caller.Job{
		JobID:   row.JobID,
		Key:     row.Key,
		Zone:    row.Zone,
		State:   caller.JobState(row.State),
		Outcome: row.Outcome,
		Reason:  registrar.Describe(row),
		Workers: row.Workers,
	}
}
