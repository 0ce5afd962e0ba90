package instrumenter

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

type (
	// Rows is a client of the table service.
	Rows interface {
		Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error)
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		Reset()
	}

	// Store counts the calls to the table service by kind, table and outcome, and times those
	// that do not wait for a change.
	Store struct {
		Rows
		meters *Instrumenter
		cl     clock.Clock
	}
)

// NewStore returns a client that counts the calls of another.
func NewStore(rows Rows, in *Instrumenter, cl clock.Clock) *Store {
	return &Store{Rows: rows, meters: in, cl: cl}
}

// Write applies a transaction as the client beneath does.
func (st *Store) Write(ctx context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	began := st.cl.Now()
	version, err := st.Rows.Write(ctx, tr)
	st.meters.Took("storeWrite", st.cl.Now()-began)
	st.meters.Count("storeWrites", outcome(err))
	return version, err
}

// Read reads rows as the client beneath does.
func (st *Store) Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error) {
	began := st.cl.Now()
	page, err := st.Rows.Read(ctx, ta, from, to, limit)
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
