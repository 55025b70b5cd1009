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

// startSpan starts the span of a request. The caller's own trace, if it has one, is
// its parent.
func (e *Engine) startSpan(ctx context.Context, r *Request) (context.Context, trace.Span) {
	ctx, span, _ := e.cfg.Tracer.Start(ctx, r.Header.Get(api.HeaderTrace), "request")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", r.ID), attribute.String("host", r.Host), attribute.String("path", r.Path))
	}
	return ctx, span
}

// endSpan ends the span of a request.
func endSpan(span trace.Span, a *Answer) {
	if span.IsRecording() {
		telemetry.SetOutcome(span, a.Outcome)
		if a.Merged != nil {
			span.SetAttributes(attribute.Int("shards.missing", a.Merged.Missing))
		}
	}
	span.End()
}

// startSend starts the span of a send and returns the request with the trace that
// the target sees.
func (x *execution) startSend(t *target, extra bool) (*backend.Request, trace.Span) {
	_, span, parent := x.e.cfg.Tracer.Start(x.traced, "", "send")
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

// endSend ends the span of a send.
func endSend(span trace.Span, r *backend.Result) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String("result", r.Kind.String()), attribute.Int64("dialed_us", r.DialTime.Microseconds()))
	}
	span.End()
}
