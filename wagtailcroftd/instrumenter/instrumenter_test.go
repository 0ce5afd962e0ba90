package instrumenter_test

import (
	"encoding/json"
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
	t.Run("a duration beyond the upper bound is recorded as the upper bound", func(t *testing.T) {
		asserter.Equal(t, got.Millis["start"]["max"] >= 600_000, true)
	})
}
