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
		ru.terminate()
		former := ru.id
		ru.cluster.afterFunc(comebackTime, func() {
			ru.cluster.Store.Remove("servers", former)
			ru.lives++
			ru.id = fmt.Sprintf("%s-%d", ru.name, ru.lives)
			ru.start()
		})
	})
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
