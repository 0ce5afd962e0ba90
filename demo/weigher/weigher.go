// Package weigher measures what control costs a real process, and fits slopes to it.
package weigher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	ticksPerSecond = 100 // of the processor times in /proc
	statUser       = 13  // fields of /proc/PID/stat, counted from 0
	statSystem     = 14
	kilobyte       = 1024
)

type (
	// Sample is the cost of one process at one size.
	Sample struct {
		// Instances is the number of entry instances of the zone.
		Instances int
		Workers   int
		Jobs      int
		// Processor is the part of one core in percent.
		Processor float64
		// Memory is the resident memory in MB.
		Memory float64
		// Wire is bytes a second to and from the platform and other instances.
		Wire float64
	}

	// reading is what the counters of a process say at one moment.
	reading struct {
		at     time.Time
		ticks  int64
		memory float64
		wire   meter.Bytes
	}

	// Line is a fitted line: cost = Base + Slope x size, with the largest distance of a
	// sample from it.
	Line struct{ Base, Slope, Spread float64 }
)

// Weigh measures a process for a while.
func Weigh(ctx context.Context, pid int, operator string, length clock.Millis) (Sample, error) {
	before, err := read(pid, operator)
	if err != nil {
		return Sample{}, err
	}
	clock.Sleep(ctx, clock.New(), length)
	after, err := read(pid, operator)
	if err != nil {
		return Sample{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return Sample{
		Processor: 100 * float64(after.ticks-before.ticks) / ticksPerSecond / seconds,
		Memory:    after.memory,
		Wire:      float64(after.wire-before.wire) / seconds,
	}, nil
}

func read(pid int, operator string) (reading, error) {
	re := reading{at: time.Now()}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return re, eris.Wrap(err, "read the processor time")
	}
	fields := strings.Fields(string(text))
	for _, field := range []int{statUser, statSystem} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return re, eris.Wrap(err, "read the processor time")
		}
		re.ticks += ticks
	}
	if re.memory, err = memory(pid); err != nil {
		return re, err
	}
	re.wire, err = wire(operator)
	return re, err
}

func memory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read the memory")
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kilobytes / kilobyte, eris.Wrap(err, "read the memory")
}

func wire(operator string) (meter.Bytes, error) {
	an, err := http.Get("http://" + operator + "/debug/vars")
	if err != nil {
		return 0, eris.Wrap(err, "read the metrics")
	}
	defer func() { _ = an.Body.Close() }()
	text, err := io.ReadAll(an.Body)
	if err != nil {
		return 0, eris.Wrap(err, "read the metrics")
	}
	var vars struct {
		ControlBytes meter.Bytes `json:"controlBytes"`
	}
	return vars.ControlBytes, eris.Wrap(json.Unmarshal(text, &vars), "decode the metrics")
}

// Fit fits a line through the costs of samples over their sizes.
func Fit(samples []Sample, size, cost func(Sample) float64) Line {
	xs, ys := make([]float64, 0, len(samples)), make([]float64, 0, len(samples))
	for _, sa := range samples {
		xs = append(xs, size(sa))
		ys = append(ys, cost(sa))
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	line := Line{Base: base, Slope: slope}
	for i := range xs {
		line.Spread = max(line.Spread, ys[i]-base-slope*xs[i], base+slope*xs[i]-ys[i])
	}
	return line
}
