package engine

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/balance"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// attemptsLeft reports whether another send of a shard stays within the route's number
// of attempts and within maxSends.
func (x *execution) attemptsLeft(s *shard) bool {
	return s.possibleRuns+len(s.open) < max(1, x.route.Attempts) && s.sends < maxSends
}

// trySend sends the request of a shard, for the first time or as a retry, if the number
// of attempts, the targets and the budget allow. Without a target it may plan a later
// retry; otherwise the shard is exhausted unless a send is open.
func (x *execution) trySend(i int, now time.Time) {
	s := &x.shards[i]
	if !x.attemptsLeft(s) {
		s.exhausted = len(s.open) == 0
		return
	}
	if !x.mayStillSend() {
		s.exhausted, s.reason = len(s.open) == 0, UnknownKey
		return
	}
	switch x.sendNow(i, now) {
	case sent:
		x.setWaiting(s, false)
	case noBudget:
		x.awaitBudget(s, now)
	case allBusy:
		x.handleNoTarget(s, now, true)
	case noTarget:
		x.handleNoTarget(s, now, false)
	case crashesTargets:
		s.exhausted, s.reason = len(s.open) == 0, outcome.Quarantined
	}
}

// sendAttempt is what became of an attempt to send.
type sendAttempt uint8

const (
	sent sendAttempt = iota
	noBudget
	allBusy  // targets were passed over because they take no request now
	noTarget // no target can be chosen
	crashesTargets
)

// sendNow sends the request of a shard if a target and the budget allow.
func (x *execution) sendNow(i int, now time.Time) sendAttempt {
	s := &x.shards[i]
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	if x.quarantined(now) {
		return crashesTargets
	}
	t, busy := x.e.chooseTarget(x, s, now, false)
	extra := s.possibleArrivals > 0
	switch {
	case t == nil && busy:
		return allBusy
	case t == nil:
		return noTarget
	case !x.chargeBudget(s, now, extra, 0):
		return noBudget
	}
	x.launch(i, t, now, extra)
	return sent
}

// awaitBudget plans a retry of a shard that has no budget for it now, if an answer could
// still be in time: the requests of other callers earn budget. Otherwise the shard is
// exhausted unless a send is open.
func (x *execution) awaitBudget(s *shard, now time.Time) {
	if retryAt := now.Add(max(minHedgeDelay, x.expected)); retryAt.Before(x.answerBy) {
		s.retryAt, s.reason = retryAt, outcome.Overload
		return
	}
	s.exhausted, s.reason = len(s.open) == 0, outcome.Overload
}

// handleNoTarget plans a retry of a shard for which chooseTarget found no target, or
// marks the shard as exhausted if no target is left and no send is open, or if a single
// request has waited too long for a connection. busy means that all connections of this
// host to a target that could otherwise be chosen are in use.
func (x *execution) handleNoTarget(s *shard, now time.Time, busy bool) {
	switch {
	case busy && len(x.shards) == 1 && s.sends == 0 && now.After(x.r.Received.Add(x.route.Objective/busyWaitDivisor)):
		s.exhausted, s.reason = true, outcome.Overload
	case busy && now.Before(x.answerBy):
		s.retryAt = now.Add(busyRetryDelay)
		x.setWaiting(s, true)
	case busy:
		s.retryAt = now.Add(lateRetryDelay)
		x.setWaiting(s, false)
	case s.retryDelay > 0 && len(s.tried) > 0: // all targets refused; they may have capacity soon
		s.tried = nil
		s.retryAt = now.Add(s.retryDelay)
	case len(s.open) == 0:
		s.exhausted = true
		if s.reason == "" && !s.notBefore.IsZero() {
			s.reason = outcome.Overload
		}
	}
}

// postpone records that a target wants no request of this host before the given time.
func (s *shard) postpone(until time.Time) {
	if s.notBefore.IsZero() || until.Before(s.notBefore) {
		s.notBefore = until
	}
}

