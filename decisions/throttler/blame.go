package throttler

import "github.com/wagtailcroft/wagtailcroft/shared/meter"

// What is known of the part that a best-effort task has in the tail latencies.
const (
	// Suspected means that nothing is known.
	Suspected Blame = iota
	// Cause means that it certainly lengthens them.
	Cause
	// Harmless means that it certainly does not.
	Harmless

	// maxSpared is the number of decisions in a row for which harmless tasks are spared. If the causes alone
	// do not bring the tail latency down by then, the evidence was wrong or is not the whole story.
	maxSpared = 2
)

type (
	// Blame is what is known of the part that a best-effort task has in the tail latencies.
	Blame int

	// Task is a best-effort task on a worker.
	Task struct {
		Speed meter.Percent
		Blame Blame
	}
)

// Plan returns the new speed of each best-effort task on a worker, and whether harmless ones were spared.
// spared is for how many decisions in a row they have been. While a known cause is still running, only it
// and the tasks of which nothing is known are throttled.
func Plan(tasks []Task, services []Service, spared int) ([]meter.Percent, bool) {
	causeRuns := false
	for _, ta := range tasks {
		causeRuns = causeRuns || ta.Blame == Cause && ta.Speed > 0
	}
	sparing := false
	speeds := make([]meter.Percent, 0, len(tasks))
	for _, ta := range tasks {
		next := Next(ta.Speed, services)
		if next < ta.Speed && ta.Blame == Harmless && causeRuns && spared < maxSpared {
			next, sparing = ta.Speed, true
		}
		speeds = append(speeds, next)
	}
	return speeds, sparing
}
