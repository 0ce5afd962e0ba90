// Package asserter provides the test assertions shared by all modules.
package asserter

import "github.com/wagtailcroft/wagtailcroft/shared/problem"

// TB is the subset of testing.TB that the assertions use; *testing.T and *rapid.T both
// implement it.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Kind fails the test unless err is of kind want. An empty want means that err must be nil.
func Kind(t TB, err error, want problem.Kind) {
	t.Helper()
	if got := problem.KindOf(err); got != want {
		t.Fatalf("error kind: got %q, want %q: %v", got, want, err)
	}
}

// Outcome fails the test unless err is non-nil and carries the outcome want.
func Outcome(t TB, err error, want problem.Outcome) {
	t.Helper()
	if err == nil {
		t.Fatalf("got no error, want an error with an outcome")
	}
	if got := problem.From(err).Outcome; got != want {
		t.Fatalf("error outcome: got %d, want %d: %v", got, want, err)
	}
}

// NoError fails the test if err is not nil.
func NoError(t TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Equal fails the test unless got equals want.
func Equal[T comparable](t TB, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
