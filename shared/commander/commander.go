// Package commander runs command-line programs that consist of subcommands.
package commander

import "github.com/alecthomas/kingpin/v2"

// Command defines one subcommand.
type Command struct {
	Name string
	Help string
	// Bind registers the flags and arguments on cl and returns the function that runs the
	// subcommand.
	Bind func(cl *kingpin.CmdClause) func() error
}

// Run parses args and runs the subcommand that they select.
func Run(program, help string, commands []Command, args []string) error {
	app := kingpin.New(program, help)
	app.HelpFlag.Short('h')
	actions := map[string]func() error{}
	for _, co := range commands {
		actions[co.Name] = co.Bind(app.Command(co.Name, co.Help))
	}
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	return actions[name]()
}
