// Package instrumenter counts what an instance does and how long it takes, and shows both
// on the metrics address.
package instrumenter

import (
	"encoding/json"
	"expvar"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

const (
	// longest is the longest time that a histogram tells apart, in milliseconds.
	longest = 600_000
	// digits is the number of significant digits of a time.
	digits = 2
)

// shown are the quantiles that are shown of each histogram.
var shown = map[string]float64{"p50": 50, "p95": 95, "p99": 99, "max": 100}

// Instrumenter holds counters and histograms by name. It is safe for concurrent use.
type Instrumenter struct {
	mu    locker.Mutex
	count map[string]map[string]int64
	// told holds the counters as they were when they were last logged.
	told map[string]map[string]int64
	took map[string]*hdrhistogram.Histogram
}

// New returns an instrumenter at zero.
func New() *Instrumenter {
	return &Instrumenter{
		mu: locker.New(locker.RankPlatform), count: map[string]map[string]int64{}, told: map[string]map[string]int64{}, took: map[string]*hdrhistogram.Histogram{},
	}
}

// Publish shows the instrumenter under a name of package expvar, which may be used once
// in a process.
func (in *Instrumenter) Publish(name string) { expvar.Publish(name, in) }

// Count adds 1 to a counter.
func (in *Instrumenter) Count(name, label string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.count[name] == nil {
		in.count[name] = map[string]int64{}
	}
	in.count[name][label]++
}

// Took records how long something took. What is longer than the longest counts as that.
func (in *Instrumenter) Took(name string, d clock.Millis) {
	in.mu.Lock()
	defer in.mu.Unlock()
	hi := in.took[name]
	if hi == nil {
		hi = hdrhistogram.New(1, longest, digits)
		in.took[name] = hi
	}
	_ = hi.RecordValue(min(max(int64(d), 1), longest)) // fails only beyond the bounds
}

// Changes returns the increments of the counters since the last call, as name.label.
func (in *Instrumenter) Changes() map[string]int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	changes := map[string]int64{}
	for name, labels := range in.count {
		if in.told[name] == nil {
			in.told[name] = map[string]int64{}
		}
		for label, count := range labels {
			if by := count - in.told[name][label]; by > 0 {
				changes[name+"."+label] = by
				in.told[name][label] = count
			}
		}
	}
	return changes
}

// String is what expvar shows: JSON.
func (in *Instrumenter) String() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	millis := map[string]map[string]int64{}
	for name, hi := range in.took {
		millis[name] = map[string]int64{"count": hi.TotalCount()}
		for label, quantile := range shown {
			millis[name][label] = hi.ValueAtQuantile(quantile)
		}
	}
	text, err := json.Marshal(map[string]any{"count": in.count, "millis": millis})
	if err != nil {
		return "{}" // maps of texts and numbers always have a form
	}
	return string(text)
}
