// Package tracer sets up spans for each hop and carries the trace context over HTTP and
// net/rpc in the W3C format.
package tracer

import (
	"context"
	"io"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/settings"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	scope       = "wagtailcroft"
	traceParent = "traceparent"
)

// Tracer makes spans.
type Tracer struct {
	tracer trace.Tracer
	format propagation.TraceContext
	// provider is nil when nothing is exported.
	provider *sdktrace.TracerProvider
}

// New returns a tracer that exports as the settings say; spans for the stderr exporter
// go to w.
func New(ctx context.Context, set settings.Trace, in identifier.Instance, w io.Writer) (*Tracer, error) {
	exporter, err := newExporter(ctx, set, w)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return Nop(), nil
	}
	return With(sdktrace.NewBatchSpanProcessor(exporter), in), nil
}

// Nop returns a tracer that makes no spans.
func Nop() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(scope)}
}

// With returns a tracer that hands its spans to the processor.
func With(pr sdktrace.SpanProcessor, in identifier.Instance) *Tracer {
	res := resource.NewSchemaless(attribute.String("service.name", scope), attribute.String("service.instance.id", string(in)))
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(pr), sdktrace.WithResource(res))
	return &Tracer{tracer: provider.Tracer(scope), provider: provider}
}

func newExporter(ctx context.Context, set settings.Trace, w io.Writer) (sdktrace.SpanExporter, error) {
	switch set.Exporter {
	case settings.TraceExporterStderr:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case settings.TraceExporterOtlp:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(set.OtlpURL))
	default:
		return nil, nil
	}
}

// Start opens the span of one hop. The returned function closes it with the error, if
// any.
func (tr *Tracer) Start(ctx context.Context, hop string) (context.Context, func(error)) {
	ctx, span := tr.tracer.Start(ctx, hop)
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// Parent encodes the span of ctx for a message.
func (tr *Tracer) Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	tr.format.Inject(ctx, carrier)
	return carrier[traceParent]
}

// Child returns ctx with the span that a message carried.
func (tr *Tracer) Child(ctx context.Context, parent string) context.Context {
	return tr.format.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}

// Inject writes the span of ctx into an HTTP request. It has the shape of a request
// editor of the generated clients.
func (tr *Tracer) Inject(ctx context.Context, req *http.Request) error {
	tr.format.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return nil
}

// Handler opens a span for each request of next, under the caller's span if it sent one.
func (tr *Tracer) Handler(hop string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := tr.format.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, end := tr.Start(ctx, hop)
		defer end(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Close exports what is left.
func (tr *Tracer) Close(ctx context.Context) error {
	if tr.provider == nil {
		return nil
	}
	return tr.provider.Shutdown(ctx)
}
