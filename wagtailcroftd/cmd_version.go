package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/version"
)

var cmdVersion = commander.Command{
	Name: "version",
	Help: "Print the version.",
	Bind: func(*kingpin.CmdClause) func() error {
		return func() error {
			_, err := fmt.Println(version.Text())
			return err
		}
	},
}
