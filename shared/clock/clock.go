// Package clock is the system's only source of time: milliseconds, real or set by a test.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Second is a second in milliseconds.
	Second Millis = 1000
	// Minute is a minute in milliseconds.
	Minute = 60 * Second
	// Hour is an hour in milliseconds.
	Hour = 60 * Minute
)

type (
	// Millis is a moment (since the epoch of its clock) or a duration, in milliseconds.
	Millis int64

	// Clock tells the time and waits.
	Clock interface {
		// Now returns the current moment. It never goes back.
		Now() Millis
		// After returns a channel that receives once, d from now.
		After(d Millis) <-chan struct{}
		// Bound returns a context that ends d from now at the latest.
		Bound(ctx context.Context, d Millis) (context.Context, context.CancelFunc)
	}

	// System is the clock of the machine.
	System struct {
		// start is the time of day at which the clock was made.
		start Millis
		// booted is the time since the machine's start at that moment. It also counts while
		// the machine is suspended, which the runtime's own monotonic clock does not.
		booted Millis
	}

	// Runtime is the clock of the Go runtime, which testing/synctest replaces. It stands
	// still while the machine is suspended.
	Runtime struct{ System }

	// Fake is a clock that moves when it is told to.
	Fake struct {
		mu sync.Mutex
		// now only rises.
		now Millis
		// waiters are those whose moment lies after now.
		waiters []waiter
	}

	waiter struct {
		at Millis
		ch chan struct{}
	}
)

// New returns the clock of the machine.
func New() *System { return &System{start: Millis(time.Now().UnixMilli()), booted: sinceBoot()} }

// Now returns milliseconds since the Unix epoch, as of the clock's start and what has
// passed since then, also while the machine was suspended.
func (sy *System) Now() Millis { return sy.start + sinceBoot() - sy.booted }

// TimeOfDay returns milliseconds since the Unix epoch. It may jump.
func (sy *System) TimeOfDay() Millis { return Millis(time.Now().UnixMilli()) }

// sinceBoot never fails on Linux with a known clock.
func sinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// After returns a channel that receives once, d from now.
func (sy *System) After(d Millis) <-chan struct{} {
	ch := make(chan struct{}, 1)
	time.AfterFunc(d.Duration(), func() { ch <- struct{}{} })
	return ch
}

// Bound returns a context that ends d from now at the latest.
func (sy *System) Bound(ctx context.Context, d Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.Duration())
}

// NewRuntime returns the clock of the Go runtime.
func NewRuntime() *Runtime { return &Runtime{} }

// Now returns milliseconds since the Unix epoch.
func (*Runtime) Now() Millis { return Millis(time.Now().UnixMilli()) }

// NewFake returns a clock that stands at start.
func NewFake(start Millis) *Fake { return &Fake{now: start} }

// Now returns the moment the clock stands at.
func (fa *Fake) Now() Millis {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.now
}

// TimeOfDay returns the moment the clock stands at.
func (fa *Fake) TimeOfDay() Millis { return fa.Now() }

// After returns a channel that receives once the clock has been moved by d.
func (fa *Fake) After(d Millis) <-chan struct{} {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	ch := make(chan struct{}, 1)
	if d <= 0 {
		ch <- struct{}{}
		return ch
	}
	fa.waiters = append(fa.waiters, waiter{at: fa.now + d, ch: ch})
	return ch
}

// Bound returns a context that ends once the clock has been moved by d.
func (fa *Fake) Bound(ctx context.Context, d Millis) (context.Context, context.CancelFunc) {
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

// Advance moves the clock by d and wakes those whose moment has come.
func (fa *Fake) Advance(d Millis) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.now += d
	kept := fa.waiters[:0]
	for _, wa := range fa.waiters {
		if wa.at > fa.now {
			kept = append(kept, wa)
			continue
		}
		wa.ch <- struct{}{}
	}
	fa.waiters = kept
}

// Duration converts to the standard library's type.
func (mi Millis) Duration() time.Duration { return time.Duration(mi) * time.Millisecond }

// FromDuration converts from the standard library's type.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Sleep waits for d or until ctx ends, and reports whether d passed.
func Sleep(ctx context.Context, cl Clock, d Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-cl.After(d):
		return true
	}
}
