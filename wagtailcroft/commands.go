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

var (
	commands = []command{
		cmdTableGet, cmdTableSet, cmdTableDiff, cmdTableHistory, cmdTableStatus,
		cmdJobsList, cmdJobsShow, cmdJobsCancel,
		cmdTargetsList, cmdTargetsDrain,
		cmdWorkersList, cmdWorkspacesList, cmdZonesList, cmdInterferenceList, cmdConfigCheck, cmdInstancesList, cmdWhy, cmdTrace, cmdVersion,
	}

	groups = map[string]string{
		"table":        "The shared table: one row for each workspace.",
		"jobs":         "Jobs of all workspaces.",
		"targets":      "Runners and workers.",
		"workers":      "Workers.",
		"workspaces":   "Guaranteed and borrowed accelerators of workspaces.",
		"zones":        "Availability zones of the workers.",
		"instances":    "Entry instances.",
		"config":       "The operators' configuration of the step job scheduler.",
		"interference": "Tasks that slow each other down.",
	}

	cmdVersion = command{
		path: []string{"version"},
		help: "Print the version.",
		bind: func(*kingpin.CmdClause) func(*env) error {
			return func(en *env) error { return en.printer.PrintLine(version.Text()) }
		},
	}
)

type (
	// command defines one subcommand.
	command struct {
		// path holds the words of the subcommand, such as table and get.
		path []string
		help string
		// bind registers the flags and arguments on cl and returns the function that runs the
		// subcommand.
		bind func(cl *kingpin.CmdClause) func(en *env) error
	}

	// env is the environment in which a subcommand runs.
	env struct {
		client  *operator.ClientWithResponses
		printer *printer.Printer
		// progress receives messages that are not part of the command's output.
		progress io.Writer
	}

	// options holds the flags shared by all subcommands.
	options struct {
		url    string
		token  string
		output string
	}
)

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	op := &options{}
	app := newApp(op, stderr)
	actions := bindAll(app)
	name, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "wagtailcroft: %v; run: wagtailcroft --help\n", err)
		return exitUsage
	}
	en, err := newEnv(op, stdout, stderr)
	if err == nil {
		err = actions[name](en)
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "wagtailcroft: %v\n", err)
	}
	return exitCode(err)
}

func newApp(op *options, stderr io.Writer) *kingpin.Application {
	app := kingpin.New("wagtailcroft", "Command-line client for operators of wagtailcroft. Exit codes: 0 success, 1 other error, 2 usage error, 3 request refused, 4 conflicting change, 5 unavailable, 6 outcome unknown.")
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	app.Flag("url", "Operator address of any entry instance.").Envar("WAGTAILCROFT_URL").Default(defaultURL).StringVar(&op.url)
	app.Flag("token", "Bearer token of an operator.").Envar("WAGTAILCROFT_TOKEN").StringVar(&op.token)
	app.Flag("output", "Output format: table or json.").Short('o').Default("table").EnumVar(&op.output, "table", "json")
	return app
}

// bindAll registers all subcommands under their groups and returns their functions by name.
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

func newEnv(op *options, stdout, stderr io.Writer) (*env, error) {
	httpClient := &http.Client{Timeout: requestTimeout.Duration()}
	client, err := operator.NewClientWithResponses(op.url, operator.WithHTTPClient(httpClient), operator.WithRequestEditorFn(bearer(op.token)))
	if err != nil {
		return nil, eris.Wrap(err, "invalid URL; set it with --url")
	}
	return &env{client: client, printer: printer.New(stdout, op.output == "json"), progress: stderr}, nil
}

// bearer returns a request editor that adds the token to each request.
func bearer(token string) func(context.Context, *http.Request) error {
	return func(_ context.Context, req *http.Request) error {
		req.Header.Set("Authorization", "Bearer "+token)
		return nil
	}
}

// author returns the name that the history records for a change.
func author() string {
	if name := os.Getenv("WAGTAILCROFT_AUTHOR"); name != "" {
		return name
	}
	return os.Getenv("USER")
}
