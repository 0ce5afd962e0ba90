package logger

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst limit the lines of each event name. An instance that starts
	// and completes 200 runs per second, the peak of the larger deployments, stays below them.
	linesPerSecond = 400
	linesBurst     = 2000
	// bufferedLines is the number of lines buffered for a slow writer before lines are lost.
	bufferedLines = 4096
)

type (
	// Counter counts lost log lines.
	Counter interface {
		Count(name, label string)
	}

	// rateLimiter is a hook that discards the lines of an event above its rate limit.
	rateLimiter struct {
		counter Counter
		mu      sync.Mutex
		// limiters holds the token bucket of each event name.
		limiters map[string]*rate.Limiter
	}
)

// NonBlocking returns a writer that buffers lines for w and never blocks. Lines that overflow
// the buffer are discarded and counted.
func NonBlocking(w io.Writer, co Counter) io.Writer {
	return diode.NewWriter(w, bufferedLines, 0, func(missed int) {
		for range missed {
			co.Count("linesLost", "slowReader")
		}
	})
}

// LimitRate returns a logger that limits the rate of lines for each event name.
func LimitRate(log zerolog.Logger, co Counter) zerolog.Logger {
	return log.Hook(&rateLimiter{counter: co, limiters: map[string]*rate.Limiter{}})
}

// Run discards and counts a line if its event is above the rate limit.
func (rl *rateLimiter) Run(ev *zerolog.Event, _ zerolog.Level, event string) {
	rl.mu.Lock()
	limiter := rl.limiters[event]
	if limiter == nil {
		limiter = rate.NewLimiter(linesPerSecond, linesBurst)
		rl.limiters[event] = limiter
	}
	rl.mu.Unlock()
	if !limiter.AllowN(time.Now(), 1) {
		rl.counter.Count("linesLost", event)
		ev.Discard()
	}
}
