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
	// linesPerSecond and linesBurst bound the lines of one event: an instance that starts
	// and ends 200 runs a second, the most of the larger deployments, stays below.
	linesPerSecond = 400
	linesBurst     = 2000
	// linesWaiting is how many lines may wait for a slow reader before new ones are lost.
	linesWaiting = 4096
)

type (
	// Counter counts the lines that were not written.
	Counter interface {
		Count(name, label string)
	}

	// bounder drops the lines of an event that come too fast.
	bounder struct {
		counter Counter
		mu      sync.Mutex
		// limits holds the bucket of each event.
		limits map[string]*rate.Limiter
	}
)

// Unblocking returns a writer that never waits for w; what w does not take in time is
// counted and lost.
func Unblocking(w io.Writer, co Counter) io.Writer {
	return diode.NewWriter(w, linesWaiting, 0, func(missed int) {
		for range missed {
			co.Count("linesLost", "slowReader")
		}
	})
}

// Bound returns a logger that writes each event at a bounded rate.
func Bound(log zerolog.Logger, co Counter) zerolog.Logger {
	return log.Hook(&bounder{counter: co, limits: map[string]*rate.Limiter{}})
}

// Run drops a line whose event has used up its rate.
func (bo *bounder) Run(ev *zerolog.Event, _ zerolog.Level, event string) {
	bo.mu.Lock()
	limit := bo.limits[event]
	if limit == nil {
		limit = rate.NewLimiter(linesPerSecond, linesBurst)
		bo.limits[event] = limit
	}
	bo.mu.Unlock()
	if !limit.AllowN(time.Now(), 1) {
		bo.counter.Count("linesLost", event)
		ev.Discard()
	}
}
