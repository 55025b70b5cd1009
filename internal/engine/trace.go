package engine

import (
	"context"
	"maps"
	"net/http"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// startRequestSpan starts the span of a request, as a child of the caller's span if the
// request carries one.
func (e *Engine) startRequestSpan(ctx context.Context, r *Request) (context.Context, trace.Span) {
	ctx, span, _ := e.cfg.Tracer.Start(ctx, r.Header.Get(api.HeaderTrace), "request")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", r.ID), attribute.String("host", r.Host), attribute.String("path", r.Path))
	}
	return ctx, span
}

// endRequestSpan ends the span of a request with the outcome.
func endRequestSpan(span trace.Span, a *Answer) {
	if span.IsRecording() {
		telemetry.SetOutcome(span, a.Outcome)
		if a.Merged != nil {
			span.SetAttributes(attribute.Int("shards.missing", a.Merged.Missing))
		}
	}
	span.End()
}

// startSendSpan starts the span of a send and returns the request with the trace
// context for the target.
func (x *execution) startSendSpan(t *target, extra bool) (*backend.Request, trace.Span) {
	_, span, parent := x.e.cfg.Tracer.Start(x.traceCtx, "", "send")
	if !span.IsRecording() {
		return &x.r.Request, span
	}
	span.SetAttributes(attribute.String("target", t.id), attribute.String("service", t.service), attribute.String("place", t.place), attribute.Bool("extra", extra))
	request := x.r.Request
	request.Header = make(http.Header, len(x.r.Header)+1)
	maps.Copy(request.Header, x.r.Header)
	request.Header.Set(api.HeaderTrace, parent)
	return &request, span
}

// endSendSpan ends the span of a send with the result.
func endSendSpan(span trace.Span, r *backend.Result) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String("result", r.Kind.String()), attribute.Int64("dialed_us", r.DialTime.Microseconds()))
	}
	span.End()
}
