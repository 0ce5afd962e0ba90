package main

import (
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/documenter"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const pagePerm = 0o644

var cmdDocs = commander.Command{
	Name: "docs",
	Help: "Write the operators' pages that are generated from the schema and the code.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		schema := cl.Flag("schema", "Schema of the settings.").Default("schema/settings.yaml").String()
		folder := cl.Flag("folder", "Folder to write to.").Default("docs/operators").String()
		return func() error { return writeDocs(*schema, *folder) }
	},
}

func writeDocs(schema, folder string) error {
	settings, err := documenter.Settings(schema)
	if err != nil {
		return err
	}
	for name, text := range map[string]string{"settings.md": settings, "errors.md": documenter.Errors()} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), pagePerm); err != nil {
			return eris.Wrap(err, "write a page")
		}
	}
	return nil
}
