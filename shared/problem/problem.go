// Package problem holds the typed errors of the system. Each kind has a stable name, a
// remedy that tells the reader what to do next, and what it says about the outcome of
// the work. It knows no encoding; the servers turn it into problem documents.
package problem

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Outcomes of a request or a job.
const (
	// NoOutcome means that the error says nothing about any work.
	NoOutcome Outcome = iota
	// NotRun means that the work was not run and never will be.
	NotRun
	// Failed means that the work was started and failed.
	Failed
	// Unknown means that the work may or may not have run.
	Unknown
)

type (
	// Outcome is what an error says about the work that was asked for.
	Outcome int

	// Change is one cell of a row before and after an edit.
	Change struct {
		Workspace identifier.Workspace
		Cell      string
		Before    string
		After     string
	}

	// Error is an error of one kind.
	Error struct {
		// Kind is one of the kinds of this package.
		Kind Kind
		// Detail says what was wrong this time.
		Detail string
		// Outcome is what is certain about the work.
		Outcome Outcome
		// RetryAfter is the time to wait before the next try; 0 means that it is not known.
		RetryAfter clock.Millis
		// Changes lists, for a stale edit, what has changed since.
		Changes []Change
	}
)

// New returns an error of the kind, with the kind's own outcome.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Outcome: kinds[kind].outcome}
}

// Error gives the kind, the detail and the remedy.
func (er *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", er.Kind, er.Detail, er.Kind.Remedy())
}

// Is reports whether target is an error of the same kind.
func (er *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == er.Kind
}

// Retry returns the error with the time to wait before the next try.
func (er *Error) Retry(after clock.Millis) *Error {
	er.RetryAfter = after
	return er
}

// Say returns the error with another outcome than the kind's own.
func (er *Error) Say(oc Outcome) *Error {
	er.Outcome = oc
	return er
}

// From finds the typed error within err; an error that has none becomes Internal.
func From(err error) *Error {
	var er *Error
	if eris.As(err, &er) {
		return er
	}
	return New(Internal, "%v", err)
}

// KindOf returns the kind of err, or an empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}
