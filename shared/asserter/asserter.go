// Package asserter holds the assertions that the tests of all modules share.
package asserter

import "github.com/wagtailcroft/wagtailcroft/shared/problem"

// Test is what assertions need of a test, be it an ordinary one or one of a fuzz run.
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Kind checks that err is of a kind; an empty kind stands for no error.
func Kind(t Test, err error, want problem.Kind) {
	t.Helper()
	if got := problem.KindOf(err); got != want {
		t.Fatalf("the error is of kind %q, not %q: %v", got, want, err)
	}
}

// Outcome checks what an error says about the work.
func Outcome(t Test, err error, want problem.Outcome) {
	t.Helper()
	if err == nil {
		t.Fatalf("there is no error")
	}
	if got := problem.From(err).Outcome; got != want {
		t.Fatalf("the outcome is %d, not %d: %v", got, want, err)
	}
}

// OK checks that there is no error.
func OK(t Test, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Equal checks that two values are the same.
func Equal[T comparable](t Test, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
