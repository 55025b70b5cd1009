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

// Entry is the entry role of a host as the HTTP handlers use it.
type Entry interface {
	Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome)
	Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome)
	api.Services
	Entries() api.EntriesResponse
	Ticket() api.TicketResponse
}

// Instrumented counts and traces the requests of an entry role.
type Instrumented struct {
	Entry
	Metrics *Metrics
	Tracer  *Tracer
}

// Search counts and traces a search.
func (i *Instrumented) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	ctx, span, parent := i.Tracer.Start(ctx, meta.Traceparent, "entry search", attribute.String("service", service))
	defer span.End()
	meta.Traceparent = parent
	start := time.Now()
	answer, o := i.Entry.Search(ctx, service, meta, req)
	i.observe(span, service, meta, o, time.Since(start))
	if answer != nil {
		i.Metrics.Coverage.WithLabelValues(service).Observe(answer.Coverage)
		i.Metrics.Recent.add(time.Now(), service, func(b *bucket) { b.search(answer.Coverage) })
		span.SetAttributes(attribute.Float64("coverage", answer.Coverage), attribute.Int64("snapshot", int64(answer.Snapshot)))
	}
	return answer, o
}

// Lookup counts and traces a lookup.
func (i *Instrumented) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	ctx, span, parent := i.Tracer.Start(ctx, meta.Traceparent, "entry lookup", attribute.String("service", service))
	defer span.End()
	meta.Traceparent = parent
	start := time.Now()
	answer, o := i.Entry.Lookup(ctx, service, meta, req)
	i.observe(span, service, meta, o, time.Since(start))
	return answer, o
}

func (i *Instrumented) observe(span trace.Span, service string, meta api.Meta, o outcome.Outcome, took time.Duration) {
	priority := meta.Priority
	if !meta.HasPriority {
		_, policy, _ := i.Service(service)
		priority = policy.Priority
	}
	i.Metrics.Requests.WithLabelValues(service, o.Kind.String(), reasonLabel(o.Reason)).Inc()
	i.Metrics.Duration.WithLabelValues(service, priority.String()).Observe(took.Seconds())
	i.Metrics.Recent.add(time.Now(), service, func(b *bucket) {
		if o.Kind == outcome.Answered || o.Kind == outcome.Partial {
			b.Answers++
		} else {
			b.Failed++
		}
	})
	SetOutcome(span, o)
}

// SetOutcome records an outcome on a span; one that is not an answer marks the
// span as failed.
func SetOutcome(span trace.Span, o outcome.Outcome) {
	span.SetAttributes(attribute.String("outcome", o.Kind.String()))
	if o.Reason != outcome.None {
		span.SetAttributes(attribute.String("reason", string(o.Reason)))
	}
	if o.Kind == outcome.NotRun || o.Kind == outcome.Unknown {
		span.SetStatus(codes.Error, o.Message)
	}
}
