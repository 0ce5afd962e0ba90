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
	// Batch collects the conditions and writes of a transaction. The first write must be to a
	// row that the batch also requires, so that the transaction can be retried safely and its
	// outcome can be read back.
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

// Require makes the transaction conditional on the row having the version.
func (ba *Batch) Require(key Key, version meter.RowVersion) {
	ba.conditions = append(ba.conditions, platform.Condition{Table: key.Table, Key: key.Name, Version: version})
}

// Put writes a row unconditionally.
func (ba *Batch) Put(key Key, value any) {
	ba.writes = append(ba.writes, write{key: key, value: value})
}

// Remove removes a row.
func (ba *Batch) Remove(key Key) { ba.writes = append(ba.writes, write{key: key, remove: true}) }

// Replace writes a row, on condition that the stored row has the version.
func (ba *Batch) Replace(key Key, version meter.RowVersion, value any) {
	ba.Require(key, version)
	ba.Put(key, value)
}

func (ba *Batch) encode(id identifier.Transaction) (platform.Transaction, error) {
	tx := platform.Transaction{TransactionID: id, Conditions: ba.conditions, Writes: []platform.Write{}}
	for _, wr := range ba.writes {
		value := ""
		if !wr.remove {
			text, err := encodeEnvelope(id, wr.value)
			if err != nil {
				return tx, err
			}
			value = text
		}
		tx.Writes = append(tx.Writes, platform.Write{Table: wr.key.Table, Key: wr.key.Name, Value: value, Remove: wr.remove})
	}
	return tx, nil
}

func encodeEnvelope(id identifier.Transaction, value any) (string, error) {
	row, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrap(err, "encode row")
	}
	text, err := json.Marshal(rows.Envelope{TransactionID: id, Row: row})
	return string(text), eris.Wrap(err, "encode row envelope")
}

// Commit writes the batch as one transaction. An error is of the kind Conflict if a condition
// did not hold and nothing was written, or StoreUnavailable if it is not known whether the batch
// was applied. If a response is lost, Commit reads back the first row and retries, which is safe
// because the first write is conditional.
func (st *Store) Commit(ctx context.Context, ba *Batch) (meter.RowVersion, error) {
	id := identifier.NewTransaction()
	tx, err := ba.encode(id)
	if err != nil {
		return 0, err
	}
	var lastErr error
	for range maxCommitAttempts {
		version, err := st.transact(ctx, tx)
		if err == nil {
			return version, nil
		}
		if problem.KindOf(err) == problem.Conflict && lastErr == nil {
			return 0, err
		}
		version, applied, readErr := st.readBack(ctx, ba.writes[0].key, id)
		if readErr == nil && applied {
			return version, nil
		}
		if problem.KindOf(err) == problem.Conflict && readErr == nil {
			return 0, err
		}
		lastErr = problem.New(problem.StoreUnavailable, "%v", err)
		if st.remainingPause() > 0 {
			break
		}
	}
	return 0, lastErr
}

func (st *Store) transact(ctx context.Context, tx platform.Transaction) (meter.RowVersion, error) {
	rsp, err := call(ctx, st, "store.transact", func(ctx context.Context) (*platform.TransactResponse, error) {
		return st.client.TransactWithResponse(ctx, tx)
	})
	if err != nil {
		return 0, err
	}
	if rsp.JSON200 == nil {
		return 0, problem.New(problem.StoreUnavailable, "table service returned HTTP status %d", rsp.StatusCode())
	}
	if err := st.checkFresh(rsp.JSON200.Version, 0); err != nil {
		return 0, err
	}
	if !rsp.JSON200.Applied {
		return 0, problem.New(problem.Conflict, "a row that the transaction requires has changed")
	}
	return rsp.JSON200.Version, nil
}

// readBack reads the first row of a transaction whose response was lost, and reports whether the
// row was written by that transaction.
func (st *Store) readBack(ctx context.Context, key Key, id identifier.Transaction) (meter.RowVersion, bool, error) {
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
		return 0, false, eris.Wrap(err, "decode row envelope")
	}
	return row.Version, en.TransactionID == id, nil
}
