package stager_test

import (
	"io"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/demo/stager"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

// Real sockets, and no assertion on times but that all ends: what is checked is that jobs
// complete whole though the holder dies.
func TestPlays(t *testing.T) {
	for _, play := range []stager.Play{stager.Thengola(), stager.Derwent()} {
		t.Run(play.Name, func(t *testing.T) {
			lines, err := play.Play(t.Context(), io.Discard)
			asserter.OK(t, err)
			for _, li := range lines {
				asserter.Equal(t, li.Done, li.Asked)
			}
		})
	}
}
