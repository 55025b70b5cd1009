package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/gather"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// execution is the state of one request. A single request is a fan-out to one shard
// whose answer is forwarded unchanged. Only the goroutine of Do uses the state, except
// for what the goroutines of sends read.
type execution struct {
	e     *Engine
	r     *Request
	route *catalog.Route
	basis // of the plan
	// lastView is the view by which the latest send was chosen or refused, nil without any.
	lastView *catalog.View
	// identifiedBy is the latest configuration by which the tenant of the request was checked.
	identifiedBy *catalog.Config
	shards       []shard
	answerBy     time.Time // the margin of the route before the objective
	deadline     time.Time // end of the caller's or the route's timeout, the earlier one
	results      chan sendResult
	traceCtx     context.Context // carries the span of the request
	sendCtx      context.Context // of the sends, which may continue after the answer
	cancel       context.CancelFunc
	expected     time.Duration // expected service time of the route
	history      []sendRecord  // sends so far, for the log line
	// requestFingerprint is 0 until it is needed; guarded by the engine's lock.
	requestFingerprint quarantine.Fingerprint

	lastPart time.Time // when the latest part arrived, or the first send began
	enoughAt time.Time // when the parts became enough for an answer; zero before
	decided  time.Time // when the answer was decided

	mu       sync.Mutex
	answered bool // later results are not used
}

// shard is the state of the sub-request of an execution to one service: the sends to the
// service's targets, and the answer, called the part.
type shard struct {
	service          string
	open             []openSend // sends without a result
	tried            map[string]bool
	sends            int
	possibleArrivals int       // sends that may have reached a target
	possibleRuns     int       // sends with a result that may have run
	retryAt          time.Time // when to retry; zero if no retry is planned
	hedgeAt          time.Time // when to hedge the open send; zero if no hedge is planned
	retryDelay       time.Duration
	notBefore        time.Time       // when the first target that wants no request now takes one; zero if there is none
	waiting          bool            // for a target that takes a request; counted in Engine.waiting
	part             *backend.Result // the answer of the shard; nil until there is one
	failure          *backend.Result // a target's own failure that may be passed on, or the last result
	failedTarget     string          // the target of failure
	exhausted        bool            // can no longer be answered
	reason           outcome.Reason
}

// sendResult is the result of a send.
type sendResult struct {
	shard  int
	target *target
	result backend.Result
}

// openSend is a send without a result.
type openSend struct {
	target *target
	began  time.Time
}

// deadlineOf returns when the caller's or the route's timeout ends, the earlier one.
func deadlineOf(r *Request, route *catalog.Route) time.Time {
	limit := defaultTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	return r.Received.Add(limit)
}

// plan returns the execution of a request on a route.
func (e *Engine) plan(r *Request, route *catalog.Route, v *catalog.View) *execution {
	x := &execution{e: e, r: r, route: route, basis: basis{view: v}}
	x.deadline = deadlineOf(r, route)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.stateOf(route)
	x.expected = state.expected
	x.answerBy = state.firstAttempt(r).Add(route.Objective - state.margin.Before(route.Objective))
	services := route.Shards
	if len(services) == 0 {
		services = []string{route.Service}
		if len(route.Split) > 0 {
			services[0] = state.split.next(route.Split)
		}
	}
	x.shards = make([]shard, len(services))
	for i, s := range services {
		x.shards[i].service = s
	}
	if len(route.Shards) > 0 {
		r.Compact = func(part []byte) []byte { return gather.Compact(part, route.TopK) }
	}
	x.results = make(chan sendResult, maxSends*len(services))
	x.sendCtx, x.cancel = context.WithDeadline(context.Background(), x.deadline.Add(time.Second))
	return x
}

// run sends the request and returns its answer. It frees the memory of all results but
// the answer's own.
func (x *execution) run(ctx context.Context) Answer {
	x.traceCtx = ctx
	var a Answer
	defer func() { x.end(a.Forwarded) }()
	a = x.answer(ctx)
	return a
}

// end ends the execution. It frees the memory of all results but the forwarded one.
func (x *execution) end(forwarded *backend.Result) {
	x.decided = time.Now()
	for i := range x.shards {
		x.setWaiting(&x.shards[i], false)
	}
	x.mu.Lock()
	x.answered = true
	x.mu.Unlock()
	for len(x.results) > 0 {
		result := <-x.results
		result.result.Release()
	}
	for i := range x.shards {
		for _, r := range []*backend.Result{x.shards[i].part, x.shards[i].failure} {
			if r != nil && r != forwarded {
				r.Release()
			}
		}
	}
}

// setWaiting sets whether a shard of a fan-out waits for a target that takes a request.
func (x *execution) setWaiting(s *shard, waiting bool) {
	if s.waiting == waiting || len(x.shards) == 1 {
		return
	}
	s.waiting = waiting
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	if waiting {
		x.e.waiting[s.service]++
	} else if x.e.waiting[s.service]--; x.e.waiting[s.service] == 0 {
		delete(x.e.waiting, s.service)
	}
}

// deliver passes a result to answer, or frees its memory if the request has been
// answered.
func (x *execution) deliver(r sendResult) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.answered {
		r.result.Release()
		return
	}
	x.results <- r // never blocks: the channel has room for all sends
}

