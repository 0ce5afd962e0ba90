package storer

import (
	"context"
	"net/http"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

// PutObject stores an object. Objects are never changed: a second body under the same
// name is ignored.
func (st *Store) PutObject(ctx context.Context, name, body string) error {
	an, err := call(ctx, st, "store.putObject", func(ctx context.Context) (*platform.PutObjectResponse, error) {
		return st.client.PutObjectWithResponse(ctx, platform.StoredObject{Name: name, Body: body})
	})
	if err != nil {
		return err
	}
	if an.JSON200 == nil {
		return problem.New(problem.StoreUnavailable, "the object store answered %d", an.StatusCode())
	}
	return nil
}

// Object returns the body of an object; an error may be of the kind NotFound.
func (st *Store) Object(ctx context.Context, name string) (string, error) {
	an, err := call(ctx, st, "store.getObject", func(ctx context.Context) (*platform.GetObjectResponse, error) {
		return st.client.GetObjectWithResponse(ctx, &platform.GetObjectParams{Name: name})
	})
	if err != nil {
		return "", err
	}
	if an.StatusCode() == http.StatusNotFound || an.JSON200 == nil {
		return "", problem.New(problem.NotFound, "object %s", name)
	}
	return an.JSON200.Body, nil
}

// Inventory returns the targets of a zone that changed after a version of the platform's
// lagging list.
func (st *Store) Inventory(ctx context.Context, zone identifier.Zone, since meter.RowVersion) (platform.Inventory, error) {
	an, err := call(ctx, st, "platform.inventory", func(ctx context.Context) (*platform.GetInventoryResponse, error) {
		return st.client.GetInventoryWithResponse(ctx, &platform.GetInventoryParams{Zone: zone, Since: since})
	})
	if err != nil {
		return platform.Inventory{}, err
	}
	if an.JSON200 == nil {
		return platform.Inventory{}, problem.New(problem.StoreUnavailable, "the list answered %d", an.StatusCode())
	}
	return *an.JSON200, nil
}

// Command sends commands to tasks under the fencing token of the zone. An error of the
// kind Fenced means that a newer holder exists and nothing was done; StoreUnavailable
// means that it is not known what was done, and the same commands may be sent again.
func (st *Store) Command(ctx context.Context, batch platform.TaskBatch) ([]platform.TaskResult, error) {
	an, err := call(ctx, st, "worker.command", func(ctx context.Context) (*platform.CommandTasksResponse, error) {
		return st.client.CommandTasksWithResponse(ctx, batch)
	})
	if err != nil {
		return nil, err
	}
	if an.JSON200 == nil {
		return nil, problem.New(problem.StoreUnavailable, "the workers answered %d", an.StatusCode())
	}
	if an.JSON200.Fenced {
		return nil, problem.New(problem.Fenced, "epoch %d of zone %s", batch.Epoch, batch.Zone)
	}
	return an.JSON200.Results, nil
}

// Reports returns the states of tasks of a zone that changed after a revision.
func (st *Store) Reports(ctx context.Context, zone identifier.Zone, since int64) (platform.TaskReports, error) {
	an, err := call(ctx, st, "worker.report", func(ctx context.Context) (*platform.ReportTasksResponse, error) {
		return st.client.ReportTasksWithResponse(ctx, &platform.ReportTasksParams{Zone: zone, Since: since})
	})
	if err != nil {
		return platform.TaskReports{}, err
	}
	if an.JSON200 == nil {
		return platform.TaskReports{}, problem.New(problem.StoreUnavailable, "the workers answered %d", an.StatusCode())
	}
	return *an.JSON200, nil
}
