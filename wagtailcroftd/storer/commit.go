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
