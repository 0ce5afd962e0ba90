package main

import (
	"bufio"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/wagtailcroft/printer"
)

// maxLineBytes is the maximum length of a line in a log file.
const maxLineBytes = 1 << 20

var (
	cmdTrace = command{
		path: []string{"trace"},
		help: "Merge the log lines of all instances about a job, task or worker in order of time, and show the line with the longest wait.",
		bind: func(cl *kingpin.CmdClause) func(*env) error {
			id := cl.Arg("id", "Id of a job, a task or a worker.").Required().String()
			files := cl.Arg("logs", "Log files of the instances.").Required().ExistingFiles()
			return func(en *env) error { return trace(en, *id, *files) }
		},
	}

	timePattern = regexp.MustCompile(`time=(\S+)`)
	// waitPattern matches the log fields that state how long something waited or took.
	waitPattern = regexp.MustCompile(`(?:waited|silent|took|unchanged|ran)Millis=(\d+)`)
)

// traceLine is a log line that contains the id.
type traceLine struct {
	Time string `json:"time"`
	Text string `json:"text"`
	// Wait is the longest duration in the line, in milliseconds.
	Wait int64 `json:"wait"`
}

// trace prints the lines of all files that contain the id in order of time, preceded by the line
// with the longest wait.
func trace(en *env, id string, files []string) error {
	var lines []traceLine
	for _, name := range files {
		more, err := traceFile(name, id)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	if len(lines) == 0 {
		return eris.Errorf("no log line contains the id %s; collect the logs of all instances, and find refused submissions with: grep jobSubmitted", id)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.Time, b.Time) })
	longest := slices.MaxFunc(lines, func(a, b traceLine) int { return int(a.Wait - b.Wait) })
	ta := printer.Table{Header: []string{"time", "line"}, Rows: [][]string{{longest.Time, "longest: " + longest.Text}}}
	for _, li := range lines {
		ta.Rows = append(ta.Rows, []string{li.Time, li.Text})
	}
	return en.printer.Print(lines, ta)
}

// traceFile returns the lines of a log file in which the id is a complete field value, or the
// job part of a task id.
func traceFile(name, id string) ([]traceLine, error) {
	fi, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrapf(err, "open log file %s; check its name and permissions", name)
	}
	defer func() { _ = fi.Close() }() // nothing was written, so an error on close loses no data
	pattern := regexp.MustCompile(`=` + regexp.QuoteMeta(id) + `(?:[.\s]|$)`)
	var lines []traceLine
	sc := bufio.NewScanner(fi)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if text := sc.Text(); pattern.MatchString(text) {
			lines = append(lines, parseLine(text))
		}
	}
	return lines, eris.Wrapf(sc.Err(), "read log file %s", name)
}

// parseLine splits the timestamp off a log line and finds the longest duration in it.
func parseLine(text string) traceLine {
	li := traceLine{Text: text}
	if match := timePattern.FindStringSubmatch(text); match != nil {
		li.Time = match[1]
		li.Text = strings.TrimSpace(strings.Replace(text, match[0], "", 1))
	}
	for _, match := range waitPattern.FindAllStringSubmatch(text, -1) {
		var millis int64
		if _, err := fmt.Sscan(match[1], &millis); err == nil {
			li.Wait = max(li.Wait, millis)
		}
	}
	return li
}
