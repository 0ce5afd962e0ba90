package logger

import (
	"bytes"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", "kochi-0")
	asserter.NoError(t, err)
	log.Info().Str("reason", "two words").Int("count", 3).Msg("jobChanged")
	log.Debug().Msg("hidden")
	line := out.String()
	t.Run("one line per event", func(t *testing.T) { asserter.Equal(t, strings.Count(line, "\n"), 1) })
	for _, pair := range []string{"level=info", "event=jobChanged", "instance=kochi-0", `reason="two words"`, "count=3", "time="} {
		t.Run(pair, func(t *testing.T) { asserter.Equal(t, strings.Contains(line, pair), true) })
	}
	t.Run("unknown level is rejected", func(t *testing.T) {
		_, err := New(&out, "loud", "kochi-0")
		asserter.Equal(t, err != nil, true)
	})
}
