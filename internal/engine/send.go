package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/balance"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// mayRun reports whether another send of a shard may run without exceeding the
// route's number of attempts.
func (x *execution) mayRun(s *shard) bool {
	return s.runs+len(s.open) < max(1, x.route.Attempts) && s.sends < maxSends
}

// try sends the request of a shard, for the first time or after a failure.
func (x *execution) try(i int, now time.Time) {
	s := &x.shards[i]
	if !x.mayRun(s) {
		s.lost = len(s.open) == 0
		return
	}
	x.e.mu.Lock()
	t, busy := x.e.choose(x, s, now, false)
	if t == nil {
		x.e.mu.Unlock()
		x.noTarget(s, now, busy)
		return
	}
	extra := s.arrived > 0
	if !x.charge(s, now, extra, 0) {
		x.e.mu.Unlock()
		s.lost, s.reason = len(s.open) == 0, outcome.Overload
		return
	}
	x.launch(i, t, now, extra)
	x.e.mu.Unlock()
}

// noTarget plans another try, or gives the shard up if no target is left.
func (x *execution) noTarget(s *shard, now time.Time, busy bool) {
	switch {
	case busy && len(x.shards) == 1 && s.sends == 0 && now.After(x.r.Received.Add(x.route.Objective/busyPatience)):
		s.lost, s.reason = true, outcome.Overload
	case busy:
		s.retryAt = now.Add(busyRetry)
	case s.wait > 0 && len(s.tried) > 0: // refused by all: they may have room soon
		s.tried = nil
		s.retryAt = now.Add(s.wait)
	case len(s.open) == 0:
		s.lost = true
	}
}

// hedge sends a repeat beside a send that takes longer than usual.
func (x *execution) hedge(i int, now time.Time) {
	s := &x.shards[i]
	if !x.route.Repeatable || !x.mayRun(s) || len(s.open) == 0 {
		return
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	t, _ := x.e.choose(x, s, now, true)
	if t == nil || !x.charge(s, now, true, hedgeReserve*x.e.slack()) {
		s.hedgeAt = now.Add(max(hedgeFloor, x.expected))
		return
	}
	x.launch(i, t, now, true)
}

// charge counts a send in the budget of its service. The engine's lock must be
// held.
func (x *execution) charge(s *shard, now time.Time, extra bool, reserve float64) bool {
	w := x.e.budget(s.service)
	if !extra {
		if s.sends == 0 {
			w.FirstSend(now)
		}
		return true
	}
	return w.TryExtra(now, x.e.cfg.RetryRatio, x.e.slack(), reserve)
}

// choose returns the target for the next send of a shard, nil if there is none.
// busy says that there would be one if this host had a connection free. The
// engine's lock must be held.
func (e *Engine) choose(x *execution, s *shard, now time.Time, hedging bool) (t *target, busy bool) {
	entries := x.view.Usable(s.service)
	if latest := e.view.Load(); latest != x.view {
		entries = latest.Usable(s.service) // a target may have left meanwhile
	}
	var buffer [32]balance.Candidate
	var chosen [32]*target
	candidates, targets := buffer[:0], chosen[:0]
	for _, entry := range entries {
		t := e.targets[entry.ID]
		if t == nil || t.wrong || s.tried[entry.ID] {
			continue
		}
		if hedging && t.state.Stalled(now, x.expected) {
			continue
		}
		if !e.coldAllows(t, now) {
			continue
		}
		if !t.pool.HasCapacity() {
			busy = true
			continue
		}
		candidates = append(candidates, balance.Candidate{Target: t.state, RTT: e.link(entry.Place)})
		targets = append(targets, t)
	}
	_, here := e.cfg.Fleet.Hosts()
	i := balance.Choose(now, candidates, x.expected, here, e.rng)
	if i < 0 {
		return nil, busy
	}
	return targets[i], false
}

// link returns the round trip to a place, as opening connections showed.
func (e *Engine) link(place string) time.Duration {
	if l, ok := e.links[place]; ok {
		return l
	}
	if place == e.cfg.Place {
		return 0
	}
	return unknownLink
}

// unknownLink is the round trip assumed to a place that was not measured yet.
const unknownLink = 8 * time.Millisecond

// launch starts a send. The engine's lock must be held.
func (x *execution) launch(i int, t *target, now time.Time, extra bool) {
	s := &x.shards[i]
	if s.tried == nil {
		s.tried = map[string]bool{}
	}
	s.tried[t.id] = true
	s.sends++
	x.tries = append(x.tries, try{shard: i, target: t.id, began: now, extra: extra})
	s.open = append(s.open, send{target: t, began: now})
	t.state.Sent(now)
	if now.Before(t.coldUntil()) {
		t.coldSent = now
	}
	if x.route.Repeatable && x.route.Attempts > 1 {
		state := x.e.route(x.route)
		rule := hedge.Rule{Quantile: hedgeQuantile, MinDelay: hedgeFloor}
		slack := x.e.slack()
		balance := min(1, max(0, x.e.budget(s.service).Left(now, x.e.cfg.RetryRatio, slack)/max(1, slack)))
		s.hedgeAt = now.Add(state.latencies.Delay("", rule, balance))
	}
	go x.send(i, t, extra)
}

// send carries a send out and records its result.
func (x *execution) send(i int, t *target, extra bool) {
	x.e.cfg.OnSend()
	request, span := x.startSend(t, extra)
	result := t.pool.Send(x.sends, request, x.until, !x.route.Repeatable)
	endSend(span, &result)
	x.e.record(x, t, &result)
	x.e.cfg.Observer.Sent(t.service, &result, extra)
	x.results <- ended{shard: i, target: t, result: result}
}

// record takes what a result says about its target.
func (e *Engine) record(x *execution, t *target, r *backend.Result) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.logReach(t, r, t.state.Reachable())
	if r.DialTime > 0 && r.Kind != backend.NotSent {
		e.observeLink(t.place, r.DialTime)
	}
	e.observeCrash(x, t, r, now)
	if r.Head.Cold > 0 {
		t.coldSaid = now.Add(r.Head.Cold)
	}
	link := e.link(t.place)
	switch r.Kind {
	case backend.Success:
		state := e.route(x.route)
		t.state.Answered(now, max(0, r.Duration-link), state.expected)
		state.observe(r.Duration, link)
	case backend.Refused:
		t.state.Refused(now)
	case backend.WrongTarget:
		t.wrong = true
		t.state.Inconclusive(now)
	case backend.NotSent:
		if r.Busy {
			t.state.Inconclusive(now)
		} else {
			t.state.Unreachable(now)
		}
	case backend.TimedOut:
		t.state.TimedOut(now, r.Duration)
	case backend.Canceled:
		t.state.Canceled(now, r.Duration, x.expected)
	default:
		t.state.Failed(now)
	}
}

