package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
)

// routeState is what this host has learned about the requests of a route.
type routeState struct {
	latencies *hedge.Latencies
	expected  time.Duration // usual service time, without the link
	limit     time.Duration // longest time that callers wait, as they say
	split     splitter
}

const (
	// expectedGain is the weight of one answer in the usual service time.
	expectedGain = 0.02
	// firstExpected is the fraction of the objective that is taken for the usual
	// service time before any answer was seen.
	firstExpected = 0.12
	// clipExpected bounds the effect of stragglers on the usual service time.
	clipExpected = 3
	// hedgeQuantile is the quantile of the service times after which a repeat is
	// sent: about one send in ten, within the usual budget of one in five.
	hedgeQuantile = 0.92
	// hedgeFloor is the shortest time before a repeat.
	hedgeFloor = 4 * time.Millisecond
)

// route returns the state of a route. The engine's lock must be held.
func (e *Engine) route(r *catalog.Route) *routeState {
	s, ok := e.routes[r.Name]
	if !ok {
		s = &routeState{latencies: hedge.NewLatencies(), expected: firstGuess(r)}
		e.routes[r.Name] = s
	}
	return s
}

// firstGuess returns the usual service time before any answer was seen.
func firstGuess(r *catalog.Route) time.Duration {
	return max(time.Millisecond, time.Duration(firstExpected*float64(r.Objective)))
}

func (s *routeState) observe(took, link time.Duration) {
	s.latencies.Observe("", took)
	service := float64(min(max(0, took-link), clipExpected*s.expected))
	s.expected += time.Duration(expectedGain * (service - float64(s.expected)))
	s.expected = max(s.expected, 500*time.Microsecond)
}

// started returns when the caller's first attempt began, as far as the time that
// it still waits shows.
func (s *routeState) started(r *Request) time.Time {
	if r.Timeout <= 0 {
		return r.Received
	}
	s.limit = max(s.limit, r.Timeout)
	if used := s.limit - r.Timeout; used > lateStart {
		return r.Received.Add(-used)
	}
	return r.Received
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

// slack returns this host's part of the slack of a budget.
func (e *Engine) slack() float64 {
	fleet, _ := e.cfg.Fleet.Shares()
	return budgetShare * e.cfg.RetrySlack * fleet
}
