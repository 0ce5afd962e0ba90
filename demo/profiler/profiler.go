// Package profiler measures the control cost of a running process (CPU, memory and network
// traffic) and fits lines to the measurements.
package profiler

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
	ticksPerSecond = 100 // clock ticks per second, the unit of the CPU times in /proc
	statUser       = 13  // indexes of the CPU times in /proc/PID/stat, from 0
	statSystem     = 14
	kilobyte       = 1024
)

type (
	// Sample is the cost of one process at one zone size.
	Sample struct {
		// Instances, Workers and Jobs are the numbers of entry instances, workers and running
		// gang jobs of the zone.
		Instances int
		Workers   int
		Jobs      int
		// CPUPercent is the CPU usage as a percentage of one core.
		CPUPercent float64
		// Memory is the resident memory in MB.
		Memory float64
		// BytesPerSecond is the traffic with the platform and other instances in bytes per second.
		BytesPerSecond float64
	}

	// counters holds the counters of a process at one time.
	counters struct {
		at     time.Time
		ticks  int64
		memory float64
		wire   meter.Bytes
	}

	// Line is a fitted line: cost = Base + Slope x size. MaxDeviation is the largest deviation
	// of a sample from it.
	Line struct{ Base, Slope, MaxDeviation float64 }
)

// Measure measures the cost of a process over a period. Memory is measured at its end.
func Measure(ctx context.Context, pid int, operator string, length clock.Millis) (Sample, error) {
	before, err := readCounters(pid, operator)
	if err != nil {
		return Sample{}, err
	}
	clock.Sleep(ctx, clock.New(), length)
	after, err := readCounters(pid, operator)
	if err != nil {
		return Sample{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return Sample{
		CPUPercent:     100 * float64(after.ticks-before.ticks) / ticksPerSecond / seconds,
		Memory:         after.memory,
		BytesPerSecond: float64(after.wire-before.wire) / seconds,
	}, nil
}

// readCounters reads the counters of a process.
func readCounters(pid int, operator string) (counters, error) {
	co := counters{at: time.Now()}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return co, eris.Wrap(err, "read the CPU time")
	}
	fields := strings.Fields(string(text))
	for _, field := range []int{statUser, statSystem} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return co, eris.Wrap(err, "read the CPU time")
		}
		co.ticks += ticks
	}
	if co.memory, err = residentMemory(pid); err != nil {
		return co, err
	}
	co.wire, err = controlBytes(operator)
	return co, err
}

// residentMemory returns the resident memory of a process in MB.
func residentMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read the resident memory")
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kilobytes / kilobyte, eris.Wrap(err, "read the resident memory")
}

// controlBytes returns the number of control bytes of an instance, from its metrics.
func controlBytes(operator string) (meter.Bytes, error) {
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

// Fit fits a line to the costs of samples over their sizes by linear regression.
func Fit(samples []Sample, size, cost func(Sample) float64) Line {
	xs, ys := make([]float64, 0, len(samples)), make([]float64, 0, len(samples))
	for _, sa := range samples {
		xs = append(xs, size(sa))
		ys = append(ys, cost(sa))
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	line := Line{Base: base, Slope: slope}
	for i := range xs {
		line.MaxDeviation = max(line.MaxDeviation, ys[i]-base-slope*xs[i], base+slope*xs[i]-ys[i])
	}
	return line
}
