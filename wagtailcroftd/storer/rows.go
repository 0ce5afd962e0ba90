package storer

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
)

type (
	// Key names a row.
	Key struct {
		Table string
		Name  string
	}

	// Row is a stored row of a type; Version 0 means that it is absent.
	Row[T any] struct {
		Name    string
		Version meter.RowVersion
		Value   T
		// Removed is set in scans for a row that was removed.
		Removed bool
	}

	// Raw is a stored row whose type is not known yet.
	Raw struct {
		Name    string
		Version meter.RowVersion
		Removed bool
		value   string
	}

	// Batch is a transaction in the making. Its first write must be to a row that it
	// also requires, so that it can be repeated and read back.
	Batch struct {
		conditions []platform.Condition
		writes     []write
	}

	write struct {
		key    Key
		value  any
		remove bool
	}
)

// Require makes the batch take effect only if the row has the version.
func (ba *Batch) Require(key Key, version meter.RowVersion) {
	ba.conditions = append(ba.conditions, platform.Condition{Table: key.Table, Key: key.Name, Version: version})
}

// Put writes a row.
func (ba *Batch) Put(key Key, value any) {
	ba.writes = append(ba.writes, write{key: key, value: value})
}

// Remove removes a row.
func (ba *Batch) Remove(key Key) { ba.writes = append(ba.writes, write{key: key, remove: true}) }

// Replace writes a row that must have the version.
func (ba *Batch) Replace(key Key, version meter.RowVersion, value any) {
	ba.Require(key, version)
	ba.Put(key, value)
}

func (ba *Batch) encode(id identifier.Transaction) (platform.Transaction, error) {
	tx := platform.Transaction{TransactionID: id, Conditions: ba.conditions, Writes: []platform.Write{}}
	for _, wr := range ba.writes {
		value := ""
		if !wr.remove {
			text, err := wrap(id, wr.value)
			if err != nil {
				return tx, err
			}
			value = text
		}
		tx.Writes = append(tx.Writes, platform.Write{Table: wr.key.Table, Key: wr.key.Name, Value: value, Remove: wr.remove})
	}
	return tx, nil
}

func wrap(id identifier.Transaction, value any) (string, error) {
	row, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrap(err, "encode a row")
	}
	text, err := json.Marshal(rows.Envelope{TransactionID: id, Row: row})
	return string(text), eris.Wrap(err, "encode an envelope")
}

// Commit carries out the batch. Errors are of the kinds Conflict, when a condition did
// not hold and nothing was written, and StoreUnavailable, when it is not known whether
// the batch took effect. A lost answer is resolved by reading back and by repeating,
// which is harmless because the first write is conditioned.
func (st *Store) Commit(ctx context.Context, ba *Batch) (meter.RowVersion, error) {
	id := identifier.NewTransaction()
	tx, err := ba.encode(id)
	if err != nil {
		return 0, err
	}
	var lost error
	for range commitTries {
		version, err := st.transact(ctx, tx)
		if err == nil {
			return version, nil
		}
		if problem.KindOf(err) == problem.Conflict && lost == nil {
			return 0, err
		}
		version, took, readErr := st.tookEffect(ctx, ba.writes[0].key, id)
		if readErr == nil && took {
			return version, nil
		}
		if problem.KindOf(err) == problem.Conflict && readErr == nil {
			return 0, err
		}
		lost = problem.New(problem.StoreUnavailable, "%v", err)
		if st.paused() > 0 {
			break
		}
	}
	return 0, lost
}

func (st *Store) transact(ctx context.Context, tx platform.Transaction) (meter.RowVersion, error) {
	an, err := call(ctx, st, "store.transact", func(ctx context.Context) (*platform.TransactResponse, error) {
		return st.client.TransactWithResponse(ctx, tx)
	})
	if err != nil {
		return 0, err
	}
	if an.JSON200 == nil {
		return 0, problem.New(problem.StoreUnavailable, "the store answered %d", an.StatusCode())
	}
	if err := st.fresh(an.JSON200.Version, 0); err != nil {
		return 0, err
	}
	if !an.JSON200.Applied {
		return 0, problem.New(problem.Conflict, "a row of the transaction has changed")
	}
	return an.JSON200.Version, nil
}

// tookEffect reads back the first row of a transaction whose answer was lost.
func (st *Store) tookEffect(ctx context.Context, key Key, id identifier.Transaction) (meter.RowVersion, bool, error) {
	set, err := st.read(ctx, key)
	if err != nil {
		return 0, false, err
	}
	row := set.Rows[0]
	if row.Version == 0 {
		return 0, false, nil
	}
	var en rows.Envelope
	if err := json.Unmarshal([]byte(row.Value), &en); err != nil {
		return 0, false, eris.Wrap(err, "decode an envelope")
	}
	return row.Version, en.TransactionID == id, nil
}

func (st *Store) read(ctx context.Context, keys ...Key) (*platform.RowSet, error) {
	query := platform.ReadQuery{Keys: []platform.RowKey{}}
	for _, key := range keys {
		query.Keys = append(query.Keys, platform.RowKey{Table: key.Table, Key: key.Name})
	}
	atSend := st.newest()
	an, err := call(ctx, st, "store.read", func(ctx context.Context) (*platform.ReadRowsResponse, error) {
		return st.client.ReadRowsWithResponse(ctx, query)
	})
	if err != nil {
		return nil, err
	}
	if an.JSON200 == nil || len(an.JSON200.Rows) != len(keys) {
		return nil, problem.New(problem.StoreUnavailable, "the store gave no whole answer")
	}
	return an.JSON200, st.fresh(an.JSON200.Version, atSend)
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

// Scan returns the rows of a table under a prefix that changed after a version, and the
// version up to which nothing is missing.
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

// ScanRaw is Scan for a table with rows of several types.
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
	atSend := st.newest()
	an, err := call(ctx, st, "store.scan", func(ctx context.Context) (*platform.ScanRowsResponse, error) {
		return st.client.ScanRowsWithResponse(ctx, platform.ScanQuery{Table: table, Prefix: prefix, Since: since})
	})
	if err != nil {
		return nil, err
	}
	if an.JSON200 == nil {
		return nil, problem.New(problem.StoreUnavailable, "the store gave no whole answer")
	}
	return an.JSON200, st.fresh(an.JSON200.Version, atSend)
}

// Decode gives a raw row its type.
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
