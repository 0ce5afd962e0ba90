// Package pacer limits how many starts are outstanding, so that each is answered soon after it was
// planned, however fast the leader can send. What is not planned yet can still be overtaken by more
// urgent work, and leaves no gang half started.
package pacer

import "github.com/wagtailcroft/wagtailcroft/shared/clock"

const (
	// firstWindow is the window of a new pacer. A leader that can send more doubles it with each window
	// of answers, within a second.
	firstWindow = 128
	// minWindow lets a slow leader send some starts at the same time, since one waits for its worker.
	minWindow = 16
	// smoothing is the weight of a new answer in the mean time to an answer.
	smoothing = 1.0 / 16
	// growBelow is the fraction of the target below which the window grows.
	growBelow = 0.5
	// maxCut bounds by how much one cut reduces the window, because a single slow worker can have
	// caused it.
	maxCut = 0.5
)

// Pacer adapts a window of outstanding starts to the time that they take. It is not safe for
// concurrent use.
type Pacer struct {
	// target is the longest time from when a start may be sent to its answer.
	target clock.Millis
	// window is how many starts may be outstanding; it is at least minWindow.
	window float64
	// mean is the smoothed time from when a start might be sent to its answer, in milliseconds.
	mean float64
	// cutAt is when the window was last reduced.
	cutAt clock.Millis
}

// New returns a pacer that aims at a time from when a start may be sent to its answer.
func New(target clock.Millis) *Pacer { return &Pacer{target: target, window: firstWindow} }

// Budget returns how many more starts may be planned while some are outstanding.
func (pa *Pacer) Budget(outstanding int) int { return max(int(pa.window)-outstanding, 0) }

// Answered adapts the window to a start that was answered after some time, while others were
// outstanding. A window that was not in use says nothing about what the leader can send.
func (pa *Pacer) Answered(took clock.Millis, outstanding int, now clock.Millis) {
	pa.mean += (float64(took) - pa.mean) * smoothing
	target := float64(pa.target)
	switch {
	case pa.mean > target && now-pa.cutAt > pa.target:
		pa.window = max(pa.window*max(target/pa.mean, maxCut), minWindow)
		pa.cutAt = now
	case pa.mean < target*growBelow && float64(outstanding) >= pa.window/2:
		pa.window++
	}
}
