package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/examiner"
	"github.com/wagtailcroft/wagtailcroft/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

const (
	// maxTypo is how many letters a misspelt key may differ from a known one, and minTypo the length of the
	// shortest key that is taken for a misspelt one.
	maxTypo = 2
	minTypo = 5
)

var cmdConfigCheck = command{
	path: []string{"config", "check"},
	help: "Check a configuration of the step job scheduler before it is sent: errors, entries that can never match, limits that contradict each other. Exit code 3 if there is an error.",
	bind: func(cl *kingpin.CmdClause) func(*env) error {
		file := cl.Arg("file", "Configuration in JSON, as it is written to the store.").Required().ExistingFile()
		inForce := cl.Flag("in-force", "Also show what differs from the version in force and what callers will notice, and compare guarantees with the workers; needs --store.").Bool()
		store := cl.Flag("store", "Address of the platform's store, as HOST:PORT.").Envar("WAGTAILCROFT_STORE").String()
		return func(en *env) error { return configCheck(en, *file, *inForce, *store) }
	},
}

type (
	// configReport is the result of a check.
	configReport struct {
		File string `json:"file"`
		// Errors and Warnings count the findings.
		Errors   int             `json:"errors"`
		Warnings int             `json:"warnings"`
		Findings []configFinding `json:"findings"`
		// Changes are those against the version in force.
		Changes []configChange `json:"changes"`
	}

	// configFinding is a mistake, or what is probably one.
	configFinding struct {
		Severity string `json:"severity"`
		// Line is 0 if the finding belongs to no line.
		Line   int    `json:"line"`
		Key    string `json:"key"`
		Text   string `json:"text"`
		Remedy string `json:"remedy"`
	}

	// configChange is a difference from the version in force.
	configChange struct {
		Kind   string `json:"kind"`
		Name   string `json:"name"`
		Field  string `json:"field"`
		Before string `json:"before"`
		After  string `json:"after"`
		Effect string `json:"effect"`
	}
)

func configCheck(en *env, file string, inForce bool, store string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrapf(err, "read %s; check its permissions", file)
	}
	var present *platform.Draft
	var fleet *examiner.Fleet
	if inForce {
		if store == "" {
			return eris.New("--in-force needs the address of the store; name it with --store or WAGTAILCROFT_STORE")
		}
		if present, fleet, err = readInForce(store); err != nil {
			return err
		}
	}
	report := checkDraft(platform.ReadDraft(text), present, fleet)
	report.File = file
	if err := en.printer.Print(report, report.table()); err != nil {
		return err
	}
	if report.Errors > 0 {
		return &problemError{doc: types.Problem{
			Title: "The configuration has errors", Detail: fmt.Sprintf("%d errors in %s", report.Errors, file), Remedy: "mend them before you send it", Status: http.StatusUnprocessableEntity,
		}}
	}
	return nil
}

// readInForce reads the configuration in force and the workers from the store.
func readInForce(address string) (*platform.Draft, *examiner.Fleet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout.Duration())
	defer cancel()
	st := platform.NewStore(address, nil)
	defer st.CloseIdleConnections()
	key := platform.ConfigKey
	rows, err := readRows(ctx, st, key.Table, key.Name, key.Name+"\x00")
	if err != nil {
		return nil, nil, err
	}
	workers, err := readRows(ctx, st, platform.WorkerTable, "", "")
	if err != nil {
		return nil, nil, err
	}
	if len(rows) == 0 {
		return nil, nil, eris.New("the store holds no configuration yet; leave --in-force out")
	}
	present := platform.ReadDraft(rows[0].Value)
	if present.Problem != nil {
		return nil, nil, eris.Wrap(present.Problem, "the configuration in the store cannot be compared; leave --in-force out")
	}
	return present, platform.FleetOf(workers), nil
}

