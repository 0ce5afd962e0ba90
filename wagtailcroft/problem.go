package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
)

// Exit codes. Scripts rely on their values.
const (
	exitOK          = 0
	exitOther       = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// problemError is the problem document of an error response.
type problemError struct{ doc types.Problem }

// Error returns the problem, the remedy and any conflicting changes.
func (pe *problemError) Error() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s\nnext: %s", pe.doc.Title, pe.doc.Detail, pe.doc.Remedy)
	if pe.doc.RetryAfterMillis > 0 {
		fmt.Fprintf(&out, " (after %d ms)", pe.doc.RetryAfterMillis)
	}
	for _, ch := range pe.doc.Changes {
		fmt.Fprintf(&out, "\nchanged: %s %s: %s -> %s", ch.Workspace, ch.Cell, ch.Before, ch.After)
	}
	return out.String()
}

// httpError wraps err if the request itself failed. Otherwise it converts an error response to an
// error.
func httpError(res *http.Response, body []byte, err error) error {
	if err != nil {
		return eris.Wrap(err, "the instance did not answer; select another instance with --url")
	}
	var doc types.Problem
	if json.Unmarshal(body, &doc) != nil || doc.Kind == "" {
		return eris.Errorf("unexpected response %s; check --url", res.Status)
	}
	return &problemError{doc: doc}
}

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	var pe *problemError
	switch {
	case err == nil:
		return exitOK
	case !eris.As(err, &pe):
		return exitOther
	case pe.doc.Outcome == types.OutcomeUnknown:
		return exitUnknown
	case pe.doc.Status == http.StatusConflict:
		return exitConflict
	case pe.doc.Status >= http.StatusInternalServerError:
		return exitUnavailable
	default:
		return exitRefused
	}
}
