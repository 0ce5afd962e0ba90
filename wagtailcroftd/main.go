// Command wagtailcroftd runs an entry instance of wagtailcroft.
package main

import (
	"fmt"
	"os"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const help = "An entry instance of wagtailcroft: serves callers and operators, routes requests, schedules gangs."

var commands = []commander.Command{cmdServe, cmdSchedule, cmdCheckSettings, cmdVersion}

func main() {
	if err := commander.Run("wagtailcroftd", help, commands, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "wagtailcroftd:", err)
		os.Exit(1)
	}
}
