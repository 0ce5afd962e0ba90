package storer

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

type (
	// Key identifies a row.
	Key struct {
		Table string
		Name  string
	}

	// Row is a stored row with a value of type T. Version 0 means that the row does not exist.
	Row[T any] struct {
		Name    string
		Version meter.RowVersion
		Value   T
		// Removed is set by scans for a row that has been removed.
		Removed bool
	}

	// Raw is a stored row that has not been decoded.
	Raw struct {
		Name    string
		Version meter.RowVersion
		Removed bool
		value   string
	}
)

func (st *Store) read(ctx context.Context, keys ...Key) (*platform.RowSet, error) {
	query := platform.ReadQuery{Keys: []platform.RowKey{}}
	for _, key := range keys {
		query.Keys = append(query.Keys, platform.RowKey{Table: key.Table, Key: key.Name})
	}
	atSend := st.newestVersion()
	rsp, err := call(ctx, st, "store.read", func(ctx context.Context) (*platform.ReadRowsResponse, error) {
		return st.client.ReadRowsWithResponse(ctx, query)
	})
	if err != nil {
		return nil, err
	}
	if rsp.JSON200 == nil || len(rsp.JSON200.Rows) != len(keys) {
		return nil, problem.New(problem.StoreUnavailable, "table service returned an incomplete read response")
	}
	return rsp.JSON200, st.checkFresh(rsp.JSON200.Version, atSend)
}

// Read returns one row.
func Read[T any](ctx context.Context, st *Store, key Key) (Row[T], error) {
	set, err := st.read(ctx, key)
	if err != nil {
		return Row[T]{}, err
	}
	stored := set.Rows[0]
	return Decode[T](Raw{Name: stored.Key, Version: stored.Version, value: stored.Value})
}

// Scan returns the rows of a table whose names have the prefix and that changed after a version.
// It also returns the store version up to which the result is complete.
func Scan[T any](ctx context.Context, st *Store, table, prefix string, since meter.RowVersion) ([]Row[T], meter.RowVersion, error) {
	raws, upTo, err := ScanRaw(ctx, st, table, prefix, since)
	if err != nil {
		return nil, 0, err
	}
	list := make([]Row[T], 0, len(raws))
	for _, raw := range raws {
		row, err := Decode[T](raw)
		if err != nil {
			return nil, 0, err
		}
		list = append(list, row)
	}
	return list, upTo, nil
}

// ScanRaw is like Scan, for a table with rows of several types: it leaves the rows undecoded.
func ScanRaw(ctx context.Context, st *Store, table, prefix string, since meter.RowVersion) ([]Raw, meter.RowVersion, error) {
	set, err := st.scan(ctx, table, prefix, since)
	if err != nil {
		return nil, 0, err
	}
	list := make([]Raw, 0, len(set.Rows))
	for _, stored := range set.Rows {
		list = append(list, Raw{Name: stored.Key, Version: stored.Version, Removed: stored.Removed, value: stored.Value})
	}
	return list, set.Version, nil
}

func (st *Store) scan(ctx context.Context, table, prefix string, since meter.RowVersion) (*platform.RowSet, error) {
	atSend := st.newestVersion()
	rsp, err := call(ctx, st, "store.scan", func(ctx context.Context) (*platform.ScanRowsResponse, error) {
		return st.client.ScanRowsWithResponse(ctx, platform.ScanQuery{Table: table, Prefix: prefix, Since: since})
	})
	if err != nil {
		return nil, err
	}
	if rsp.JSON200 == nil {
		return nil, problem.New(problem.StoreUnavailable, "table service returned an incomplete scan response")
	}
	return rsp.JSON200, st.checkFresh(rsp.JSON200.Version, atSend)
}

// Decode decodes a raw row into a row with a value of type T.
func Decode[T any](raw Raw) (Row[T], error) {
	row := Row[T]{Name: raw.Name, Version: raw.Version, Removed: raw.Removed}
	if raw.Version == 0 || raw.Removed {
		return row, nil
	}
	var en rows.Envelope
	if err := json.Unmarshal([]byte(raw.value), &en); err != nil {
		return row, eris.Wrapf(err, "decode row %s", raw.Name)
	}
	return row, eris.Wrapf(json.Unmarshal(en.Row, &row.Value), "decode row %s", raw.Name)
}
