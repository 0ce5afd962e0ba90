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

// page documents every log event and its fields.
const page = "../docs/OPERATIONS.md"

// packages are the packages and files that the schedule command consists of.
var packages = []string{"controller", "elector", "maintainer", "messenger", "follower", "tailer", "intake", "participant", "overseer", "replier", "cmd_schedule.go"}

// loggedEvents maps each event that the code logs to the names of its fields.
func loggedEvents(t *testing.T) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	for _, name := range packages {
		files, err := filepath.Glob(filepath.Join(name, "*.go"))
		asserter.NoError(t, err)
		if strings.HasSuffix(name, ".go") {
			files = []string{name}
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			asserter.NoError(t, err)
			ast.Inspect(file, func(node ast.Node) bool {
				if event, fields, ok := loggedEvent(node); ok {
					found[event] = append(found[event], fields...)
				}
				return true
			})
		}
	}
	return found
}

// loggedEvent returns the event and the fields of a call that writes a log line; false for
// any other node.
func loggedEvent(node ast.Node) (string, []string, bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok || methodName(call) != "Msg" || len(call.Args) != 1 {
		return "", nil, false
	}
	event := literalValue(call.Args[0])
	var fields []string
	for inner := call; ; {
		sel, ok := inner.Fun.(*ast.SelectorExpr)
		if !ok {
			break
		}
		if inner, ok = sel.X.(*ast.CallExpr); !ok {
			break
		}
		switch {
		case methodName(inner) == "Err":
			fields = append(fields, "error")
		case len(inner.Args) == 2:
			fields = append(fields, literalValue(inner.Args[0]))
		}
	}
	return event, fields, event != ""
}

func methodName(call *ast.CallExpr) string {
	if sel, ok := call.Fun.(*ast.SelectorExpr); ok {
		return sel.Sel.Name
	}
	return ""
}

// literalValue returns the value of a string literal, or "" for any other expression.
func literalValue(ex ast.Expr) string {
	lit, ok := ex.(*ast.BasicLit)
	if !ok {
		return ""
	}
	value, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return value
}

// documentedEvents maps each event on the page to the field names in its table row.
func documentedEvents(t *testing.T) map[string][]string {
	t.Helper()
	content, err := os.ReadFile(page)
	asserter.NoError(t, err)
	rows := map[string][]string{}
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for _, event := range backquotedWords(cells[1]) {
			rows[event] = append(rows[event], backquotedWords(cells[3])...)
		}
	}
	return rows
}

// backquotedWords returns the words between backquotes.
func backquotedWords(cell string) []string {
	var words []string
	for i, part := range strings.Split(cell, "`") {
		if i%2 == 1 {
			words = append(words, part)
		}
	}
	return words
}

func TestEventsAreDocumented(t *testing.T) {
	rows := documentedEvents(t)
	for event, fields := range loggedEvents(t) {
		t.Run(event, func(t *testing.T) {
			listed, ok := rows[event]
			if !ok {
				t.Fatalf("%s does not list the event", page)
			}
			for _, field := range fields {
				if field != "" && !slices.Contains(listed, field) {
					t.Errorf("%s does not list the field %s of the event", page, field)
				}
			}
		})
	}
}
