package estimator

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

func TestExpect(t *testing.T) {
	kind := Kind{Workspace: "w", Name: "render"}
	t.Run("without history the declared time counts", func(t *testing.T) {
		asserter.Equal(t, New().Expect(kind, 1000), 1000)
	})
	t.Run("declarations ten times too long are corrected", func(t *testing.T) {
		es := New()
		for range 20 {
			es.Learn(kind, 1000, 100)
		}
		if got := es.Expect(kind, 2000); got < 195 || got > 205 {
			t.Fatalf("expected about 200, got %d", got)
		}
		asserter.Equal(t, es.Expect(Kind{Workspace: "other", Name: "render"}, 2000), 2000)
	})
	t.Run("one wild observation does not count in full", func(t *testing.T) {
		es := New()
		es.Learn(kind, 1000, 1000000)
		if got := es.Expect(kind, 1000); got > 3000 {
			t.Fatalf("one observation gave %d", got)
		}
	})
}