// observeLink follows the shortest time to open a connection to a place, and
// forgets it slowly.
func (e *Engine) observeLink(place string, dialed time.Duration) {
	known, ok := e.links[place]
	if !ok || dialed < known {
		e.links[place] = dialed
		return
	}
	e.links[place] += (dialed - known) / 64
}

// end takes the result of a send into the execution.
func (x *execution) end(end ended) {
	s := &x.shards[end.shard]
	for i := range s.open {
		if s.open[i].target == end.target {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	r := &end.result
	x.ended(end)
	if r.Kind != backend.NotSent {
		s.arrived++
	}
	if !r.Kind.NotRun() {
		s.runs++
	}
	switch {
	case s.part != nil:
		return
	case r.Kind == backend.Success:
		s.part = r
		return
	}
	if s.failure == nil || s.failure.Kind != backend.Failure {
		s.failure, s.last = r, end.target.id
	}
	s.reason = reasonOf(r)
	if len(s.open) > 0 && !r.Kind.NotRun() {
		return // another send is on its way
	}
	if r.Kind == backend.Refused || r.Busy {
		s.wait = min(max(2*s.wait, refusedRetry), time.Second)
	}
	if r.Kind.NotRun() || x.route.Repeatable {
		x.try(end.shard, time.Now())
		return
	}
	s.lost = len(s.open) == 0
}

func reasonOf(r *backend.Result) outcome.Reason {
	switch r.Kind {
	case backend.Refused:
		return outcome.Overload
	case backend.NotSent, backend.WrongTarget:
		return outcome.Unavailable
	case backend.TimedOut:
		return outcome.Deadline
	case backend.Broken:
		return outcome.ConnLost
	default:
		return outcome.Internal
	}
}
