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

// longestLine bounds a line of a log file, in bytes.
const longestLine = 1 << 20

var (
	cmdTrace = command{
		path: []string{"trace"},
		help: "Merge what the instances logged about a job, task or worker, in order of time, and name the longest wait.",
		bind: func(cl *kingpin.CmdClause) func(*env) error {
			id := cl.Arg("id", "Id of a job, a task or a worker.").Required().String()
			files := cl.Arg("logs", "Log files of the instances.").Required().ExistingFiles()
			return func(en *env) error { return trace(en, *id, *files) }
		},
	}

	timePattern = regexp.MustCompile(`time=(\S+)`)
	waitPattern = regexp.MustCompile(`(?:waited|silent|took|unchanged|ran)Millis=(\d+)`)
)

// traceLine is a line of a log that names the id.
type traceLine struct {
	Time string `json:"time"`
	Text string `json:"text"`
	// Wait is the longest time that the line states, in milliseconds.
	Wait int64 `json:"wait"`
}

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
		return eris.Errorf("no line names %s; collect the logs of all instances, and look for the queue's refusals with: grep jobSubmitted", id)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.Time, b.Time) })
	longest := slices.MaxFunc(lines, func(a, b traceLine) int { return int(a.Wait - b.Wait) })
	ta := printer.Table{Header: []string{"time", "line"}, Rows: [][]string{{longest.Time, "longest: " + longest.Text}}}
	for _, li := range lines {
		ta.Rows = append(ta.Rows, []string{li.Time, li.Text})
	}
	return en.printer.Print(lines, ta)
}

// traceFile finds the lines of a file that name the id as a whole value or as the job of
// a task.
func traceFile(name, id string) ([]traceLine, error) {
	fi, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrapf(err, "open the log %s; check its name and rights", name)
	}
	defer func() { _ = fi.Close() }() // it was only read
	named := regexp.MustCompile(`=` + regexp.QuoteMeta(id) + `(?:[.\s]|$)`)
	var lines []traceLine
	sc := bufio.NewScanner(fi)
	sc.Buffer(nil, longestLine)
	for sc.Scan() {
		if text := sc.Text(); named.MatchString(text) {
			lines = append(lines, parseLine(text))
		}
	}
	return lines, eris.Wrapf(sc.Err(), "read the log %s", name)
}

func parseLine(text string) traceLine {
	li := traceLine{Text: text}
	if found := timePattern.FindStringSubmatch(text); found != nil {
		li.Time = found[1]
		li.Text = strings.TrimSpace(strings.Replace(text, found[0], "", 1))
	}
	for _, found := range waitPattern.FindAllStringSubmatch(text, -1) {
		var millis int64
		if _, err := fmt.Sscan(found[1], &millis); err == nil {
			li.Wait = max(li.Wait, millis)
		}
	}
	return li
}
