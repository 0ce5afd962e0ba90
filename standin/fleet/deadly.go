package fleet

import (
	"fmt"
	"time"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
)

const (
	// crashDelay is the time from the start of a deadly task until its runner crashes.
	crashDelay = 10 * time.Millisecond
	// comebackTime is how long a crashed runner is down. It comes back under another ID.
	comebackTime = 3 * time.Second
	// entryLifetime is how long the entry of a silent runner is kept: three heartbeat intervals.
	entryLifetime = 4500 * time.Millisecond
	// toleratedCrashes and toleratedStarts are how many runners may crash under a task, and how often it
	// may be started after that.
	toleratedCrashes, toleratedStarts = 3, 2
)

// crashSoon crashes the runner after crashDelay, under a task that it has started.
func (ru *Runner) crashSoon(key workload.TaskKey) {
	born := ru.born
	ru.cluster.afterFunc(crashDelay, func() {
		if !ru.up || !ru.born.Equal(born) {
			return
		}
		ru.cluster.oracle.crashes[key]++
		ru.replace(comebackTime, comebackTime)
	})
}

// replace crashes the runner. Another one starts at its address after the down time. The entry of the
// crashed one is removed after a time of silence.
func (ru *Runner) replace(down, silence time.Duration) {
	ru.terminate()
	former := ru.id
	ru.cluster.afterFunc(silence, func() { ru.cluster.Store.Remove("servers", former) })
	ru.cluster.afterFunc(down, func() {
		ru.lives++
		ru.id = fmt.Sprintf("%s-%d", ru.name, ru.lives)
		ru.start()
	})
}

// Replace crashes a runner. Another one starts at its address after the down time.
func (cl *Cluster) Replace(at int, down time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.runners[at].replace(down, entryLifetime)
}

// CrashCount returns how many runners have crashed under tasks that they had started.
func (cl *Cluster) CrashCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	total := 0
	for _, count := range cl.oracle.crashes {
		total += count
	}
	return total
}

// checkCrashes reports a start of a task under which too many runners have crashed.
func (ora *oracle) checkCrashes(key workload.TaskKey) {
	if ora.crashes[key] < toleratedCrashes {
		return
	}
	ora.startsAfterCrashes[key]++
	if ora.startsAfterCrashes[key] > toleratedStarts {
		ora.reportViolation("BUDGET", "%s is started again after %d runners have crashed under it", key, ora.crashes[key])
	}
}
