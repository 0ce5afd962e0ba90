// Package clock provides the time source of the system, in milliseconds. Tests replace it
// with a fake clock.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Second is one second.
	Second Millis = 1000
	// Minute is one minute.
	Minute = 60 * Second
	// Hour is one hour.
	Hour = 60 * Minute
)

type (
	// Millis is a point in time (since the epoch of its clock) or a duration, in milliseconds.
	Millis int64

	// Clock returns the current time and provides timers.
	Clock interface {
		// Now returns the current time. It never decreases.
		Now() Millis
		// After returns a channel that receives one value after d.
		After(d Millis) <-chan struct{}
		// WithTimeout returns a copy of ctx that is cancelled after d at the latest.
		WithTimeout(ctx context.Context, d Millis) (context.Context, context.CancelFunc)
	}

	// System is the monotonic clock of the machine.
	System struct {
		// start is the wall-clock time at which the clock was created.
		start Millis
		// startUptime is the uptime of the machine at that time. Unlike the monotonic clock of the
		// Go runtime, the uptime includes time during which the machine was suspended.
		startUptime Millis
	}

	// Runtime is the clock of the Go runtime, which testing/synctest replaces with a fake one. Its
	// timers do not advance while the machine is suspended.
	Runtime struct{ System }

	// Fake is a clock for tests that advances only through Advance.
	Fake struct {
		mu sync.Mutex
		// now never decreases.
		now Millis
		// timers are the pending timers; each is due after now.
		timers []timer
	}

	timer struct {
		at Millis
		ch chan struct{}
	}
)

// New returns the clock of the machine.
func New() *System { return &System{start: Millis(time.Now().UnixMilli()), startUptime: uptime()} }

// Now returns milliseconds since the Unix epoch: the wall-clock time at creation plus the
// time elapsed since then, including time during which the machine was suspended.
func (sy *System) Now() Millis { return sy.start + uptime() - sy.startUptime }

// TimeOfDay returns the wall-clock time in milliseconds since the Unix epoch. It may jump in
// either direction when the system clock is adjusted.
func (sy *System) TimeOfDay() Millis { return Millis(time.Now().UnixMilli()) }

// uptime returns the time since boot, including suspended time. It panics on an error, which
// Linux does not return for a clock that it supports.
func uptime() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// ProcessorTime returns the processor time that this process has used, or 0 where the machine does not
// tell.
func ProcessorTime() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// After returns a channel that receives one value after d.
func (sy *System) After(d Millis) <-chan struct{} {
	ch := make(chan struct{}, 1)
	time.AfterFunc(d.Duration(), func() { ch <- struct{}{} })
	return ch
}

// WithTimeout returns a copy of ctx that is cancelled after d at the latest.
func (sy *System) WithTimeout(ctx context.Context, d Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.Duration())
}

// NewRuntime returns the clock of the Go runtime.
func NewRuntime() *Runtime { return &Runtime{} }

// Now returns milliseconds since the Unix epoch.
func (*Runtime) Now() Millis { return Millis(time.Now().UnixMilli()) }

// NewFake returns a fake clock whose current time is start.
func NewFake(start Millis) *Fake { return &Fake{now: start} }

// Now returns the current time of the fake clock.
func (fa *Fake) Now() Millis {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.now
}

// TimeOfDay returns the same time as Now.
func (fa *Fake) TimeOfDay() Millis { return fa.Now() }

// After returns a channel that receives one value once the clock has been advanced by d.
func (fa *Fake) After(d Millis) <-chan struct{} {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	ch := make(chan struct{}, 1)
	if d <= 0 {
		ch <- struct{}{}
		return ch
	}
	fa.timers = append(fa.timers, timer{at: fa.now + d, ch: ch})
	return ch
}

// WithTimeout returns a copy of ctx that is cancelled once the clock has been advanced by d.
func (fa *Fake) WithTimeout(ctx context.Context, d Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timeout := fa.After(d)
	go func() {
		select {
		case <-timeout:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// Advance moves the clock forward by d and fires the timers that are due.
func (fa *Fake) Advance(d Millis) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.now += d
	pending := fa.timers[:0]
	for _, ti := range fa.timers {
		if ti.at > fa.now {
			pending = append(pending, ti)
			continue
		}
		ti.ch <- struct{}{}
	}
	fa.timers = pending
}

// Duration converts mi to a time.Duration.
func (mi Millis) Duration() time.Duration { return time.Duration(mi) * time.Millisecond }

// FromDuration converts a time.Duration to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Sleep waits until d has elapsed or ctx is done, and reports whether d has elapsed.
func Sleep(ctx context.Context, cl Clock, d Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-cl.After(d):
		return true
	}
}
