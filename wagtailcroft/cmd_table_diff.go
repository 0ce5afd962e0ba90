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
		to := cl.Arg("to", "Newer table version; defaults to the current version.").Int64()
		return func(en *env) error { return tableDiff(en, meter.TableVersion(*from), meter.TableVersion(*to)) }
	},
}

// cellKey identifies a cell of the table.
type cellKey struct{ workspace, cell string }

// tableDiff merges the changes of each cell between the two versions into one, and leaves out
// cells whose value is the same in both.
func tableDiff(en *env, from, to meter.TableVersion) error {
	history, err := getHistory(en, "")
	if err != nil {
		return err
	}
	var order []cellKey
	changes := map[cellKey]types.CellChange{}
	for _, entry := range history.Entries {
		if entry.TableVersion <= from || to > 0 && entry.TableVersion > to {
			continue
		}
		for _, ch := range entry.Changes {
			key := cellKey{string(ch.Workspace), ch.Cell}
			merged, seen := changes[key]
			if !seen {
				order = append(order, key)
				merged = ch
			}
			merged.After = ch.After
			changes[key] = merged
		}
	}
	list := []types.CellChange{}
	for _, key := range order {
		if ch := changes[key]; ch.Before != ch.After {
			list = append(list, ch)
		}
	}
	return en.printer.Print(list, printer.Table{Header: []string{"workspace", "cell", "before", "after"}, Rows: changeRows(list)})
}
