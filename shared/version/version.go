// Package version holds the version of the programs.
package version

import (
	_ "embed"
	"strings"
)

//go:embed VERSION
var text string

// Text is the version without white space.
func Text() string { return strings.TrimSpace(text) }
