// Command demo plays the work of both deployments on loopback in one process and checks
// every answer.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// command names, describes and runs one subcommand.
type command struct {
	name string
	help string
	// bind adds the flags and returns what runs the subcommand.
	bind func(cl *kingpin.CmdClause) func() error
}

var commands = []command{cmdRun, cmdFaults, cmdDocs, cmdCost, cmdSlopes}

func run(args []string) error {
	app := kingpin.New("demo", "Plays the work of both deployments on loopback and checks every answer.")
	actions := map[string]func() error{}
	for _, co := range commands {
		actions[co.name] = co.bind(app.Command(co.name, co.help))
	}
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	return actions[name]()
}
