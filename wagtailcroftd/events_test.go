package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// page lists every event of the log with its fields.
const page = "../docs/OPERATIONS.md"

// packages are those of which an instance of schedule is made.
var packages = []string{"conductor", "elector", "maintainer", "messenger", "follower", "tailer", "intake", "participant", "overseer", "replier", "cmd_schedule.go"}

// events maps each event that the code logs to the names of its fields.
func events(t *testing.T) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	for _, name := range packages {
		files, err := filepath.Glob(filepath.Join(name, "*.go"))
		asserter.OK(t, err)
		if strings.HasSuffix(name, ".go") {
			files = []string{name}
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			asserter.OK(t, err)
			ast.Inspect(file, func(node ast.Node) bool {
				if event, fields, is := logged(node); is {
					found[event] = append(found[event], fields...)
				}
				return true
			})
		}
	}
	return found
}

// logged returns the event and the fields of a call that writes a log line.
func logged(node ast.Node) (string, []string, bool) {
	call, is := node.(*ast.CallExpr)
	if !is || selector(call) != "Msg" || len(call.Args) != 1 {
		return "", nil, false
	}
	event := text(call.Args[0])
	var fields []string
	for inner := call; ; {
		sel, is := inner.Fun.(*ast.SelectorExpr)
		if !is {
			break
		}
		if inner, is = sel.X.(*ast.CallExpr); !is {
			break
		}
		switch {
		case selector(inner) == "Err":
			fields = append(fields, "error")
		case len(inner.Args) == 2:
			fields = append(fields, text(inner.Args[0]))
		}
	}
	return event, fields, event != ""
}

func selector(call *ast.CallExpr) string {
	if sel, is := call.Fun.(*ast.SelectorExpr); is {
		return sel.Sel.Name
	}
	return ""
}

// text is the value of a literal, or empty.
func text(ex ast.Expr) string {
	lit, is := ex.(*ast.BasicLit)
	if !is {
		return ""
	}
	value, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return value
}

// documented maps each event on the page to the names in its row.
func documented(t *testing.T) map[string][]string {
	t.Helper()
	content, err := os.ReadFile(page)
	asserter.OK(t, err)
	rows := map[string][]string{}
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for _, event := range quoted(cells[1]) {
			rows[event] = append(rows[event], quoted(cells[3])...)
		}
	}
	return rows
}

// quoted lists the words between backquotes.
func quoted(cell string) []string {
	var words []string
	for i, part := range strings.Split(cell, "`") {
		if i%2 == 1 {
			words = append(words, part)
		}
	}
	return words
}

func TestEventsAreOnThePage(t *testing.T) {
	rows := documented(t)
	for event, fields := range events(t) {
		t.Run(event, func(t *testing.T) {
			listed, is := rows[event]
			if !is {
				t.Fatalf("%s lacks the event", page)
			}
			for _, field := range fields {
				if field != "" && !slices.Contains(listed, field) {
					t.Errorf("%s lacks the field %s of the event", page, field)
				}
			}
		})
	}
}
