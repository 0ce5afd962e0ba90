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

type lineCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func (lc *lineCounter) Count(_, label string) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.count[label]++
}

func TestLimitRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		lc := &lineCounter{count: map[string]int{}}
		base, err := logger.New(&out, "info", "i-1")
		asserter.NoError(t, err)
		log := logger.LimitRate(base, lc)
		for range 2100 {
			log.Info().Msg("often")
		}
		log.Info().Msg("seldom")
		asserter.Equal(t, strings.Count(out.String(), "event=often"), 2000)
		asserter.Equal(t, lc.count["often"], 100)
		asserter.Equal(t, strings.Count(out.String(), "event=seldom"), 1)
		time.Sleep(time.Second) // refills the token bucket
		log.Info().Msg("often")
		asserter.Equal(t, strings.Count(out.String(), "event=often"), 2001)
	})
}
