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
	// Rows is a client of the table service.
	Rows interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		Reset()
	}

	// Store counts the calls to the table service by kind, table and outcome, and times and
	// traces those that do not wait for a change.
	Store struct {
		Rows
		meters *Instrumenter
		tracer *tracer.Tracer
		cl     clock.Clock
	}
)

// NewStore returns a client that counts the calls of another.
func NewStore(rows Rows, in *Instrumenter, tr *tracer.Tracer, cl clock.Clock) *Store {
	return &Store{Rows: rows, meters: in, tracer: tr, cl: cl}
}

// Write applies a transaction as the client beneath does.
func (st *Store) Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	began := st.cl.Now()
	ctx, end := st.tracer.Start(ctx, "store.write")
	version, err := st.Rows.Write(ctx, tr)
	end(err)
	st.meters.Took("storeWrite", st.cl.Now()-began)
	st.meters.Count("storeWrites", outcome(err))
	return version, err
}

// Read reads rows as the client beneath does.
func (st *Store) Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error) {
	began := st.cl.Now()
	ctx, end := st.tracer.Start(ctx, "store.read")
	page, err := st.Rows.Read(ctx, ta, from, to, limit)
	end(err)
	st.meters.Took("storeRead", st.cl.Now()-began)
	st.meters.Count("storeReads", string(ta)+"."+outcome(err))
	return page, err
}

// Follow follows a table as the client beneath does.
func (st *Store) Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error) {
	page, err := st.Rows.Follow(ctx, ta, after, wait)
	st.meters.Count("storeFollows", string(ta)+"."+outcome(err))
	return page, err
}

// outcome names what became of a call.
func outcome(err error) string {
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return "done"
	case eris.As(err, &conflict):
		return "conflict"
	case eris.Is(err, rowstore.ErrCompacted):
		return "compacted"
	case eris.Is(err, rowstore.ErrNotDone):
		return "notDone"
	}
	return "unknown"
}
