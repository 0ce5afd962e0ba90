// Package rowstore holds what the product asks of a store of versioned rows: keys,
// transactions under conditions, and what an answer, or none, proves.
package rowstore

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

var (
	// ErrNotDone means that the store certainly did nothing; try again after a pause.
	ErrNotDone = eris.New("the store did not take the call; try again after a pause")
	// ErrUnknown means that a transaction may take effect now, later or never; send the
	// same transaction again to learn which.
	ErrUnknown = eris.New("the store did not answer; send the same transaction again to learn what became of it")
	// ErrCompacted means that the changes asked for are no longer kept; read the table.
	ErrCompacted = eris.New("the store has dropped the changes asked for; read the whole table")
)

type (
	// Table names a table.
	Table string

	// Key names a row.
	Key struct {
		Table Table
		Name  string
	}

	// Row is a row as the store has it.
	Row struct {
		Key
		Value []byte
		// Version is that of the transaction which wrote the row; 0 means absent.
		Version meter.RowVersion
	}

	// Expectation is the version that a row must have; 0 means that it must be absent.
	Expectation struct {
		Key
		Version meter.RowVersion
	}

	// Put writes a row.
	Put struct {
		Key
		Value []byte
	}

	// Transaction is applied whole or not at all.
	Transaction struct {
		Expect []Expectation
		Puts   []Put
		Remove []Key
	}

	// Page is a part of a table as of one moment.
	Page struct {
		Rows []Row
		More bool
		// Version is the newest version of the store at that moment.
		Version meter.RowVersion
	}

	// ConflictError means that a transaction was not applied, for a row had another version.
	ConflictError struct {
		// Rows holds the expected rows as they are; one that is absent may be missing.
		Rows []Row
	}
)

// Error names the rows.
func (co *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction does not hold (%d rows); read them again and repeat the change", len(co.Rows))
}

// Row returns the row of a key as it is; an absent row has version 0.
func (co *ConflictError) Row(key Key) Row {
	for _, ro := range co.Rows {
		if ro.Key == key {
			return ro
		}
	}
	return Row{Key: key}
}

// Size is the number of entries of the transaction.
func (tr *Transaction) Size() int { return len(tr.Expect) + len(tr.Puts) + len(tr.Remove) }

// Add appends another transaction's entries.
func (tr *Transaction) Add(other Transaction) {
	tr.Expect = append(tr.Expect, other.Expect...)
	tr.Puts = append(tr.Puts, other.Puts...)
	tr.Remove = append(tr.Remove, other.Remove...)
}
