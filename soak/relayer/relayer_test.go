package relayer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/soak/relayer"
)

// call calls a server and returns the status, or 0 without an answer.
func call(t *testing.T, sv *httptest.Server) int {
	t.Helper()
	cl := &http.Client{Timeout: 100 * time.Millisecond}
	rs, err := cl.Post(sv.URL, "text/plain", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	asserter.NoError(t, rs.Body.Close())
	return rs.StatusCode
}

func TestRelayer(t *testing.T) {
	var executed atomic.Int64
	re := relayer.New(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		executed.Add(1)
		wr.WriteHeader(http.StatusOK)
	}), 1)
	sv := httptest.NewServer(re)
	defer sv.Close()
	for name, ex := range map[string]struct {
		mode      relayer.Mode
		want      int
		wantCalls int64
	}{
		"a sound relayer forwards each call":         {relayer.Sound, http.StatusOK, 1},
		"a busy relayer executes nothing":            {relayer.Busy, http.StatusServiceUnavailable, 0},
		"a silent relayer neither does, nor answers": {relayer.Silent, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			executed.Store(0)
			re.Set(ex.mode)
			asserter.Equal(t, call(t, sv), ex.want)
			asserter.Equal(t, executed.Load(), ex.wantCalls)
		})
	}
	t.Run("a rough relayer answers most calls, and executes some without an answer", func(t *testing.T) {
		executed.Store(0)
		re.Set(relayer.Rough)
		answered := 0
		for range 200 {
			if call(t, sv) == http.StatusOK {
				answered++
			}
		}
		asserter.Equal(t, answered > 100, true)
		asserter.Equal(t, int(executed.Load()) > answered, true)
	})
}
