package predictor

import (
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// minProgressSpan is the shortest time between two reports from which a pace is computed: in less, a
	// run advances by too few whole percents.
	minProgressSpan = 400 * clock.Millis(1)
	wholeProgress   = meter.Percent(100)
)

// Progress follows the progress that a worker reports of one run. The zero value has no reports.
type Progress struct {
	// first and firstAt are the report of the run's start or, if it resumes from a checkpoint, its first
	// report; last and lastAt the newest.
	first, last     meter.Percent
	firstAt, lastAt clock.Millis
}

// Start records that a run has begun from nothing.
func (pr *Progress) Start(at clock.Millis) { pr.first, pr.last, pr.firstAt, pr.lastAt = 0, 0, at, at }

// Report records a report. Reports that go back are of a run that has begun anew, and start over.
func (pr *Progress) Report(at clock.Millis, done meter.Percent) {
	if pr.firstAt == 0 || done < pr.last {
		pr.first, pr.firstAt = done, at
	}
	pr.last, pr.lastAt = done, at
}

// Done reports whether the run has reported that its own work is done. It may still wait for others.
func (pr *Progress) Done() bool { return pr.last >= wholeProgress }

// Remaining returns the time until the run is expected to end at the pace that it had between its reports. It
// reports false if they are too few, or if the run goes on although its work is done.
func (pr *Progress) Remaining(now clock.Millis) (clock.Millis, bool) {
	span, done := pr.lastAt-pr.firstAt, pr.last-pr.first
	if span < minProgressSpan || done <= 0 || pr.Done() {
		return 0, false
	}
	left := clock.Millis(float64(span) * float64(wholeProgress-pr.last) / float64(done))
	return max(left-(now-pr.lastAt), 1), true
}
