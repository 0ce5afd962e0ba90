package quarantiner

import (
	"fmt"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

func TestBadWorker(t *testing.T) {
	qu := New()
	qu.RecordFailure("j1", "bad", 0)
	asserter.Equal(t, qu.Quarantined("bad", 0), false)
	t.Run("two jobs that fail only on one worker quarantine it", func(t *testing.T) {
		qu.RecordFailure("j2", "bad", 0)
		asserter.Equal(t, qu.Quarantined("bad", 0), true)
		asserter.Equal(t, qu.FailedWorkers("j1", 0), 0)
	})
	t.Run("it returns on probation when the quarantine expires", func(t *testing.T) {
		asserter.Equal(t, len(qu.ReleaseExpired(initialQuarantine-1)), 0)
		asserter.Equal(t, len(qu.ReleaseExpired(initialQuarantine)), 1)
		asserter.Equal(t, qu.Quarantined("bad", initialQuarantine), false)
	})
	t.Run("a failure on probation quarantines it for twice as long", func(t *testing.T) {
		qu.RecordFailure("j3", "bad", initialQuarantine)
		asserter.Equal(t, qu.Quarantined("bad", 3*initialQuarantine-1), true)
		asserter.Equal(t, qu.Quarantined("bad", 3*initialQuarantine), false)
	})
	t.Run("a success clears its failures", func(t *testing.T) {
		qu.ReleaseExpired(3 * initialQuarantine)
		qu.RecordSuccess("bad")
		qu.RecordFailure("j4", "bad", 3*initialQuarantine)
		asserter.Equal(t, qu.Quarantined("bad", 3*initialQuarantine), false)
	})
}

func TestBadJob(t *testing.T) {
	qu := New()
	for i := range 5 {
		qu.RecordFailure("bad", identifier.Worker(fmt.Sprintf("w%d", i)), clock.Millis(i))
	}
	asserter.Equal(t, qu.FailedWorkers("bad", 5), 5)
	t.Run("a job that fails everywhere quarantines no worker", func(t *testing.T) {
		for i := range 5 {
			asserter.Equal(t, qu.Quarantined(identifier.Worker(fmt.Sprintf("w%d", i)), 5), false)
		}
	})
	t.Run("two jobs that fail everywhere quarantine no worker", func(t *testing.T) {
		for i := range 5 {
			qu.RecordFailure("worse", identifier.Worker(fmt.Sprintf("w%d", 4-i)), 6)
		}
		asserter.Equal(t, qu.Quarantined("w0", 6), false)
	})
	t.Run("its failures are discarded when the job ends", func(t *testing.T) {
		qu.ForgetJob("bad")
		asserter.Equal(t, qu.FailedWorkers("bad", 6), 0)
	})
}
