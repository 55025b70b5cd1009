package engine

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/gather"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// execution is one request on its way. A single request is a fan-out to one
// shard whose answer is passed on as it is.
type execution struct {
	e        *Engine
	r        *Request
	route    *catalog.Route
	view     *catalog.View
	shards   []shard
	answerBy time.Time // shortly before the objective
	until    time.Time // the caller or the operator waits no longer
	results  chan ended
	traced   context.Context // holds the span of the request
	sends    context.Context // of the sends, which may outlive the answer
	cancel   context.CancelFunc
	expected time.Duration
	tries    []try // sends so far, for the log line
}

// shard is the part of an execution that one service answers.
type shard struct {
	service string
	open    []send // without a result
	tried   map[string]bool
	sends   int
	arrived int       // sends that may have reached a target
	runs    int       // ended sends that may have run
	retryAt time.Time // when to try again; zero if not at all
	hedgeAt time.Time // when to send a repeat beside the open send
	wait    time.Duration
	part    *backend.Result // the answer
	failure *backend.Result // a target's own failure, or the last result
	last    string          // the target that failed last
	lost    bool            // cannot be answered any more
	reason  outcome.Reason
}

// ended is the result of a send.
type ended struct {
	shard  int
	target *target
	result backend.Result
}

// send is an open send.
type send struct {
	target *target
	began  time.Time
}

// plan prepares an execution.
func (e *Engine) plan(r *Request, route *catalog.Route, v *catalog.View) *execution {
	x := &execution{e: e, r: r, route: route, view: v}
	limit := defaultLimit
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	x.until = r.Received.Add(limit)
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.route(route)
	x.expected = state.expected
	margin := min(answerMargin, route.Objective/4)
	x.answerBy = state.started(r).Add(route.Objective - margin)
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
	x.results = make(chan ended, maxSends*len(services))
	x.sends, x.cancel = context.WithDeadline(context.Background(), x.until.Add(time.Second))
	return x
}

// run carries the request out.
func (x *execution) run(ctx context.Context) Answer {
	x.traced = ctx
	if !x.attainable(time.Now()) {
		return Answer{Outcome: x.e.refused(outcome.Unavailable, outageRetry, "too few services have a target that can be reached")}
	}
	for i := range x.shards {
		x.try(i, time.Now())
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		x.due(now)
		if a, done := x.decide(now); done {
			x.release()
			return a
		}
		timer.Reset(max(0, x.next(now).Sub(now)))
		select {
		case end := <-x.results:
			x.end(end)
		case <-timer.C:
		case <-ctx.Done():
			time.AfterFunc(callerGone, x.cancel)
			return Answer{Outcome: outcome.Uncertain(outcome.Canceled, "the caller left")}
		}
	}
}

// attainable reports whether enough shards have a target that may be tried now.
// A request that cannot be served is refused before anything is sent.
func (x *execution) attainable(now time.Time) bool {
	p := x.progress()
	reached := 0
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	for i := range x.shards {
		for _, entry := range x.view.Usable(x.shards[i].service) {
			if t := x.e.targets[entry.ID]; t != nil && !t.wrong && !t.state.Down(now) && x.e.coldAllows(t, now) {
				reached++
				break
			}
		}
	}
	return reached >= p.Required()
}

// release lets the open sends end by themselves.
func (x *execution) release() {
	open := 0
	for i := range x.shards {
		open += len(x.shards[i].open)
	}
	if open == 0 {
		x.cancel()
	}
}

// due carries out the repeats whose time has come.
func (x *execution) due(now time.Time) {
	for i := range x.shards {
		s := &x.shards[i]
		switch {
		case s.part != nil || s.lost:
		case !s.retryAt.IsZero() && !now.Before(s.retryAt):
			s.retryAt = time.Time{}
			x.try(i, now)
		case !s.hedgeAt.IsZero() && !now.Before(s.hedgeAt):
			s.hedgeAt = time.Time{}
			x.hedge(i, now)
		}
	}
}

// next returns when the execution has something to do if no result comes.
func (x *execution) next(now time.Time) time.Time {
	next := x.until
	if now.Before(x.answerBy) && x.answerBy.Before(next) {
		next = x.answerBy
	}
	for i := range x.shards {
		s := &x.shards[i]
		if s.part != nil || s.lost {
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

func (x *execution) progress() gather.Progress {
	p := gather.Progress{Shards: len(x.shards), MinRatio: x.route.MinShardRatio}
	if len(x.route.Shards) == 0 {
		p.MinRatio = 1
	}
	for i := range x.shards {
		switch s := &x.shards[i]; {
		case s.part != nil:
			p.Received++
		case !s.lost:
			p.Outstanding++
		}
	}
	return p
}

// decide returns the answer if it is to leave now.
func (x *execution) decide(now time.Time) (Answer, bool) {
	p := x.progress()
	verdict := gather.Decide(p, now, x.answerBy)
	if verdict == gather.Wait && !now.Before(x.until) {
		verdict = gather.GiveUp
	}
	switch verdict {
	case gather.Answer:
		return x.answer(p), true
	case gather.GiveUp:
		return x.failed(now), true
	default:
		return Answer{}, false
	}
}

func (x *execution) answer(p gather.Progress) Answer {
	if len(x.route.Shards) == 0 {
		return Answer{Outcome: outcome.OK(), Forwarded: x.shards[0].part}
	}
	m := &Merged{Missing: p.Shards - p.Received}
	parts := make([][]byte, 0, p.Received)
	for i := range x.shards {
		if part := x.shards[i].part; part != nil {
			m.Digests = append(m.Digests, part.Head.Digest)
			parts = append(parts, part.Body)
		}
	}
	m.Records = gather.TopRecords(parts, x.route.TopK)
	a := Answer{Outcome: outcome.OK(), Merged: m}
	if m.Missing > 0 {
		a.Outcome.Kind = outcome.Partial
	}
	return a
}

// failed returns the answer to a request that cannot be answered. It says "not
// run" only if no send may have run or may still run.
func (x *execution) failed(now time.Time) Answer {
	mayHaveRun := false
	reason := outcome.Unavailable
	for i := range x.shards {
		s := &x.shards[i]
		mayHaveRun = mayHaveRun || s.runs > 0 || len(s.open) > 0 || s.part != nil
		if s.reason != "" {
			reason = s.reason
		}
	}
	if len(x.shards) == 1 && x.shards[0].failure != nil && x.shards[0].failure.Kind == backend.Failure {
		return Answer{Outcome: outcome.Uncertain(outcome.Internal, "the target failed"), Forwarded: x.shards[0].failure}
	}
	switch {
	case !mayHaveRun:
		return Answer{Outcome: x.e.refused(reason, outageRetry, "no target took the request")}
	case !now.Before(x.until):
		return Answer{Outcome: outcome.Uncertain(outcome.Deadline, "no answer within the time limit")}
	default:
		return Answer{Outcome: outcome.Uncertain(reason, "the targets failed")}
	}
}
