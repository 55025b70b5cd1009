package telemetry

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// traceparent is the key of the W3C trace context in a carrier.
const traceparent = "traceparent"

// Attributes of the resource that every span carries.
const (
	hostAttribute  = "host.name"
	placeAttribute = "lacewingyard.place"
)

// noSpan is the span of requests that are not traced. It is shared to avoid an allocation
// per request.
var noSpan trace.Span = noop.Span{}

// flushTimeout limits the export of the remaining spans at shutdown.
const flushTimeout = 2 * time.Second

// Tracer creates the spans of one daemon. The zero value creates no spans, and Start may
// also be called on a nil Tracer.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// NewTracer returns a tracer that exports to the OTLP endpoint of the settings over HTTP
// or, without an endpoint, to the file. With neither, or with an error, it returns a tracer
// that creates no spans.
func NewTracer(ctx context.Context, s settings.Traces, host, place string) (*Tracer, error) {
	exporter, closeExporter, err := newExporter(ctx, s)
	if err != nil || exporter == nil {
		return &Tracer{}, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", namespace), attribute.String(hostAttribute, host), attribute.String(placeAttribute, place),
		)),
	)
	return &Tracer{
		tracer: provider.Tracer(namespace),
		shutdown: func(ctx context.Context) error {
			return errors.CombineErrors(provider.Shutdown(ctx), closeExporter())
		},
	}, nil
}

func newExporter(ctx context.Context, s settings.Traces) (sdktrace.SpanExporter, func() error, error) {
	noClose := func() error { return nil }
	switch {
	case s.Endpoint != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
		return exporter, noClose, errors.Wrap(err, "create trace exporter")
	case s.File != "":
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, noClose, errors.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, file.Close, errors.Wrap(err, "create trace exporter")
	default:
		return nil, noClose, nil
	}
}

// Close exports the remaining spans and closes the exporter. An export that fails or is
// not complete after flushTimeout is an error. A tracer without an exporter has nothing to
// close.
func (t *Tracer) Close() error {
	if t.shutdown == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return t.shutdown(ctx)
}

// Start starts a span. Its parent is the span of ctx or, if ctx has none, the span that
// parent names as a W3C traceparent. Start returns the traceparent of the new span for the
// next hop.
func (t *Tracer) Start(ctx context.Context, parent, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span, string) {
	if t == nil || t.tracer == nil {
		// Without an exporter, the caller's traceparent is forwarded unchanged, so that
		// targets still receive it.
		return ctx, noSpan, parent
	}
	if parent != "" && !trace.SpanContextFromContext(ctx).IsValid() {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparent: parent})
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return ctx, span, carrier[traceparent]
}
