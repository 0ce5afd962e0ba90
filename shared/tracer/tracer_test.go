package tracer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
)

func TestPropagation(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tr := NewWithProcessor(sdktrace.NewSimpleSpanProcessor(spans), "kochi-0")
	handler := tr.Handler("entry", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, end := tr.Start(tr.WithTraceParent(r.Context(), tr.TraceParent(r.Context())), "peer")
		end(nil)
	}))
	ctx, end := tr.Start(t.Context(), "caller")
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	asserter.NoError(t, tr.Inject(ctx, req))
	handler.ServeHTTP(httptest.NewRecorder(), req)
	end(nil)
	got := spans.GetSpans()
	t.Run("one span per hop", func(t *testing.T) { asserter.Equal(t, len(got), 3) })
	t.Run("all spans share the trace id across HTTP and messages", func(t *testing.T) {
		for _, span := range got {
			asserter.Equal(t, span.SpanContext.TraceID(), got[0].SpanContext.TraceID())
		}
	})
	t.Run("each span is a child of the previous hop", func(t *testing.T) {
		asserter.Equal(t, got[0].Parent.SpanID(), got[1].SpanContext.SpanID())
		asserter.Equal(t, got[1].Parent.SpanID(), got[2].SpanContext.SpanID())
	})
}
