package daemon

import (
	"context"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

// send plans one attempt for each group and sends the attempts, in one message per
// branch host. A group without a usable target is closed.
func (g *gather) send(states []*groupState) {
	now := time.Now()
	plan := g.plan(now, states)
	type message struct {
		at         ordinalID
		restricted bool // all parts of a message are canaries, or none is
	}
	batches := map[message][]routing.Assignment{}
	for _, a := range plan {
		m := message{ordinalID{a.Path.Place, a.Path.Ordinal}, g.byID[a.Group].restricted}
		batches[m] = append(batches[m], a)
	}
	for m, assignments := range batches {
		g.sendBatch(now, m.at, assignments, wire.CauseFirst)
	}
	for _, state := range states {
		state.retryPending = false
		g.closeIfIdle(state)
	}
	g.armTimer(now)
}

// plan chooses a path for each group. Targets known to cover only a part of their
// group's range are planned only for groups that have no others.
func (g *gather) plan(now time.Time, states []*groupState) []routing.Assignment {
	groups := make([]*routing.Group, len(states))
	for i, state := range states {
		groups[i] = g.routingCandidates(state)
		if state.lastOutcome.DidNotRun() && len(state.attempts) > 0 {
			groups[i] = &routing.Group{ID: groups[i].ID, Candidates: groups[i].Candidates, Retry: true}
		}
	}
	g.bind(states)
	usable := func(i, candidate int) bool { return g.usable(states[i], candidate) }
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	narrow := len(g.state.reportedRanges) > 0
	plan := g.entry.router.Plan(now, groups, func(i, candidate int) bool {
		return usable(i, candidate) && !(narrow && g.state.coversOnlyPart(states[i].planned.routingGroup.Candidates[candidate].Target, states[i].planned))
	}, make([]routing.Assignment, 0, len(states)))
	if narrow && len(plan) < len(states) {
		plan = g.planRest(now, states, groups, usable, plan)
	}
	trials := !g.state.load.Overloaded(now) && !g.canary.holdsGroups && !g.canary.crashSuspected && !g.canary.bound
	rule := g.hedgeRule()
	balance := g.state.budget.Balance()
	for i := range plan {
		a := &plan[i]
		state := g.byID[a.Group]
		state.dueAt = now.Add(g.state.latencies.Delay(a.Group, rule, balance))
		state.trial = a.Trial && trials && !state.restricted && g.state.budget.Has(1)
		switch {
		case state.trial:
			state.dueAt = now // the second attempt is sent at once
		case a.Trial:
			g.avoidTrial(now, state, a)
		}
	}
	g.entry.router.SentAll(now, plan)
	return plan
}

// usable reports whether the target of a candidate, given by its index, may be asked
// for a group: the target may serve the query's version, the query's canary rules
// allow the target, its place has not refused the group as out, and the caller's key was
// not withdrawn.
func (g *gather) usable(state *groupState, candidate int) bool {
	if g.withdrawn() {
		return false
	}
	p := state.planned
	o := &p.routingGroup.Candidates[candidate]
	return p.targets[candidate].MayServe(g.merger.Version()) && state.maySend(o.Target) &&
		(state.outPlace == "" || state.outPlace != o.Place)
}

// withdrawn reports whether the caller's key was withdrawn since the query began. Nothing more
// is sent then.
func (g *gather) withdrawn() bool {
	g.keyWithdrawn = g.keyWithdrawn || !g.caller.mayStillSend()
	return g.keyWithdrawn
}

// avoidTrial replaces a trial that gets no second attempt by another target, if one
// can be asked. The caller holds entry.mu.
func (g *gather) avoidTrial(now time.Time, state *groupState, a *routing.Assignment) {
	alternative, ok := g.entry.router.Alternative(now, g.routingCandidates(state), func(_, candidate int) bool {
		return state.planned.routingGroup.Candidates[candidate].Target != a.Path.Target && g.usable(state, candidate)
	}, nil)
	if ok {
		*a = alternative
	}
}

func (g *gather) hedgeRule() hedge.Rule {
	return hedge.Rule{Quantile: g.policy.HedgeQuantile, MinDelay: g.policy.HedgeMinDelay}
}

// planRest plans the groups without a target that covers their whole range.
func (g *gather) planRest(now time.Time, states []*groupState, groups []*routing.Group, usable routing.Usable, plan []routing.Assignment) []routing.Assignment {
	planned := make(map[string]bool, len(plan))
	for _, a := range plan {
		planned[a.Group] = true
	}
	for i, state := range states {
		if planned[state.planned.group.ID] {
			continue
		}
		if a, ok := g.entry.router.Alternative(now, groups[i], func(_, candidate int) bool { return usable(i, candidate) }, nil); ok {
			plan = append(plan, a)
		}
	}
	return plan
}

// sendBatch sends attempts to one branch host and passes the results to the event
// loop. With CauseFirst, the cause is derived from the state of each group.
func (g *gather) sendBatch(now time.Time, at ordinalID, assignments []routing.Assignment, cause wire.Cause) {
	ctx, cancel := context.WithCancel(g.ctx)
	b := &batch{
		at: at, sent: now, local: g.entry.branches.isSelf(at),
		attempts: make(map[string]*attempt, len(assignments)), cancelGroups: make(chan string, len(assignments)), cancel: cancel,
	}
	req := &wire.SearchRequest{
		QueryID: g.id, Service: g.service, Terms: g.req.Terms, Limit: g.req.Limit, Version: g.merger.Version(),
		TimeoutMS: remaining(g.ctx).Milliseconds(), Class: uint8(class(g.meta, g.policy)), Traceparent: g.meta.Traceparent, Tenant: g.caller.name(),
		Canary: g.isSuspectCanary() || g.byID[assignments[0].Group].restricted,
	}
	maxWait := g.firstMaxWait(now)
	for _, assigned := range assignments {
		state := g.byID[assigned.Group]
		a := &attempt{path: assigned.Path, sent: now, batch: b, gap: cause == wire.CauseGap, cause: g.cause(state, cause)}
		state.attempts = append(state.attempts, a)
		g.openAttempts++
		b.attempts[assigned.Group] = a
		part := wire.PartRequest{Group: assigned.Group, Target: assigned.Path.Target, Cause: a.cause}
		if a.cause == wire.CauseFirst && len(state.planned.targets) > 1 {
			part.MaxWaitServiceTimes = maxWait
		}
		a.unboundedWait = part.MaxWaitServiceTimes == 0 && len(state.planned.targets) > 1
		req.Parts = append(req.Parts, part)
	}
	g.entry.observer.countSubRequests(req)
	ctx, span, parent := g.entry.observer.startMessage(ctx, req.Traceparent, "search message", at)
	req.Traceparent = parent
	go func() {
		defer cancel()
		err := g.entry.branches.search(ctx, at, req, b.cancelGroups, func(parts []wire.PartResult) {
			g.deliver(batchEvent{batch: b, parts: parts, arrived: time.Now()})
		})
		endMessage(span, req, err)
		g.deliver(batchEvent{batch: b, ended: true, err: err, arrived: time.Now()})
	}()
}

// firstMaxWait returns how long a first attempt may wait for a slot, in service times;
// 0 means until the deadline. It is 0 in overload, where the other replicas would
// refuse as well, and for a service without retries.
func (g *gather) firstMaxWait(now time.Time) uint8 {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	if g.policy.RetryLimit == 0 || g.state.load.Overloaded(now) {
		return 0
	}
	return 1
}

// cause returns why the next attempt for a group is sent.
func (g *gather) cause(state *groupState, requested wire.Cause) wire.Cause {
	switch {
	case requested != wire.CauseFirst:
		return requested
	case g.canary.holdsGroups || state.restricted:
		return wire.CauseCanary
	case len(state.attempts) > 0:
		return wire.CauseRetry
	}
	return wire.CauseFirst
}

// deliver passes an event to the event loop unless the query has ended.
func (g *gather) deliver(event batchEvent) {
	select {
	case g.events <- event:
	case <-g.ctx.Done():
	}
}
