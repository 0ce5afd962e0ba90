package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
)

// Exit codes.
const (
	exitDone        = 0
	exitOther       = 1
	exitUsage       = 2
	exitRefused     = 3
	exitChanged     = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// refusalError is a problem document that the instance answered with.
type refusalError struct{ doc types.Problem }

// Error gives the problem, the remedy, and what has changed meanwhile.
func (re *refusalError) Error() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s\nnext: %s", re.doc.Title, re.doc.Detail, re.doc.Remedy)
	if re.doc.RetryAfterMillis > 0 {
		fmt.Fprintf(&out, " (after %d ms)", re.doc.RetryAfterMillis)
	}
	for _, ch := range re.doc.Changes {
		fmt.Fprintf(&out, "\nchanged: %s %s: %s -> %s", ch.Workspace, ch.Cell, ch.Before, ch.After)
	}
	return out.String()
}

// refusal turns an answer that is not the expected one into an error.
func refusal(answer *http.Response, body []byte, err error) error {
	if err != nil {
		return eris.Wrap(err, "the instance did not answer; name another with --url")
	}
	var doc types.Problem
	if json.Unmarshal(body, &doc) != nil || doc.Kind == "" {
		return eris.Errorf("the instance answered %s; check --url", answer.Status)
	}
	return &refusalError{doc: doc}
}

// exitCode tells scripts what kind of error it was.
func exitCode(err error) int {
	var re *refusalError
	switch {
	case err == nil:
		return exitDone
	case !eris.As(err, &re):
		return exitOther
	case re.doc.Outcome == types.OutcomeUnknown:
		return exitUnknown
	case re.doc.Status == http.StatusConflict:
		return exitChanged
	case re.doc.Status >= http.StatusInternalServerError:
		return exitUnavailable
	default:
		return exitRefused
	}
}
