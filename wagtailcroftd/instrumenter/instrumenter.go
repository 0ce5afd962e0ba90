// Package instrumenter keeps the counters and latency histograms of an instance and
// publishes them on the metrics address.
package instrumenter

import (
	"encoding/json"
	"expvar"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
)

const (
	// maxMillis is the upper bound of a histogram.
	maxMillis = 600_000
	// significantDigits is the precision of a recorded time.
	significantDigits = 2
)

// quantiles are the quantiles published of each histogram, in percent.
var quantiles = map[string]float64{"p50": 50, "p95": 95, "p99": 99, "max": 100}

// Instrumenter holds counters and histograms by name. It is safe for concurrent use.
type Instrumenter struct {
	mu       locker.Mutex
	counters map[string]map[string]int64
	// reported holds the counters as of the last call of CounterDeltas.
	reported   map[string]map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	// sums holds the sum of the durations in each histogram.
	sums map[string]int64
}

// New returns an instrumenter without counters and histograms.
func New() *Instrumenter {
	return &Instrumenter{
		mu: locker.New(locker.RankPlatform), counters: map[string]map[string]int64{}, reported: map[string]map[string]int64{}, histograms: map[string]*hdrhistogram.Histogram{}, sums: map[string]int64{},
	}
}

// Publish registers the instrumenter as an expvar variable. A name can be registered only
// once in a process.
func (in *Instrumenter) Publish(name string) { expvar.Publish(name, in) }

// Count increments a counter.
func (in *Instrumenter) Count(name, label string) { in.Add(name, label, 1) }

// Add adds a number, 0 or more, to a counter.
func (in *Instrumenter) Add(name, label string, more int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.counters[name] == nil {
		in.counters[name] = map[string]int64{}
	}
	in.counters[name][label] += more
}

// Observe records a duration in a histogram. Durations beyond the upper bound are recorded as the
// upper bound.
func (in *Instrumenter) Observe(name string, d clock.Millis) {
	in.mu.Lock()
	defer in.mu.Unlock()
	hi := in.histograms[name]
	if hi == nil {
		hi = hdrhistogram.New(1, maxMillis, significantDigits)
		in.histograms[name] = hi
	}
	millis := min(max(int64(d), 1), maxMillis)
	_ = hi.RecordValue(millis) // cannot fail: the value is within the bounds
	in.sums[name] += millis
}

// CounterDeltas returns the increments of the counters since the previous call, keyed by
// "name.label".
func (in *Instrumenter) CounterDeltas() map[string]int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	deltas := map[string]int64{}
	for name, labels := range in.counters {
		if in.reported[name] == nil {
			in.reported[name] = map[string]int64{}
		}
		for label, count := range labels {
			if delta := count - in.reported[name][label]; delta > 0 {
				deltas[name+"."+label] = delta
				in.reported[name][label] = count
			}
		}
	}
	return deltas
}

// String implements expvar.Var: it returns all metrics as JSON.
func (in *Instrumenter) String() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	millis := map[string]map[string]int64{}
	for name, hi := range in.histograms {
		millis[name] = map[string]int64{"count": hi.TotalCount()}
		for label, quantile := range quantiles {
			millis[name][label] = hi.ValueAtQuantile(quantile)
		}
	}
	text, err := json.Marshal(map[string]any{"count": in.counters, "millis": millis})
	if err != nil {
		return "{}" // cannot happen: maps of strings and numbers can always be marshalled
	}
	return string(text)
}