// readRows reads all rows of a range.
func readRows(ctx context.Context, st *platform.Store, table rowstore.Table, from, to string) ([]rowstore.Row, error) {
	var rows []rowstore.Row
	for {
		page, err := st.Read(ctx, table, from, to, 0)
		if err != nil {
			return nil, &problemError{doc: types.Problem{
				Title: "The store did not answer", Detail: err.Error(), Remedy: "check --store and try again, or check the file without --in-force", Status: http.StatusServiceUnavailable,
			}}
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}

// checkDraft checks a configuration, against the one in force unless present is nil.
func checkDraft(dr, present *platform.Draft, fleet *examiner.Fleet) configReport {
	report := configReport{Findings: []configFinding{}, Changes: []configChange{}}
	if dr.Problem != nil {
		report.add(configFinding{Severity: string(examiner.Error), Line: dr.Line, Text: dr.Problem.Error(), Remedy: "instances would ignore this version and keep the one in force"})
		return report
	}
	for _, key := range dr.Keys {
		report.addKey(key)
	}
	for _, fi := range examiner.Examine(dr.Policy, fleet) {
		key, line := dr.Locate(fi.Place)
		report.add(configFinding{Severity: string(fi.Severity), Line: line, Key: key, Text: fi.Text, Remedy: fi.Remedy})
	}
	if present == nil {
		return report
	}
	if dr.Version <= present.Version {
		report.add(configFinding{
			Severity: string(examiner.Error), Key: "version", Line: dr.LineOf("version"), Remedy: "give a higher version",
			Text: fmt.Sprintf("the version %d is not above %d, which is in force", dr.Version, present.Version),
		})
	}
	for _, ch := range examiner.Compare(present.Policy, dr.Policy) {
		report.Changes = append(report.Changes, configChange{Kind: string(ch.Kind), Name: ch.Name, Field: string(ch.Field), Before: ch.Before, After: ch.After, Effect: ch.Effect})
	}
	return report
}

func (cr *configReport) add(fi configFinding) {
	cr.Findings = append(cr.Findings, fi)
	if fi.Severity == string(examiner.Error) {
		cr.Errors++
	} else {
		cr.Warnings++
	}
}

// addKey adds what is wrong with a key: it is given twice, or is probably misspelt. The platform has keys of its
// own, so that not every key that the product does not read is a mistake.
func (cr *configReport) addKey(key platform.DraftKey) {
	if key.Again {
		cr.add(configFinding{Severity: string(examiner.Error), Line: key.Line, Key: key.Path, Text: "the key is given twice, and only the last one counts", Remedy: "remove one of the two"})
	}
	known := func(name string) bool { return strings.EqualFold(name, key.Name) }
	if len(key.Name) < minTypo || slices.ContainsFunc(key.Known, known) {
		return
	}
	for _, name := range key.Known {
		if levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(key.Name)) <= maxTypo {
			cr.add(configFinding{Severity: string(examiner.Warning), Line: key.Line, Key: key.Path, Text: fmt.Sprintf("the key %s is not read", key.Name), Remedy: "did you mean " + name + "?"})
			return
		}
	}
}

// table returns the findings, then the changes.
func (cr *configReport) table() printer.Table {
	ta := printer.Table{Header: []string{"what", "line", "key", "text", "next"}}
	if len(cr.Findings) == 0 {
		ta.Rows = append(ta.Rows, []string{"ok", "", "", "no errors and no warnings", ""})
	}
	for _, fi := range cr.Findings {
		line := ""
		if fi.Line > 0 {
			line = strconv.Itoa(fi.Line)
		}
		ta.Rows = append(ta.Rows, []string{fi.Severity, line, fi.Key, fi.Text, fi.Remedy})
	}
	for _, ch := range cr.Changes {
		text := ch.Before + " -> " + ch.After
		switch {
		case ch.Before == "":
			text = "added: " + ch.After
		case ch.After == "":
			text = "removed: " + ch.Before
		}
		ta.Rows = append(ta.Rows, []string{"change", "", strings.TrimSpace(ch.Kind + " " + ch.Name + " " + ch.Field), text, ch.Effect})
	}
	return ta
}
