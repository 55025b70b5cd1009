package telemetry

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Entry is the part of an entry host that the HTTP handlers call.
type Entry interface {
	Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome)
	Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome)
	api.Services
	Entries() api.EntriesResponse
	Ticket() api.TicketResponse
}

// Instrumented is an Entry that records metrics and a span for each request. Tracer may be
// nil.
type Instrumented struct {
	Entry
	Metrics *Metrics
	Tracer  *Tracer
}

// Search runs a search and records its metrics and span.
func (i *Instrumented) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	ctx, span, parent := i.Tracer.Start(ctx, meta.Traceparent, "entry search", attribute.String("service", service))
	defer span.End()
	meta.Traceparent = parent
	start := time.Now()
	answer, o := i.Entry.Search(ctx, service, meta, req)
	i.observe(span, service, meta, o, time.Since(start))
	if answer != nil {
		i.Metrics.Coverage.WithLabelValues(service).Observe(answer.Coverage)
		i.Metrics.Recent.add(time.Now(), service, func(b *bucket) { b.addSearch(answer.Coverage) })
		span.SetAttributes(attribute.Float64("coverage", answer.Coverage), attribute.Int64("snapshot", int64(answer.Snapshot)))
	}
	return answer, o
}

// Lookup runs a lookup and records its metrics and span.
func (i *Instrumented) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	ctx, span, parent := i.Tracer.Start(ctx, meta.Traceparent, "entry lookup", attribute.String("service", service))
	defer span.End()
	meta.Traceparent = parent
	start := time.Now()
	answer, o := i.Entry.Lookup(ctx, service, meta, req)
	i.observe(span, service, meta, o, time.Since(start))
	return answer, o
}

func (i *Instrumented) observe(span trace.Span, service string, meta api.Meta, o outcome.Outcome, duration time.Duration) {
	priority := meta.Priority
	if !meta.HasPriority {
		_, policy, _ := i.Service(service)
		priority = policy.Priority
	}
	i.Metrics.Requests.WithLabelValues(service, o.Kind.String(), reasonLabel(o.Reason)).Inc()
	i.Metrics.Duration.WithLabelValues(service, priority.String()).Observe(duration.Seconds())
	i.Metrics.Recent.add(time.Now(), service, func(b *bucket) {
		if o.Kind == outcome.Answered || o.Kind == outcome.Partial {
			b.Answers++
		} else {
			b.Failed++
		}
	})
	SetOutcome(span, o)
}

// SetOutcome records an outcome as attributes of a span. The outcomes "not run" and
// "unknown" set the span's status to error.
func SetOutcome(span trace.Span, o outcome.Outcome) {
	span.SetAttributes(attribute.String("outcome", o.Kind.String()))
	if o.Reason != outcome.None {
		span.SetAttributes(attribute.String("reason", string(o.Reason)))
	}
	if o.Kind == outcome.NotRun || o.Kind == outcome.Unknown {
		span.SetStatus(codes.Error, o.Message)
	}
}
