package simulator_test

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"os"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/bench/simulator"
	"github.com/wagtailcroft/wagtailcroft/decisions/planner"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

// recordedPlans holds a line for each simulated day: its load, its tuning, its seed, the number of rounds, and
// the digest of all plans. With WAGTAILCROFT_RECORD set, the test writes the file anew.
const recordedPlans = "testdata/plans.txt"

// planRecorder passes on the plans of a policy and keeps their digest.
type planRecorder struct {
	policy simulator.Policy
	rounds int
	digest uint64
}

func (pr *planRecorder) Plan(in planner.Input) planner.Plan {
	pl := pr.policy.Plan(in)
	pr.rounds++
	sum := fnv.New64a()
	_, _ = fmt.Fprintln(sum, pr.digest)
	for _, sp := range pl.Stops {
		_, _ = fmt.Fprintln(sum, sp.Job.Key(sp.Stage, sp.Index), sp.PreemptedFor)
	}
	for _, st := range pl.Starts {
		_, _ = fmt.Fprintln(sum, st.Job.Key(st.Stage, 0), st.Placements)
	}
	pr.digest = sum.Sum64()
	return pl
}

// playRecorded plays the recorded days and returns a line for each.
func playRecorded() []string {
	var lines []string
	tunings := []struct {
		name   string
		tuning planner.Tuning
	}{{"completion", planner.Completion}, {"fragmentation", planner.Fragmentation}, {"acceptance", planner.AcceptanceOrder}}
	for _, lo := range []simulator.Load{simulator.Thengola(), simulator.Derwent()} {
		for _, tu := range tunings {
			for seed := range uint64(days) {
				lines = append(lines, playDay(shortened(lo), tu.name, tu.tuning, seed+1))
			}
		}
		grown := lo.Scaled()
		grown.Length, grown.DrainTime = 5*clock.Second, 8*clock.Second
		lines = append(lines, playDay(grown, "completion", planner.Completion, 1))
	}
	return lines
}

func playDay(lo simulator.Load, name string, tu planner.Tuning, seed uint64) string {
	pr := &planRecorder{policy: planner.New(tu)}
	simulator.Run(lo, seed, pr)
	return fmt.Sprintf("%s %s %d %d %x", lo.Name, name, seed, pr.rounds, pr.digest)
}

// TestRecordedPlans plays days whose plans were recorded before the rules of the planner were moved behind
// points, and without anything known about the speeds of workers.
func TestRecordedPlans(t *testing.T) {
	lines := playRecorded()
	if os.Getenv("WAGTAILCROFT_RECORD") != "" {
		writeLines(t, lines)
	}
	want := readLines(t)
	asserter.Equal(t, len(lines), len(want))
	for i, line := range lines {
		t.Run(line, func(t *testing.T) { asserter.Equal(t, line, want[i]) })
	}
}

func writeLines(t *testing.T, lines []string) {
	t.Helper()
	file, err := os.Create(recordedPlans)
	asserter.NoError(t, err)
	for _, line := range lines {
		_, err = fmt.Fprintln(file, line)
		asserter.NoError(t, err)
	}
	asserter.NoError(t, file.Close())
}

func readLines(t *testing.T) []string {
	t.Helper()
	file, err := os.Open(recordedPlans)
	asserter.NoError(t, err)
	defer func() { _ = file.Close() }()
	var lines []string
	for sc := bufio.NewScanner(file); sc.Scan(); {
		lines = append(lines, sc.Text())
	}
	return lines
}
