// Package commander runs programs that are made of subcommands.
package commander

import "github.com/alecthomas/kingpin/v2"

// Command names, describes and runs one subcommand.
type Command struct {
	Name string
	Help string
	// Bind adds flags and arguments and returns what runs the subcommand.
	Bind func(cl *kingpin.CmdClause) func() error
}

// Run parses the arguments of a program and runs the subcommand they name.
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
