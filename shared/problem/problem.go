// Package problem defines the typed errors of the system. Each kind has a stable name, a remedy
// that tells the user what to do next, and a default outcome of the affected request or job.
// The package is independent of any encoding; the servers convert errors to problem documents.
package problem

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// Outcomes of a request or a job.
const (
	// NoOutcome means that the error does not concern the outcome of a request or job.
	NoOutcome Outcome = iota
	// NotRun means that the request or job was not run and never will be.
	NotRun
	// Failed means that the request or job was started and failed.
	Failed
	// Unknown means that the request or job may or may not have run.
	Unknown
)

type (
	// Outcome states what is certain about the execution of a request or job.
	Outcome int

	// Change is the value of one cell before and after an edit.
	Change struct {
		Workspace identifier.Workspace
		Cell      string
		Before    string
		After     string
	}

	// Error is a typed error.
	Error struct {
		// Kind is one of the kinds defined in this package.
		Kind Kind
		// Detail describes this occurrence of the error.
		Detail string
		// Outcome is the outcome of the affected request or job.
		Outcome Outcome
		// RetryAfter is the recommended delay before a retry; 0 means that none is known.
		RetryAfter clock.Millis
		// Changes lists, for an edit of a stale row, the changes since the row was read.
		Changes []Change
	}
)

// New returns an error of the given kind with the default outcome of that kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Outcome: kinds[kind].outcome}
}

// Error returns the kind, the detail and the remedy.
func (er *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", er.Kind, er.Detail, er.Kind.Remedy())
}

// Is reports whether target is an error of the same kind.
func (er *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == er.Kind
}

// WithRetryAfter sets RetryAfter on the error and returns it.
func (er *Error) WithRetryAfter(after clock.Millis) *Error {
	er.RetryAfter = after
	return er
}

// WithOutcome overrides the outcome of the error and returns it.
func (er *Error) WithOutcome(oc Outcome) *Error {
	er.Outcome = oc
	return er
}

// From returns the typed error that err wraps, or an error of kind Internal if there is none.
func From(err error) *Error {
	var er *Error
	if eris.As(err, &er) {
		return er
	}
	return New(Internal, "%v", err)
}

// KindOf returns the kind of err, or the empty kind if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}
