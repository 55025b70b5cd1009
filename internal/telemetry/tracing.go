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

// noSpan stands for a span where nothing is traced. One value for all calls
// costs no allocation.
var noSpan trace.Span = noop.Span{}

// flushLimit bounds the export of the last spans at shutdown.
const flushLimit = 2 * time.Second

// Tracer makes the spans of one daemon. The zero value makes none.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// NewTracer returns a tracer that exports as the settings say: to an OTLP
// endpoint over HTTP, to a file, or not at all.
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
	nothing := func() error { return nil }
	switch {
	case s.Endpoint != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
		return exporter, nothing, errors.Wrap(err, "trace exporter")
	case s.File != "":
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nothing, errors.Wrap(err, "trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, file.Close, errors.Wrap(err, "trace exporter")
	default:
		return nil, nothing, nil
	}
}

// Close exports the spans that are left.
func (t *Tracer) Close() error {
	if t.shutdown == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	return t.shutdown(ctx)
}

// Start starts a span. Its parent is the span of the context or, if that has
// none, the one that parent names in the W3C form. It returns the span's own
// context in that form for the next hop.
func (t *Tracer) Start(ctx context.Context, parent, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span, string) {
	if t == nil || t.tracer == nil {
		// Without an exporter the caller's context is passed on unchanged, so
		// that targets still see it.
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
