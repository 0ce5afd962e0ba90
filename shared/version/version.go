// Package version provides the version of the programs.
package version

import (
	_ "embed"
	"strings"
)

//go:embed VERSION
var text string

// Text returns the version without surrounding white space.
func Text() string { return strings.TrimSpace(text) }
