package estimator

import (
	"testing"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
)

func TestEstimate(t *testing.T) {
	kind := Kind{Workspace: "w", Name: "render"}
	t.Run("without history the declared time is used", func(t *testing.T) {
		asserter.Equal(t, New().Estimate(kind, 1000), 1000)
	})
	t.Run("declarations ten times too long are corrected", func(t *testing.T) {
		es := New()
		for i := range clock.Millis(20) {
			es.Record(kind, 1000*(i+1), 100*(i+1))
		}
		if got := es.Estimate(kind, 2000); got < 180 || got > 220 {
			t.Fatalf("got %d ms, want about 200 ms", got)
		}
		asserter.Equal(t, es.Estimate(Kind{Workspace: "other", Name: "render"}, 2000), 2000)
	})
	t.Run("unreliable declared times are replaced by the typical run time", func(t *testing.T) {
		es := New()
		for i := range clock.Millis(40) {
			es.Record(kind, 100+100*(i%9)*(i%9), 1000)
		}
		if got := es.Estimate(kind, 7000); got < 900 || got > 1200 {
			t.Fatalf("got %d ms, want about 1000 ms", got)
		}
	})
	t.Run("a single outlier is not trusted in full", func(t *testing.T) {
		es := New()
		es.Record(kind, 1000, 1000000)
		if got := es.Estimate(kind, 1000); got > 20000 {
			t.Fatalf("one observation raised the estimate to %d ms, want at most 20000 ms", got)
		}
	})
}
