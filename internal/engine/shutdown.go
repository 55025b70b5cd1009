package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// shutdown is the shutdown of this host.
type shutdown struct {
	drain.Shutdown
	isAlone func() bool // whether callers are directed to no other host
}

// BeginShutdown makes the engine refuse requests that the shutdown does not admit. isAlone
// reports whether callers are directed to no other host. BeginShutdown must be called at most once.
func (e *Engine) BeginShutdown(s drain.Shutdown, isAlone func() bool) {
	e.shutdown.Store(&shutdown{s, isAlone})
}

// leavingRefusal returns the refusal of a request by a host that is shutting down.
func (e *Engine) leavingRefusal(text string) outcome.Outcome {
	s := e.shutdown.Load()
	return e.refusal(outcome.Draining, drain.RetryAfter(s != nil && s.isAlone()), "%s", text)
}

// Abandon ends all requests in progress with what their targets have answered so far. It
// must be called at most once.
func (e *Engine) Abandon() { close(e.abandoned) }

// admits reports whether a request may be forwarded although the host may be shutting
// down.
func (e *Engine) admits(r *Request, route *catalog.Route) bool {
	s := e.shutdown.Load()
	if s == nil {
		return true
	}
	now := time.Now()
	request := drain.Request{Limit: deadlineOf(r, route).Sub(now), Objective: route.Objective, Repeatable: route.Repeatable}
	e.mu.Lock()
	if once := e.stateOf(route).once; once != nil {
		request.Usual = once.Usual(now)
	}
	e.mu.Unlock()
	return s.Admits(now, request)
}

// stoppingField returns the log field with the time between the begin of the shutdown and the
// receipt of a request, and nothing for a request that was received before it.
func (e *Engine) stoppingField(r *Request) []any {
	s := e.shutdown.Load()
	if s == nil || s.Elapsed(r.Received) < 0 {
		return nil
	}
	return []any{"stopping_ms", s.Elapsed(r.Received).Milliseconds()}
}

// abandon returns the answer of an execution that the end of the host interrupts. A caller
// must get one: without it, the end of the connection would look like a lost request.
func (x *execution) abandon(now time.Time) Answer {
	if p := x.progress(); p.Received >= p.Required() {
		return x.successAnswer(p)
	}
	a := x.failureAnswer(now)
	switch {
	case a.Forwarded != nil:
	case a.Outcome.Kind == outcome.NotRun:
		a.Outcome = x.e.leavingRefusal("this host stops and has not sent the request to a target")
	default:
		a.Outcome = outcome.Uncertain(outcome.Draining, "this host stops and has no answer to pass on")
	}
	return a
}
