// Package printer prints responses as tables or as JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const (
	minWidth = 2 // of a column, in characters
	padding  = 2 // between columns, in characters
)

type (
	// Printer writes to one writer in one format.
	Printer struct {
		out  io.Writer
		json bool
	}

	// Table is the table form of a response. Each row has as many cells as the header, if there
	// is a header.
	Table struct {
		Header []string
		Rows   [][]string
	}
)

// New returns a printer that writes JSON if json is true, and tables otherwise.
func New(out io.Writer, json bool) *Printer { return &Printer{out: out, json: json} }

// Print prints message as JSON or ta as a table, depending on the format.
func (pr *Printer) Print(message any, ta Table) error {
	if pr.json {
		encoder := json.NewEncoder(pr.out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(message), "print")
	}
	return pr.table(ta)
}

// PrintLine prints one line in either format.
func (pr *Printer) PrintLine(line string) error {
	_, err := fmt.Fprintln(pr.out, line)
	return eris.Wrap(err, "print")
}

func (pr *Printer) table(ta Table) error {
	out := tabwriter.NewWriter(pr.out, minWidth, 0, padding, ' ', 0)
	if len(ta.Header) > 0 {
		_, _ = fmt.Fprintln(out, strings.ToUpper(strings.Join(ta.Header, "\t")))
	}
	for _, row := range ta.Rows {
		_, _ = fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return eris.Wrap(out.Flush(), "print")
}