// hedge sends the request of a shard a second time while its open send is slow, if a
// target and the budget allow. Without a
// target or budget, it plans another try of the hedge.
func (x *execution) hedge(i int, now time.Time) {
	s := &x.shards[i]
	if !x.route.Repeatable || !x.attemptsLeft(s) || len(s.open) == 0 || !x.mayStillSend() {
		return
	}
	if p := x.progress(); (hedge.FanOut{Shards: p.Shards, Unanswered: p.Shards - p.Received, SinceLast: now.Sub(x.lastPart), Expected: x.expected}).Holds() {
		s.hedgeAt = now.Add(max(minHedgeDelay, x.expected/2))
		return
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	if x.quarantined(now) {
		return
	}
	t, _ := x.e.chooseTarget(x, s, now, true)
	if t == nil || !x.chargeBudget(s, now, true, hedgeReserve*x.e.slack()) {
		s.hedgeAt = now.Add(max(minHedgeDelay, x.expected))
		return
	}
	x.launch(i, t, now, true)
}

// chargeBudget records a send in the budget of its service and reports whether the send
// is allowed. An extra send must leave reserve extra sends in the budget. The engine's
// lock must be held.
func (x *execution) chargeBudget(s *shard, now time.Time, extra bool, reserve float64) bool {
	w := x.e.budget(s.service)
	if !extra {
		if s.sends == 0 {
			w.FirstSend(now)
		}
		return true
	}
	return w.TryExtra(now, x.e.cfg.RetryRatio, x.e.slack(), reserve)
}

// chooseTarget returns the target for the next send of a shard, or nil. busy is set with
// nil if a target was passed over because it takes no more requests of this host now but may
// in time, or because all connections of this host to that target are in use. The engine's lock must be held.
func (e *Engine) chooseTarget(x *execution, s *shard, now time.Time, hedging bool) (t *target, busy bool) {
	x.lastView = e.view.Load() // targets may have left since the plan
	entries := x.lastView.Usable(s.service)
	var buffer [32]balance.Candidate
	var chosen [32]*target
	candidates, targets := buffer[:0], chosen[:0]
	for _, entry := range entries {
		t := e.targets[entry.ID]
		if t == nil || t.wrongTarget || s.tried[entry.ID] {
			continue
		}
		if hedging && t.state.Stalled(now, x.expected) {
			continue
		}
		if !e.coldSendAllowed(t, now) {
			continue
		}
		decision := e.decide(t, now)
		if !decision.Allowed {
			if decision.Wait > 0 {
				s.postpone(now.Add(decision.Wait))
				busy = busy || now.Add(decision.Wait).Before(x.answerBy)
			}
			continue
		}
		candidate, capacity := e.candidate(t)
		candidate.Preference = int(decision.Preference)
		if t.state.Full(now) || !capacity {
			busy = true
			continue
		}
		candidates = append(candidates, candidate)
		targets = append(targets, t)
	}
	_, here := e.cfg.Fleet.Hosts()
	i := balance.Choose(now, candidates, x.expected, here, e.rng)
	if i < 0 {
		return nil, busy
	}
	return targets[i], false
}

// candidate describes a target for balance.Choose, and reports whether it has a connection
// for another request. The engine's lock must be held.
func (e *Engine) candidate(t *target) (c balance.Candidate, capacity bool) {
	idle, capacity := t.pool.Availability()
	return balance.Candidate{Target: t.state, RTT: e.rtt(t.entry.Place), Unconnected: !idle}, capacity
}

// rtt returns the round-trip time to a place, measured when connections were opened.
// Without a measurement it returns 0 for this host's place and defaultRTT for any other.
// The engine's lock must be held.
func (e *Engine) rtt(place string) time.Duration {
	if rtt, ok := e.rtts[place]; ok {
		return rtt
	}
	if place == e.cfg.Place {
		return 0
	}
	return defaultRTT
}

// defaultRTT is the round-trip time assumed for another place without a measurement.
const defaultRTT = 8 * time.Millisecond

// launch starts a send and plans a hedge if the route allows one. The engine's lock must be held.
func (x *execution) launch(i int, t *target, now time.Time, extra bool) {
	s := &x.shards[i]
	if s.tried == nil {
		s.tried = map[string]bool{}
	}
	s.tried[t.id] = true
	s.sends++
	x.history = append(x.history, sendRecord{shard: i, target: t.id, began: now, extra: extra})
	s.open = append(s.open, openSend{target: t, began: now})
	t.state.Sent(now)
	t.notices.Sent(now)
	x.e.lastUsed[t.service] = now
	if now.Before(t.coldUntil()) {
		t.lastColdSend = now
	}
	state := x.e.stateOf(x.route)
	if state.once != nil {
		state.once.Sent(onceSend{x, t}, now)
	}
	if x.route.Repeatable && x.route.Attempts > 1 {
		rule := hedge.Rule{Quantile: hedgeQuantile, MinDelay: minHedgeDelay}
		slack := x.e.slack()
		budgetLevel := min(1, max(0, x.e.budget(s.service).Left(now, x.e.cfg.RetryRatio, slack)/max(1, slack)))
		s.hedgeAt = now.Add(state.latencies.Delay("", rule, budgetLevel))
	}
	go x.send(i, t, extra)
}

// errPanicked is the error of a send that panicked. The request may have run.
var errPanicked = errors.New("unexpected error")

// send sends the request to a target, records the result and passes it to run.
func (x *execution) send(i int, t *target, extra bool) {
	result := backend.Result{Err: errPanicked}
	guard.Run(x.e.cfg.Log, "send", func() {
		x.e.cfg.OnSend()
		request, span := x.startSendSpan(t, extra)
		result = t.pool.Send(x.sendCtx, request, x.deadline, !x.route.Repeatable)
		endSendSpan(span, &result)
	})
	guard.Run(x.e.cfg.Log, "result of a send", func() {
		x.e.record(x, t, &result)
		x.e.cfg.Observer.Sent(t.service, &result, extra)
	})
	x.deliver(sendResult{shard: i, target: t, result: result})
}

// record updates the state of a target and of the route with the result of a send.
func (e *Engine) record(x *execution, t *target, r *backend.Result) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.logReachability(t, r, t.state.Reachable())
	if r.DialTime > 0 && r.Kind != backend.NotSent {
		e.observeRTT(t.place, r.DialTime)
	}
	e.observeCrash(x, t, r, now)
	e.observeNotices(t, r, now)
	rtt := e.rtt(t.place)
	if once := e.stateOf(x.route).once; once != nil {
		once.Ended(onceSend{x, t}, r.Duration, !r.Kind.NotRun())
	}
	switch r.Kind {
	case backend.Success:
		state := e.stateOf(x.route)
		if r.Duration > x.route.Objective/delayedDivisor {
			t.state.Delayed(now)
		}
		t.state.Answered(now, max(0, r.Duration-rtt), state.expected)
		state.observe(r.Duration, rtt)
	case backend.Refused:
		t.state.Refused(now)
	case backend.WrongTarget:
		t.wrongTarget = true
		t.state.Inconclusive(now)
	case backend.NotSent:
		if r.LocalCause {
			t.state.Inconclusive(now)
		} else {
			t.state.Unreachable(now)
		}
	case backend.TimedOut:
		t.state.TimedOut(now, r.Duration)
	case backend.Broken:
		e.logOversized(t, r)
		e.logMalformed(t, r)
		if r.LocalCause {
			t.state.Inconclusive(now)
		} else {
			t.state.Failed(now)
		}
	case backend.Canceled:
		t.state.Canceled(now, r.Duration, x.expected)
	default:
		e.logUnstated(t, r)
		t.state.Failed(now)
	}
}

