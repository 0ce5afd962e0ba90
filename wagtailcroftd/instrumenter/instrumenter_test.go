package instrumenter_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/instrumenter"
)

func TestInstrumenter(t *testing.T) {
	in := instrumenter.New()
	in.Count("submits", "accepted")
	in.Count("submits", "accepted")
	in.Count("submits", "refused")
	for i := range 100 {
		in.Observe("start", clock.Millis(i+1))
	}
	in.Observe("start", clock.Hour)
	var got struct {
		Count  map[string]map[string]int64
		Millis map[string]map[string]int64
	}
	asserter.NoError(t, json.Unmarshal([]byte(in.String()), &got))
	t.Run("counters add up", func(t *testing.T) {
		asserter.Equal(t, got.Count["submits"]["accepted"], 2)
		asserter.Equal(t, got.Count["submits"]["refused"], 1)
	})
	t.Run("quantiles are exact to two significant digits", func(t *testing.T) {
		asserter.Equal(t, got.Millis["start"]["count"], 101)
		asserter.Equal(t, got.Millis["start"]["p50"], 51)
	})
	t.Run("the text has a line for each counter and label, and the histograms", func(t *testing.T) {
		for _, line := range []string{
			"# TYPE wagtailcroft_submits_total counter", `wagtailcroft_submits_total{label="accepted"} 2`,
			"# TYPE wagtailcroft_start_millis summary", `wagtailcroft_start_millis{quantile="0.5"} 51`, "wagtailcroft_start_millis_count 101",
		} {
			asserter.Equal(t, strings.Contains(in.Text(), line+"\n"), true)
		}
		in.Count("storeReads", "a\"b\nc")
		asserter.Equal(t, strings.Contains(in.Text(), `wagtailcroft_store_reads_total{label="a\"b\nc"} 1`), true)
	})
	t.Run("a duration beyond the upper bound is recorded as the upper bound", func(t *testing.T) {
		asserter.Equal(t, got.Millis["start"]["max"] >= 600_000, true)
	})
}
