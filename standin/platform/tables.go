package platform

import (
	"context"
	"slices"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const compactFactor = 4 // a log that is longer than this multiple of its table is compacted

type (
	// tableSet is the state of the table service: the rows of all tables, which share one
	// version counter.
	tableSet struct {
		// version is the version of the latest transaction; it never decreases.
		version meter.RowVersion
		tables  map[string]*table
		// frozen is the snapshot that stale reads are served from; nil if reads are not
		// stale.
		frozen *tableSet
	}

	// table holds the rows of a table by key, including removed ones, and a log of their
	// changes.
	table struct {
		rows map[string]platform.StoredRow
		// log lists the changes in order of version. An entry is valid as long as the row
		// still has its version.
		log []change
	}

	change struct {
		version meter.RowVersion
		key     string
	}
)

func newTableSet() tableSet { return tableSet{tables: map[string]*table{}} }

// Transact applies all writes if all conditions hold, and none otherwise.
func (pl *Platform) Transact(_ context.Context, req platform.TransactRequestObject) (platform.TransactResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.audit.Writes++
	return platform.Transact200JSONResponse(pl.tables.transact(*req.Body)), nil
}

// ReadRows returns the rows with the given keys.
func (pl *Platform) ReadRows(_ context.Context, req platform.ReadRowsRequestObject) (platform.ReadRowsResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.audit.Reads++
	set := pl.tables.readable()
	answer := platform.RowSet{Version: set.version, Rows: []platform.StoredRow{}}
	for _, key := range req.Body.Keys {
		answer.Rows = append(answer.Rows, set.row(key.Table, key.Key))
	}
	return platform.ReadRows200JSONResponse(answer), nil
}

// ScanRows returns the rows of a table that have changed since a version.
func (pl *Platform) ScanRows(_ context.Context, req platform.ScanRowsRequestObject) (platform.ScanRowsResponseObject, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.audit.Reads++
	return platform.ScanRows200JSONResponse(pl.tables.readable().scan(*req.Body)), nil
}

func (ts *tableSet) readable() *tableSet {
	if ts.frozen != nil {
		return ts.frozen
	}
	return ts
}

// freeze turns stale reads on or off. While they are on, reads are served from a snapshot
// taken by this call.
func (ts *tableSet) freeze(on bool) {
	ts.frozen = nil
	if !on {
		return
	}
	frozen := newTableSet()
	frozen.version = ts.version
	for name, tb := range ts.tables {
		frozen.tables[name] = &table{rows: map[string]platform.StoredRow{}, log: slices.Clone(tb.log)}
		for key, row := range tb.rows {
			frozen.tables[name].rows[key] = row
		}
	}
	ts.frozen = &frozen
}

func (ts *tableSet) row(name, key string) platform.StoredRow {
	if tb, found := ts.tables[name]; found {
		if row, found := tb.rows[key]; found && !row.Removed {
			return row
		}
	}
	return platform.StoredRow{Key: key}
}

func (ts *tableSet) transact(tx platform.Transaction) platform.TransactResult {
	for _, co := range tx.Conditions {
		if ts.row(co.Table, co.Key).Version != co.Version {
			return platform.TransactResult{Version: ts.version}
		}
	}
	ts.version++
	for _, wr := range tx.Writes {
		ts.write(wr)
	}
	return platform.TransactResult{Applied: true, Version: ts.version}
}

func (ts *tableSet) write(wr platform.Write) {
	tb, found := ts.tables[wr.Table]
	if !found {
		tb = &table{rows: map[string]platform.StoredRow{}}
		ts.tables[wr.Table] = tb
	}
	tb.rows[wr.Key] = platform.StoredRow{Key: wr.Key, Version: ts.version, Value: wr.Value, Removed: wr.Remove}
	tb.log = append(tb.log, change{version: ts.version, key: wr.Key})
	if len(tb.log) > compactFactor*(len(tb.rows)+compactFactor) {
		tb.compact()
	}
}

func (tb *table) compact() {
	tb.log = slices.DeleteFunc(tb.log, func(ch change) bool { return tb.rows[ch.key].Version != ch.version })
}

func (ts *tableSet) scan(qu platform.ScanQuery) platform.RowSet {
	answer := platform.RowSet{Version: ts.version, Rows: []platform.StoredRow{}}
	tb, found := ts.tables[qu.Table]
	if !found {
		return answer
	}
	first, _ := slices.BinarySearchFunc(tb.log, qu.Since+1, func(ch change, ve meter.RowVersion) int { return int(ch.version - ve) })
	for _, ch := range tb.log[first:] {
		row := tb.rows[ch.key]
		if row.Version == ch.version && strings.HasPrefix(ch.key, qu.Prefix) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return answer
}
