// Command bench compares the scheduling policies of wagtailcroft with simple baseline
// policies and measures the cost of their decisions.
package main

import (
	"fmt"
	"os"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const help = "Compares the scheduling policies of wagtailcroft with simple baseline policies."

var commands = []commander.Command{cmdRun, cmdDays, cmdJournal}

func main() {
	if err := commander.Run("bench", help, commands, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