// answer sends the request and returns its answer.
func (x *execution) answer(ctx context.Context) Answer {
	now := time.Now()
	reachable, free := x.available(now)
	switch gather.Admit(x.progress(), reachable, free) {
	case gather.Unreachable:
		return Answer{Outcome: x.e.refusal(outcome.Unavailable, outageRetryAfter, "too few services have a target that can be reached")}
	case gather.Overloaded:
		return Answer{Outcome: x.e.refusal(outcome.Overload, max(x.overloadRetryAfter(), x.enoughAfter(now, free)), "too few services have a target that takes a request now")}
	}
	x.lastPart = time.Now()
	for i := range x.shards {
		x.trySend(i, time.Now())
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		x.sendDue(now)
		if a, done := x.decide(now); done {
			x.releaseSends()
			return a
		}
		timer.Reset(max(0, x.nextEvent(now).Sub(now)))
		select {
		case result := <-x.results:
			x.handleResult(result)
		case <-timer.C:
		case <-ctx.Done():
			time.AfterFunc(cancelGrace, x.cancel)
			return Answer{Outcome: outcome.Uncertain(outcome.Canceled, "the caller left")}
		case <-x.e.abandoned:
			return x.abandon(time.Now())
		}
	}
}

// available returns the number of shards with a target that may get a request, and of
// those with one that takes a request at once. A shard for which other requests wait takes
// none.
func (x *execution) available(now time.Time) (reachable, free int) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	for i := range x.shards {
		service := x.shards[i].service
		usable, takes := false, false
		for _, entry := range x.view.Usable(service) {
			t := x.e.targets[entry.ID]
			if t == nil || t.wrongTarget || t.state.Down(now) || !x.e.coldSendAllowed(t, now) {
				continue
			}
			decision := x.e.decide(t, now)
			if decision.Wait > 0 {
				x.shards[i].postpone(now.Add(decision.Wait))
			}
			usable = usable || decision.Allowed || decision.Wait > 0
			takes = takes || decision.Allowed && !t.state.Full(now)
		}
		if usable {
			reachable++
		}
		if takes {
			x.shards[i].notBefore = time.Time{}
		}
		if takes && x.e.waiting[service] == 0 {
			free++
		}
	}
	return reachable, free
}

// enoughAfter returns how long it takes until enough shards have a target that wants a request
// of this host, if targets said when they do; free shards have one now.
func (x *execution) enoughAfter(now time.Time, free int) time.Duration {
	var waits []time.Duration
	for i := range x.shards {
		if s := &x.shards[i]; !s.notBefore.IsZero() {
			waits = append(waits, s.notBefore.Sub(now))
		}
	}
	slices.Sort(waits)
	missing := x.progress().Required() - free
	if missing <= 0 || len(waits) == 0 {
		return 0
	}
	return waits[min(missing, len(waits))-1]
}

// overloadRetryAfter returns the shortest retry delay of a caller whose fan-out is refused
// for load; the longest is twice as long. The delays spread over much of the time that
// the caller has left, because an overload lasts longer than a queue.
func (x *execution) overloadRetryAfter() time.Duration {
	return max(minRetryAfter, time.Until(x.deadline)/overloadRetryDivisor)
}

// retryAfter returns the shortest retry delay of a caller whose request no target took: the
// time until one takes requests of this host again, if targets said so.
func (x *execution) retryAfter(now time.Time) time.Duration {
	after := outageRetryAfter
	for i := range x.shards {
		if s := &x.shards[i]; s.notBefore.Sub(now) > after {
			after = s.notBefore.Sub(now)
		}
	}
	return after
}

// releaseSends frees the context of the sends if none is open. Open sends run to their
// own end.
func (x *execution) releaseSends() {
	open := 0
	for i := range x.shards {
		open += len(x.shards[i].open)
	}
	if open == 0 {
		x.cancel()
	}
}

// sendDue sends the retries and hedges that are due.
func (x *execution) sendDue(now time.Time) {
	for i := range x.shards {
		s := &x.shards[i]
		switch {
		case s.part != nil || s.exhausted:
		case !s.retryAt.IsZero() && !now.Before(s.retryAt):
			s.retryAt = time.Time{}
			x.trySend(i, now)
		case !s.hedgeAt.IsZero() && !now.Before(s.hedgeAt):
			s.hedgeAt = time.Time{}
			x.hedge(i, now)
		}
	}
}

// nextEvent returns the time of the next retry, hedge or decision if no result arrives.
func (x *execution) nextEvent(now time.Time) time.Time {
	next := x.deadline
	if now.Before(x.answerBy) && x.answerBy.Before(next) {
		next = x.answerBy
	}
	for i := range x.shards {
		s := &x.shards[i]
		if s.part != nil || s.exhausted {
			continue
		}
		if !s.retryAt.IsZero() && s.retryAt.Before(next) {
			next = s.retryAt
		}
		if !s.hedgeAt.IsZero() && s.hedgeAt.Before(next) {
			next = s.hedgeAt
		}
	}
	return next
}

// progress counts the shards with a part and those that may still get one. A single
// request requires its only shard.
func (x *execution) progress() gather.Progress {
	p := gather.Progress{Shards: len(x.shards), MinRatio: x.route.MinShardRatio}
	if len(x.route.Shards) == 0 {
		p.MinRatio = 1
	}
	for i := range x.shards {
		switch s := &x.shards[i]; {
		case s.part != nil:
			p.Received++
		case !s.exhausted:
			p.Outstanding++
		}
	}
	return p
}

// recordPart records the arrival of a part.
func (x *execution) recordPart(now time.Time) {
	x.lastPart = now
	if x.enoughAt.IsZero() {
		if p := x.progress(); p.Received >= p.Required() {
			x.enoughAt = now
		}
	}
}

// delivered records that the answer has been written. It logs the request only now, so
// that the caller does not wait for the log.
func (x *execution) delivered(a *Answer) {
	if a.Merged != nil && a.Merged.Missing > 0 {
		due := x.answerBy
		if x.enoughAt.After(due) {
			due = x.enoughAt
		}
		x.e.mu.Lock()
		x.e.stateOf(x.route).margin.Observe(max(0, time.Since(due)))
		x.e.mu.Unlock()
	}
	x.log(a)
}
