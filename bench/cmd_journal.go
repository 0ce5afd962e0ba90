package main

import (
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/bench/archivist"
	"github.com/wagtailcroft/wagtailcroft/bench/reporter"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const (
	journalPage = "JOURNAL.md"
	worthCurves = "worth.svg"
)

var cmdJournal = commander.Command{
	Name: "journal",
	Help: "Turn the journal of the users' bench into a page with a plot of worth over the scores.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		folder := cl.Flag("journal", "Folder of the entries.").Default("journal").String()
		docs := cl.Flag("docs", "Folder to write to.").Default("docs").String()
		return func() error { return reportJournal(*folder, *docs) }
	},
}

func reportJournal(folder, docs string) error {
	entries, err := archivist.Read(folder)
	if err != nil {
		return err
	}
	if err := reporter.JournalPart.Replace(filepath.Join(docs, journalPage), reporter.Journal(entries)); err != nil {
		return err
	}
	return reporter.PlotWorth(entries, filepath.Join(docs, worthCurves))
}
