package main

import (
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/bench/journalreader"
	"github.com/wagtailcroft/wagtailcroft/bench/reporter"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const (
	journalPage = "JOURNAL.md"
	worthPlot   = "worth.svg"
)

var cmdJournal = commander.Command{
	Name: "journal",
	Help: "Write the page and the plot of worth from the journal of the users' benchmark.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		folder := cl.Flag("journal", "Folder of the journal entries.").Default("journal").String()
		docs := cl.Flag("docs", "Folder to write to.").Default("docs").String()
		return func() error { return reportJournal(*folder, *docs) }
	},
}

func reportJournal(folder, docs string) error {
	entries, err := journalreader.Read(folder)
	if err != nil {
		return err
	}
	if err := reporter.JournalPart.Replace(filepath.Join(docs, journalPage), reporter.Journal(entries)); err != nil {
		return err
	}
	return reporter.PlotWorth(entries, filepath.Join(docs, worthPlot))
}
