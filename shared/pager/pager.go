// Package pager rewrites the generated part of a page.
package pager

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const filePerm = 0o644

// Part is the part of a page between two marks.
type Part struct{ Begin, End string }

// Replace puts text between the marks of a page and keeps the rest.
func (pa Part) Replace(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	before, rest, found := strings.Cut(string(page), pa.Begin)
	_, after, closed := strings.Cut(rest, pa.End)
	if !found || !closed {
		return eris.Errorf("%s has no place between %q and %q", path, pa.Begin, pa.End)
	}
	page = []byte(before + pa.Begin + "\n" + text + pa.End + after)
	return eris.Wrap(os.WriteFile(path, page, filePerm), "write the page")
}
