package failovertester_test

import (
	"io"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/demo/failovertester"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// TestWorkloadsSurviveFailover checks that all jobs complete although the leader is killed
// while they run. It uses real sockets, so it asserts no times, only that the jobs complete
// before the timeouts.
func TestWorkloadsSurviveFailover(t *testing.T) {
	for _, wl := range []failovertester.Workload{failovertester.Thengola(), failovertester.Derwent()} {
		t.Run(wl.Name, func(t *testing.T) {
			results, err := wl.Run(t.Context(), io.Discard)
			asserter.NoError(t, err)
			for _, re := range results {
				asserter.Equal(t, re.Succeeded, re.Attempted)
			}
		})
	}
}
