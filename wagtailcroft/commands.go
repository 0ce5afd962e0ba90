package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/version"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

const (
	defaultURL     = "http://127.0.0.1:7072"
	requestTimeout = 15 * clock.Second
)

type (
	// command names, describes and runs one subcommand.
	command struct {
		// path holds the words of the subcommand.
		path []string
		help string
		// bind adds flags and arguments and returns what runs the subcommand.
		bind func(cl *kingpin.CmdClause) func(en *env) error
	}

	// env is what subcommands work with.
	env struct {
		client  *operator.ClientWithResponses
		printer *printer.Printer
		// progress receives what is worth telling while a command waits.
		progress io.Writer
	}

	// options are the flags that all subcommands share.
	options struct {
		url    string
		token  string
		output string
	}
)

var (
	commands = []command{
		cmdTableGet, cmdTableSet, cmdTableDiff, cmdTableHistory, cmdTableStatus,
		cmdJobsList, cmdJobsShow, cmdJobsCancel,
		cmdTargetsList, cmdTargetsDrain,
		cmdWorkersList, cmdWorkspacesList, cmdInstancesList, cmdWhy, cmdTrace, cmdVersion,
	}

	groups = map[string]string{
		"table":      "The shared table: one row for each workspace.",
		"jobs":       "Jobs of all workspaces.",
		"targets":    "Runners and workers.",
		"workers":    "Workers.",
		"workspaces": "Guarantees and what is borrowed.",
		"instances":  "Entry instances.",
	}
)

// run carries out one command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	op := &options{}
	app := newApp(op, errs)
	actions := bindAll(app)
	name, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errs, "wagtailcroft: %v; run: wagtailcroft --help\n", err)
		return exitUsage
	}
	en, err := newEnv(op, out, errs)
	if err == nil {
		err = actions[name](en)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "wagtailcroft: %v\n", err)
	}
	return exitCode(err)
}

func newApp(op *options, errs io.Writer) *kingpin.Application {
	app := kingpin.New("wagtailcroft", "The operators' client of wagtailcroft. Exit codes: 0 done, 1 other error, 2 wrong command line, 3 refused, 4 changed by another, 5 unavailable, 6 outcome unknown.")
	app.ErrorWriter(errs)
	app.HelpFlag.Short('h')
	app.Flag("url", "Operator address of any entry instance.").Envar("WAGTAILCROFT_URL").Default(defaultURL).StringVar(&op.url)
	app.Flag("token", "Bearer token of an operator.").Envar("WAGTAILCROFT_TOKEN").StringVar(&op.token)
	app.Flag("output", "How to print: table or json.").Short('o').Default("table").EnumVar(&op.output, "table", "json")
	return app
}

// bindAll adds every subcommand under its group.
func bindAll(app *kingpin.Application) map[string]func(*env) error {
	actions := map[string]func(*env) error{}
	clauses := map[string]*kingpin.CmdClause{}
	for _, co := range commands {
		name := strings.Join(co.path, " ")
		if len(co.path) == 1 {
			actions[name] = co.bind(app.Command(name, co.help))
			continue
		}
		group := co.path[0]
		if clauses[group] == nil {
			clauses[group] = app.Command(group, groups[group])
		}
		actions[name] = co.bind(clauses[group].Command(co.path[1], co.help))
	}
	return actions
}

func newEnv(op *options, out, errs io.Writer) (*env, error) {
	httpClient := &http.Client{Timeout: requestTimeout.Duration()}
	client, err := operator.NewClientWithResponses(op.url, operator.WithHTTPClient(httpClient), operator.WithRequestEditorFn(bearer(op.token)))
	if err != nil {
		return nil, eris.Wrap(err, "the URL is not valid; set it with --url")
	}
	return &env{client: client, printer: printer.New(out, op.output == "json"), progress: errs}, nil
}

func bearer(token string) func(context.Context, *http.Request) error {
	return func(_ context.Context, req *http.Request) error {
		req.Header.Set("Authorization", "Bearer "+token)
		return nil
	}
}

var cmdVersion = command{
	path: []string{"version"},
	help: "Print the version.",
	bind: func(*kingpin.CmdClause) func(*env) error {
		return func(en *env) error { return en.printer.Text(version.Text()) }
	},
}

// author is whose name stands in the history.
func author() string {
	if name := os.Getenv("WAGTAILCROFT_AUTHOR"); name != "" {
		return name
	}
	return os.Getenv("USER")
}
