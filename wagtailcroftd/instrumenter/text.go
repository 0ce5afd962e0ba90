package instrumenter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

const (
	// TextPath is the path of the metrics as text.
	TextPath = "/metrics"
	// textPrefix begins the name of each metric in the text.
	textPrefix = "wagtailcroft_"
)

// ServeHTTP serves all metrics as text.
func (in *Instrumenter) ServeHTTP(wr http.ResponseWriter, _ *http.Request) {
	wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = io.WriteString(wr, in.Text()) // the reader has gone if this fails
}

// Text returns all metrics in the text format that monitoring systems read: a line for each counter
// and label, and for each histogram its quantiles in milliseconds, its sum and its count. Lines are
// in order of their names.
func (in *Instrumenter) Text() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	var sb strings.Builder
	for _, name := range slices.Sorted(maps.Keys(in.counters)) {
		metric := textPrefix + snake(name) + "_total"
		_, _ = fmt.Fprintf(&sb, "# TYPE %s counter\n", metric) // a builder cannot fail
		for _, label := range slices.Sorted(maps.Keys(in.counters[name])) {
			_, _ = fmt.Fprintf(&sb, "%s{label=%s} %d\n", metric, quote(label), in.counters[name][label])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.histograms)) {
		hi, metric := in.histograms[name], textPrefix+snake(name)+"_millis"
		_, _ = fmt.Fprintf(&sb, "# TYPE %s summary\n", metric)
		for _, quantile := range slices.Sorted(maps.Values(quantiles)) {
			_, _ = fmt.Fprintf(&sb, "%s{quantile=\"%s\"} %d\n", metric, strconv.FormatFloat(quantile/100, 'f', -1, 64), hi.ValueAtQuantile(quantile))
		}
		_, _ = fmt.Fprintf(&sb, "%s_sum %d\n%s_count %d\n", metric, in.sums[name], metric, hi.TotalCount())
	}
	return sb.String()
}

// snake returns a name in the spelling of the text format.
func snake(name string) string {
	var sb strings.Builder
	for _, ch := range name {
		if ch >= 'A' && ch <= 'Z' {
			sb.WriteByte('_')
			ch += 'a' - 'A'
		}
		sb.WriteRune(ch)
	}
	return sb.String()
}

// quote quotes the value of a label.
func quote(text string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(text) + `"`
}
