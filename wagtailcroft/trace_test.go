package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

func TestTraceFile(t *testing.T) {
	const job = "5c0e7a21d94b36f8"
	log := strings.Join([]string{
		"time=2026-12-04T12:00:02.000Z level=info event=runScheduled task=" + job + ".0.0.1 waitedMillis=1200",
		"time=2026-12-04T12:00:01.000Z level=info event=jobSubmitted job=" + job + " queue=a",
		"time=2026-12-04T12:00:03.000Z level=info event=jobSubmitted job=" + job + "0",
		"",
	}, "\n")
	path := filepath.Join(t.TempDir(), "a.log")
	asserter.NoError(t, os.WriteFile(path, []byte(log), 0o600))
	lines, err := traceFile(path, job)
	asserter.NoError(t, err)
	t.Run("only lines with the id are returned", func(t *testing.T) { asserter.Equal(t, len(lines), 2) })
	t.Run("timestamp and wait are parsed", func(t *testing.T) {
		asserter.Equal(t, lines[0].Time, "2026-12-04T12:00:02.000Z")
		asserter.Equal(t, lines[0].Wait, 1200)
	})
	t.Run("missing file", func(t *testing.T) {
		_, err := traceFile(path+"x", job)
		asserter.Equal(t, strings.Contains(err.Error(), "check its name"), true)
	})
}
