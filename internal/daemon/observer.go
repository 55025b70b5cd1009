package daemon

import (
	"context"

	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// observer records the spans and metrics of the hops below the entry span. The zero
// value records nothing. Attributes are built only for spans that are recorded.
type observer struct {
	tracer  *telemetry.Tracer
	metrics *telemetry.Metrics
}

// startMessage starts the span of a message to a branch host and returns the trace
// context for the message as its last result.
func (o observer) startMessage(ctx context.Context, parent, name string, at ordinalID) (context.Context, trace.Span, string) {
	ctx, span, parent := o.tracer.Start(ctx, parent, name)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("branch.place", at.place), attribute.Int("branch.ordinal", at.ordinal))
	}
	return ctx, span, parent
}

// endMessage ends the span of a search message.
func endMessage(span trace.Span, req *wire.SearchRequest, err error) {
	if span.IsRecording() {
		span.SetAttributes(attribute.Int("parts", len(req.Parts)), attribute.Int64("index.version", int64(req.Version)))
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
	}
	span.End()
}

// startBranch starts the span of the work of a branch host or a command home.
func (o observer) startBranch(ctx context.Context, parent, name, service string, self *settings.Process) (context.Context, trace.Span, string) {
	ctx, span, parent := o.tracer.Start(ctx, parent, name)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("service", service), attribute.String("host", self.Name), attribute.String("place", self.Place))
	}
	return ctx, span, parent
}

// endPart ends the span of a sub-request of a search and counts its result.
func (o observer) endPart(span trace.Span, req *wire.SearchRequest, part wire.PartRequest, result *wire.PartResult, place string) {
	// The owner that ran the sub-request counts the result. A refusal to lend a slot
	// is not a result of the sub-request.
	if o.metrics != nil && !result.Borrowed && !(req.Borrow && result.Outcome.DidNotRun()) {
		o.metrics.CountSubRequestResult(req.Service, result.Outcome)
	}
	if span.IsRecording() {
		span.SetAttributes(
			attribute.Bool("slot.borrowed", result.Borrowed),
			attribute.String("target", part.Target), attribute.String("group", part.Group), attribute.String("place", place),
			attribute.String("cause", part.Cause.String()), attribute.Int64("index.version", int64(max(req.Version, result.Version))),
			attribute.Int64("queue_us", result.QueueUS), attribute.Int64("service_us", result.TargetUS),
			attribute.String("query.fingerprint", fingerprintText(quarantine.FingerprintOf(req.Service, req.Terms))),
			attribute.Bool("target.died", result.ConnectionLost),
		)
		telemetry.SetOutcome(span, result.Outcome)
	}
	span.End()
}

// endLookup ends the span of a sub-request of a lookup and counts its result.
func (o observer) endLookup(span trace.Span, req *wire.LookupRequest, reply *wire.LookupReply, done workResult, place string) {
	if o.metrics != nil {
		o.metrics.CountSubRequestResult(req.Service, reply.Outcome)
	}
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("target", req.Target), attribute.String("place", place), attribute.String("cause", req.Cause.String()),
			attribute.Int64("index.version", int64(reply.Version)),
			attribute.Int64("queue_us", done.queueTime.Microseconds()), attribute.Int64("service_us", done.serviceTime.Microseconds()),
		)
		telemetry.SetOutcome(span, reply.Outcome)
	}
	span.End()
}

// endSpan records an outcome in a span and ends it.
func endSpan(span trace.Span, o outcome.Outcome) {
	if span.IsRecording() {
		telemetry.SetOutcome(span, o)
	}
	span.End()
}

// countSubRequests counts the sub-requests of a message by their cause.
func (o observer) countSubRequests(req *wire.SearchRequest) {
	if o.metrics == nil {
		return
	}
	var counts [wire.CauseCount]int
	for i := range req.Parts {
		counts[req.Parts[i].Cause]++
	}
	for cause, n := range counts {
		if n > 0 {
			o.metrics.SubRequests.WithLabelValues(req.Service, wire.Cause(cause).String()).Add(float64(n))
		}
	}
}

// countLookup counts the sub-request of a lookup by its cause.
func (o observer) countLookup(req *wire.LookupRequest) {
	if o.metrics != nil {
		o.metrics.SubRequests.WithLabelValues(req.Service, req.Cause.String()).Inc()
	}
}

// countHedges counts the hedges of a query that has ended or is restarted. A hedge
// without a merged answer counts as lost.
func (o observer) countHedges(service string, groups []*groupState) {
	if o.metrics == nil {
		return
	}
	won, lost := 0, 0
	for _, state := range groups {
		for _, a := range state.attempts {
			switch {
			case a.cause != wire.CauseHedge:
			case a.answered:
				won++
			default:
				lost++
			}
		}
	}
	if won > 0 {
		o.metrics.Hedges.WithLabelValues(service, "won").Add(float64(won))
	}
	if lost > 0 {
		o.metrics.Hedges.WithLabelValues(service, "lost").Add(float64(lost))
	}
}
