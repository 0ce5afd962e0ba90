package stager_test

import (
	"io"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/demo/stager"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// Checks that all jobs complete although the leader is killed while they run. The test uses
// real sockets, so it asserts no times, only that the jobs complete before the timeouts.
func TestPlays(t *testing.T) {
	for _, wl := range []stager.Play{stager.Thengola(), stager.Derwent()} {
		t.Run(wl.Name, func(t *testing.T) {
			lines, err := wl.Play(t.Context(), io.Discard)
			asserter.NoError(t, err)
			for _, li := range lines {
				asserter.Equal(t, li.Done, li.Asked)
			}
		})
	}
}
