package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailcroft/wagtailcroft/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/commander"
	"github.com/wagtailcroft/wagtailcroft/shared/loader"
)

var cmdCheckSettings = commander.Command{
	Name: "check-settings",
	Help: "Validate a settings file and report its errors.",
	Bind: func(cl *kingpin.CmdClause) func() error {
		path := cl.Arg("settings", "Settings file in TOML.").Required().String()
		form := cl.Flag("form", "Format of the file: serve, or platform (the settings of schedule).").Default("serve").Enum("serve", "platform")
		return func() error {
			if *form == "platform" {
				return checkPlatformSettings(*path)
			}
			return checkSettings(*path)
		}
	},
}

func checkPlatformSettings(path string) error {
	set, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: instance %s in zone %s, lease %d ms, takeover timeout %d ms\n",
		path, set.Instance, set.Zone, set.LeaseMillis, set.TakeoverTimeoutMillis)
	return nil
}

func checkSettings(path string) error {
	set, err := loader.Load(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: instance %s in zone %s\n", path, set.Instance, set.Zone)
	return nil
}
