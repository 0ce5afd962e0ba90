package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/loader"
)

var cmdCheckSettings = commander.Command{
	Name: "check-settings",
	Help: "Check a settings file and say what is wrong with it.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		path := cl.Arg("settings", "Settings file in TOML.").Required().String()
		return func() error { return checkSettings(*path) }
	},
}

func checkSettings(path string) error {
	set, err := loader.Load(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: instance %s in zone %s\n", path, set.Instance, set.Zone)
	return nil
}
