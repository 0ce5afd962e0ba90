package instrumenter

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/shared/tracer"
)

type (
	// TableClient is a client of the table service.
	TableClient interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Watch(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		CloseIdleConnections()
	}

	// Store wraps a client of the table service. It counts calls by method and outcome, and
	// calls of Read and Watch also by table. It times and traces Write and Read, but not Watch,
	// which waits for a change of the table.
	Store struct {
		TableClient
		metrics *Instrumenter
		tracer  *tracer.Tracer
		cl      clock.Clock
	}
)

// NewStore returns a client that forwards to tc and measures its calls.
func NewStore(tc TableClient, in *Instrumenter, tr *tracer.Tracer, cl clock.Clock) *Store {
	return &Store{TableClient: tc, metrics: in, tracer: tr, cl: cl}
}

// Write forwards a transaction to the wrapped client.
func (st *Store) Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	began := st.cl.Now()
	ctx, end := st.tracer.Start(ctx, "store.write")
	version, err := st.TableClient.Write(ctx, tr)
	end(err)
	st.metrics.Observe("storeWrite", st.cl.Now()-began)
	st.metrics.Count("storeWrites", outcome(err))
	return version, err
}

// Read forwards a read to the wrapped client.
func (st *Store) Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error) {
	began := st.cl.Now()
	ctx, end := st.tracer.Start(ctx, "store.read")
	page, err := st.TableClient.Read(ctx, ta, from, to, limit)
	end(err)
	st.metrics.Observe("storeRead", st.cl.Now()-began)
	st.metrics.Count("storeReads", string(ta)+"."+outcome(err))
	return page, err
}

// Watch forwards a request for the changes of a table to the wrapped client.
func (st *Store) Watch(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error) {
	page, err := st.TableClient.Watch(ctx, ta, after, wait)
	st.metrics.Count("storeFollows", string(ta)+"."+outcome(err))
	return page, err
}

// outcome returns the metric label for the result of a call.
func outcome(err error) string {
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return "done"
	case eris.As(err, &conflict):
		return "conflict"
	case eris.Is(err, rowstore.ErrCompacted):
		return "compacted"
	case eris.Is(err, rowstore.ErrNotExecuted):
		return "notDone"
	}
	return "unknown"
}
