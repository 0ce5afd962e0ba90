// Package tracer creates a span for each hop of a request and propagates the trace context
// over HTTP and net/rpc in the W3C format.
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
	serviceName = "wagtailcroft"
	traceParent = "traceparent"
)

// Tracer creates and propagates spans.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
	// provider is nil if tracing is disabled.
	provider *sdktrace.TracerProvider
}

// New returns a tracer with the exporter chosen in the settings. The stderr exporter writes
// to w.
func New(ctx context.Context, set settings.Trace, in identifier.Instance, w io.Writer) (*Tracer, error) {
	exporter, err := newExporter(ctx, set, w)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return Nop(), nil
	}
	return NewWithProcessor(sdktrace.NewBatchSpanProcessor(exporter), in), nil
}

// Nop returns a tracer that records no spans.
func Nop() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(serviceName)}
}

// NewWithProcessor returns a tracer whose spans are passed to pr.
func NewWithProcessor(pr sdktrace.SpanProcessor, in identifier.Instance) *Tracer {
	res := resource.NewSchemaless(attribute.String("service.name", serviceName), attribute.String("service.instance.id", string(in)))
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(pr), sdktrace.WithResource(res))
	return &Tracer{tracer: provider.Tracer(serviceName), provider: provider}
}

// newExporter returns nil if the settings select no exporter.
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

// Start starts the span of one hop. The returned function ends the span and, if its argument
// is not nil, marks the span as failed.
func (tr *Tracer) Start(ctx context.Context, hop string) (context.Context, func(error)) {
	ctx, span := tr.tracer.Start(ctx, hop)
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// TraceParent returns the span context of ctx as a traceparent value, for use in a message.
func (tr *Tracer) TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	tr.propagator.Inject(ctx, carrier)
	return carrier[traceParent]
}

// WithTraceParent returns a copy of ctx with the span context from the traceparent value of a
// message.
func (tr *Tracer) WithTraceParent(ctx context.Context, parent string) context.Context {
	return tr.propagator.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}

// Inject adds the span context of ctx to the headers of an HTTP request. Its signature is that
// of the request editors of the generated clients.
func (tr *Tracer) Inject(ctx context.Context, req *http.Request) error {
	tr.propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return nil
}

// Handler wraps next and starts a span for each request, as a child of the caller's span if the
// request carries one.
func (tr *Tracer) Handler(hop string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := tr.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, end := tr.Start(ctx, hop)
		defer end(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Close exports the remaining spans and shuts the tracer down.
func (tr *Tracer) Close(ctx context.Context) error {
	if tr.provider == nil {
		return nil
	}
	return tr.provider.Shutdown(ctx)
}
