package logger_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/logger"
)

type lost struct {
	mu    sync.Mutex
	count map[string]int
}

func (lo *lost) Count(_, label string) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.count[label]++
}

func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		lo := &lost{count: map[string]int{}}
		base, err := logger.New(&out, "info", "i-1")
		asserter.OK(t, err)
		log := logger.Bound(base, lo)
		for range 2100 {
			log.Info().Msg("often")
		}
		log.Info().Msg("seldom")
		asserter.Equal(t, strings.Count(out.String(), "event=often"), 2000)
		asserter.Equal(t, lo.count["often"], 100)
		asserter.Equal(t, strings.Count(out.String(), "event=seldom"), 1)
		time.Sleep(time.Second) // the bucket fills again
		log.Info().Msg("often")
		asserter.Equal(t, strings.Count(out.String(), "event=often"), 2001)
	})
}
