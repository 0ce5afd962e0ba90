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
	qu.Failed("j1", "bad", 0)
	asserter.Equal(t, qu.Quarantined("bad", 0), false)
	t.Run("two jobs that fail there alone are enough", func(t *testing.T) {
		qu.Failed("j2", "bad", 0)
		asserter.Equal(t, qu.Quarantined("bad", 0), true)
		asserter.Equal(t, qu.Blamed("j1", 0), 0)
	})
	t.Run("it returns on probation", func(t *testing.T) {
		asserter.Equal(t, len(qu.Returning(firstQuarantine-1)), 0)
		asserter.Equal(t, len(qu.Returning(firstQuarantine)), 1)
		asserter.Equal(t, qu.Quarantined("bad", firstQuarantine), false)
	})
	t.Run("one failure on probation is enough, for twice as long", func(t *testing.T) {
		qu.Failed("j3", "bad", firstQuarantine)
		asserter.Equal(t, qu.Quarantined("bad", 3*firstQuarantine-1), true)
		asserter.Equal(t, qu.Quarantined("bad", 3*firstQuarantine), false)
	})
	t.Run("a success clears it", func(t *testing.T) {
		qu.Returning(3 * firstQuarantine)
		qu.Succeeded("bad")
		qu.Failed("j4", "bad", 3*firstQuarantine)
		asserter.Equal(t, qu.Quarantined("bad", 3*firstQuarantine), false)
	})
}

func TestBadJob(t *testing.T) {
	qu := New()
	for i := range 5 {
		qu.Failed("bad", identifier.Worker(fmt.Sprintf("w%d", i)), clock.Millis(i))
	}
	asserter.Equal(t, qu.Blamed("bad", 5), 5)
	t.Run("it takes no worker with it", func(t *testing.T) {
		for i := range 5 {
			asserter.Equal(t, qu.Quarantined(identifier.Worker(fmt.Sprintf("w%d", i)), 5), false)
		}
	})
	t.Run("nor do two bad jobs", func(t *testing.T) {
		for i := range 5 {
			qu.Failed("worse", identifier.Worker(fmt.Sprintf("w%d", 4-i)), 6)
		}
		asserter.Equal(t, qu.Quarantined("w0", 6), false)
	})
	t.Run("it is forgotten when it ends", func(t *testing.T) {
		qu.Ended("bad")
		asserter.Equal(t, qu.Blamed("bad", 6), 0)
	})
}
