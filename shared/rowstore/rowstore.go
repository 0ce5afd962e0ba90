// Package rowstore defines the types of a store of versioned rows: keys, conditional
// transactions, and errors that state whether a call took effect.
package rowstore

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

var (
	// ErrNotDone means that the call certainly had no effect; retry after a delay.
	ErrNotDone = eris.New("the store did not execute the call; retry after a delay")
	// ErrUnknown means that the transaction may have been applied, may still be applied, or may
	// never be. Sending the same transaction again resolves its outcome.
	ErrUnknown = eris.New("the store did not answer; send the same transaction again to resolve its outcome")
	// ErrCompacted means that the requested changes have been compacted away; read the whole
	// table instead.
	ErrCompacted = eris.New("the store has compacted the requested changes; read the whole table")
)

type (
	// Table is the name of a table.
	Table string

	// Key identifies a row.
	Key struct {
		Table Table
		Name  string
	}

	// Row is a row as stored.
	Row struct {
		Key
		Value []byte
		// Version is the version of the transaction that wrote the row; 0 means that the row
		// does not exist.
		Version meter.RowVersion
	}

	// Expectation is a precondition of a transaction: the row must have this version, or must
	// not exist if the version is 0.
	Expectation struct {
		Key
		Version meter.RowVersion
	}

	// Put writes a row.
	Put struct {
		Key
		Value []byte
	}

	// Transaction is applied atomically if all of its expectations hold, and not at all
	// otherwise.
	Transaction struct {
		Expect []Expectation
		Puts   []Put
		Remove []Key
	}

	// Page is one page of a consistent read of a table.
	Page struct {
		Rows []Row
		More bool
		// Version is the latest version of the store at the time of the read.
		Version meter.RowVersion
	}

	// ConflictError means that a transaction was not applied because an expectation did not
	// hold.
	ConflictError struct {
		// Rows holds the current state of the rows in the expectations. Rows that do not exist
		// may be omitted.
		Rows []Row
	}
)

// Error implements the error interface.
func (co *ConflictError) Error() string {
	return fmt.Sprintf("transaction not applied: a precondition on one of %d rows does not hold; read the rows again and repeat the change", len(co.Rows))
}

// Row returns the current row for key, with version 0 if it does not exist.
func (co *ConflictError) Row(key Key) Row {
	for _, ro := range co.Rows {
		if ro.Key == key {
			return ro
		}
	}
	return Row{Key: key}
}

// Size returns the number of expectations, puts and removals.
func (tr *Transaction) Size() int { return len(tr.Expect) + len(tr.Puts) + len(tr.Remove) }

// Add appends the expectations, puts and removals of other.
func (tr *Transaction) Add(other Transaction) {
	tr.Expect = append(tr.Expect, other.Expect...)
	tr.Puts = append(tr.Puts, other.Puts...)
	tr.Remove = append(tr.Remove, other.Remove...)
}
