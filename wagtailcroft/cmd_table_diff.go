package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

var cmdTableDiff = command{
	path: []string{"table", "diff"},
	help: "Show the cells that differ between two versions of the table.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		from := cl.Arg("from", "Older table version.").Required().Int64()
		to := cl.Arg("to", "Newer table version; the newest if left out.").Int64()
		return func(en *env) error { return tableDiff(en, meter.TableVersion(*from), meter.TableVersion(*to)) }
	},
}

// cellName names a cell of a row.
type cellName struct{ workspace, cell string }

func tableDiff(en *env, from, to meter.TableVersion) error {
	history, err := getHistory(en, "")
	if err != nil {
		return err
	}
	var order []cellName
	changes := map[cellName]types.CellChange{}
	for _, entry := range history.Entries {
		if entry.TableVersion <= from || to > 0 && entry.TableVersion > to {
			continue
		}
		for _, ch := range entry.Changes {
			name := cellName{string(ch.Workspace), ch.Cell}
			first, seen := changes[name]
			if !seen {
				order = append(order, name)
				first = ch
			}
			first.After = ch.After
			changes[name] = first
		}
	}
	list := []types.CellChange{}
	for _, name := range order {
		if ch := changes[name]; ch.Before != ch.After {
			list = append(list, ch)
		}
	}
	return en.printer.Print(list, printer.Table{Header: []string{"workspace", "cell", "before", "after"}, Rows: changeRows(list)})
}
