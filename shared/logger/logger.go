// Package logger writes one line of key=value pairs for each event.
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

// New returns a logger for one instance that writes to w the events of level and above.
// Levels are those of the settings: debug, info, warn, error.
func New(w io.Writer, level string, in identifier.Instance) (zerolog.Logger, error) {
	lv, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(writer(w)).Level(lv).With().Str("instance", string(in)).Logger().Hook(stamp{}), nil
}

// timeForm has milliseconds, so that the lines of several instances can be merged.
const timeForm = "2006-01-02T15:04:05.000Z"

// stamp adds the time of day to each line.
type stamp struct{}

// Run adds the time.
func (stamp) Run(ev *zerolog.Event, _ zerolog.Level, _ string) {
	ev.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeForm))
}

// writer turns zerolog's JSON into key=value pairs.
func writer(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		FormatTimestamp:  pair("time"),
		FormatLevel:      pair("level"),
		FormatMessage:    pair("event"),
		FormatFieldName:  func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatFieldValue: value,
	}
}

func pair(name string) zerolog.Formatter {
	return func(val any) string {
		if val == nil {
			return ""
		}
		return name + "=" + value(val)
	}
}

// value quotes what could be taken for more than one word.
func value(val any) string {
	text := fmt.Sprint(val)
	if raw, ok := val.([]byte); ok {
		text = string(raw) // zerolog passes what is neither text nor number as JSON
	}
	if strings.ContainsAny(text, " =\"\n") && !strings.HasPrefix(text, `"`) {
		return strconv.Quote(text)
	}
	return text
}
