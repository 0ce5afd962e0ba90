package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/version"
)

var cmdVersion = command{
	name: "version",
	help: "Print the version.",
	bind: func(*kingpin.CmdClause) func() error {
		return func() error {
			_, err := fmt.Println(version.Text())
			return err
		}
	},
}
