package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// answerReserve is the part of the grace period that is kept for the answers of requests
	// that are still open then; at most a quarter of the whole.
	answerReserve = 200 * time.Millisecond
	// stoppingRetryAfter is the shortest retry delay of a caller that a stopping host refuses,
	// and half of the longest: other hosts take its requests now.
	stoppingRetryAfter = 10 * time.Millisecond
)

// stoppingEntry refuses requests that this host may not finish before the end of its grace
// period, and ends those that are open then, so that each has an answer. Without it, settings
// with a short grace period would cut off what outlasts it.
type stoppingEntry struct {
	*entry
	ending context.Context // done when open requests must end
}

// Search implements telemetry.Entry.
func (e *stoppingEntry) Search(ctx context.Context, service string, meta api.Meta, req *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	if refused, ok := e.refuse(service, meta); ok {
		return nil, refused
	}
	ctx, cancel := e.untilEnd(ctx)
	defer cancel()
	return e.entry.Search(ctx, service, meta, req)
}

// Lookup implements telemetry.Entry.
func (e *stoppingEntry) Lookup(ctx context.Context, service string, meta api.Meta, req *api.LookupRequest) (*api.LookupResponse, outcome.Outcome) {
	if refused, ok := e.refuse(service, meta); ok {
		return nil, e.RefusalOutcome(meta.RequestID, refused)
	}
	ctx, cancel := e.untilEnd(ctx)
	defer cancel()
	return e.entry.Lookup(ctx, service, meta, req)
}

// refuse returns the refusal of a request that the shutdown does not admit, and true.
func (e *stoppingEntry) refuse(service string, meta api.Meta) (outcome.Outcome, bool) {
	kind, policy, _ := e.Service(service)
	if id, err := atmostonce.ParseID(meta.RequestID); kind == settings.KindCommand && err == nil && id.Ticket.Host == e.self.Name {
		return outcome.Outcome{}, false // the home of the ticket decides: it may have the answer
	}
	allowed := deadline(meta, policy)
	if e.admits(e.ending, drain.Request{Limit: allowed, Objective: allowed, Repeatable: kind != settings.KindCommand}) {
		return outcome.Outcome{}, false
	}
	return e.stoppingRefusal(), true
}

// admits reports whether the shutdown, if one has begun, leaves a request its time. ending is
// done when open requests must end.
func (e *entry) admits(ending context.Context, r drain.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Limit, r.Objective = r.Limit+answerReserve, r.Objective+answerReserve
	return e.shutdown.Admits(time.Now(), r) && ending.Err() == nil
}

// stoppingRefusal returns the refusal of a request that may outlast the shutdown.
func (e *entry) stoppingRefusal() outcome.Outcome {
	o := outcome.Refused(outcome.Draining, "host %s stops and may not finish the request", e.self.Name)
	o.RetryAfter = stoppingRetryAfter + rand.N(stoppingRetryAfter)
	return o
}

// untilEnd returns a context that ends with ctx, or when open requests must end.
func (e *stoppingEntry) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