// observeRTT updates the round-trip time to a place: the shortest time to open a
// connection, which rises slowly, by a 64th of the difference, with longer ones. The
// engine's lock must be held.
func (e *Engine) observeRTT(place string, dialTime time.Duration) {
	current, ok := e.rtts[place]
	if !ok || dialTime < current {
		e.rtts[place] = dialTime
		return
	}
	e.rtts[place] += (dialTime - current) / 64
}

// handleResult updates the execution with the result of a send and retries if allowed.
func (x *execution) handleResult(result sendResult) {
	s := &x.shards[result.shard]
	for i := range s.open {
		if s.open[i].target == result.target {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	r := &result.result
	x.recordEnd(result)
	if r.Kind != backend.NotSent {
		s.possibleArrivals++
	}
	if !r.Kind.NotRun() {
		s.possibleRuns++
	}
	switch {
	case s.part != nil:
		r.Release()
		return
	case r.Kind == backend.Success:
		s.part = r
		x.recordPart(time.Now())
		return
	}
	if s.failure == nil || !mayPassOn(s.failure) {
		if s.failure != nil {
			s.failure.Release()
		}
		s.failure, s.failedTarget = r, result.target.id
	} else {
		r.Release()
	}
	s.reason = reasonOf(r)
	if len(s.open) > 0 && !r.Kind.NotRun() {
		return // another send is open
	}
	if r.Kind == backend.Refused || r.LocalCause {
		s.retryDelay = min(max(2*s.retryDelay, refusedRetryDelay), time.Second)
	}
	if r.Kind.NotRun() || x.route.Repeatable {
		x.trySend(result.shard, time.Now())
		return
	}
	s.exhausted = len(s.open) == 0
}

// reasonOf returns the outcome reason for a result other than Success.
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
