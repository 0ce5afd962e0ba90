// Package pager replaces the generated section of a documentation page.
package pager

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const filePerm = 0o644

// Section is the section of a page between the markers Begin and End.
type Section struct{ Begin, End string }

// Replace writes text between the markers of the page at path and leaves the rest unchanged.
func (se Section) Replace(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	before, rest, found := strings.Cut(string(page), se.Begin)
	_, after, closed := strings.Cut(rest, se.End)
	if !found || !closed {
		return eris.Errorf("%s does not contain the markers %q and %q in this order", path, se.Begin, se.End)
	}
	page = []byte(before + se.Begin + "\n" + text + se.End + after)
	return eris.Wrap(os.WriteFile(path, page, filePerm), "write page")
}
