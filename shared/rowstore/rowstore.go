// Package rowstore defines the types of a store of versioned rows: keys, conditional
// transactions, and errors that state whether a call took effect.
package rowstore

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

var (
	// ErrNotExecuted means that the call certainly had no effect; retry after a delay.
	ErrNotExecuted = eris.New("the store did not execute the call; retry after a delay")
	// ErrOutcomeUnknown means that the transaction may have been applied, may still be applied,
	// or may never be. Sending the same transaction again resolves its outcome.
	ErrOutcomeUnknown = eris.New("the store did not answer; send the same transaction again to resolve its outcome")
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

	// Precondition states the version that a row must have for a transaction to be applied; 0
	// means that the row must not exist.
	Precondition struct {
		Key
		Version meter.RowVersion
	}

	// Put writes a row.
	Put struct {
		Key
		Value []byte
	}

	// Transaction is applied atomically if all of its preconditions hold, and not at all
	// otherwise.
	Transaction struct {
		Preconditions []Precondition
		Puts          []Put
		Removals      []Key
	}

	// Page is one page of a consistent read of a table.
	Page struct {
		Rows []Row
		More bool
		// Version is the latest version of the store at the time of the read.
		Version meter.RowVersion
	}

	// ConflictError means that a transaction was not applied because a precondition did not
	// hold.
	ConflictError struct {
		// Rows holds the current state of the rows in the preconditions. Rows that do not exist
		// may be omitted.
		Rows []Row
	}
)

// Error implements the error interface.
func (co *ConflictError) Error() string {
	return fmt.Sprintf("transaction not applied: a precondition does not hold (the store returned %d current rows); read the rows again and repeat the change", len(co.Rows))
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

// Size returns the number of preconditions, puts and removals.
func (tr *Transaction) Size() int { return len(tr.Preconditions) + len(tr.Puts) + len(tr.Removals) }

// Add appends the preconditions, puts and removals of other.
func (tr *Transaction) Add(other Transaction) {
	tr.Preconditions = append(tr.Preconditions, other.Preconditions...)
	tr.Puts = append(tr.Puts, other.Puts...)
	tr.Removals = append(tr.Removals, other.Removals...)
}
