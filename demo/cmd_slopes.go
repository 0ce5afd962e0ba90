package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/weigher"
)

var cmdSlopes = command{
	name: "slopes",
	help: "Fit slopes to the lines of cost on standard input and write them into the page.",
	bind: func(cl *kingpin.CmdClause) func() error {
		page := cl.Flag("page", "Page to write into.").Default("docs/CAPACITY.md").String()
		return func() error { return slopes(*page) }
	},
}

func slopes(path string) error {
	var samples []weigher.Sample
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		sample, err := weigher.Parse(lines.Text())
		if err != nil {
			return eris.Wrapf(err, "%q is no line of cost", lines.Text())
		}
		samples = append(samples, sample)
	}
	table := weigher.Table(samples)
	fmt.Print(table)
	page, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	before, rest, found := strings.Cut(string(page), weigher.Begin)
	_, after, closed := strings.Cut(rest, weigher.End)
	if !found || !closed {
		return eris.Errorf("%s has no place for the slopes", path)
	}
	text := before + weigher.Begin + "\n" + table + weigher.End + after
	return eris.Wrap(os.WriteFile(path, []byte(text), pagePerm), "write the page")
}
