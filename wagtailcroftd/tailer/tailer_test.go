package tailer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

type (
	// store is a fake store. Read returns all rows; Watch returns the queued errors and changes, and
	// then waits for the requested time and returns no changes.
	store struct {
		rows           []rowstore.Row
		version        meter.RowVersion
		changes        []rowstore.Page
		compacted      int
		reads, watches int
	}

	// handler counts the rows and changes that it receives.
	handler struct{ snapshot, changed int }
)

func (st *store) Read(context.Context, rowstore.Table, string, string, int) (rowstore.Page, error) {
	st.reads++
	return rowstore.Page{Rows: st.rows, Version: st.version}, nil
}

func (st *store) Watch(ctx context.Context, _ rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error) {
	st.watches++
	if st.compacted > 0 {
		st.compacted--
		return rowstore.Page{}, rowstore.ErrCompacted
	}
	if len(st.changes) > 0 {
		page := st.changes[0]
		st.changes = st.changes[1:]
		return page, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait.Duration()):
	}
	return rowstore.Page{Version: after}, nil
}

func (st *store) CloseIdleConnections() {}

func (ha *handler) Snapshot(rows []rowstore.Row) { ha.snapshot += len(rows) }

func (ha *handler) Changed(rows []rowstore.Row) { ha.changed += len(rows) }

func (ha *handler) ConfirmedAt(clock.Millis) {}

// follow runs a tailer for 10 s.
func follow(t *testing.T, st *store) *handler {
	ha := &handler{}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		tailer.New(st, "table", tailer.Timing{Wait: clock.Second}, clock.NewRuntime(), zerolog.Nop()).Run(ctx, ha)
	})
	return ha
}

func TestTailer(t *testing.T) {
	row := rowstore.Row{Key: rowstore.Key{Table: "table", Name: "a"}, Version: 3}
	t.Run("a store that was never written is read once and then followed", func(t *testing.T) {
		st := &store{}
		follow(t, st)
		asserter.Equal(t, st.reads, 1)
		asserter.Equal(t, st.watches <= 11, true)
	})
	t.Run("each row and each change is delivered once", func(t *testing.T) {
		ha := follow(t, &store{rows: []rowstore.Row{row}, version: 3, changes: []rowstore.Page{{Rows: []rowstore.Row{row}, Version: 4}}})
		asserter.Equal(t, *ha, handler{snapshot: 1, changed: 1})
	})
	t.Run("the table is read again after its change history was compacted", func(t *testing.T) {
		st := &store{rows: []rowstore.Row{row}, version: 3, compacted: 2}
		ha := follow(t, st)
		asserter.Equal(t, st.reads, 3)
		asserter.Equal(t, ha.snapshot, 3)
	})
}
