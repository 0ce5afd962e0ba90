// Command bench measures the decisions of the product beside simple policies.
package main

import (
	"fmt"
	"os"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const help = "Measures the decisions of the product beside simple policies."

var commands = []commander.Command{cmdRun, cmdDays, cmdJournal}

func main() {
	if err := commander.Run("bench", help, commands, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
