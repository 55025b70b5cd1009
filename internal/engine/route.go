package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/gather"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
)

// routeState holds this host's measurements of the requests of a route and the state of
// the route's split.
type routeState struct {
	latencies  *hedge.Latencies           // of answers
	once       *drain.Durations[onceSend] // nil if all versions of the route so far allow repeats
	expected   time.Duration              // expected service time, without the round trip
	maxTimeout time.Duration              // longest timeout that callers stated in this window of requests
	earlierMax time.Duration              // the same of the window before
	timeouts   int                        // requests of this window
	split      splitter
	margin     gather.Margin
}

// onceSend identifies a send in progress: an execution sends to a target once at a time.
type onceSend struct {
	execution *execution
	target    *target
}

const (
	// serviceTimeGain is the weight of one answer in the moving average of the service
	// time.
	serviceTimeGain = 0.02
	// initialServiceFraction is the fraction of the objective that is the expected
	// service time before the first answer.
	initialServiceFraction = 0.12
	// outlierFactor clips service times, in expected service times, to bound the effect
	// of stragglers on the moving average.
	outlierFactor = 3
	// hedgeQuantile is the quantile of the latencies after which a hedge is sent: about
	// one send in ten, within the usual budget of one in five.
	hedgeQuantile = 0.92
	// timeoutWindow is the number of requests after which the longest timeout is learned
	// anew, so that a caller which waits longer than all others does not count for ever.
	timeoutWindow = 100
	// minHedgeDelay is the shortest delay of a hedge.
	minHedgeDelay = 4 * time.Millisecond
)

// stateOf returns the state of a route. The engine's lock must be held.
func (e *Engine) stateOf(r *catalog.Route) *routeState {
	s, ok := e.routes[r.Name]
	if !ok {
		s = &routeState{latencies: hedge.NewLatencies(), expected: initialServiceTime(r)}
		e.routes[r.Name] = s
	}
	if !r.Repeatable && s.once == nil { // a later version of the configuration may say so first
		s.once = drain.NewDurations[onceSend]()
	}
	return s
}

// initialServiceTime returns the expected service time before the first answer.
func initialServiceTime(r *catalog.Route) time.Duration {
	return max(time.Millisecond, time.Duration(initialServiceFraction*float64(r.Objective)))
}

// observe updates the estimates with the latency of an answer and the round-trip time
// that is part of it.
func (s *routeState) observe(took, rtt time.Duration) {
	s.latencies.Observe("", took)
	service := float64(min(max(0, took-rtt), outlierFactor*s.expected))
	s.expected += time.Duration(serviceTimeGain * (service - float64(s.expected)))
	s.expected = max(s.expected, 500*time.Microsecond)
}

// firstAttempt estimates when the caller began, from which its objective runs: before it
// sends the request, a caller may look up the directory, open a connection or have
// another host fail. A caller states how long it still waits, so what is missing from the
// longest timeout that callers of the route stated lately has been used already.
func (s *routeState) firstAttempt(r *Request) time.Time {
	if r.Timeout <= 0 {
		return r.Received
	}
	s.maxTimeout = max(s.maxTimeout, r.Timeout)
	if s.timeouts++; s.timeouts >= timeoutWindow {
		s.earlierMax, s.maxTimeout, s.timeouts = s.maxTimeout, r.Timeout, 0
	}
	return r.Received.Add(r.Timeout - max(s.maxTimeout, s.earlierMax))
}

// budget returns the budget of extra sends to a service. The engine's lock must be
// held.
func (e *Engine) budget(service string) *hedge.WindowBudget {
	w, ok := e.budgets[service]
	if !ok {
		w = hedge.NewWindowBudget(e.cfg.RetryWindow)
		e.budgets[service] = w
	}
	return w
}

// slack returns this host's share of the slack of a budget, in sends.
func (e *Engine) slack() float64 {
	return slackShare * e.cfg.RetrySlack * e.cfg.Fleet.ExtraShare()
}
