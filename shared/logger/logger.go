// Package logger writes structured logs: one line of key=value pairs per event.
package logger

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// timeFormat includes milliseconds so that the logs of several instances can be merged in
// order of time.
const timeFormat = "2006-01-02T15:04:05.000Z"

// timestampHook adds the wall-clock time to each line.
type timestampHook struct{}

// New returns a logger for instance in that writes events of the given level and above to w.
// The settings allow the levels debug, info, warn and error.
func New(w io.Writer, level string, in identifier.Instance) (zerolog.Logger, error) {
	lv, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(newWriter(w)).Level(lv).With().Str("instance", string(in)).Logger().Hook(timestampHook{}), nil
}

// Run adds the timestamp field to ev.
func (timestampHook) Run(ev *zerolog.Event, _ zerolog.Level, _ string) {
	ev.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}

// newWriter returns a writer that converts the JSON of zerolog to key=value pairs.
func newWriter(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		FormatTimestamp:  pairFormatter("time"),
		FormatLevel:      pairFormatter("level"),
		FormatMessage:    pairFormatter("event"),
		FormatFieldName:  func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatFieldValue: formatValue,
	}
}

// pairFormatter returns a formatter that writes name=value, or nothing if the value is nil.
func pairFormatter(name string) zerolog.Formatter {
	return func(val any) string {
		if val == nil {
			return ""
		}
		return name + "=" + formatValue(val)
	}
}

// formatValue converts val to text and quotes it if it contains a delimiter, unless it is
// quoted already.
func formatValue(val any) string {
	text := fmt.Sprint(val)
	if raw, ok := val.([]byte); ok {
		text = string(raw) // zerolog passes values other than strings and numbers as JSON
	}
	if strings.ContainsAny(text, " =\"\n") && !strings.HasPrefix(text, `"`) {
		return strconv.Quote(text)
	}
	return text
}
