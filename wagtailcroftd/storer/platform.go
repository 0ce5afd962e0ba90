package storer

import (
	"context"
	"net/http"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// PutObject stores an object. Objects are immutable: a second body under the same name is ignored.
func (st *Store) PutObject(ctx context.Context, name, body string) error {
	rsp, err := call(ctx, st, "store.putObject", func(ctx context.Context) (*platform.PutObjectResponse, error) {
		return st.client.PutObjectWithResponse(ctx, platform.StoredObject{Name: name, Body: body})
	})
	if err != nil {
		return err
	}
	if rsp.JSON200 == nil {
		return problem.New(problem.StoreUnavailable, "object store returned HTTP status %d", rsp.StatusCode())
	}
	return nil
}

// GetObject returns the body of an object. The error is of the kind StoreUnavailable if the call
// failed, and of the kind NotFound if the response contains no object.
func (st *Store) GetObject(ctx context.Context, name string) (string, error) {
	rsp, err := call(ctx, st, "store.getObject", func(ctx context.Context) (*platform.GetObjectResponse, error) {
		return st.client.GetObjectWithResponse(ctx, &platform.GetObjectParams{Name: name})
	})
	if err != nil {
		return "", err
	}
	if rsp.StatusCode() == http.StatusNotFound || rsp.JSON200 == nil {
		return "", problem.New(problem.NotFound, "object %s", name)
	}
	return rsp.JSON200.Body, nil
}

// Inventory returns the targets of a zone that changed after a version of the platform's target
// list. The list lags behind the actual state of the targets.
func (st *Store) Inventory(ctx context.Context, zone identifier.Zone, since meter.RowVersion) (platform.Inventory, error) {
	rsp, err := call(ctx, st, "platform.inventory", func(ctx context.Context) (*platform.GetInventoryResponse, error) {
		return st.client.GetInventoryWithResponse(ctx, &platform.GetInventoryParams{Zone: zone, Since: since})
	})
	if err != nil {
		return platform.Inventory{}, err
	}
	if rsp.JSON200 == nil {
		return platform.Inventory{}, problem.New(problem.StoreUnavailable, "target inventory returned HTTP status %d", rsp.StatusCode())
	}
	return *rsp.JSON200, nil
}

// Command sends commands to tasks with the lease epoch of the zone. An error of the kind Fenced
// means that a newer leaseholder exists and no command was executed. StoreUnavailable means that
// it is not known which commands were executed; the same commands may be sent again.
func (st *Store) Command(ctx context.Context, batch platform.TaskBatch) ([]platform.TaskResult, error) {
	rsp, err := call(ctx, st, "worker.command", func(ctx context.Context) (*platform.CommandTasksResponse, error) {
		return st.client.CommandTasksWithResponse(ctx, batch)
	})
	if err != nil {
		return nil, err
	}
	if rsp.JSON200 == nil {
		return nil, problem.New(problem.StoreUnavailable, "worker command service returned HTTP status %d", rsp.StatusCode())
	}
	if rsp.JSON200.Fenced {
		return nil, problem.New(problem.Fenced, "lease epoch %d of zone %s", batch.Epoch, batch.Zone)
	}
	return rsp.JSON200.Results, nil
}

// Reports returns the tasks of a zone whose state changed after a revision.
func (st *Store) Reports(ctx context.Context, zone identifier.Zone, since int64) (platform.TaskReports, error) {
	rsp, err := call(ctx, st, "worker.report", func(ctx context.Context) (*platform.ReportTasksResponse, error) {
		return st.client.ReportTasksWithResponse(ctx, &platform.ReportTasksParams{Zone: zone, Since: since})
	})
	if err != nil {
		return platform.TaskReports{}, err
	}
	if rsp.JSON200 == nil {
		return platform.TaskReports{}, problem.New(problem.StoreUnavailable, "worker report service returned HTTP status %d", rsp.StatusCode())
	}
	return *rsp.JSON200, nil
}
