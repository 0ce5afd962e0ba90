package main

import "github.com/alecthomas/kingpin/v2"

// command names, describes and runs one subcommand.
type command struct {
	name string
	help string
	// bind adds the flags and returns what runs the subcommand.
	bind func(cl *kingpin.CmdClause) func() error
}

var commands = []command{cmdServe, cmdCheckSettings, cmdVersion}

// run parses the arguments and runs the subcommand they name.
func run(args []string) error {
	app := kingpin.New("wagtailcroftd", "An entry instance of wagtailcroft: serves callers and operators, routes requests, schedules gangs.")
	app.HelpFlag.Short('h')
	actions := map[string]func() error{}
	for _, co := range commands {
		actions[co.name] = co.bind(app.Command(co.name, co.help))
	}
	name, err := app.Parse(args)
	if err != nil || name == "" {
		return err
	}
	return actions[name]()
}
