// Command demo plays the work of both deployments on loopback, plays faults against running
// processes, measures their cost and writes pages.
package main

import (
	"fmt"
	"os"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const help = "Plays work and faults, measures cost and writes pages."

var commands = []commander.Command{cmdRun, cmdFaults, cmdDocs, cmdCost, cmdSlopes}

func main() {
	if err := commander.Run("demo", help, commands, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
