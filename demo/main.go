// Command demo runs the workloads of both deployments on loopback, tests running instances
// under faults, measures their control cost, and writes pages.
package main

import (
	"fmt"
	"os"

	"github.com/wagtailcroft/wagtailcroft/shared/commander"
)

const help = "Runs workloads and faults, measures control cost, and writes pages."

var commands = []commander.Command{cmdRun, cmdFaults, cmdDocs, cmdCost, cmdSlopes}

func main() {
	if err := commander.Run("demo", help, commands, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
